"""The servers by name and the connections to them."""

from __future__ import annotations

import asyncio
import errno
import logging
import math
from collections import Counter
from collections.abc import Callable

from quota_gateway.model import CallStatus
from quota_gateway.net.exchange import Exchange
from quota_gateway.net.http_common import split_address
from quota_gateway.net.metrics import Metrics
from quota_gateway.net.upstream_connection import _Connection, _Server

log = logging.getLogger(__name__)

PER_SERVER = 64  # connections to one server
IDLE_SHARE = 0.5  # of the time after which servers close: a request must not cross that closing
SWEEP = 1.0  # seconds between two looks for idle connections
REPORT = 10  # looks between two log lines on what became of the connections
# Seconds that a connection rests before its next request: what a server sends behind an answer (a second
# copy, noise) comes when nothing waits there, and closes it. On a fresh one it would answer the next request.
REST = 0.03
# Where kept connections break at their next request, before any byte of an answer, they were closed in
# silence: for so many seconds none is kept that has been idle for so long. What was closed breaks as soon as
# it is written to; a break further on in an exchange says nothing of idleness. Where those counted, a network
# that drops connections by chance shortened the trusted rest until no connection was kept at all.
DISTRUST, MOST_DISTRUST = 10.0, 160.0
AT_ONCE = 0.015  # seconds from the write to the break of a closed connection: a way there and back
TRUSTED = 0.7  # of the rest that was not outlived
LEAST_REST = 0.05  # seconds idle that are trusted whatever breaks: chance alone must not end all reuse
# Dials that fail so have failed here, for want of a descriptor, memory or a port: no server was asked.
WANTING = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)
Clock = Callable[[], float]


