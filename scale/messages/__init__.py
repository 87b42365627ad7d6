"""The test ``messages``: bytes and calls a second of lists, watches, counter and health checks; a resync.

Bytes are counted on loopback sockets between the real clients and stand-ins. The number of counter calls is
measured on a simulated limiter in virtual time.
"""
