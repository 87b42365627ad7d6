"""The connections to the shared counter: the active one, the standby and draining ones."""

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

# A ping is sent on a connection without a request for this time, because the counter closes idle connections.
PING_INTERVAL_SECONDS = 2.0


class CallQueue(CallEvents, Protocol):
    """Queues calls for the active connection and receives their events; implemented by ``CounterClient``."""

    def enqueue(self, call: CounterCall) -> None:
        """Send a call on the active connection as soon as the connection accepts it."""


class CounterConnections:
    """The connections to the counter.

    Calls are sent on the active connection. The standby replaces it when it is lost or unresponsive: the
    connections to a counter become unresponsive one by one, not all at once. After a change of the address,
    the first connection to the new address becomes active when it is open. The previous one then drains: it
    closes once its calls in flight have received their replies.
    """

    def __init__(self, address: Address, calls: CallQueue, stats: CounterStats, rng: Random) -> None:
        """Create the connections to ``address``; ``rng`` draws the jitter of the reconnect delays."""
        self.active: CounterConnection | None = None
        self.standby: CounterConnection | None = None
        self.draining = set[CounterConnection]()
        self.connector = CounterConnector(address, self, rng)
        self._calls = calls
        self._stats = stats
        self._loop = asyncio.get_running_loop()
        self._is_running = False  # true from ``start`` to ``close``

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

    def fail_over_if_unresponsive(self, call: CounterCall) -> None:
        """Fail over to the standby if ``call`` has timed out on an unresponsive active connection.

        The connection is unresponsive if it has received nothing since ``call`` was sent on it.
        """
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
        """Create a connection, which the connector opens."""
        return CounterConnection(self, self._calls, address)

    def on_connected(self, connection: CounterConnection) -> None:
        """Make a new connection active, or the standby if the active one has the same address."""
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
            self.open_missing()  # opens the standby

    def on_malformed_reply(self, line: bytes) -> None:
        """Count a malformed reply."""
        self._stats.record_malformed_reply(line)

    def on_connection_lost(self, connection: CounterConnection) -> None:
        """Replace a lost connection. If it was the active one, queued calls are sent on the standby."""
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
            self._loop.call_later(self.connector.seconds_until_reconnect(), self.open_missing)
