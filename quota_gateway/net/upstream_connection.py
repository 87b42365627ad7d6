"""Connections to servers: one exchange at a time on each, and how it ended.

An exchange that has not reached its server whole proves that the request never ran; from the last
byte on it may have. Nothing here sends anything twice: what to do next is the caller's decision.
"""

from __future__ import annotations

import asyncio
import fcntl
import re
import socket
import struct
import termios
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, cast

import httptools

from quota_gateway.model import CallStatus
from quota_gateway.net.body_stream import BodyStream
from quota_gateway.net.exchange import Exchange
from quota_gateway.net.http_common import MAX_BODY, MAX_HEAD, NOT_FORWARDED, PIECE
from quota_gateway.net.load_report import load_report

if TYPE_CHECKING:
    from quota_gateway.net.connection_pool import ConnectionPool

# Seconds between two pieces of an answer. A length that promises more than comes would else end as a
# time-out, much later, and that speaks of a server that gives no sign of life.
BEGUN = 0.5
# Seconds that an answer of unknown length is held, for the sake of a further attempt, before what has come of
# it is passed on: it may run long, and then its first bytes count.
UNKNOWN = 0.2
STALL = 15.0  # seconds without a byte, read or written, until a long body is given up
MAX_ANSWER = MAX_HEAD + 2 * MAX_BODY  # all bytes of an answer: interim ones, chunk sizes and trailers too
LENGTH = re.compile(rb"[0-9]{1,9}")
LOAD, NOT_PROCESSED, CHARGED = b"x-server-load", b"x-not-processed", b"x-units-charged"
UNITS = re.compile(rb"[0-9]{1,9}(?:\.[0-9]{1,9})?")


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
