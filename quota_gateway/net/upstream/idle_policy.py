"""How long an idle connection is trusted to be open at the endpoint."""

from __future__ import annotations

import math

# Fraction of the time after which endpoints close an idle connection. The rest of it keeps a request from
# being sent while the endpoint closes.
MAX_IDLE_FRACTION = 0.5
# A stale connection breaks within a round trip of the write. A later break does not show that the connection
# was stale; if it counted, random network loss would end all reuse.
STALE_BREAK_WINDOW_SECONDS = 0.015
TRUSTED_IDLE_FRACTION = 0.7  # of the idle time at which a connection was stale
MIN_TRUSTED_IDLE_SECONDS = 0.05  # random breaks must not end all reuse
INITIAL_DISTRUST_SECONDS = 10.0  # for which a stale connection shortens the trusted idle time
MAX_DISTRUST_SECONDS = 160.0  # the period doubles up to this while stale connections recur


class IdlePolicy:
    """The longest trusted idle time, shortened for a while after each stale connection.

    A reused connection that breaks as soon as it is written to was closed silently while it was idle. The
    cause is mostly one middlebox or setting that all endpoints share. The shortened time therefore applies to
    all endpoints; otherwise each of them would cost a request.
    """

    __slots__ = ("_distrust_period", "_distrust_until", "_shortened_idle", "max_idle")

    def __init__(self, idle_timeout: float) -> None:
        """``idle_timeout``: seconds after which endpoints close idle connections."""
        self.set_idle_timeout(idle_timeout)
        self._shortened_idle = math.inf  # seconds
        self._distrust_until = 0.0  # until when the shortened time applies, by the pool's clock
        self._distrust_period = INITIAL_DISTRUST_SECONDS

    def set_idle_timeout(self, idle_timeout: float) -> None:
        """Set the seconds after which endpoints close idle connections."""
        self.max_idle = idle_timeout * MAX_IDLE_FRACTION  # seconds, while no connection was stale

    def trusted_idle(self, now: float) -> float:
        """Return the seconds for which a connection may have been idle to be reused."""
        return min(self.max_idle, self._shortened_idle) if now < self._distrust_until else self.max_idle

    def record_stale(self, now: float, idle_time: float) -> None:
        """Shorten the trusted idle time: a connection was stale after ``idle_time`` seconds."""
        known = self._shortened_idle if now < self._distrust_until else math.inf
        if now >= self._distrust_until:
            recurs = now < self._distrust_until + self._distrust_period
            self._distrust_period = (
                min(MAX_DISTRUST_SECONDS, 2 * self._distrust_period) if recurs else INITIAL_DISTRUST_SECONDS
            )
        self._shortened_idle = max(MIN_TRUSTED_IDLE_SECONDS, min(known, TRUSTED_IDLE_FRACTION * idle_time))
        self._distrust_until = now + self._distrust_period
