"""How long an idle connection is trusted to be still open at the endpoint."""

from __future__ import annotations

import math

IDLE_FRACTION = 0.5  # of the time after which endpoints close: a request must not cross that closing
# Seconds from the write to the break of a stale connection: a round trip. A later break says nothing of
# idleness; counting those, random loss on the network would end all reuse.
STALE_BREAK_WINDOW = 0.015
TRUSTED_FRACTION = 0.7  # of the idle time that a stale connection did not survive
MIN_TRUSTED_IDLE = 0.05  # seconds trusted whatever breaks: chance alone must not end all reuse
INITIAL_DISTRUST = 10.0  # seconds for which a stale connection shortens the trusted idle time
MAX_DISTRUST = 160.0  # seconds; the period doubles up to this while stale connections recur


class IdlePolicy:
    """The longest trusted idle time, shortened for a while after stale connections.

    A reused connection that breaks as soon as it is written to was closed silently while it was idle. What
    does so is mostly one middlebox or setting for all endpoints: so what one of them shows holds for all, or
    each of them would cost a request again.
    """

    __slots__ = ("_distrust_period", "_distrust_until", "_shortened_idle", "max_idle")

    def __init__(self, idle_timeout: float) -> None:
        """``idle_timeout``: seconds after which endpoints close idle connections."""
        self.set_idle_timeout(idle_timeout)
        self._shortened_idle = math.inf  # seconds
        self._distrust_until = 0.0  # until when the shortened time holds, by the pool's clock
        self._distrust_period = INITIAL_DISTRUST

    def set_idle_timeout(self, idle_timeout: float) -> None:
        """Set the seconds after which endpoints close idle connections."""
        self.max_idle = idle_timeout * IDLE_FRACTION  # seconds, where nothing was stale

    def trusted_idle(self, now: float) -> float:
        """Seconds for which a connection may have been idle to be reused."""
        return min(self.max_idle, self._shortened_idle) if now < self._distrust_until else self.max_idle

    def record_stale(self, now: float, idle_time: float) -> None:
        """A connection that had been idle for so many seconds was stale."""
        known = self._shortened_idle if now < self._distrust_until else math.inf
        if now >= self._distrust_until:
            recurs = now < self._distrust_until + self._distrust_period  # then test reuse less often
            self._distrust_period = (
                min(MAX_DISTRUST, 2 * self._distrust_period) if recurs else INITIAL_DISTRUST
            )
        self._shortened_idle = max(MIN_TRUSTED_IDLE, min(known, TRUSTED_FRACTION * idle_time))
        self._distrust_until = now + self._distrust_period
