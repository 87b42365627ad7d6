"""Sockets and files of the running limiter; ``quota_gateway.decisions`` makes its decisions.

Each package has one concern. ``common`` imports none of the others, ``dispatch`` may import all of them, and
the rest import only ``common``; ``tests/test_pages.py`` checks these imports.
"""
