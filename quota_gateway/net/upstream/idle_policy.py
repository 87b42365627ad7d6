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
INITIAL_REDUCTION_SECONDS = 10.0  # time for which a stale connection reduces the idle limit
MAX_REDUCTION_SECONDS = 160.0  # upper limit of that time, which doubles while stale connections recur


class IdlePolicy:
    """The idle limit: how long a connection may have been idle to be reused.

    A stale connection, one that breaks as soon as it is reused, was closed silently while it was idle, and
    reduces the limit for a reduction period. The cause is mostly one middlebox or setting that all endpoints
    share, so the reduced limit applies to all endpoints; otherwise one request would fail at each of them.
    """

    __slots__ = ("_reduced_limit", "_reduced_until", "_reduction_period", "max_idle")

    def __init__(self, idle_timeout: float) -> None:
        """``idle_timeout``: seconds after which endpoints close idle connections."""
        self.set_idle_timeout(idle_timeout)
        self._reduced_limit = math.inf  # seconds; the limit during the reduction period
        self._reduced_until = 0.0  # end of the reduction period, by the pool's clock
        self._reduction_period = INITIAL_REDUCTION_SECONDS

    def set_idle_timeout(self, idle_timeout: float) -> None:
        """Set the seconds after which endpoints close idle connections."""
        self.max_idle = idle_timeout * MAX_IDLE_FRACTION  # seconds; the limit outside a reduction period

    def idle_limit(self, now: float) -> float:
        """Return the seconds for which a connection may have been idle to be reused at ``now``."""
        return min(self.max_idle, self._reduced_limit) if now < self._reduced_until else self.max_idle

    def record_stale(self, now: float, idle_time: float) -> None:
        """Reduce the idle limit: a connection was stale after ``idle_time`` seconds."""
        current = self._reduced_limit if now < self._reduced_until else math.inf
        if now >= self._reduced_until:
            recurs = now < self._reduced_until + self._reduction_period
            self._reduction_period = (
                min(MAX_REDUCTION_SECONDS, 2 * self._reduction_period)
                if recurs
                else INITIAL_REDUCTION_SECONDS
            )
        self._reduced_limit = max(MIN_IDLE_LIMIT_SECONDS, min(current, STALE_IDLE_FRACTION * idle_time))
        self._reduced_until = now + self._reduction_period
