"""Connects the network with the decisions: passes events to them and executes the actions that they return.

It owns the open requests with their attempts and timers, and may import every other network package.
"""
