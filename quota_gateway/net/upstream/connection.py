"""One connection to an endpoint: reading its responses, and how each exchange ended.

Nothing here sends a request twice: whether to retry is the caller's decision.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from typing import TYPE_CHECKING, Protocol

from quota_gateway.model import CallStatus
from quota_gateway.net.common.body_stream import BodyStream
from quota_gateway.net.common.http_common import MAX_BUFFERED_BODY, MAX_HEAD, STREAM_RECEIVE_BUFFER
from quota_gateway.net.upstream.exchange import Exchange
from quota_gateway.net.upstream.load_report import parse_load_report
from quota_gateway.net.upstream.response_parser import STATUS_OK, MalformedResponseError, ResponseParser
from quota_gateway.net.upstream.stats import ConnectionStats
from quota_gateway.net.upstream.writer import STALL_TIMEOUT, ExchangeOwner, UpstreamWriter

if TYPE_CHECKING:
    from quota_gateway.net.upstream.endpoint import UpstreamEndpoint

# Seconds between two parts of a response. A length that promises more than comes would otherwise end as a
# time-out, much later, and that speaks of an unresponsive endpoint.
MAX_RESPONSE_GAP = 0.5
# Seconds that a response of unknown length is buffered, so that a retry stays possible, before what has come
# of it is streamed: it may run long, and then its first bytes count.
STREAMING_DELAY = 0.2
# Bytes of a response: interim ones, chunk sizes and trailers too.
MAX_RESPONSE = MAX_HEAD + 2 * MAX_BUFFERED_BODY
CLIENT_ERROR_STATUSES = range(400, 500)
OVERLOAD_STATUSES = (503, 504)


class ConnectionOwner(ExchangeOwner, Protocol):
    """What a connection reports to: the pool."""

    stats: ConnectionStats  # replaced with every log line

    def release(self, connection: UpstreamConnection, reusable: bool) -> None:
        """The connection carries no exchange any more."""

    def record_stale_connection(self, connection: UpstreamConnection) -> None:
        """The connection was reused and broke before any byte of a response."""

    def on_connection_lost(self, connection: UpstreamConnection) -> None:
        """The connection has ended."""


class UpstreamConnection(UpstreamWriter):
    """A connection to an endpoint; it carries one exchange at a time.

    It is the source of a streamed response (``body_stream.BodySource``).
    """

    _owner: ConnectionOwner

    def __init__(self, owner: ConnectionOwner, endpoint: UpstreamEndpoint, number: int = 0) -> None:
        """A connection to be opened to the endpoint's present address; the log shows ``number``."""
        super().__init__(owner, endpoint)
        self.number = number
        self.idle_since: float | None = None  # by the owner's clock; None while it carries its first request
        self.idle_time = 0.0  # seconds that it was idle before its present request
        self._parser = ResponseParser(self._on_large_body)
        self._received_bytes = 0  # since the request
        self._gap_timer: asyncio.TimerHandle | None = None

    def send(self, exchange: Exchange, data: bytes) -> None:
        """Write a request; its response is read next."""
        self._parser.reset()
        self._received_bytes = 0
        exchange.connection = self
        exchange.connection_number = self.number
        exchange.on_reused_connection = self.idle_since is not None
        exchange.endpoint_started_at = self.endpoint.started_at
        self._write_request(exchange, data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail what the connection carried."""
        self.transport = None
        if self.exchange is not None:
            self._owner.stats.record_broken(reused=self.idle_since is not None)
            if self.idle_since is not None and self._received_bytes == 0:
                self._owner.record_stale_connection(self)
        self._owner.on_connection_lost(self)
        self._cancel_gap_timer()
        stream = self._parser.body_stream
        if stream is not None:
            self._parser.body_stream = None
            stream.fail()
        exchange = self.exchange
        if exchange is not None:
            self.exchange = None
            after_request = exchange.request_written
            self._owner.complete(
                exchange, CallStatus.RESET_AFTER_REQUEST if after_request else CallStatus.RESET_BEFORE_REQUEST
            )

    def eof_received(self) -> None:
        """Complete a response that ends with the connection."""
        parser = self._parser
        expected = self.exchange is not None or parser.body_stream is not None
        if expected and parser.ends_at_eof and parser.status_code is None:
            self._complete(parser.finish_at_eof())

    def data_received(self, data: bytes) -> None:
        """Parse a part of a response."""
        parser = self._parser
        exchange = self.exchange
        if exchange is None and parser.body_stream is None:
            return self.abort()  # nothing was requested: whatever it is, it must not meet the next request
        if exchange is not None and not exchange.request_written:
            return self.abort()  # no response to a request that is incomplete and so was never executed
        self._received_bytes += len(data)
        try:
            parser.feed(data)
        except MalformedResponseError as error:
            return self._fail_malformed(error)
        # Only now, with all input parsed, may the connection be reused.
        if parser.status_code is not None:
            self._complete(parser.status_code)
        elif parser.body_stream is not None:
            self.last_progress = self._owner.clock()
        elif self.exchange is None:
            self.abort()  # the exchange ended while its response was parsed
        elif self._received_bytes > MAX_RESPONSE:  # its head would grow inside the parser
            self._fail_malformed(MalformedResponseError(f"response over {MAX_RESPONSE} bytes without an end"))
        elif parser.in_message:
            self._start_gap_timer(self.exchange)

    def _start_gap_timer(self, exchange: Exchange) -> None:
        """Limit the wait for the rest of a response; open-ended ones are streamed when the time is up."""
        open_ended = self._parser.has_open_ended_body()
        if not open_ended:
            self._cancel_gap_timer()
        if self._gap_timer is None:
            delay = STREAMING_DELAY if open_ended else MAX_RESPONSE_GAP
            loop = asyncio.get_running_loop()
            self._gap_timer = loop.call_later(delay, self._on_gap_timer, exchange)

    def _cancel_gap_timer(self) -> None:
        if self._gap_timer is not None:
            self._gap_timer.cancel()
            self._gap_timer = None

    def _on_gap_timer(self, exchange: Exchange) -> None:
        if self.exchange is not exchange:
            return
        self._gap_timer = None
        try:
            if not self._parser.has_open_ended_body():
                raise MalformedResponseError("response started and was not completed")
            self._start_streaming()
        except ValueError as error:  # MalformedResponseError, or of who was to take the stream
            self._fail_malformed(error)

    def _on_large_body(self) -> None:
        if self.exchange is not None:
            self._start_streaming()

    def _start_streaming(self) -> None:
        """Stream the response to its client: with its first bytes the attempt has succeeded."""
        parser = self._parser
        exchange = self.exchange
        if exchange is None or exchange.on_response_started is None or parser.received_status() != STATUS_OK:
            raise MalformedResponseError("response body too large")
        self._cancel_gap_timer()
        parser.body_stream = stream = BodyStream(self, parser.content_length)
        self._copy_head(exchange)
        self.exchange = exchange.connection = None
        self.last_progress = self._owner.clock()
        self._owner.streaming_connections.add(self)
        if self.transport is not None:
            raw_socket = self.transport.get_extra_info("socket")
            with contextlib.suppress(OSError):  # it only bounds what the system holds
                raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, STREAM_RECEIVE_BUFFER)
        wanted = exchange.on_response_started(exchange, stream)
        self._owner.complete(exchange, CallStatus.OK)
        if not wanted:
            return self.abandon()
        for part in parser.take_body_parts():
            stream.write(part)

    def abandon(self) -> None:
        """Nobody takes the rest of a streamed response."""
        self._parser.body_stream = None
        self.abort()

    def is_stalled(self, now: float) -> bool:
        """Whether a streamed body has waited too long for this endpoint."""
        if self._parser.body_stream is None:
            return super().is_stalled(now)
        return not self._reading_paused and now - self.last_progress > STALL_TIMEOUT

    def _fail_malformed(self, error: ValueError) -> None:
        """End an exchange whose request may have been executed, by an endpoint that is alive.

        All endpoints may respond like that on a bad day, so it must not count as a broken connection.
        """
        exchange = self.exchange
        self.exchange = None
        self._owner.stats.record_malformed_response(self.endpoint.name, error)
        if exchange is None:
            return self.abort()  # the client of a streamed response is notified by connection_lost
        exchange.connection = None
        self.abort()
        self._owner.complete(exchange, CallStatus.ERROR)

    def _copy_head(self, exchange: Exchange) -> None:
        parser = self._parser
        exchange.response_headers = b"".join(parser.header_lines)
        exchange.charged_units = parser.charged_units
        if parser.load is not None:
            exchange.load_report = parse_load_report(parser.load.decode("latin-1"))

    def _complete(self, status_code: int) -> None:
        """The response is complete; surplus bytes behind it must not meet the next request."""
        self._cancel_gap_timer()
        parser = self._parser
        reusable = parser.keep_alive and not parser.has_surplus
        stream = parser.body_stream
        if stream is not None:
            parser.body_stream = None
            self.set_paused(False)
            self._owner.streaming_connections.discard(self)
            self._owner.release(self, reusable)
            return stream.finish()
        exchange = self.exchange
        self.exchange = None
        if exchange is None:
            return self.abort()
        exchange.connection = None
        self._copy_head(exchange)
        exchange.response_body = b"".join(parser.body_parts)
        self._owner.release(self, reusable and not self._write_buffered)
        self._owner.complete(exchange, _call_status(status_code, parser.not_processed))


def _call_status(status_code: int, not_processed: bool) -> CallStatus:
    if status_code == STATUS_OK:
        return CallStatus.OK
    if status_code in CLIENT_ERROR_STATUSES:
        return CallStatus.REJECTED
    # Without the endpoint's mark a 503 or 504 does not say whether the request was executed.
    if status_code in OVERLOAD_STATUSES and not_processed:
        return CallStatus.OVERLOADED
    return CallStatus.ERROR
