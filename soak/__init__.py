"""Soak test: runs real limiters under overlapping faults and checks the invariants from outside.

``python -m soak`` runs the scenarios of one or more seeds; the same arguments always give the same scenario
(``soak.scenario``). The limiters are separate processes that preload a fault library
(``soak/fault_library.c``). Endpoints, discovery, the counter and the clients run inside the runner's process
and record what they observe in a history (``soak.history``), which ``soak.checker`` checks after the run.
"""
