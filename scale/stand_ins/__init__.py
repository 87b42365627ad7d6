"""Stand-ins for what a limiter speaks with, by the protocol page: discovery, the counter and endpoints.

``python -m scale.stand_ins`` runs them as one process of their own.
"""
