"""The times of the last line from discovery, and of the last confirmation of the endpoint list."""

from __future__ import annotations

import math


class DiscoveryContact:
    """The last contact with discovery, at any of its addresses. Times are of the event loop's clock.

    The list is confirmed while a watch is open and nothing on it is unread. An unanswered request confirms it
    too: a discovery that is down sends no update.
    """

    __slots__ = ("_last_line_at", "confirmed_at")

    def __init__(self, now: float = -math.inf) -> None:
        """Start with no line received, and with the list confirmed at ``now``."""
        self._last_line_at = -math.inf  # seconds
        self.confirmed_at = now  # seconds

    def confirm(self, at: float) -> None:
        """Record that the list was up to date at this time."""
        self.confirmed_at = max(self.confirmed_at, at)

    def record_line(self, now: float, arrived_at: float) -> float:
        """Record a line that is read at ``now``; return the seconds since the previous line arrived."""
        elapsed = now - self._last_line_at
        self._last_line_at = arrived_at
        self.confirm(arrived_at)
        return elapsed
