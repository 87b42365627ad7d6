"""The connection of the network to the decisions: events in, actions out.

It owns the open requests with their attempts and timers, and may import every other network package.
"""
