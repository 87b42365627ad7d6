"""One connection to an endpoint: its transport, its exchange, and how each exchange ended.

A connection never sends a request twice; the caller decides whether to retry.
"""

from __future__ import annotations

import asyncio
from typing import Protocol, cast

from quota_gateway.model import CallStatus
from quota_gateway.net.common.body_stream import BodyStream
from quota_gateway.net.common.http_common import STREAM_RECEIVE_BUFFER_BYTES
from quota_gateway.net.common.iteration_budget import IterationBudget
from quota_gateway.net.common.memory_budget import MemoryBudget, MemoryUsage, ReadBuffer
from quota_gateway.net.common.socket_calls import abort_transport, limit_receive_buffer
from quota_gateway.net.upstream.endpoint import UpstreamEndpoint
from quota_gateway.net.upstream.exchange import Clock, Exchange, ExchangeEvents
from quota_gateway.net.upstream.request_writer import RequestWriter
from quota_gateway.net.upstream.response_receiver import ResponseReceiver
from quota_gateway.net.upstream.stats import ConnectionStats


class ConnectionEvents(Protocol):
    """Receives the events of a connection."""

    clock: Clock
    budget: MemoryBudget
    read_buffer: ReadBuffer
    read_time: IterationBudget
    stats: ConnectionStats

    def release(self, connection: UpstreamConnection, *, reusable: bool) -> None:
        """The connection no longer carries an exchange."""

    def record_stale_connection(self, connection: UpstreamConnection) -> None:
        """The connection was reused and broke before the first byte of a response."""

    def on_streaming_started(self, connection: UpstreamConnection) -> None:
        """A streamed body is in progress on the connection."""

    def on_streaming_ended(self, connection: UpstreamConnection) -> None:
        """The streamed body is complete."""

    def on_connection_lost(self, connection: UpstreamConnection) -> None:
        """The connection has ended."""


