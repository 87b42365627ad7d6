"""Files that the processes of one limiter share: process locks, suspensions and handovers.

It owns the limiter's directory in ``$TMPDIR`` and imports only ``common``.
"""
