"""The fleet simulation: every limiter of a fleet in virtual time; ``python -m scale.fleet`` runs one."""
