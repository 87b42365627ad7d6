"""The client of the shared counter: pipelined calls, a standby connection and failover.

The package owns the pending calls and the connections. Of the network packages it imports only ``common``.
"""
