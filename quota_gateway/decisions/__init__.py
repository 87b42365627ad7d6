"""Every decision of the gateway: no sockets, no clock; events in, actions out."""
