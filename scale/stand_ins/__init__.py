"""Stand-ins for the services that a limiter uses: discovery, the counter and endpoints.

They implement the protocols on the protocol page. ``python -m scale.stand_ins`` runs them in one process.
"""
