"""Idle connections to endpoints, by endpoint: which of them a request may reuse."""

from __future__ import annotations

import math

from quota_gateway.net.common.socket_calls import has_unread_input
from quota_gateway.net.upstream.connection import UpstreamConnection
from quota_gateway.net.upstream.endpoint import UpstreamEndpoint
from quota_gateway.net.upstream.idle_policy import IdlePolicy
from quota_gateway.net.upstream.stats import ConnectionStats

# A connection stays idle for this long before its next request. Bytes that an endpoint sends after a response
# (a duplicate, noise) then arrive while no request is waiting, and close the connection. Without the delay
# they could be parsed as the response to the next request.
SETTLE_DELAY_SECONDS = 0.03


class IdleConnections:
    """The connections that carry no exchange and may be reused.

    A connection belongs here from ``add`` until ``take`` returns it, it is closed here, or ``discard``.
    The connections of an endpoint are in the order in which they became idle.
    """

    __slots__ = ("_by_endpoint", "_policy", "_stats")

    def __init__(self, policy: IdlePolicy, stats: ConnectionStats) -> None:
        """Begin without connections.

        ``policy`` limits their idle time; ``stats`` counts those that are reused and those that expired.
        """
        self._by_endpoint = dict[UpstreamEndpoint, list[UpstreamConnection]]()
        self._policy = policy
        self._stats = stats

    def add(self, connection: UpstreamConnection, now: float) -> None:
        """Hold a connection that has become idle at ``now``."""
        connection.mark_idle(now)
        connections = self._by_endpoint.get(connection.endpoint)
        if connections is None:
            self._by_endpoint[connection.endpoint] = [connection]
        else:
            connections.append(connection)

    def take(self, endpoint: UpstreamEndpoint, now: float) -> UpstreamConnection | None:
        """Remove and return the most recently used connection that has settled; None if there is none.

        The most recently used connection is the least likely to be closing. Connections that were idle for
        too long or have unread input are closed during the search.
        """
        connections = self._by_endpoint.get(endpoint)
        if not connections:
            return None
        max_idle = self._policy.trusted_idle(now)
        for index in range(len(connections) - 1, -1, -1):
            connection = connections[index]
            idle_time = now - (connection.idle_since or 0.0)
            if idle_time < SETTLE_DELAY_SECONDS:
                continue
            del connections[index]
            transport = connection.transport
            if transport is None or transport.is_closing():
                continue
            # After a stall of this process the delay may be over with bytes that arrived in it still unread.
            if idle_time < max_idle and not has_unread_input(transport):
                connection.mark_reused(now)
                self._stats.record_reused()
                return connection
            self._stats.record_idle_too_long()
            transport.close()
        return None

    def discard(self, connection: UpstreamConnection) -> None:
        """Remove a connection that has ended, if it is idle."""
        connections = self._by_endpoint.get(connection.endpoint, ())
        if connection in connections:
            self._by_endpoint[connection.endpoint].remove(connection)

    def evict_oldest(self) -> bool:
        """Abort the connection that has been idle for the longest time; return False if there is none."""
        oldest = min(
            (connections[0] for connections in self._by_endpoint.values() if connections),
            key=lambda connection: connection.idle_since or 0.0,
            default=None,
        )
        if oldest is None:
            return False
        self._by_endpoint[oldest.endpoint].remove(oldest)
        oldest.abort()
        return True

    def close_expired(self, now: float) -> None:
        """Close the connections whose idle time has reached the longest one that is ever trusted."""
        until = now - self._policy.max_idle
        for endpoint, connections in list(self._by_endpoint.items()):
            _close_until(connections, until)
            if not connections:
                del self._by_endpoint[endpoint]

    def close_all(self, endpoint: UpstreamEndpoint) -> None:
        """Close all idle connections to an endpoint."""
        _close_until(self._by_endpoint.get(endpoint, []), math.inf)

    def close(self) -> None:
        """Close all idle connections."""
        for connections in self._by_endpoint.values():
            _close_until(connections, math.inf)


def _close_until(connections: list[UpstreamConnection], until: float) -> None:
    """Remove and close the connections that have been idle since ``until`` or before."""
    while connections and (connections[0].idle_since or 0.0) <= until:
        connections.pop(0).close()
