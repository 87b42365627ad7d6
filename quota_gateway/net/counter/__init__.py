"""The client of the shared counter: pipelined calls, the standby connection and failover.

It owns the calls that have not completed and the connections, and imports only ``common``.
"""
