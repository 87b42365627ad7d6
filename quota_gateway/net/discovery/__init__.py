"""The client of discovery: the watch of the endpoint list and its events.

It imports only ``common``.
"""
