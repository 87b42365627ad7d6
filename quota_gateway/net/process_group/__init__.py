"""Files that the processes of one limiter share: process locks, suspensions and handovers.

The package owns the limiter's directory below ``$TMPDIR``. Of the other network packages it may import only
``common``.
"""
