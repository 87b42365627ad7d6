"""The real limiter's sockets and files, around the decisions of ``quota_gateway.decisions``.

Packages by concern. ``common`` imports none of the others, ``dispatch`` may import all of them, and the rest
import only ``common``; ``tests/test_pages.py`` checks it.
"""
