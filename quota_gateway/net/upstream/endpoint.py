"""One endpoint as the pool knows it: its address and its idle connections."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from quota_gateway.net.upstream.connection import UpstreamConnection
from quota_gateway.net.upstream.stats import ConnectionStats

# Seconds that a connection stays idle before its next request: what an endpoint sends behind a response (a
# second copy, noise) comes when nothing waits there, and closes the connection. Without the delay it would
# answer the next request.
SETTLE_DELAY = 0.03


@dataclass(slots=True, eq=False)
class UpstreamEndpoint:
    """An endpoint and the connections to it."""

    name: str
    address: tuple[str, int]
    available: bool = True  # says discovery
    started_at: float = 0.0  # Unix time of its start, as discovery says; 0: not known
    open_connections: int = 0  # those being connected too
    idle: list[UpstreamConnection] = field(default_factory=list)  # the most recently used last

    def take_idle(self, now: float, max_idle: float, stats: ConnectionStats) -> UpstreamConnection | None:
        """Take the most recently used connection that has settled: the least likely to be closing.

        Those that were idle for ``max_idle`` seconds, or have unread input, are closed on the way.
        """
        for index in range(len(self.idle) - 1, -1, -1):
            connection = self.idle[index]
            connection.idle_time = now - (connection.idle_since or 0.0)
            if connection.idle_time < SETTLE_DELAY:
                continue
            del self.idle[index]
            if connection.transport is None or connection.transport.is_closing():
                continue
            # After a stall of this process the delay is over at once, with what came in it still unread.
            if connection.idle_time < max_idle and not connection.has_unread_input():
                return connection
            stats.idle_too_long += 1
            connection.transport.close()
        return None

    def close_idle(self, until: float = math.inf) -> None:
        """Close the connections that have been idle since ``until`` or before."""
        while self.idle and (self.idle[0].idle_since or 0.0) <= until:
            connection = self.idle.pop(0)
            if connection.transport is not None:
                connection.transport.close()
