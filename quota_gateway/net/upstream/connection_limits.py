"""Limits on the number of open connections to endpoints."""

from __future__ import annotations

from quota_gateway.net.upstream.endpoint import UpstreamEndpoint
from quota_gateway.net.upstream.idle_connections import IdleConnections

MAX_CONNECTIONS_PER_ENDPOINT = 64


class ConnectionLimits:
    """Counts open connections, in total and by endpoint, against their limits.

    A connection is counted from the start of connecting until it has ended. At the total limit, the oldest
    idle connection is evicted for a new one.
    """

    __slots__ = ("_idle", "_max_connections", "open_connections")

    def __init__(self, max_connections: int, idle: IdleConnections) -> None:
        """Begin with no connections; ``idle`` holds those that may be evicted."""
        self._max_connections = max_connections
        self._idle = idle
        self.open_connections = 0  # to all endpoints

    def set_max_connections(self, max_connections: int) -> None:
        """Change the total limit, and evict idle connections that exceed it."""
        self._max_connections = max_connections
        while self.open_connections > self._max_connections and self._idle.evict_oldest():
            pass

    def make_room(self, endpoint: UpstreamEndpoint) -> bool:
        """Return whether another connection to the endpoint may be opened.

        At the total limit, evict the oldest idle connection for it.
        """
        if endpoint.open_connections >= MAX_CONNECTIONS_PER_ENDPOINT:
            return False
        return self.open_connections < self._max_connections or self._idle.evict_oldest()

    def count_opened(self, endpoint: UpstreamEndpoint) -> None:
        """Count a connection to the endpoint that is about to be opened."""
        endpoint.count_opened()
        self.open_connections += 1

    def count_closed(self, endpoint: UpstreamEndpoint) -> None:
        """Stop counting a connection to the endpoint that has ended or was never established."""
        endpoint.count_closed()
        self.open_connections -= 1
