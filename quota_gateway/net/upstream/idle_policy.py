"""How long a connection may be idle and still be reused."""

from __future__ import annotations

import math

# Idle limit as a fraction of the endpoints' idle timeout. The margin keeps a request from being sent while
# the endpoint closes the connection.
MAX_IDLE_FRACTION = 0.5
# A stale connection breaks within a round trip of the write. A later break does not show that the connection
# was stale; if it counted, random network loss would end all reuse.
STALE_BREAK_WINDOW_SECONDS = 0.015
STALE_IDLE_FRACTION = 0.7  # reduced idle limit, as a fraction of the idle time of a stale connection
MIN_IDLE_LIMIT_SECONDS = 0.05  # a lower limit would let random breaks end all reuse
INITIAL_BACKOFF_SECONDS = 10.0  # time for which a stale connection reduces the idle limit
MAX_BACKOFF_SECONDS = 160.0  # the time doubles up to this while stale connections recur


class IdlePolicy:
    """The idle limit: how long a connection may have been idle to be reused.

    A stale connection, one that breaks as soon as it is reused, was closed silently while it was idle, and
    reduces the limit for a backoff period. The cause is mostly one middlebox or setting that all endpoints
    share, so the reduced limit applies to all of them; otherwise one request would fail at each endpoint.
    """

    __slots__ = ("_backoff_period", "_backoff_until", "_reduced_limit", "max_idle")

    def __init__(self, idle_timeout: float) -> None:
        """``idle_timeout``: seconds after which endpoints close idle connections."""
        self.set_idle_timeout(idle_timeout)
        self._reduced_limit = math.inf  # seconds; the limit during the backoff period
        self._backoff_until = 0.0  # end of the backoff period, by the pool's clock
        self._backoff_period = INITIAL_BACKOFF_SECONDS

    def set_idle_timeout(self, idle_timeout: float) -> None:
        """Set the seconds after which endpoints close idle connections."""
        self.max_idle = idle_timeout * MAX_IDLE_FRACTION  # seconds; the limit outside a backoff period

    def idle_limit(self, now: float) -> float:
        """Return the seconds for which a connection may have been idle to be reused at ``now``."""
        return min(self.max_idle, self._reduced_limit) if now < self._backoff_until else self.max_idle

    def record_stale(self, now: float, idle_time: float) -> None:
        """Reduce the idle limit: a connection was stale after ``idle_time`` seconds."""
        current = self._reduced_limit if now < self._backoff_until else math.inf
        if now >= self._backoff_until:
            recurs = now < self._backoff_until + self._backoff_period
            self._backoff_period = (
                min(MAX_BACKOFF_SECONDS, 2 * self._backoff_period) if recurs else INITIAL_BACKOFF_SECONDS
            )
        self._reduced_limit = max(MIN_IDLE_LIMIT_SECONDS, min(current, STALE_IDLE_FRACTION * idle_time))
        self._backoff_until = now + self._backoff_period
