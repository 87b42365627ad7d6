"""The lifecycle of one limiter process: startup, configuration reload and graceful shutdown.

``process`` is the entry point. ``components`` builds the components of the process, which ``startup``,
``reload`` and ``shutdown`` operate on.
"""
