"""Code that several network packages use: listening sockets, body streams, backoff, metrics and invariants.

The package imports none of the other network packages.
"""
