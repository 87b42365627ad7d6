"""The life of one gateway process: startup, configuration reload and graceful shutdown.

``process`` is the entry point. ``components`` builds the parts of the process, which ``startup``, ``reload``
and ``shutdown`` operate on.
"""
