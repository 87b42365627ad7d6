"""The client of the shared counter: pipelined calls, the standby connection and failover.

It imports only ``common``.
"""
