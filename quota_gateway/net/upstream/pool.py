"""Connection pool: carries exchanges to endpoints on idle or new connections."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Collection

from quota_gateway.model import CallStatus
from quota_gateway.net.common.invariants import Invariant
from quota_gateway.net.common.late_input import LateInput
from quota_gateway.net.common.memory_budget import MemoryBudget
from quota_gateway.net.common.metrics import Metrics
from quota_gateway.net.upstream.connection import UpstreamConnection
from quota_gateway.net.upstream.connector import Connector
from quota_gateway.net.upstream.endpoint import UpstreamEndpoint
from quota_gateway.net.upstream.exchange import Clock, Exchange, describe_attempt
from quota_gateway.net.upstream.exchange_control import ExchangeControl
from quota_gateway.net.upstream.open_connections import OpenConnections
from quota_gateway.net.upstream.send_guard import find_send_violation, report_send_violation

log = logging.getLogger(__name__)

# Upper limit of the timeout in X-Timeout-Ms; a request without a deadline is sent with it.
MAX_PROPAGATED_TIMEOUT_SECONDS = 3600.0
# The checks before a write are repeated if they took longer than this: the process stalled meanwhile.
MAX_CHECK_SECONDS = 0.05
MAX_CHECKS_BEFORE_WRITE = 5  # a request is not sent if the process stalled in this many checks in a row
SCAN_INTERVAL_SECONDS = 1.0  # between two scans for expired idle connections and stalled bodies
SCANS_PER_LOG_LINE = 10


class ConnectionPool:
    """Carries each exchange to its endpoint, on an idle connection or a new one.

    ``exchanges`` ends exchanges and counts how. ``OpenConnections`` owns the endpoints and the connections;
    ``Connector`` owns the tasks that open connections.
    """

    def __init__(
        self,
        clock: Clock,
        connect_timeout: float,
        idle_timeout: float,
        max_connections: int,
        metrics: Metrics | None = None,
        late_input: LateInput | None = None,
        budget: MemoryBudget | None = None,
    ) -> None:
        """Timeouts are in seconds; endpoints close connections that have been idle for ``idle_timeout``.

        ``late_input`` is read before a request is written. Without a budget, memory has no limit.
        """
        metrics = metrics or Metrics()
        self._late_input = late_input or LateInput(asyncio.get_running_loop().time)
        self.exchanges = ExchangeControl(clock, metrics)
        self._clock = clock
        self._invariants = metrics.invariants
        self._connections = OpenConnections(clock, idle_timeout, max_connections, budget or MemoryBudget())
        self._endpoints = self._connections.endpoints
        self._connector = Connector(self, connect_timeout)
        self._scan_count = 0
        self._scan_timer = asyncio.get_running_loop().call_later(SCAN_INTERVAL_SECONDS, self._scan)

    def start(self, exchange: Exchange) -> None:
        """Send a request; ``exchange.on_complete`` is called once, possibly before this returns."""
        now = self._clock()
        exchange.start(now, self.exchanges.expire)
        endpoint = self._endpoints.find_usable(exchange.endpoint)
        if endpoint is None or exchange.expires_at <= now:
            self.exchanges.complete(exchange, CallStatus.NOT_SENT)
            return
        connection = self._connections.idle.take(endpoint, now)
        if connection is not None:
            self._send(connection, exchange)
            return
        if not self._connections.reserve(endpoint):
            self.exchanges.complete(exchange, CallStatus.OVERLOADED)
            return
        self._connector.start(endpoint, exchange)

    def close(self) -> None:
        """Close idle connections; those that carry an exchange stay open until it ends."""
        self._scan_timer.cancel()
        self._connector.close()
        self._connections.idle.close()

    # State that other components read.

    @property
    def open_connections(self) -> int:
        """The number of connections that are open or connecting."""
        return self._connections.limits.open_connections

    @property
    def streaming_connections(self) -> Collection[UpstreamConnection]:
        """The connections with a streamed body in progress."""
        return self._connections.streaming

    def endpoint_names(self) -> frozenset[str]:
        """Return the names of the listed endpoints, and of removed ones with open connections."""
        return self._endpoints.names()

    # Endpoints and settings.

    def update_endpoint(self, name: str, address: str, *, available: bool, started_at: float = 0.0) -> None:
        """Apply an endpoint update; ``address`` is empty if the update has none.

        Idle connections are closed at once if the endpoint is not available or its address changed.
        ``started_at`` is the Unix time of its start, 0 if unknown.
        """
        self._endpoints.update(name, address, available=available, started_at=started_at)

    def retain_only(self, names: set[str]) -> None:
        """Make all endpoints unavailable except those in ``names``, the names in a complete endpoint list."""
        self._endpoints.retain_only(names)

    def log_transitions(self, version: int) -> None:
        """Log the endpoint updates since the last call, with the names of the endpoints."""
        self._endpoints.log_transitions(version)

    def set_suspended_endpoints(self, names: frozenset[str]) -> None:
        """Replace the names of the endpoints that operators have suspended.

        They get no new requests, and their idle connections are closed.
        """
        self._endpoints.set_suspended_endpoints(names)

    def set_max_connections(self, max_connections: int) -> None:
        """Change the limit of open connections; idle connections that exceed it are closed at once."""
        self._connections.limits.set_max_connections(max_connections)

    def set_timeouts(self, connect_timeout: float, idle_timeout: float) -> None:
        """Change the timeouts, in seconds, of connecting and of idle connections."""
        self._connector.set_connect_timeout(connect_timeout)
        self._connections.idle_policy.set_idle_timeout(idle_timeout)

    # Events of the connector.

    def new_connection(self, endpoint: UpstreamEndpoint) -> UpstreamConnection:
        """Create a connection that was reserved for an exchange."""
        return self._connections.create(endpoint, self.exchanges)

    def on_connected(self, connection: UpstreamConnection, exchange: Exchange) -> None:
        """Send the exchange for which the connection was opened."""
        if exchange.completed:
            self._connections.release(connection, reusable=True)  # nothing was written on it
        elif connection.transport is None:  # it ended before the connector was notified
            self.exchanges.complete(exchange, CallStatus.RESET_BEFORE_REQUEST)
        else:
            # Connecting took time: the endpoint may be draining, the exchange may have expired.
            self._send(connection, exchange)

    def on_never_connected(self, endpoint: UpstreamEndpoint) -> None:
        """Stop counting a connection that was not established."""
        self._connections.on_never_connected(endpoint)

    def on_connect_failed(self, exchange: Exchange, status: CallStatus) -> None:
        """End an exchange for which no connection was established."""
        self.exchanges.complete(exchange, status)

    def on_connect_error(self, exchange: Exchange, error: Exception) -> None:
        """End an exchange after an unexpected error, and report it."""
        log.error(
            "unexpected error while connecting or sending to %s; the attempt ends as failed",
            exchange.endpoint,
            exc_info=error,
        )
        self._invariants.report(Invariant.STARTED_COMPLETELY, describe_attempt(0, exchange))
        self.exchanges.fail(exchange)

    # Sending.

    def _send(self, connection: UpstreamConnection, exchange: Exchange) -> None:
        """Write a request unless that violates an invariant or the request must not be sent any more."""
        violated = find_send_violation(connection, exchange)
        if violated is not None:
            self._handle_violation(violated, connection, exchange)
            return
        now = self._check_before_write(connection, exchange)
        if now is None:
            self._connections.release(connection, reusable=True)
            self.exchanges.complete(exchange, CallStatus.NOT_SENT)
            return
        timeout = min(exchange.expires_at - now, exchange.timeout, MAX_PROPAGATED_TIMEOUT_SECONDS)
        timeout_header = b"X-Timeout-Ms: %d\r\n\r\n" % max(1, int(timeout * 1000))
        connection.send(exchange, exchange.request_head + timeout_header + exchange.request_body)

    def _check_before_write(self, connection: UpstreamConnection, exchange: Exchange) -> float | None:
        """Return the time of the write; None if the request must not be sent any more.

        The clock is read last. If it shows that the process stalled during the checks, they are repeated,
        because the client may have disconnected meanwhile.
        """
        for _ in range(MAX_CHECKS_BEFORE_WRITE):
            checked_at = self._clock()
            self._late_input.read_if_due()
            # The poll of the client may withdraw this exchange.
            if not self._connections.is_usable(connection) or exchange.has_lost_client():
                return None
            now = self._clock()
            if exchange.expires_at <= now or now > exchange.not_after:
                return None
            if now - checked_at <= MAX_CHECK_SECONDS:
                return now
        return None

    def _handle_violation(
        self, violated: Invariant, connection: UpstreamConnection, exchange: Exchange
    ) -> None:
        """Report that sending an exchange would violate an invariant; do not send it."""
        report_send_violation(self._invariants, violated, connection, exchange)
        if violated is Invariant.SENT_WHILE_OPEN:
            self._connections.release(connection, reusable=True)
        else:
            self.exchanges.complete(exchange, CallStatus.NOT_SENT)

    # Periodic work.

    def _scan(self) -> None:
        self._scan_timer = asyncio.get_running_loop().call_later(SCAN_INTERVAL_SECONDS, self._scan)
        self._connections.idle.close_expired(self._clock())
        self._connections.abort_stalled()
        self._scan_count += 1
        if self._scan_count % SCANS_PER_LOG_LINE == 0:
            self._connections.stats.log_and_reset(self.open_connections)
            self.exchanges.log_and_reset()
