"""Connections to servers: one exchange at a time on each, and how it ended.

An exchange that has not reached its server whole proves that the request never ran; from the last
byte on it may have. Nothing here sends anything twice: what to do next is the caller's decision.
"""

from __future__ import annotations

import asyncio
import errno
import fcntl
import logging
import math
import re
import socket
import struct
import termios
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import cast

import httptools

from quota_gateway.model import CallStatus
from quota_gateway.net.body_stream import BodyStream
from quota_gateway.net.http_common import MAX_BODY, MAX_HEAD, NOT_FORWARDED, PIECE, split_address
from quota_gateway.net.metrics import Metrics

log = logging.getLogger(__name__)

PER_SERVER = 64  # connections to one server
IDLE_SHARE = 0.5  # of the time after which servers close: a request must not cross that closing
SWEEP = 1.0  # seconds between two looks for idle connections
REPORT = 10  # looks between two log lines on what became of the connections
# Seconds that a connection rests before its next request: what a server sends behind an answer (a second
# copy, noise) comes when nothing waits there, and closes it. On a fresh one it would answer the next request.
REST = 0.03
# Seconds between two pieces of an answer. A length that promises more than comes would else end as a
# time-out, much later, and that speaks of a server that gives no sign of life.
BEGUN = 0.5
# Seconds that an answer of unknown length is held, for the sake of a further attempt, before what has come of
# it is passed on: it may run long, and then its first bytes count.
UNKNOWN = 0.2
STALL = 15.0  # seconds without a byte, read or written, until a long body is given up
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
MAX_ANSWER = MAX_HEAD + 2 * MAX_BODY  # all bytes of an answer: interim ones, chunk sizes and trailers too
LENGTH = re.compile(rb"[0-9]{1,9}")
LOAD, NOT_PROCESSED, CHARGED = b"x-server-load", b"x-not-processed", b"x-units-charged"
UNITS = re.compile(rb"[0-9]{1,9}(?:\.[0-9]{1,9})?")
Clock = Callable[[], float]


def load_report(text: str) -> dict[str, float]:
    """``inflight=7,queue=2`` as numbers; empty where it cannot be read."""
    report = {}
    try:
        for part in text.split(","):
            name, _, value = part.partition("=")
            number = float(value)
            if not name.strip() or not math.isfinite(number):
                raise ValueError("not a number")
            report[name.strip()] = number
    except ValueError:
        log.warning("dropped an unreadable load report: %.80r", text)
        return {}
    return report


@dataclass(slots=True, eq=False)
class Exchange:
    """One request on its way to one server, and what came of it."""

    endpoint: str
    request_head: bytes
    request_body: bytes
    expires_at: float
    on_complete: Callable[[Exchange], None]
    on_response_started: Callable[[Exchange, BodyStream], bool] | None = (
        None  # takes a long answer, or says that nobody does
    )
    upload: BodyStream | None = None  # a long body; ``expires`` is known once it is whole
    timeout: float = math.inf  # and what the server is told until then
    started_at: float = 0.0
    request_written: bool = False
    completed: bool = False
    status: CallStatus = CallStatus.NOT_SENT
    elapsed: float = 0.0
    response_headers: bytes = b""
    response_body: bytes = b""
    load_report: dict[str, float] = field(default_factory=dict)
    charged_units: float | None = None  # the true units of the request
    is_health_check: bool = False
    is_client_connected: Callable[[], bool] | None = (
        None  # whether the client still waits; asked as it goes out
    )
    connection: _Connection | None = None
    timer: asyncio.TimerHandle | None = None


@dataclass(slots=True, eq=False)
class _Server:
    name: str
    address: tuple[str, int]
    up: bool = True
    open: int = 0
    idle: list[_Connection] = field(default_factory=list)  # the freshest last


