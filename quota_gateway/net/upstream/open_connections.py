"""The connections that are open or connecting: their creation, reuse and end."""

from __future__ import annotations

import logging

from quota_gateway.net.common.garbage import ClosedConnections
from quota_gateway.net.common.iteration_budget import IterationBudget
from quota_gateway.net.common.memory_budget import MemoryBudget, ReadBuffer
from quota_gateway.net.upstream.connection import UpstreamConnection
from quota_gateway.net.upstream.connection_limits import ConnectionLimits
from quota_gateway.net.upstream.endpoint import UpstreamEndpoint
from quota_gateway.net.upstream.endpoint_table import EndpointTable
from quota_gateway.net.upstream.exchange import Clock, ExchangeEvents
from quota_gateway.net.upstream.idle_connections import IdleConnections
from quota_gateway.net.upstream.idle_policy import STALE_BREAK_WINDOW_SECONDS, IdlePolicy
from quota_gateway.net.upstream.stats import ConnectionStats

# Of handling responses, in one iteration of the event loop; beyond it each connection is read once only.
MAX_READ_SECONDS = 0.005

log = logging.getLogger(__name__)


class OpenConnections:
    """Creates connections, holds idle ones for reuse, and receives the events of all of them.

    ``limits`` counts each connection from ``reserve`` until ``on_connection_lost`` or ``on_never_connected``.
    """

    def __init__(self, clock: Clock, idle_timeout: float, max_connections: int, budget: MemoryBudget) -> None:
        """``idle_timeout``: seconds after which endpoints close idle connections."""
        self.clock = clock
        self.budget = budget
        self.read_buffer = ReadBuffer(budget)
        self.read_time = IterationBudget(MAX_READ_SECONDS)
        self.stats = ConnectionStats()
        self.idle_policy = IdlePolicy(idle_timeout)
        self.idle = IdleConnections(self.idle_policy, self.stats)
        self.limits = ConnectionLimits(max_connections, self.idle)
        self.endpoints = EndpointTable(self.idle)
        self.streaming = set[UpstreamConnection]()  # connections with a streamed body in progress
        self._closed = ClosedConnections()
        self._created_count = 0  # also the number of the last connection in the log

    def reserve(self, endpoint: UpstreamEndpoint) -> bool:
        """Count a connection that is about to be opened; return False if the limits do not allow it."""
        if not self.limits.make_room(endpoint):
            return False
        self.limits.count_opened(endpoint)
        self.stats.record_opened()
        return True

    def create(self, endpoint: UpstreamEndpoint, exchanges: ExchangeEvents) -> UpstreamConnection:
        """Create a connection that was reserved, to the endpoint's current address."""
        self._created_count += 1
        return UpstreamConnection(self, exchanges, endpoint, self._created_count)

    def is_usable(self, connection: UpstreamConnection) -> bool:
        """Whether the endpoint may receive new requests, and the connection is to its current address."""
        endpoint = connection.endpoint
        return connection.address == endpoint.address and self.endpoints.is_usable(endpoint)

    def abort_stalled(self) -> None:
        """Abort the connections whose streamed body makes no progress."""
        for connection in [candidate for candidate in self.streaming if candidate.is_stalled(self.clock())]:
            log.warning("body stream to or from %s stalled", connection.endpoint.name)
            connection.abort()

    # Events of connections.

    def release(self, connection: UpstreamConnection, *, reusable: bool) -> None:
        """Hold a connection for reuse that no longer carries an exchange, or close it."""
        transport = connection.transport
        if transport is None or transport.is_closing():
            return
        if reusable and self.is_usable(connection):
            self.idle.add(connection, self.clock())
        else:
            transport.close()

    def record_stale_connection(self, connection: UpstreamConnection) -> None:
        """Reduce the idle limit if a reused connection broke as soon as it was written to."""
        now = self.clock()
        if now - connection.reused_at > STALE_BREAK_WINDOW_SECONDS:
            return
        self.stats.record_closed_while_idle()
        self.idle_policy.record_stale(now, connection.idle_time(connection.reused_at))

    def on_streaming_started(self, connection: UpstreamConnection) -> None:
        """Check the streamed body of a connection for stalls from now on."""
        self.streaming.add(connection)

    def on_streaming_ended(self, connection: UpstreamConnection) -> None:
        """Stop the stall checks of a connection whose streamed body is complete."""
        self.streaming.discard(connection)

    def on_connection_lost(self, connection: UpstreamConnection) -> None:
        """Stop tracking a connection that has ended."""
        self.streaming.discard(connection)
        self.idle.discard(connection)
        self._closed.record()
        self.on_never_connected(connection.endpoint)

    def on_never_connected(self, endpoint: UpstreamEndpoint) -> None:
        """Stop counting a connection to the endpoint; remove the endpoint if it is no longer used."""
        self.limits.count_closed(endpoint)
        self.endpoints.remove_if_unused(endpoint)
