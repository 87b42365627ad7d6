"""A token bucket in virtual time."""

from __future__ import annotations

_ROUNDING_UNITS = 1e-9


class TokenBucket:
    """The exact token bucket of one tenant over all limiters; ``rate`` is in units a second."""

    __slots__ = ("_filled_at", "_rate", "burst", "tokens")

    def __init__(self, rate: float, burst: float) -> None:
        """Start with a full bucket."""
        self._rate = rate
        self.burst = burst
        self.tokens = burst
        self._filled_at = 0.0

    def fill(self, at: float) -> float:
        """Refill the bucket up to a time and return its tokens."""
        self.tokens = min(self.burst, self.tokens + self._rate * max(0.0, at - self._filled_at))
        self._filled_at = max(at, self._filled_at)
        return self.tokens

    def take(self, at: float, units: float) -> bool:
        """Take units if the bucket holds enough tokens; return whether it did."""
        if self.fill(at) < units - _ROUNDING_UNITS:
            return False
        self.tokens -= units
        return True

    def charge(self, at: float, units: float) -> None:
        """Take units even if the bucket holds fewer tokens; a negative number returns units."""
        self.fill(at)
        self.tokens -= units
