"""Client connections: accepting, parsing requests, ordering responses, timeouts and closing.

This package owns the listening socket for clients and the connections accepted from it. Of the other network
packages it imports only ``common``.
"""
