"""The fleet simulation: every limiter of a fleet in virtual time; ``python -m scale.fleet`` plays one run."""

from scale.fleet.scale_test import TEST

__all__ = ["TEST"]
