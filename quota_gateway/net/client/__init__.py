"""Connections of clients: accepting, parsing requests, ordering responses, time-outs and closing.

It owns the listening socket of the clients and their connections, and imports only ``common``.
"""
