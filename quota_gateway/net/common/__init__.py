"""Parts that several network packages use: listening sockets, body streams, backoff, metrics and invariants.

It imports none of the other network packages.
"""
