"""The test ``messages``: bytes and calls a second of lists, watches, counter and health checks; a resync.

Bytes are counted on loopback sockets between the real clients and stand-ins; the demand for counter calls is
that of a simulated limiter in virtual time.
"""
