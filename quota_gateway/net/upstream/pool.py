"""Connection pool: carries exchanges to endpoints on idle or new connections."""

from __future__ import annotations

import asyncio
import logging
import math

from quota_gateway.model import CallStatus
from quota_gateway.net.common.invariants import Invariant
from quota_gateway.net.common.metrics import Metrics
from quota_gateway.net.upstream.connection import UpstreamConnection
from quota_gateway.net.upstream.connection_limits import ConnectionLimits
from quota_gateway.net.upstream.connector import Connector
from quota_gateway.net.upstream.endpoint import UpstreamEndpoint
from quota_gateway.net.upstream.endpoint_table import EndpointTable
from quota_gateway.net.upstream.exchange import Clock, Exchange, describe_attempt
from quota_gateway.net.upstream.idle_connections import IdleConnections
from quota_gateway.net.upstream.idle_policy import STALE_BREAK_WINDOW_SECONDS, IdlePolicy
from quota_gateway.net.upstream.send_guard import find_send_violation, report_send_violation
from quota_gateway.net.upstream.stats import AttemptStats, ConnectionStats

log = logging.getLogger(__name__)

MAX_PROPAGATED_TIMEOUT_SECONDS = 3600.0  # sent to an endpoint where no deadline limits the exchange
SCAN_INTERVAL_SECONDS = 1.0  # between two scans for idle connections and stalled bodies
SCANS_PER_LOG_LINE = 10


