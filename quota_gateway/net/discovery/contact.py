"""The time of the last line from discovery."""

from __future__ import annotations

import math


class DiscoveryContact:
    """The time when a line was last received from discovery, at any of its addresses."""

    __slots__ = ("_last_line_at",)

    def __init__(self) -> None:
        """Start with no line received."""
        self._last_line_at = -math.inf  # seconds of the event loop's clock

    def record_line(self, now: float, arrived_at: float) -> float:
        """Record a line that is read at ``now``; return the seconds since the previous line arrived."""
        elapsed = now - self._last_line_at
        self._last_line_at = arrived_at
        return elapsed
