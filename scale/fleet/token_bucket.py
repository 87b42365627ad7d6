"""A token bucket in virtual time."""

from __future__ import annotations

_ROUNDING = 1e-9  # units that a bucket may lack through rounding


class TokenBucket:
    """The true bucket of a tenant over all limiters; units, and units a second."""

    __slots__ = ("_filled_at", "_rate", "burst", "tokens")

    def __init__(self, rate: float, burst: float) -> None:
        """A full bucket."""
        self._rate = rate
        self.burst = burst
        self.tokens = burst
        self._filled_at = 0.0

    def fill(self, at: float) -> float:
        """The tokens at that time."""
        self.tokens = min(self.burst, self.tokens + self._rate * max(0.0, at - self._filled_at))
        self._filled_at = max(at, self._filled_at)
        return self.tokens

    def take(self, at: float, units: float) -> bool:
        """Whether the units are within the quota; those over it take nothing."""
        if self.fill(at) < units - _ROUNDING:
            return False
        self.tokens -= units
        return True
