"""Receives the responses on one connection, buffered or streamed, within limits on size and time."""

from __future__ import annotations

import asyncio
from typing import Protocol

from quota_gateway.model import CallStatus
from quota_gateway.net.common.body_stream import BodyStream
from quota_gateway.net.common.http_common import MAX_BUFFERED_BODY_BYTES, MAX_HEAD_BYTES
from quota_gateway.net.common.memory_budget import MemoryBudget
from quota_gateway.net.upstream.exchange import Clock, Exchange
from quota_gateway.net.upstream.load_report import parse_load_report
from quota_gateway.net.upstream.response_parser import MalformedResponseError, ResponseParser
from quota_gateway.net.upstream.response_source import ResponseSource
from quota_gateway.net.upstream.response_status import STATUS_OK, call_status
from quota_gateway.net.upstream.response_timer import ResponseTimer

# Limit of a response that is not streamed, with interim responses and chunk framing.
MAX_RESPONSE_BYTES = MAX_HEAD_BYTES + 2 * MAX_BUFFERED_BODY_BYTES


class ReceiverConnection(Protocol):
    """The connection that responses are received on."""

    transport: asyncio.Transport | None
    exchange: Exchange | None  # the one whose response is received; None while it is streamed

    def on_response_complete(self, exchange: Exchange, status: CallStatus, *, reusable: bool) -> None:
        """The response is complete and recorded in the exchange."""

    def on_response_streamed(self, exchange: Exchange, stream: BodyStream) -> bool:
        """The response is streamed from now on; return whether its client reads it."""

    def on_stream_complete(self, *, reusable: bool) -> None:
        """A streamed response is complete."""

    def on_malformed_response(self, error: ValueError) -> None:
        """The response cannot be parsed, exceeds a limit or stays incomplete."""

    def abort(self) -> None:
        """Close at once; nothing more is written or read."""