class ConnectionPool:
    """Carries exchanges to endpoints, each on one connection, and reports how each of them ended.

    Endpoints are in the ``EndpointTable``, idle connections in ``IdleConnections``; the ``Connector`` opens
    new connections within the ``ConnectionLimits``. The pool receives the events of all connections.
    """

    def __init__(
        self,
        clock: Clock,
        connect_timeout: float,
        idle_timeout: float,
        max_connections: int,
        metrics: Metrics | None = None,
    ) -> None:
        """Timeouts are in seconds; endpoints close connections that are idle for ``idle_timeout``."""
        self.clock = clock
        self.stats = ConnectionStats()
        self.streaming_connections = set[UpstreamConnection]()  # connections with a streamed body in progress
        self._idle_policy = IdlePolicy(idle_timeout)
        self._idle = IdleConnections(self._idle_policy, self.stats)
        self._endpoints = EndpointTable(self._idle)
        self._limits = ConnectionLimits(max_connections, self._idle)
        self._connector = Connector(self, connect_timeout)
        self._attempt_stats = AttemptStats()
        self._metrics = metrics or Metrics()
        self._created_connections = 0
        self._scan_count = 0
        self._scan_timer = asyncio.get_running_loop().call_later(SCAN_INTERVAL_SECONDS, self._scan)

    @property
    def open_connections(self) -> int:
        """The number of connections that are open or being connected."""
        return self._limits.open_connections

    # Endpoints and settings.

    def update_endpoint(self, name: str, address: str, *, available: bool, started_at: float = 0.0) -> None:
        """Apply the listing of an endpoint; ``address`` is empty where the listing has none.

        Idle connections are closed at once if the endpoint is not available or its address changed.
        ``started_at`` is the Unix time of its start, 0 where that is unknown.
        """
        self._endpoints.update(name, address, available=available, started_at=started_at)

    def retain_only(self, names: set[str]) -> None:
        """Make the endpoints unavailable that a complete list, with these names, does not contain."""
        self._endpoints.retain_only(names)

    def endpoint_names(self) -> frozenset[str]:
        """Return the names of the listed endpoints, and of removed ones with open connections."""
        return self._endpoints.names()

    def log_transitions(self) -> None:
        """Log the changes of endpoints since the last call, by name."""
        self._endpoints.log_transitions()

    def exclude(self, names: frozenset[str]) -> None:
        """Send no new requests to these endpoints, suspended by operators; close their idle connections."""
        self._endpoints.exclude(names)

    def set_max_connections(self, max_connections: int) -> None:
        """Set another limit; idle connections that exceed it are closed at once."""
        self._limits.set_max_connections(max_connections)

    def set_timeouts(self, connect_timeout: float, idle_timeout: float) -> None:
        """Set other timeouts, in seconds, for connecting and for idle connections."""
        self._connector.set_connect_timeout(connect_timeout)
        self._idle_policy.set_idle_timeout(idle_timeout)

    def close(self) -> None:
        """Close idle connections; those that carry an exchange stay open until it ends."""
        self._scan_timer.cancel()
        self._connector.close()
        self._idle.close()

    # Exchanges.

    def start(self, exchange: Exchange) -> None:
        """Send a request; ``exchange.on_complete`` is called once, possibly before this returns."""
        now = self.clock()
        exchange.start(now)
        endpoint = self._endpoints.find_usable(exchange.endpoint)
        remaining = exchange.expires_at - now
        if endpoint is None or remaining <= 0:
            return self.complete(exchange, CallStatus.NOT_SENT)
        if remaining < math.inf:
            self._start_expiry_timer(exchange, remaining)
        connection = self._idle.take(endpoint, now)
        if connection is not None:
            self.stats.record_reused()
            return self._send(connection, exchange)
        if not self._limits.make_room(endpoint):
            return self.complete(exchange, CallStatus.OVERLOADED)
        self._limits.count_opened(endpoint)
        self.stats.record_opened()
        self._connector.start(endpoint, exchange)

    def set_expiry(self, exchange: Exchange, at: float) -> None:
        """Set the time at which an exchange whose upload is complete times out."""
        if not exchange.completed:
            exchange.expires_at = at
            self._start_expiry_timer(exchange, max(0.0, at - self.clock()))

    def withdraw_unsent(self, exchange: Exchange) -> None:
        """End an exchange that no connection carries yet."""
        if exchange.connection is None:
            self._abandon(exchange, CallStatus.NOT_SENT)

    def cancel(self, exchange: Exchange) -> None:
        """Cancel an exchange; its connection is closed, so that no late response answers another request."""
        self._abandon(exchange, CallStatus.CANCELLED)

    def fail(self, exchange: Exchange) -> None:
        """End an exchange after an unexpected error.

        The request may have been executed if a connection carries the exchange.
        """
        is_sent = exchange.connection is not None
        self._abandon(exchange, CallStatus.CANCELLED if is_sent else CallStatus.NOT_SENT)

    def complete(self, exchange: Exchange, status: CallStatus) -> None:
        """End an exchange with ``status``; do nothing if it has ended already."""
        if exchange.completed:
            return
        self._attempt_stats.record(status)
        exchange.complete(status, self.clock())

    def _start_expiry_timer(self, exchange: Exchange, delay: float) -> None:
        loop = asyncio.get_running_loop()
        exchange.set_expiry_timer(loop.call_later(delay, self._on_expired, exchange))

    def _on_expired(self, exchange: Exchange) -> None:
        self._abandon(exchange, CallStatus.TIMEOUT if exchange.may_be_executing() else CallStatus.NOT_SENT)

    def _abandon(self, exchange: Exchange, status: CallStatus) -> None:
        if exchange.completed:
            return
        if exchange.connection is not None:
            exchange.connection.abandon_exchange()
        self.complete(exchange, status)

    def _send(self, connection: UpstreamConnection, exchange: Exchange) -> None:
        # Connecting may have taken time: the endpoint may be draining, the exchange may have expired.
        now = self.clock()
        remaining = exchange.expires_at - now
        violated = find_send_violation(connection, exchange)
        if violated is not None:
            return self._refuse(violated, connection, exchange)
        is_late = remaining <= 0 or now > exchange.not_after
        # The client is polled last, because that may withdraw this exchange.
        if is_late or not self._is_usable(connection) or exchange.has_lost_client():
            self.release(connection, reusable=True)
            return self.complete(exchange, CallStatus.NOT_SENT)
        timeout = min(remaining, exchange.timeout, MAX_PROPAGATED_TIMEOUT_SECONDS)
        timeout_header = b"X-Timeout-Ms: %d\r\n\r\n" % max(1, int(timeout * 1000))
        connection.send(exchange, exchange.request_head + timeout_header + exchange.request_body)

    def _is_usable(self, connection: UpstreamConnection) -> bool:
        endpoint = connection.endpoint
        return connection.address == endpoint.address and self._endpoints.is_usable(endpoint)

    def _refuse(self, violated: Invariant, connection: UpstreamConnection, exchange: Exchange) -> None:
        """Do not send an exchange that would break an invariant."""
        report_send_violation(self._metrics.invariants, violated, connection, exchange)
        if violated is Invariant.SENT_WHILE_OPEN:
            self.release(connection, reusable=True)
        else:
            self.complete(exchange, CallStatus.NOT_SENT)

    # Events of the connector.

    def new_connection(self, endpoint: UpstreamEndpoint) -> UpstreamConnection:
        """Create the next connection, to the present address of an endpoint."""
        self._created_connections += 1
        return UpstreamConnection(self, endpoint, self._created_connections)

    def on_connected(self, connection: UpstreamConnection, exchange: Exchange) -> None:
        """Send the exchange for which the connection was opened."""
        if exchange.completed:
            self.release(connection, reusable=True)  # nothing was written on it
        elif connection.transport is None:  # it ended before the connector was notified
            self.complete(exchange, CallStatus.RESET_BEFORE_REQUEST)
        else:
            self._send(connection, exchange)

    def on_never_connected(self, endpoint: UpstreamEndpoint) -> None:
        """Stop counting a connection that was not established."""
        self._count_closed(endpoint)

    def on_connect_error(self, exchange: Exchange, error: Exception) -> None:
        """End an exchange after an unexpected error, and report it."""
        log.error("a connection to %s could not be opened", exchange.endpoint, exc_info=error)
        self._metrics.invariants.report(Invariant.STARTED_COMPLETELY, describe_attempt(0, exchange))
        self.fail(exchange)

    # Events of connections.

    def release(self, connection: UpstreamConnection, *, reusable: bool) -> None:
        """Hold a connection that carries no exchange for reuse, or close it."""
        if not connection.is_open():
            return
        if reusable and self._is_usable(connection):
            self._idle.add(connection, self.clock())
        else:
            connection.close()

    def record_request_written(self, exchange: Exchange) -> None:
        """Count an attempt whose request is written completely."""
        self._metrics.upstream_attempts += not exchange.is_health_check

    def record_stale_connection(self, connection: UpstreamConnection) -> None:
        """Shorten the trusted idle time if a reused connection broke as soon as it was written to."""
        now = self.clock()
        if now - connection.reused_at > STALE_BREAK_WINDOW_SECONDS:
            return
        self.stats.record_closed_while_idle()
        self._idle_policy.record_stale(now, connection.idle_time(connection.reused_at))

    def on_streaming_started(self, connection: UpstreamConnection) -> None:
        """Watch a streamed body for stalls."""
        self.streaming_connections.add(connection)

    def on_streaming_ended(self, connection: UpstreamConnection) -> None:
        """Stop watching a streamed body that is complete."""
        self.streaming_connections.discard(connection)

    def on_connection_lost(self, connection: UpstreamConnection) -> None:
        """Remove a connection that has ended."""
        self.streaming_connections.discard(connection)
        self._idle.discard(connection)
        self._count_closed(connection.endpoint)

    def _count_closed(self, endpoint: UpstreamEndpoint) -> None:
        self._limits.count_closed(endpoint)
        self._endpoints.remove_if_unused(endpoint)

    # Periodic work.

    def _scan(self) -> None:
        self._scan_timer = asyncio.get_running_loop().call_later(SCAN_INTERVAL_SECONDS, self._scan)
        self._idle.close_expired(self.clock())
        self._abort_stalled_streams()
        self._scan_count += 1
        if self._scan_count % SCANS_PER_LOG_LINE == 0:
            self.stats.log_and_reset(self._limits.open_connections)
            self._attempt_stats.log_and_reset()

    def _abort_stalled_streams(self) -> None:
        for connection in [each for each in self.streaming_connections if each.is_stalled(self.clock())]:
            log.warning("body stream to or from %s stalled", connection.endpoint.name)
            connection.abort()
