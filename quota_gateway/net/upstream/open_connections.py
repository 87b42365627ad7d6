"""The connections that are open or being connected: their creation, reuse and end."""

from __future__ import annotations

import logging

from quota_gateway.net.upstream.connection import UpstreamConnection
from quota_gateway.net.upstream.connection_limits import ConnectionLimits
from quota_gateway.net.upstream.endpoint import UpstreamEndpoint
from quota_gateway.net.upstream.endpoint_table import EndpointTable
from quota_gateway.net.upstream.exchange import Clock, ExchangeEvents
from quota_gateway.net.upstream.idle_connections import IdleConnections
from quota_gateway.net.upstream.idle_policy import STALE_BREAK_WINDOW_SECONDS, IdlePolicy
from quota_gateway.net.upstream.stats import ConnectionStats

log = logging.getLogger(__name__)


class OpenConnections:
    """Creates connections, holds those without an exchange for reuse and receives the events of all.

    Each connection is counted in ``limits`` from ``create`` until ``on_connection_lost`` or
    ``on_never_connected``.
    """

    def __init__(self, clock: Clock, idle_timeout: float, max_connections: int) -> None:
        """Endpoints close connections that are idle for ``idle_timeout`` seconds."""
        self.clock = clock
        self.stats = ConnectionStats()
        self.idle_policy = IdlePolicy(idle_timeout)
        self.idle = IdleConnections(self.idle_policy, self.stats)
        self.limits = ConnectionLimits(max_connections, self.idle)
        self.endpoints = EndpointTable(self.idle)
        self.streaming = set[UpstreamConnection]()  # connections with a streamed body in progress
        self._created = 0

    def reserve(self, endpoint: UpstreamEndpoint) -> bool:
        """Count a connection that is to be opened; return False if the limits allow no more."""
        if not self.limits.allows_another(endpoint):
            return False
        self.limits.count_opened(endpoint)
        self.stats.record_opened()
        return True

    def create(self, endpoint: UpstreamEndpoint, exchanges: ExchangeEvents) -> UpstreamConnection:
        """Create the connection that was reserved, to the present address of the endpoint."""
        self._created += 1
        return UpstreamConnection(self, exchanges, endpoint, self._created)

    def is_usable(self, connection: UpstreamConnection) -> bool:
        """Whether the connection leads to the address of an endpoint that may receive new requests."""
        endpoint = connection.endpoint
        return connection.address == endpoint.address and self.endpoints.is_usable(endpoint)

    def abort_stalled(self) -> None:
        """Abort the connections whose streamed body makes no progress."""
        for connection in [each for each in self.streaming if each.is_stalled(self.clock())]:
            log.warning("body stream to or from %s stalled", connection.endpoint.name)
            connection.abort()

    # Events.

    def release(self, connection: UpstreamConnection, *, reusable: bool) -> None:
        """Hold a connection that carries no exchange for reuse, or close it."""
        transport = connection.transport
        if transport is None or transport.is_closing():
            return
        if reusable and self.is_usable(connection):
            self.idle.add(connection, self.clock())
        else:
            transport.close()

    def record_stale_connection(self, connection: UpstreamConnection) -> None:
        """Shorten the trusted idle time if a reused connection broke as soon as it was written to."""
        now = self.clock()
        if now - connection.reused_at > STALE_BREAK_WINDOW_SECONDS:
            return
        self.stats.record_closed_while_idle()
        self.idle_policy.record_stale(now, connection.idle_time(connection.reused_at))

    def on_streaming_started(self, connection: UpstreamConnection) -> None:
        """Watch a streamed body for stalls."""
        self.streaming.add(connection)

    def on_streaming_ended(self, connection: UpstreamConnection) -> None:
        """Stop watching a streamed body that is complete."""
        self.streaming.discard(connection)

    def on_connection_lost(self, connection: UpstreamConnection) -> None:
        """Remove a connection that has ended."""
        self.streaming.discard(connection)
        self.idle.discard(connection)
        self.on_never_connected(connection.endpoint)

    def on_never_connected(self, endpoint: UpstreamEndpoint) -> None:
        """Stop counting a connection to the endpoint."""
        self.limits.count_closed(endpoint)
        self.endpoints.remove_if_unused(endpoint)