class UpstreamConnection(asyncio.BufferedProtocol):
    """A connection to an endpoint, with its transport and its exchange.

    It carries one of these at a time:

    - an ``exchange``: its request is being written, or its response is received and buffered;
    - a streamed response in its receiver, after the exchange has succeeded and was detached;
    - nothing: the connection is connecting, idle or closing, and any byte that it receives closes it.
    """

    __slots__ = (
        "_exchanges",
        "_has_ended",
        "_memory",
        "_owner",
        "_receiver",
        "_writer",
        "address",
        "endpoint",
        "exchange",
        "idle_since",
        "number",
        "reused_at",
        "transport",
    )

    def __init__(
        self, owner: ConnectionEvents, exchanges: ExchangeEvents, endpoint: UpstreamEndpoint, number: int
    ) -> None:
        """Create a connection that is still to be opened to the endpoint's current address.

        ``number`` identifies the connection in the log.
        """
        self._owner = owner
        self._exchanges = exchanges
        self.endpoint = endpoint
        self.address = endpoint.address
        self.number = number
        self._has_ended = False  # whether the owner was notified of the end
        self.transport: asyncio.Transport | None = None  # None before the connection opens and after it ends
        self.exchange: Exchange | None = None
        self.idle_since: float | None = None  # by the owner's clock; None until its first release
        self.reused_at = 0.0  # when it was last taken from the idle connections, by the owner's clock
        self._writer = RequestWriter(self, exchanges)
        self._receiver = ResponseReceiver(self, owner.clock, owner.budget)
        self._memory = MemoryUsage(owner.budget)

    def send(self, exchange: Exchange, data: bytes) -> None:
        """Write the request of an exchange, and expect its response."""
        assert self.transport is not None
        self._receiver.begin()
        exchange.assign_connection(
            self,
            self.number,
            reused=self.idle_since is not None,
            endpoint_started_at=self.endpoint.started_at,
        )
        self.exchange = exchange
        self._writer.write(self.transport, exchange, data)

    @property
    def has_partial_head(self) -> bool:
        """Whether the head of the response has been received in part."""
        return self._receiver.has_partial_head

    def stream_expired_response(self) -> bool:
        """Stream the response if its head is complete and it may be long; return whether that was done."""
        return self.exchange is not None and self._receiver.stream_if_long(self.exchange)

    def abandon_exchange(self) -> None:
        """Drop the exchange and close at once, so that no late response answers another request."""
        exchange = self._detach_exchange()
        if exchange is not None:
            exchange.release_connection()
        self.abort()

    def mark_idle(self, now: float) -> None:
        """Record that the connection became idle at ``now``."""
        self.idle_since = now

    def mark_reused(self, now: float) -> None:
        """Record that the idle connection was assigned to an exchange at ``now``."""
        self.reused_at = now

    def idle_time(self, now: float) -> float:
        """Return the seconds since the connection became idle."""
        return now - (self.idle_since or 0.0)

    def is_stalled(self, now: float) -> bool:
        """Whether the endpoint has stopped sending or accepting a streamed body."""
        transfer = self._receiver.source if self._receiver.is_streaming else self._writer
        return transfer.is_stalled(now)

    def is_reading_paused(self) -> bool:
        """Whether reading a streamed response is paused until its client accepts more."""
        return self._receiver.source.is_paused

    def close(self) -> None:
        """Close the connection once the buffered bytes are written."""
        if self.transport is not None:
            self.transport.close()

    def end_opening(self) -> bool:
        """End a connection whose opening has failed; return False if the owner knows that it has ended.

        It may have a transport nevertheless, if it was established late. The event loop has closed that
        transport and need not call ``connection_lost``.
        """
        if self._has_ended:
            return False
        self._has_ended = True
        self._memory.update(0)
        if self.transport is not None:
            self.transport.abort()
            self.transport = None
        return True

    def abort(self) -> None:
        """Close the connection in this call, not in a later iteration of the event loop.

        A retry that is written next would otherwise overlap with this attempt.
        """
        if self.transport is not None:
            abort_transport(self.transport)

    # Events of the request writer.

    def on_upload_started(self) -> None:
        """Have the owner check the upload for stalls."""
        self._owner.on_streaming_started(self)

    def on_upload_ended(self) -> None:
        """Stop the stall checks of an upload that has been written completely."""
        self._owner.on_streaming_ended(self)

    # Called by the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport, and have it report each write that was not accepted in full."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's transports are no subclass of it
        # With a limit of 0 the transport passes each write to the operating system before the call returns,
        # and calls pause_writing if a part of it was not accepted.
        self.transport.set_write_buffer_limits(high=0)

    def pause_writing(self) -> None:
        """Notify the writer that the transport buffers a part of a write."""
        self._writer.on_buffer_filled()
        self._update_memory()

    def resume_writing(self) -> None:
        """Notify the writer that the transport's buffer is empty."""
        self._writer.on_buffer_emptied()
        self._update_memory()

    def connection_lost(self, exc: Exception | None) -> None:
        """End the exchange or the streamed response that the connection carried."""
        if self._has_ended:
            return
        self._has_ended = True
        self.transport = None
        self._memory.update(0)
        self._writer.stop()
        if self.exchange is not None:
            self._record_break()
        self._owner.on_connection_lost(self)
        self._receiver.stop()
        exchange = self._detach_exchange()
        if exchange is not None:
            was_written = exchange.request_written
            self._exchanges.complete(
                exchange, CallStatus.RESET_AFTER_REQUEST if was_written else CallStatus.RESET_BEFORE_REQUEST
            )

    def eof_received(self) -> None:
        """Complete a response whose end is the end of the connection."""
        if self.exchange is not None or self._receiver.is_streaming:
            self._receiver.receive_eof()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read, whose size the memory budget limits."""
        return self._owner.read_buffer.writable()

    def buffer_updated(self, nbytes: int) -> None:
        """Receive a part of a response; close if none is expected."""
        data = self._owner.read_buffer.take(nbytes)
        self._owner.read_time.begin()
        self._handle_input(data)
        if self._owner.read_time.is_used_up():
            self._receiver.source.defer_reading()

    def _handle_input(self, data: bytes) -> None:
        exchange = self.exchange
        if exchange is None and not self._receiver.is_streaming:
            self.abort()  # no response is expected: these bytes must not answer the next request
            return
        if exchange is not None and not exchange.request_written:
            self.abort()  # the request is incomplete, so the endpoint has not executed it
            return
        self._receiver.receive(data)
        self._update_memory()

    def _update_memory(self) -> None:
        transport = self.transport
        if transport is None:
            self._memory.update(0)
        else:
            self._memory.update(self._receiver.used_bytes + transport.get_write_buffer_size())

    # Events of the response receiver.

    def on_response_complete(self, exchange: Exchange, status: CallStatus, *, reusable: bool) -> None:
        """Release the connection, then end the exchange: its callback may start the next one."""
        self.exchange = None
        self._owner.release(self, reusable=reusable and not self._writer.has_unsent_bytes)
        self._exchanges.complete(exchange, status)

    def on_response_streamed(self, exchange: Exchange, stream: BodyStream) -> bool:
        """End the exchange as successful; return whether the client reads the stream."""
        self._detach_exchange()
        self._owner.on_streaming_started(self)
        if self.transport is not None:
            limit_receive_buffer(self.transport, STREAM_RECEIVE_BUFFER_BYTES)
        assert exchange.on_response_started is not None
        has_reader = exchange.on_response_started(exchange, stream)
        self._exchanges.complete(exchange, CallStatus.OK)
        return has_reader

    def on_stream_complete(self, *, reusable: bool) -> None:
        """Make the connection available for the next exchange."""
        self._owner.on_streaming_ended(self)
        self._owner.release(self, reusable=reusable)

    def on_malformed_response(self, error: ValueError) -> None:
        """End the exchange with an error: the endpoint responded, and may have executed the request.

        A malformed response does not count as a broken connection: all endpoints may send them at one time.
        """
        exchange = self._detach_exchange()
        self._owner.stats.record_malformed_response(self.endpoint.name, error)
        if exchange is None:
            self.abort()  # connection_lost notifies the client of a streamed response
            return
        exchange.release_connection()
        self.abort()
        self._exchanges.complete(exchange, CallStatus.ERROR)

    def _detach_exchange(self) -> Exchange | None:
        """Detach and return the exchange, and stop writing its request."""
        exchange = self.exchange
        self.exchange = None
        self._writer.stop()
        return exchange

    def _record_break(self) -> None:
        is_reused = self.idle_since is not None
        self._owner.stats.record_broken(reused=is_reused)
        if is_reused and not self._receiver.has_received:
            self._owner.record_stale_connection(self)
