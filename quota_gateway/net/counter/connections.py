"""The connections to the shared counter: an active one, a standby and those that drain."""

from __future__ import annotations

import asyncio
import logging
from random import Random
from typing import Protocol

from quota_gateway.net.counter.call import CounterCall
from quota_gateway.net.counter.connection import Address, CallEvents, CounterConnection
from quota_gateway.net.counter.connector import CounterConnector
from quota_gateway.net.counter.line_protocol import PING_REQUEST
from quota_gateway.net.counter.stats import CounterStats

log = logging.getLogger(__name__)

PING_INTERVAL_SECONDS = 2.0  # without a request; the counter closes idle connections


class CallQueue(CallEvents, Protocol):
    """The calls that wait for the active connection, and the results of calls: the client."""

    def enqueue(self, call: CounterCall) -> None:
        """Send a call on the active connection as soon as that accepts it."""


class CounterConnections:
    """The connections to the counter.

    Calls are sent on the active connection. The standby replaces it when it ends or is unresponsive: the
    connections to a counter become unresponsive one by one. A connection to a new address becomes active
    when it is open, and the previous one drains: it receives its replies and closes.
    """

    def __init__(self, address: Address, calls: CallQueue, stats: CounterStats, rng: Random) -> None:
        """``rng`` draws the jitter of the delays between attempts to connect."""
        self.active: CounterConnection | None = None
        self.standby: CounterConnection | None = None
        self.draining = set[CounterConnection]()
        self.connector = CounterConnector(address, self, rng)
        self._calls = calls
        self._stats = stats
        self._loop = asyncio.get_running_loop()
        self._is_running = False  # between ``start`` and ``close``

    def start(self) -> None:
        """Keep connections open from now on."""
        self._is_running = True

    def close(self) -> None:
        """Close all connections; their calls in flight complete as reset."""
        self._is_running = False
        self.connector.cancel()
        for connection in (*self.draining, self.active, self.standby):
            if connection is not None:
                connection.abort()

    def set_address(self, address: Address) -> None:
        """Connect to another address; the active connection is used until the new one is open."""
        if address == self.connector.address:
            return
        self.connector.set_address(address)
        standby = self.standby
        if standby is not None:
            self.standby = None
            standby.abort()
        self.open_missing()

    def open_missing(self) -> None:
        """Connect if the active connection or the standby is missing or has an old address."""
        if not self._is_running:
            return
        for connection in (self.active, self.standby):
            if connection is None or connection.address != self.connector.address:
                self.connector.connect()
                return

    def fail_over_from_unresponsive(self, call: CounterCall) -> None:
        """Make the standby active if nothing has been received since ``call``, which timed out, was sent."""
        active = self.active
        standby = self.standby
        if active is None or standby is None or not standby.usable or standby.in_flight:
            return
        if active.last_received_at < call.sent_at and call in active.in_flight:
            self._stats.record_failover()
            self.active = standby
            self.standby = None
            self._drain(active)
            self._calls.flush()
            self.open_missing()

    def check(self, now: float, reply_timeout: float) -> None:
        """Close unresponsive connections, send pings on idle ones and open missing ones."""
        for connection in list(self.draining):
            if connection.is_unresponsive(now, reply_timeout):
                connection.abort()
        self._check_active(now, reply_timeout)
        self._check_standby(now, reply_timeout)
        self.open_missing()

    def _check_active(self, now: float, reply_timeout: float) -> None:
        active = self.active
        if active is None:
            return
        if active.is_unresponsive(now, reply_timeout):
            log.warning("the counter does not reply, reconnecting")
            active.abort()
        elif now - active.last_used_at > PING_INTERVAL_SECONDS:
            self._calls.enqueue(CounterCall(PING_REQUEST, now))

    def _check_standby(self, now: float, reply_timeout: float) -> None:
        standby = self.standby
        if standby is None:
            return
        if standby.is_unresponsive(now, reply_timeout):
            standby.abort()
        elif now - standby.last_used_at > PING_INTERVAL_SECONDS and not standby.in_flight:
            standby.send(CounterCall(PING_REQUEST, now), now)

    def _drain(self, connection: CounterConnection) -> None:
        self.draining.add(connection)
        connection.drain()

    # Events of the connector and of connections.

    def new_connection(self, address: Address) -> CounterConnection:
        """Create a connection that is to be opened."""
        return CounterConnection(self, self._calls, address)

    def on_connected(self, connection: CounterConnection) -> None:
        """Use a new connection as the active one, or as the standby if an active one has its address."""
        previous = self.active
        if previous is not None and previous.address == connection.address:
            self.standby = connection
        else:
            self.active = connection
            if previous is not None:
                self._drain(previous)
        if not connection.usable:
            self.on_connection_lost(connection)  # it ended before the connector was notified
        elif connection is self.active:
            self._calls.flush()
            self.open_missing()  # the standby

    def on_malformed_reply(self, line: bytes) -> None:
        """Count a malformed reply."""
        self._stats.record_malformed_reply(line)

    def on_connection_lost(self, connection: CounterConnection) -> None:
        """Replace a connection that has ended; queued calls are sent on the standby."""
        self._stats.record_connection_closed()
        self.draining.discard(connection)
        if connection is self.active:
            self.active = self.standby
            self.standby = None
            self._calls.flush()
        elif connection is self.standby:
            self.standby = None
        else:
            return
        if self._is_running:
            self._loop.call_later(self.connector.remaining_interval(), self.open_missing)
