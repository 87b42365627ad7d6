"""The test ``messages``: bytes and rates of the messages with discovery, the counter and endpoints; a resync.

Bytes are counted on loopback sockets between the limiter's real clients and stand-ins. The rate of counter
calls is measured on a simulated limiter in virtual time. A resync sends a complete list to each limiter.
"""
