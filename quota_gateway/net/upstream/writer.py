"""The socket's side of a connection to an endpoint: writing requests, streaming uploads, flow control."""

from __future__ import annotations

import asyncio
import fcntl
import struct
import termios
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol, cast

from quota_gateway.model import CallStatus
from quota_gateway.net.common.socket_calls import shut_down_sending
from quota_gateway.net.upstream.exchange import Exchange

if TYPE_CHECKING:
    from quota_gateway.net.upstream.endpoint import UpstreamEndpoint

STALL_TIMEOUT = 15.0  # seconds without a byte, read or written, until a streamed body is given up
NATIVE_INT = struct.Struct("i")  # what the FIONREAD call fills in
Clock = Callable[[], float]


class ExchangeOwner(Protocol):
    """What the writing of requests is reported to: the pool."""

    clock: Clock
    streaming_connections: set[UpstreamWriter]  # connections with a streamed body in progress

    def record_request_written(self, exchange: Exchange) -> None:
        """The request is written completely."""

    def complete(self, exchange: Exchange, status: CallStatus) -> None:
        """The exchange is over."""


class UpstreamWriter(asyncio.Protocol):
    """Writes one request at a time.

    A request that was not written completely was never executed; from its last byte on it may have been.
    It is the sink of an upload (``body_stream.BodySink``) and pauses reading for the source of a download.
    """

    def __init__(self, owner: ExchangeOwner, endpoint: UpstreamEndpoint) -> None:
        """A transport that is about to be connected to the endpoint's present address."""
        self._owner = owner
        self.endpoint = endpoint
        self.address = endpoint.address
        self.transport: asyncio.Transport | None = None
        self.exchange: Exchange | None = None
        self.last_progress = 0.0  # when a streamed body last advanced, in seconds by the owner's clock
        self._write_buffered = False  # some of what was written has not left this process
        self._upload_finished = False  # the last chunk of an upload is with the transport
        self._reading_paused = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Have writes go out at once."""
        transport = cast(asyncio.Transport, transport)  # uvloop's are no subclass of it
        self.transport = transport
        # At 0 a write goes out in the call itself, and pause_writing tells that some of it did not.
        transport.set_write_buffer_limits(high=0)

    def pause_writing(self) -> None:
        """Some of a write stayed in the buffer."""
        self._write_buffered = True
        exchange = self.exchange
        if exchange is not None and exchange.upload is not None and not self._upload_finished:
            exchange.upload.set_writable(False)

    def resume_writing(self) -> None:
        """The buffer is empty: the upload goes on, or the request is written completely."""
        self._write_buffered = False
        exchange = self.exchange
        if exchange is None:
            return
        if exchange.upload is not None and not self._upload_finished:
            self.last_progress = self._owner.clock()
            exchange.upload.set_writable(True)
        else:
            self._on_request_written(exchange)

    def _on_request_written(self, exchange: Exchange) -> None:
        exchange.request_written = True
        if exchange.upload is not None:
            exchange.started_at = self._owner.clock()
            self._owner.streaming_connections.discard(self)
        self._owner.record_request_written(exchange)

    def _write_request(self, exchange: Exchange, data: bytes) -> None:
        assert self.transport is not None
        self._upload_finished = False
        self.exchange = exchange
        self.transport.write(data)
        if self.transport.is_closing():  # the write itself failed: nothing has left
            self._owner.complete(exchange, CallStatus.RESET_BEFORE_REQUEST)
        elif exchange.upload is not None:
            self.last_progress = self._owner.clock()
            self._owner.streaming_connections.add(self)
            exchange.upload.attach(self, not self._write_buffered)
        elif not self._write_buffered:
            self._on_request_written(exchange)

    def write_chunk(self, data: bytes) -> None:
        """Write a part of an upload."""
        exchange = self.exchange
        if self.transport is None or exchange is None or exchange.upload is None or not data:
            return
        self.last_progress = self._owner.clock()
        chunked = exchange.upload.content_length is None
        self.transport.write(b"%x\r\n%b\r\n" % (len(data), data) if chunked else data)

    def finish(self) -> None:
        """The upload is complete."""
        exchange = self.exchange
        if self.transport is None or exchange is None or exchange.upload is None or self._upload_finished:
            return
        self._upload_finished = True
        if exchange.upload.content_length is None:
            self.transport.write(b"0\r\n\r\n")
        if not self._write_buffered:
            self._on_request_written(exchange)

    def truncate(self) -> None:
        """The upload broke off: without its end the endpoint never executes the request."""
        self.abort()

    def set_paused(self, paused: bool) -> None:
        """Read no further, or go on."""
        if self.transport is None or self.transport.is_closing() or paused is self._reading_paused:
            return
        self._reading_paused = paused
        self.last_progress = self._owner.clock()
        if paused:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def is_stalled(self, now: float) -> bool:
        """Whether an upload has waited too long for the endpoint to read."""
        return self._write_buffered and now - self.last_progress > STALL_TIMEOUT

    def has_unread_input(self) -> bool:
        """Whether bytes have arrived that the event loop has not read yet."""
        assert self.transport is not None
        file_descriptor = self.transport.get_extra_info("socket").fileno()
        size = fcntl.ioctl(file_descriptor, termios.FIONREAD, bytes(NATIVE_INT.size))
        return bool(NATIVE_INT.unpack(size)[0])

    def abort(self) -> None:
        """Close at once; nothing more is written or read.

        The end is sent in this step: another attempt of the request may be written in the next one, and must
        not be out beside this one.
        """
        if self.transport is not None:
            if not self.transport.is_closing():
                shut_down_sending(self.transport)
            self.transport.abort()