class ResponseReceiver:
    """Parses what the connection receives, and reports each response to it once.

    A response is buffered until it is complete, unless it is large, or of unknown length and slow. It is then
    streamed: the exchange succeeds at once, and the receiver writes the rest of the body to a stream.
    """

    __slots__ = ("_budget", "_connection", "_parser", "_received_bytes", "_timer", "source")

    def __init__(self, connection: ReceiverConnection, clock: Clock, budget: MemoryBudget) -> None:
        """Create the receiver of a connection; ``clock`` returns seconds."""
        self._budget = budget
        self._connection = connection
        self._parser = ResponseParser(self._on_large_body)
        self._timer = ResponseTimer(self._on_timer_expired)
        self._received_bytes = 0  # since the last request was sent
        self.source = ResponseSource(connection, clock, self._on_abandoned)

    @property
    def is_streaming(self) -> bool:
        """Whether a streamed response is being received."""
        return self._parser.body_stream is not None

    @property
    def has_received(self) -> bool:
        """Whether any byte has been received since the last request was sent."""
        return self._received_bytes > 0

    @property
    def has_partial_head(self) -> bool:
        """Whether the head of a response, or of an interim one, has been received in part."""
        return self._parser.in_message and not self._parser.has_head()

    def begin(self) -> None:
        """Discard the last response: the next request is about to be written."""
        self._parser.reset()
        self._received_bytes = 0

    def receive(self, data: bytes) -> None:
        """Parse a part of a response."""
        parser = self._parser
        self._received_bytes += len(data)
        try:
            parser.feed(data)
        except MalformedResponseError as error:
            self._connection.on_malformed_response(error)
            return
        # The connection may be released for reuse only here, after all input is parsed.
        if parser.status_code is not None:
            self._complete(parser.status_code)
        elif parser.body_stream is not None:
            self.source.record_progress()
            parser.body_stream.write(parser.take_body())
        else:
            self._check_incomplete()

    def receive_eof(self) -> None:
        """Complete a response whose end is the end of the connection."""
        parser = self._parser
        if parser.ends_at_eof and parser.status_code is None:
            self._complete(parser.finish_at_eof())

    def stop(self) -> None:
        """Stop the timer and fail a streamed response: the connection has ended."""
        self._timer.cancel()
        stream = self._parser.end_streaming()
        if stream is not None:
            stream.fail()

    def _check_incomplete(self) -> None:
        """Apply the limits on the size of an incomplete response and on the wait for its rest."""
        exchange = self._connection.exchange
        if exchange is None:
            self._connection.abort()  # the exchange ended while its response was parsed
        elif self._received_bytes > MAX_RESPONSE_BYTES:  # the parser's limits do not cover an endless head
            self._stop_buffering(exchange)
        elif self._parser.in_message:
            self._limit_wait(exchange)
            self._stream_if_out_of_memory(exchange)

    def _stop_buffering(self, exchange: Exchange) -> None:
        """Stream a response that may be long: its framing may take more bytes than its body."""
        if not self.stream_if_long(exchange):
            message = f"response still incomplete after {MAX_RESPONSE_BYTES} bytes"
            self._connection.on_malformed_response(MalformedResponseError(message))

    def _limit_wait(self, exchange: Exchange) -> None:
        """Start the timer for the rest of the response; one that may be long is streamed when it expires.

        Without a complete head the response may be long too: only the end of the exchange limits the wait.
        """
        parser = self._parser
        if not parser.has_head():
            self._timer.cancel()
        elif parser.may_be_long() and not parser.has_unreliable_end():
            self._timer.start_streaming_delay(exchange)
        else:
            self._timer.restart_gap(exchange)

    def _stream_if_out_of_memory(self, exchange: Exchange) -> None:
        """Pass on a response that cannot be buffered because the memory for peers is used up."""
        parser = self._parser
        is_successful = parser.has_head() and parser.received_status() == STATUS_OK
        if self._budget.is_exhausted and parser.body and is_successful and exchange.on_response_started:
            self._start_streaming()

    @property
    def used_bytes(self) -> int:
        """The memory that an incomplete response uses."""
        stream = self._parser.body_stream
        return self._parser.used_bytes + (0 if stream is None else stream.buffered_size)

    def _on_timer_expired(self, exchange: Exchange) -> None:
        if self._connection.exchange is not exchange:
            return
        try:
            if not self._parser.may_be_long():
                raise MalformedResponseError("response incomplete: no more data arrived in time")
            self._start_streaming()
        except ValueError as error:  # raised here, or by the exchange's on_response_started
            self._connection.on_malformed_response(error)

    def _on_large_body(self) -> None:
        if self._connection.exchange is not None:
            self._start_streaming()

    def stream_if_long(self, exchange: Exchange) -> bool:
        """Stream a response that may be long and cannot be buffered further; return whether that was done."""
        if exchange.on_response_started is None or not self._parser.may_be_long():
            return False
        self._start_streaming()
        return True

    def _start_streaming(self) -> None:
        """Stream the response to its client; the attempt succeeds before the body is complete."""
        parser = self._parser
        exchange = self._connection.exchange
        if exchange is None or exchange.on_response_started is None or parser.received_status() != STATUS_OK:
            raise MalformedResponseError("response too large or too slow to buffer, and cannot be streamed")
        self._timer.cancel()
        stream = BodyStream(self.source, parser.content_length, self._budget)
        parser.start_streaming(stream)
        self._record_response(exchange, body=b"")
        self.source.record_progress()
        if not self._connection.on_response_streamed(exchange, stream):
            self.source.abandon()
            return
        if parser.body:
            stream.write(parser.take_body())

    def _on_abandoned(self) -> None:
        self._parser.end_streaming()
        self._connection.abort()

    def _complete(self, status_code: int) -> None:
        """Report a complete response; the connection is not reusable if surplus bytes follow it."""
        self._timer.cancel()
        parser = self._parser
        reusable = parser.keep_alive and not parser.has_surplus
        stream = parser.body_stream
        if stream is not None:
            parser.end_streaming()
            if parser.body:
                stream.write(parser.take_body())
            self.source.set_paused(paused=False)
            self._connection.on_stream_complete(reusable=reusable)
            stream.finish()
            return
        exchange = self._connection.exchange
        if exchange is None:
            self._connection.abort()
            return
        self._record_response(exchange, body=parser.take_body())
        status = call_status(status_code, not_processed=parser.not_processed)
        self._connection.on_response_complete(exchange, status, reusable=reusable)

    def _record_response(self, exchange: Exchange, body: bytes) -> None:
        parser = self._parser
        load_report = (
            None if parser.load_header is None else parse_load_report(parser.load_header.decode("latin-1"))
        )
        exchange.record_response(bytes(parser.header_lines), body, parser.charged_units, load_report)