class _Connection(asyncio.Protocol):
    """A connection to a server; it carries one exchange at a time."""

    def __init__(self, upstream: ConnectionPool, server: _Server) -> None:
        self._upstream, self.server, self.address = upstream, server, server.address
        self.transport: asyncio.Transport | None = None
        self.exchange: Exchange | None = None
        self.idle_since: float | None = None  # None: it carries its first request
        self.rested = 0.0
        self._parser = httptools.HttpResponseParser(self)
        self._unwritten = self._keep_alive = self._begun = False
        self._late: asyncio.TimerHandle | None = None
        self._pipe: BodyStream | None = None  # the answer on its way through
        self._held = False
        self.moved = 0.0  # when a long body last got on
        self._clear()

    def _clear(self) -> None:
        self._headers, self._body = list[bytes](), list[bytes]()
        self._head_size = self._size = self._received = 0
        self._load: bytes | None = None
        self._charged: float | None = None
        self._length: int | None = None
        self._chunked = False
        self._not_processed = self._surplus = self._closes = False
        self._final = self._until_end = False  # past the head; the end of the connection is the answer's
        self._all_out = False  # a long body: its last piece is with the transport
        self._code: int | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport = cast(asyncio.Transport, transport)  # uvloop's are no subclass of it
        self.transport = transport
        # At 0 a write goes out in the call itself, and pause_writing tells that some of it did not.
        transport.set_write_buffer_limits(high=0)

    def pause_writing(self) -> None:
        self._unwritten = True
        if self.exchange is not None and self.exchange.upload is not None and not self._all_out:
            self.exchange.upload.set_writable(False)

    def resume_writing(self) -> None:
        self._unwritten = False
        if (exchange := self.exchange) is None:
            return
        if exchange.upload is not None and not self._all_out:
            self.moved = self._upstream.clock()
            exchange.upload.set_writable(True)
        else:
            self._whole(exchange)

    def _whole(self, exchange: Exchange) -> None:
        """The request is written whole: from now on it may run."""
        exchange.request_written = True
        if exchange.upload is not None:
            exchange.started_at = self._upstream.clock()
            self._upstream.streaming.discard(self)
        self._upstream.record_request_written(exchange)

    def send(self, exchange: Exchange, data: bytes) -> None:
        assert self.transport is not None
        self._clear()
        self.exchange, exchange.connection = exchange, self
        self.transport.write(data)
        if self.transport.is_closing():  # the write itself failed: nothing has left
            self._upstream.complete(exchange, CallStatus.RESET_BEFORE_REQUEST)
        elif exchange.upload is not None:
            self.moved = self._upstream.clock()
            self._upstream.streaming.add(self)
            exchange.upload.attach(self, not self._unwritten)
        elif not self._unwritten:
            self._whole(exchange)

    # The sink of a long body.

    def write_chunk(self, data: bytes) -> None:
        exchange = self.exchange
        if self.transport is not None and exchange is not None and exchange.upload is not None and data:
            self.moved = self._upstream.clock()
            chunk = exchange.upload.content_length is None
            self.transport.write(b"%x\r\n%b\r\n" % (len(data), data) if chunk else data)

    def finish(self) -> None:
        exchange = self.exchange
        if self.transport is None or exchange is None or exchange.upload is None or self._all_out:
            return
        self._all_out = True
        if exchange.upload.content_length is None:
            self.transport.write(b"0\r\n\r\n")
        if not self._unwritten:
            self._whole(exchange)

    def truncate(self) -> None:
        self.abort()  # and the server never starts it

    # The source of a long answer.

    def set_paused(self, stop: bool) -> None:
        if self.transport is None or self.transport.is_closing() or stop is self._held:
            return
        self._held, self.moved = stop, self._upstream.clock()
        if stop:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def abandon(self) -> None:
        self._pipe = None
        self.abort()

    def stalled(self, now: float) -> bool:
        """Whether a long body waits for this server, and has for too long."""
        waits = self._unwritten if self._pipe is None else not self._held
        return waits and now - self.moved > STALL

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        if self.exchange is not None:
            self._upstream.record_broken_connection(self)
            if self.idle_since is not None and self._received == 0:
                self._upstream.record_stale_connection(self)
        self._upstream.on_connection_lost(self)
        self._calm()
        if (pipe := self._pipe) is not None:
            self._pipe = None
            pipe.fail()
        if (exchange := self.exchange) is not None:
            self.exchange = None
            self._upstream.complete(
                exchange,
                CallStatus.RESET_AFTER_REQUEST
                if exchange.request_written
                else CallStatus.RESET_BEFORE_REQUEST,
            )

    def eof_received(self) -> None:
        if self._until_end and self._code is None and (self.exchange is not None or self._pipe is not None):
            self._code, self._keep_alive = self._parser.get_status_code(), False
            self._complete(self._code)

    def data_received(self, data: bytes) -> None:
        if self.exchange is None and self._pipe is None:
            self.abort()  # nobody asked: whatever it is, it must not meet the next request
            return
        if self.exchange is not None and not self.exchange.request_written:
            return self.abort()  # an answer before its request is whole is none, and the request never ran
        self._received += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if self._code is None:
                return self._spoilt(error.__context__ or error)
            self._surplus = True
        # Only now, with all input read, may the connection be used again.
        if self._code is not None:
            self._complete(self._code)
        elif self._pipe is not None:
            self.moved = self._upstream.clock()
        elif self.exchange is None:
            self.abort()  # the request ended in between
        elif self._received > MAX_ANSWER:
            self._spoilt(ValueError("an answer without an end"))  # its head would grow inside the parser
        elif self._begun:
            unknown = self._passable and self._size > 0
            if self._late is not None and not unknown:
                self._late.cancel()
                self._late = None
            if self._late is None:
                wait = UNKNOWN if unknown else BEGUN
                self._late = asyncio.get_running_loop().call_later(wait, self._not_whole, self.exchange)

    @property
    def _passable(self) -> bool:
        """Whether this may run long without saying so, and ends in a way that a client can be told."""
        framed = self._chunked or (self._until_end and self._closes)
        return self._final and framed and self._parser.get_status_code() == 200

    def _not_whole(self, exchange: Exchange) -> None:
        if self.exchange is not exchange:
            return
        self._late = None
        if self._passable and self._size > 0:
            try:
                self._pass_on()
            except ValueError as error:
                self._spoilt(error)
        else:
            self._spoilt(TimeoutError("it began and was not finished"))

    def _pass_on(self) -> None:
        """Hand a long answer to its client: with its first bytes the attempt has succeeded."""
        exchange = self.exchange
        if self._parser.get_status_code() != 200 or exchange is None or exchange.on_response_started is None:
            raise ValueError("too large")
        self._calm()
        self._pipe = pipe = BodyStream(self, self._length)
        self._head_of(exchange)
        self.exchange = exchange.connection = None
        self.moved = self._upstream.clock()
        self._upstream.streaming.add(self)
        if self.transport is not None:
            peer = self.transport.get_extra_info("socket")
            peer.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, PIECE)
        wanted = exchange.on_response_started(exchange, pipe)
        self._upstream.complete(exchange, CallStatus.OK)
        if not wanted:
            return self.abandon()
        body, self._body = self._body, []
        for part in body:
            pipe.write(part)

    def _calm(self) -> None:
        if self._late is not None:
            self._late.cancel()
            self._late = None

    def _spoilt(self, error: BaseException) -> None:
        """An answer that cannot be read: the request may have run, and the server lives. All of them may
        answer like that on a bad day, so it must not count as a break, which speaks of a dead server."""
        exchange, self.exchange = self.exchange, None
        self._upstream.record_malformed_response(self.server.name, error)
        if exchange is None:
            return self.abort()  # of what is passed on already the client is told when the connection ends
        exchange.connection = None
        self.abort()
        self._upstream.complete(exchange, CallStatus.ERROR)

    @property
    def unread(self) -> bool:
        """Whether bytes have come that the loop has not read yet."""
        assert self.transport is not None
        size = fcntl.ioctl(self.transport.get_extra_info("socket").fileno(), termios.FIONREAD, b"\0" * 4)
        return bool(struct.unpack("i", size)[0])

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    # The parser's callbacks.

    def on_header(self, name: bytes, value: bytes) -> None:
        key, value = name.lower(), value.strip(b" \t")  # the parser leaves what stands behind a value
        if self._surplus or self._final:
            return  # behind the answer, or its trailer
        self._head_size += len(name) + len(value)
        if self._head_size > MAX_HEAD:
            raise ValueError("too large")
        if key == b"content-length":
            if self._length is not None or not LENGTH.fullmatch(value):
                raise ValueError(f"a length that is wrong or stands twice: {value!r:.40}")
            self._length = int(value)
        elif key == b"transfer-encoding":
            if self._chunked or value.lower() != b"chunked":
                raise ValueError(f"an unknown transfer coding: {value!r:.40}")
            self._chunked = True
        elif key == LOAD:
            self._load = value
        elif key == CHARGED:
            self._charged = float(value) if UNITS.fullmatch(value) else None
        elif key == NOT_PROCESSED:
            self._not_processed = value == b"1"
        elif key == b"connection":
            self._closes = b"close" in value.lower()
        elif key not in NOT_FORWARDED:
            self._headers.append(b"%b: %b\r\n" % (name, value))

    def on_headers_complete(self) -> None:
        if self._surplus or (code := self._parser.get_status_code()) < 200:
            return
        if self._chunked and self._length is not None:
            raise ValueError("an answer with a length and chunks")
        # With neither, the end of the connection is the answer's; one that stays open ends by the gap.
        self._final, self._until_end = True, not self._chunked and self._length is None
        self._closes = self._closes or self._parser.get_http_version() == "1.0"
        if self._length is not None and self._length > MAX_BODY and code != 200:
            raise ValueError("too large")

    def on_body(self, body: bytes) -> None:
        if self._surplus:
            return
        if self._pipe is not None:
            return self._pipe.write(body)
        self._size += len(body)
        self._body.append(body)
        if self.exchange is not None and max(self._size, self._length or 0) > MAX_BODY:
            self._pass_on()

    def on_message_begin(self) -> None:
        self._surplus, self._begun = self._code is not None, True

    def on_message_complete(self) -> None:
        self._begun, code = False, self._parser.get_status_code()
        if self._surplus or code >= 200:
            self._code, self._keep_alive = self._code or code, self._parser.should_keep_alive()
        else:
            received = self._received
            self._clear()  # an interim answer; the real one follows, and the bound is on all of them
            self._received = received

    def _head_of(self, exchange: Exchange) -> None:
        exchange.response_headers, exchange.charged_units = b"".join(self._headers), self._charged
        if self._load is not None:
            exchange.load_report = load_report(self._load.decode("latin-1"))

    def _complete(self, code: int) -> None:
        self._calm()
        if (pipe := self._pipe) is not None:
            self._pipe = None
            self.set_paused(False)
            self._upstream.streaming.discard(self)
            self._upstream.release(self, self._keep_alive and not self._surplus)
            return pipe.finish()
        exchange, self.exchange = self.exchange, None
        if exchange is None:
            return self.abort()
        exchange.connection = None
        self._head_of(exchange)
        exchange.response_body = b"".join(self._body)
        # Bytes behind the answer, or of a request not yet out whole, must not meet the next request.
        self._upstream.release(self, self._keep_alive and not self._surplus and not self._unwritten)
        self._upstream.complete(exchange, self._outcome(code))

    def _outcome(self, code: int) -> CallStatus:
        if code == 200:
            return CallStatus.OK
        if 400 <= code < 500:
            return CallStatus.REJECTED
        # Without the mark a 503 or 504 says nothing about whether the request ran.
        return CallStatus.OVERLOADED if code in (503, 504) and self._not_processed else CallStatus.ERROR


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
