"""The way between sockets and decisions: events in, actions out.

It owns the open requests with their attempts and timers, and may import every other network package.
"""
