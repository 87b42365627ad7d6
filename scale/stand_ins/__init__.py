"""Stand-ins for the peers of a limiter, by the protocol page: discovery, the counter and endpoints.

``python -m scale.stand_ins`` runs them as one process of their own.
"""