class ConnectionPool:
    """The servers by name and the connections to them."""

    def __init__(
        self,
        clock: Clock,
        dial_timeout: float,
        conn_idle: float,
        max_connections: int,
        figures: Metrics | None = None,
    ) -> None:
        self._clock, self._dial_timeout, self._max = clock, dial_timeout, max_connections
        self.clock = clock
        self.streaming = set[_Connection]()  # those with a long body on its way
        self._idle_for = conn_idle * IDLE_SHARE
        self._servers = dict[str, _Server]()
        self._open = 0
        self._shunned = frozenset[str]()  # servers out by hand
        self._figures = figures or Metrics()
        self._dials = set[asyncio.Task[None]]()
        self._seen, self._looks = Counter[str](), 0
        # Idle seconds that a kept connection has not outlived, until when that is heeded, and for how long.
        self._stale_after, self._stale_until, self._distrust = math.inf, 0.0, DISTRUST
        self._sweep_at = asyncio.get_running_loop().call_later(SWEEP, self._sweep)

    def update_endpoint(self, name: str, dial: str, up: bool) -> None:
        """What discovery says of a server; idle connections to what is not up or has moved go at once."""
        address = split_address(dial) if dial else None
        server = self._servers.get(name)
        if server is None:
            if address is not None:
                self._servers[name] = _Server(name, address, up)
            return
        server.up = up
        if (address is not None and address != server.address) or not up:
            server.address = address or server.address
            self._close_idle(server)
        self._drop(server)

    def retain_only(self, names: set[str]) -> None:
        """A whole list: servers that it leaves out are gone."""
        for name, server in list(self._servers.items()):
            if name not in names:
                server.up = False
                self._close_idle(server)
                self._drop(server)

    def exclude(self, names: frozenset[str]) -> None:
        """Servers out by hand: nothing new goes there, and kept connections do not outlive their restart."""
        self._shunned = names
        for name in names:
            if (server := self._servers.get(name)) is not None:
                self._close_idle(server)

    def set_max_connections(self, max_connections: int) -> None:
        """Another bound on connections; idle ones beyond it go at once."""
        self._max = max_connections
        while self._open > self._max and self._make_room():
            pass

    def set_timeouts(self, dial_timeout: float, conn_idle: float) -> None:
        self._dial_timeout, self._idle_for = dial_timeout, conn_idle * IDLE_SHARE

    def _usable(self, server: _Server) -> bool:
        return server.up and server.name not in self._shunned

    def _drop(self, server: _Server) -> None:
        """Forget what is not up once nothing is open there: ids are ever new, the table would grow."""
        if not server.up and server.open == 0 and self._servers.get(server.name) is server:
            del self._servers[server.name]

    def _closed(self, server: _Server) -> None:
        server.open, self._open = server.open - 1, self._open - 1
        self._drop(server)

    def start(self, exchange: Exchange) -> None:
        """Send a request; ``exchange.done`` is called once, maybe before this returns."""
        exchange.started_at = self._clock()
        server, wait = self._servers.get(exchange.endpoint), exchange.expires_at - exchange.started_at
        if server is None or not self._usable(server) or wait <= 0:
            return self.complete(exchange, CallStatus.NOT_SENT)
        loop = asyncio.get_running_loop()
        if wait < math.inf:
            exchange.timer = loop.call_later(wait, self._expired, exchange)
        if (connection := self._take_idle(server)) is not None:
            self._seen["reused"] += 1
            return self._write(connection, exchange)
        if server.open >= PER_SERVER or (self._open >= self._max and not self._make_room()):
            return self.complete(exchange, CallStatus.OVERLOADED)
        server.open, self._open = server.open + 1, self._open + 1
        self._seen["opened"] += 1
        dial = loop.create_task(self._dial(server, exchange))
        self._dials.add(dial)
        dial.add_done_callback(self._dials.discard)

    def set_expiry(self, exchange: Exchange, at: float) -> None:
        """When to give up an attempt whose long body has become whole."""
        if not exchange.completed:
            exchange.expires_at = at
            wait = max(0.0, at - self._clock())
            exchange.timer = asyncio.get_running_loop().call_later(wait, self._expired, exchange)

    def withdraw_unsent(self, exchange: Exchange) -> None:
        """Do not send what is not on a connection yet."""
        if exchange.connection is None:
            self._give_up(exchange, CallStatus.NOT_SENT)

    def cancel(self, exchange: Exchange) -> None:
        """Stop waiting; the connection goes with it, so that no late answer meets another request."""
        self._give_up(exchange, CallStatus.CANCELLED)

    def complete(self, exchange: Exchange, status: CallStatus) -> None:
        """Report an exchange once."""
        if exchange.completed:
            return
        exchange.completed, exchange.status = True, status
        exchange.elapsed = self._clock() - exchange.started_at
        if exchange.timer is not None:
            exchange.timer.cancel()
        if exchange.upload is not None:
            exchange.upload.detach()
        exchange.on_complete(exchange)

    def release(self, connection: _Connection, reusable: bool) -> None:
        """A connection whose exchange is over goes back to the idle ones, or is closed."""
        server, transport = connection.server, connection.transport
        if transport is None or transport.is_closing():
            return
        if reusable and self._usable(server) and connection.address == server.address:
            connection.idle_since = self._clock()
            server.idle.append(connection)
        else:
            transport.close()

    def record_malformed_response(self, server: str, error: BaseException) -> None:
        """An answer that cannot be read: one is shown, the rest counted until the next report."""
        if not self._seen["unreadable answers"]:
            log.warning("an answer of %s could not be read: %s", server, error)
        self._seen["unreadable answers"] += 1

    def record_request_written(self, exchange: Exchange) -> None:
        self._figures.upstream_attempts += not exchange.is_health_check

    def record_broken_connection(self, connection: _Connection) -> None:
        """A connection broke under a request."""
        self._seen["broke fresh" if connection.idle_since is None else "broke kept"] += 1

    def record_stale_connection(self, connection: _Connection) -> None:
        """A kept connection broke under its next request. What closes idle ones is mostly one box or setting
        for all servers: what one teaches holds for all, or each of them would cost a request again."""
        now, rested = self._clock(), connection.rested
        if now - ((connection.idle_since or 0.0) + rested) > AT_ONCE:
            return
        self._seen["closed while idle"] += 1
        known = self._stale_after if now < self._stale_until else math.inf
        if now >= self._stale_until:
            again = now < self._stale_until + self._distrust  # it still happens: ask less often
            self._distrust = min(MOST_DISTRUST, 2 * self._distrust) if again else DISTRUST
        self._stale_after = max(LEAST_REST, min(known, TRUSTED * rested))
        self._stale_until = now + self._distrust

    def on_connection_lost(self, connection: _Connection) -> None:
        """A connection has ended."""
        self.streaming.discard(connection)
        if connection in connection.server.idle:
            connection.server.idle.remove(connection)
        self._closed(connection.server)

    def close(self) -> None:
        self._sweep_at.cancel()
        for dial in self._dials:
            dial.cancel()
        for server in self._servers.values():
            self._close_idle(server)

    async def _dial(self, server: _Server, exchange: Exchange) -> None:
        connection = _Connection(self, server)
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self._dial_timeout):
                await loop.create_connection(lambda: connection, *server.address)
        except (OSError, TimeoutError) as error:
            connection.abort()
            if connection.transport is None:  # no connection_lost will count it off
                self._closed(server)
            if error.errno in WANTING:
                return self.complete(exchange, CallStatus.NOT_SENT)
            # Only who has taken a connection can reset it; a port where nobody listens refuses.
            reset = isinstance(error, ConnectionResetError)
            return self.complete(
                exchange, CallStatus.RESET_BEFORE_REQUEST if reset else CallStatus.UNREACHABLE
            )
        if exchange.completed:
            self.release(connection, True)  # nothing was written on it
        elif connection.transport is None:
            self.complete(
                exchange, CallStatus.RESET_BEFORE_REQUEST
            )  # it came up and broke before this task was told
        else:
            self._write(connection, exchange)

    def _write(self, connection: _Connection, exchange: Exchange) -> None:
        # Time has passed if this waited for a dial: the server may drain, the try may be over.
        left = exchange.expires_at - self._clock()
        moved = connection.address != connection.server.address
        if left <= 0 or moved or not self._usable(connection.server):
            self.release(connection, True)
            return self.complete(exchange, CallStatus.NOT_SENT)
        if exchange.is_client_connected is not None and not exchange.is_client_connected():
            self.release(connection, True)
            return self.complete(exchange, CallStatus.NOT_SENT)
        timeout = b"X-Timeout-Ms: %d\r\n\r\n" % max(1, int(min(left, exchange.timeout) * 1000))
        connection.send(exchange, exchange.request_head + timeout + exchange.request_body)

    def _expired(self, exchange: Exchange) -> None:
        # Not yet written on a connection, it is known not to have run, and says nothing of the server.
        # Nor has a long body that is not out whole.
        part = exchange.connection is None or (exchange.upload is not None and not exchange.request_written)
        self._give_up(exchange, CallStatus.NOT_SENT if part else CallStatus.TIMEOUT)

    def _give_up(self, exchange: Exchange, status: CallStatus) -> None:
        if exchange.completed:
            return
        if (connection := exchange.connection) is not None:
            connection.exchange = exchange.connection = None
            connection.abort()
        self.complete(exchange, status)

    def _take_idle(self, server: _Server) -> _Connection | None:
        """The freshest connection that has rested: the least likely to be closing at the other end."""
        now = self._clock()
        longest = min(self._idle_for, self._stale_after) if now < self._stale_until else self._idle_for
        for at in range(len(server.idle) - 1, -1, -1):
            connection = server.idle[at]
            connection.rested = now - (connection.idle_since or 0.0)
            if connection.rested < REST:
                continue
            del server.idle[at]
            if connection.transport is None or connection.transport.is_closing():
                continue
            # After a stall of this process a rest is over at once, with what came in it still unread.
            if connection.rested < longest and not connection.unread:
                return connection
            self._seen["too long idle"] += 1
            connection.transport.close()
        return None

    def _make_room(self) -> bool:
        """Close the longest idle connection of all, for the limit on descriptors."""
        oldest = min(
            (s.idle[0] for s in self._servers.values() if s.idle),
            key=lambda c: c.idle_since or 0.0,
            default=None,
        )
        if oldest is None:
            return False
        oldest.server.idle.remove(oldest)
        oldest.abort()
        return True

    def _close_idle(self, server: _Server, until: float = math.inf) -> None:
        while server.idle and (server.idle[0].idle_since or 0.0) <= until:
            connection = server.idle.pop(0)
            if connection.transport is not None:
                connection.transport.close()

    def _sweep(self) -> None:
        self._sweep_at = asyncio.get_running_loop().call_later(SWEEP, self._sweep)
        for server in self._servers.values():
            self._close_idle(server, self._clock() - self._idle_for)
        for connection in [c for c in self.streaming if c.stalled(self._clock())]:
            log.warning("a long body to or from %s has come to a stop", connection.server.name)
            connection.abort()
        self._looks += 1
        if self._looks % REPORT == 0 and self._seen:
            told = ", ".join(f"{what} {number}" for what, number in sorted(self._seen.items()))
            log.info("connections: %s; open %d", told, self._open)
            self._seen.clear()
