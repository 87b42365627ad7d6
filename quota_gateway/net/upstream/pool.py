"""The endpoints by name and the connections to them."""

from __future__ import annotations

import asyncio
import errno
import logging
import math
from collections import Counter

from quota_gateway.model import CallStatus
from quota_gateway.net.common.invariants import Invariant
from quota_gateway.net.common.metrics import Metrics
from quota_gateway.net.upstream.connection import UpstreamConnection
from quota_gateway.net.upstream.endpoint import UpstreamEndpoint
from quota_gateway.net.upstream.endpoint_table import EndpointTable
from quota_gateway.net.upstream.exchange import Exchange, describe_attempt
from quota_gateway.net.upstream.idle_policy import STALE_BREAK_WINDOW, IdlePolicy
from quota_gateway.net.upstream.stats import ConnectionStats
from quota_gateway.net.upstream.writer import Clock, UpstreamWriter

log = logging.getLogger(__name__)

MAX_CONNECTIONS_PER_ENDPOINT = 64
MAX_TOLD_TIMEOUT = 3600.0  # seconds that an endpoint is told it has, where nothing limits them
SCAN_INTERVAL = 1.0  # seconds between two scans for idle connections and stalled bodies
SCANS_PER_LOG_LINE = 10
# Connecting that fails so has failed here, for want of a descriptor, memory or a port: no endpoint was asked.
LOCAL_RESOURCE_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)


