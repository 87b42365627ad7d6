"""Soak test: real limiters under overlapping faults, checked against the invariants from outside.

``python -m soak`` runs the scenario of one seed or of several; a scenario follows from its seed alone
(``soak.scenario``). The limiters are processes with a fault library loaded (``soak/fault_library.c``).
Endpoints, discovery, the counter and the clients are part of the runner; they record what they observe in a
history (``soak.history``), which ``soak.checker`` checks.
"""
