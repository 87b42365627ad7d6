"""The decisions of the gateway: they turn events into actions, and use no sockets and no clock."""
