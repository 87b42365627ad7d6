"""The client of discovery: the watch of the endpoint list and its events.

It owns the watch's requests and the version of the list, and imports only ``common``.
"""
