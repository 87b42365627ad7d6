"""The client of discovery: the watch of the endpoint list and its events.

The package owns the watch's requests and the version of the list. Of the network packages it imports only
``common``.
"""