class ConnectionPool:
    """Carries exchanges to endpoints: reuses idle connections, connects, limits how many are open."""

    def __init__(
        self,
        clock: Clock,
        connect_timeout: float,
        idle_timeout: float,
        max_connections: int,
        metrics: Metrics | None = None,
    ) -> None:
        """Time-outs are seconds; after ``idle_timeout`` endpoints close idle connections."""
        self.clock = clock
        self.streaming_connections = set[UpstreamWriter]()  # connections with a streamed body in progress
        self._connect_timeout = connect_timeout
        self._idle_policy = IdlePolicy(idle_timeout)
        self._max_connections = max_connections
        self._endpoints = EndpointTable()
        self.stats = ConnectionStats()
        self._attempt_endings = Counter[CallStatus]()  # since the last log line
        self._metrics = metrics or Metrics()
        self._scan_count = 0
        self._connection_count = 0  # ever opened
        self._connecting = set[asyncio.Task[None]]()
        self._scan_timer = asyncio.get_running_loop().call_later(SCAN_INTERVAL, self._scan)

    def update_endpoint(self, name: str, address: str, available: bool, started_at: float = 0.0) -> None:
        """Take what discovery says of an endpoint; ``address`` is empty where it names none.

        Idle connections are closed at once if it is not available or has moved. ``started_at`` is its Unix
        time of start, where that is known.
        """
        self._endpoints.update(name, address, available, started_at)

    def retain_only(self, names: set[str]) -> None:
        """Take a complete list: endpoints that it leaves out are gone."""
        self._endpoints.retain_only(names)

    def log_transitions(self) -> None:
        """Log what the last updates have changed, by name."""
        self._endpoints.log_transitions()

    def exclude(self, names: frozenset[str]) -> None:
        """Send nothing new to these endpoints, suspended by operators, and close their idle connections."""
        self._endpoints.exclude(names)

    def set_max_connections(self, max_connections: int) -> None:
        """Set another limit; idle connections beyond it are closed at once."""
        self._max_connections = max_connections
        while self._endpoints.open_connections > self._max_connections and self._endpoints.evict_idle():
            pass

    def set_timeouts(self, connect_timeout: float, idle_timeout: float) -> None:
        """Set other time-outs, in seconds, for connecting and for idle connections."""
        self._connect_timeout = connect_timeout
        self._idle_policy.set_idle_timeout(idle_timeout)

    def start(self, exchange: Exchange) -> None:
        """Send a request; ``exchange.on_complete`` is called once, maybe before this returns."""
        exchange.started_at = self.clock()
        endpoint = self._endpoints.find_usable(exchange.endpoint)
        remaining = exchange.expires_at - exchange.started_at
        if endpoint is None or remaining <= 0:
            return self.complete(exchange, CallStatus.NOT_SENT)
        loop = asyncio.get_running_loop()
        if remaining < math.inf:
            exchange.timer = loop.call_later(remaining, self._on_expired, exchange)
        now = self.clock()
        connection = endpoint.take_idle(now, self._idle_policy.trusted_idle(now), self.stats)
        if connection is not None:
            self.stats.reused += 1
            return self._send(connection, exchange)
        if endpoint.open_connections >= MAX_CONNECTIONS_PER_ENDPOINT or not self._has_capacity():
            return self.complete(exchange, CallStatus.OVERLOADED)
        self._endpoints.count_opened(endpoint)
        self.stats.opened += 1
        task = loop.create_task(self._connect(endpoint, exchange))
        self._connecting.add(task)
        task.add_done_callback(self._connecting.discard)

    def set_expiry(self, exchange: Exchange, at: float) -> None:
        """Set when to give up an exchange whose upload is complete."""
        if not exchange.completed:
            exchange.expires_at = at
            remaining = max(0.0, at - self.clock())
            exchange.timer = asyncio.get_running_loop().call_later(remaining, self._on_expired, exchange)

    def withdraw_unsent(self, exchange: Exchange) -> None:
        """Do not send what is not on a connection yet."""
        if exchange.connection is None:
            self._give_up(exchange, CallStatus.NOT_SENT)

    def cancel(self, exchange: Exchange) -> None:
        """Stop waiting; the connection is closed, so that no late response meets another request."""
        self._give_up(exchange, CallStatus.CANCELLED)

    def fail(self, exchange: Exchange) -> None:
        """End an exchange after an unexpected error; once a connection carries it, it may be executed."""
        is_sent = exchange.connection is not None
        self._give_up(exchange, CallStatus.CANCELLED if is_sent else CallStatus.NOT_SENT)

    def complete(self, exchange: Exchange, status: CallStatus) -> None:
        """Report how an exchange ended; further calls do nothing."""
        if exchange.completed:
            return
        exchange.completed = True
        exchange.status = status
        self._attempt_endings[status] += 1
        exchange.elapsed = self.clock() - exchange.started_at
        if exchange.timer is not None:
            exchange.timer.cancel()
        if exchange.upload is not None:
            exchange.upload.detach()
        exchange.on_complete(exchange)

    def _has_capacity(self) -> bool:
        return self._endpoints.open_connections < self._max_connections or self._endpoints.evict_idle()

    async def _connect(self, endpoint: UpstreamEndpoint, exchange: Exchange) -> None:
        """Open a connection for an exchange; whatever goes wrong, the exchange ends."""
        try:
            await self._open_and_send(endpoint, exchange)
        except Exception:
            log.exception("a connection to %s could not be opened", endpoint.name)
            self._metrics.invariants.report(Invariant.STARTED_COMPLETELY, describe_attempt(0, exchange))
            self.fail(exchange)

    async def _open_and_send(self, endpoint: UpstreamEndpoint, exchange: Exchange) -> None:
        self._connection_count += 1
        connection = UpstreamConnection(self, endpoint, self._connection_count)
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self._connect_timeout):
                await loop.create_connection(lambda: connection, *endpoint.address)
        except OSError as error:  # TimeoutError is one
            connection.abort()
            if connection.transport is None:  # no connection_lost will count it off
                self._endpoints.count_closed(endpoint)
            return self.complete(exchange, _connect_failure(error))
        except Exception:
            self._endpoints.count_closed(endpoint)
            raise
        if exchange.completed:
            self.release(connection, True)  # nothing was written on it
        elif connection.transport is None:  # it was connected and broke before this task ran again
            self.complete(exchange, CallStatus.RESET_BEFORE_REQUEST)
        else:
            self._send(connection, exchange)

    def _send(self, connection: UpstreamConnection, exchange: Exchange) -> None:
        # Time has passed if this waited to connect: the endpoint may be draining, the exchange expired.
        now = self.clock()
        remaining = exchange.expires_at - now
        endpoint = connection.endpoint
        usable = connection.address == endpoint.address and self._endpoints.is_usable(endpoint)
        if self._breaks_invariant(connection, exchange):
            return
        # The client is asked last: that polls its socket, and may withdraw this very exchange.
        is_late = remaining <= 0 or now > exchange.not_after
        if is_late or not usable or exchange.has_lost_client():
            self.release(connection, True)
            return self.complete(exchange, CallStatus.NOT_SENT)
        timeout_ms = max(1, int(min(remaining, exchange.timeout, MAX_TOLD_TIMEOUT) * 1000))
        timeout_header = b"X-Timeout-Ms: %d\r\n\r\n" % timeout_ms
        connection.send(exchange, exchange.request_head + timeout_header + exchange.request_body)

    def _breaks_invariant(self, connection: UpstreamConnection, exchange: Exchange) -> bool:
        """Guard of all that is written to endpoints; what breaks an invariant is not."""
        if exchange.completed or exchange.connection is not None:
            self._report(Invariant.SENT_WHILE_OPEN, connection, exchange)
            self.release(connection, True)
            return True
        if connection.exchange is not None:
            self._report(Invariant.ONE_REQUEST_A_CONNECTION, connection, exchange)
            self.complete(exchange, CallStatus.NOT_SENT)
            return True
        return False

    def _report(self, invariant: Invariant, connection: UpstreamConnection, exchange: Exchange) -> None:
        story = f"{describe_attempt(0, exchange)}, to be sent on connection {connection.number}"
        self._metrics.invariants.report(invariant, story)

    def _on_expired(self, exchange: Exchange) -> None:
        self._give_up(exchange, CallStatus.TIMEOUT if exchange.may_be_executing() else CallStatus.NOT_SENT)

    def _give_up(self, exchange: Exchange, status: CallStatus) -> None:
        if exchange.completed:
            return
        connection = exchange.connection
        if connection is not None:
            connection.exchange = exchange.connection = None
            connection.abort()
        self.complete(exchange, status)

    def release(self, connection: UpstreamConnection, reusable: bool) -> None:
        """Keep a connection that carries nothing any more for reuse, or close it."""
        endpoint = connection.endpoint
        transport = connection.transport
        if transport is None or transport.is_closing():
            return
        if reusable and self._endpoints.is_usable(endpoint) and connection.address == endpoint.address:
            connection.idle_since = self.clock()
            endpoint.idle.append(connection)
        else:
            transport.close()

    def record_request_written(self, exchange: Exchange) -> None:
        """Count an attempt whose request is written completely."""
        self._metrics.upstream_attempts += not exchange.is_health_check

    def record_stale_connection(self, connection: UpstreamConnection) -> None:
        """Trust idle connections less if this one, reused, broke as soon as it was written to."""
        now = self.clock()
        reused_at = (connection.idle_since or 0.0) + connection.idle_time
        if now - reused_at > STALE_BREAK_WINDOW:
            return
        self.stats.closed_while_idle += 1
        self._idle_policy.record_stale(now, connection.idle_time)

    def on_connection_lost(self, connection: UpstreamConnection) -> None:
        """Forget a connection that has ended."""
        self.streaming_connections.discard(connection)
        if connection in connection.endpoint.idle:
            connection.endpoint.idle.remove(connection)
        self._endpoints.count_closed(connection.endpoint)

    def close(self) -> None:
        """Close what is idle; what carries an exchange goes on."""
        self._scan_timer.cancel()
        for task in self._connecting:
            task.cancel()
        self._endpoints.close_idle()

    def _scan(self) -> None:
        self._scan_timer = asyncio.get_running_loop().call_later(SCAN_INTERVAL, self._scan)
        self._endpoints.close_idle(self.clock() - self._idle_policy.max_idle)
        for connection in [each for each in self.streaming_connections if each.is_stalled(self.clock())]:
            log.warning("body stream to or from %s stalled", connection.endpoint.name)
            connection.abort()
        self._scan_count += 1
        if self._scan_count % SCANS_PER_LOG_LINE == 0:
            self.stats.log_counts(self._endpoints.open_connections)
            self.stats = ConnectionStats()
            self._log_attempt_endings()

    def _log_attempt_endings(self) -> None:
        if self._attempt_endings:
            counts = [f"{status.value} {count}" for status, count in self._attempt_endings.items()]
            log.info("attempts and health checks: %s", ", ".join(sorted(counts)))
        self._attempt_endings.clear()


def _connect_failure(error: OSError) -> CallStatus:
    if error.errno in LOCAL_RESOURCE_ERRORS:
        return CallStatus.NOT_SENT
    # Only who has accepted a connection can reset it; a port where nobody listens refuses it.
    if isinstance(error, ConnectionResetError):
        return CallStatus.RESET_BEFORE_REQUEST
    return CallStatus.UNREACHABLE
