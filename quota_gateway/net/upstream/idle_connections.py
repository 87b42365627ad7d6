"""Idle connections by endpoint, which requests may reuse."""

from __future__ import annotations

import math

from quota_gateway.net.common.socket_calls import has_unread_input
from quota_gateway.net.upstream.connection import UpstreamConnection
from quota_gateway.net.upstream.endpoint import UpstreamEndpoint
from quota_gateway.net.upstream.idle_policy import IdlePolicy
from quota_gateway.net.upstream.stats import ConnectionStats

# A connection is not reused before it has been idle for this long. Bytes that an endpoint sends after a
# response (a duplicate, noise) then arrive while no request is waiting, and close the connection. Without the
# delay they could be parsed as the response to the next request.
SETTLE_DELAY_SECONDS = 0.03


class IdleConnections:
    """The connections that carry no exchange and may be reused.

    A connection is held from ``add`` until ``take`` returns it, ``discard`` removes it or it is closed here.
    The connections of an endpoint are in the order in which they became idle.
    """

    __slots__ = ("_by_endpoint", "_policy", "_stats")

    def __init__(self, policy: IdlePolicy, stats: ConnectionStats) -> None:
        """Begin with no connections.

        ``policy`` limits their idle time; ``stats`` counts the reused connections and the expired ones.
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
        """Remove and return the most recently used connection whose settle delay is over, if there is one.

        The endpoint is least likely to be closing the most recently used connection. Connections that were
        idle for too long or have unread input are closed during the search.
        """
        connections = self._by_endpoint.get(endpoint)
        if not connections:
            return None
        idle_limit = self._policy.idle_limit(now)
        for index in range(len(connections) - 1, -1, -1):
            connection = connections[index]
            idle_time = now - (connection.idle_since or 0.0)
            if idle_time < SETTLE_DELAY_SECONDS:
                continue
            del connections[index]
            transport = connection.transport
            if transport is None or transport.is_closing():
                continue
            # After a stall of this process, bytes that arrived during the settle delay may still be unread.
            if idle_time < idle_limit and not has_unread_input(transport):
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
        """Close the connections that have been idle for the policy's ``max_idle`` or longer."""
        cutoff = now - self._policy.max_idle
        for endpoint, connections in list(self._by_endpoint.items()):
            _close_idle_since(connections, cutoff)
            if not connections:
                del self._by_endpoint[endpoint]

    def close_connections_to(self, endpoint: UpstreamEndpoint) -> None:
        """Close all idle connections to an endpoint."""
        _close_idle_since(self._by_endpoint.get(endpoint, []), math.inf)

    def close(self) -> None:
        """Close all idle connections."""
        for connections in self._by_endpoint.values():
            _close_idle_since(connections, math.inf)


def _close_idle_since(connections: list[UpstreamConnection], cutoff: float) -> None:
    """Remove and close the connections that became idle at ``cutoff`` or before."""
    while connections and (connections[0].idle_since or 0.0) <= cutoff:
        connections.pop(0).close()
