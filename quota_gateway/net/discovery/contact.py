"""When discovery last sent a line."""

from __future__ import annotations

import math


class DiscoveryContact:
    """The time of the last line that was received from discovery, from any of its addresses."""

    __slots__ = ("_last_at",)

    def __init__(self) -> None:
        """Begin without contact."""
        self._last_at = -math.inf  # seconds of the event loop's clock

    def renew(self, now: float) -> float:
        """Record a line that is received at ``now``; return the seconds since the one before."""
        elapsed = now - self._last_at
        self._last_at = now
        return elapsed
