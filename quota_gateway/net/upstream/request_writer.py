"""Writes requests to an endpoint, including streamed uploads with flow control."""

from __future__ import annotations

import asyncio
from typing import Protocol

from quota_gateway.model import CallStatus
from quota_gateway.net.common.body_stream import BODY_STALL_TIMEOUT_SECONDS
from quota_gateway.net.common.output_progress import OutputProgress
from quota_gateway.net.upstream.exchange import Exchange, ExchangeEvents


class WriterConnection(Protocol):
    """The connection that a request is written to."""

    def on_upload_started(self) -> None:
        """The head of a request is written, and its streamed body follows."""

    def on_upload_ended(self) -> None:
        """The request is written completely, with its streamed body."""

    def abort(self) -> None:
        """Close at once; nothing more is written or read."""


class RequestWriter:
    """Writes the requests of one connection, one at a time.

    It holds an exchange from the start of the write until the request is written completely, or until
    ``stop``. The endpoint never executes a request that was not written completely; once the last byte is
    written, it may. The writer is the sink of an upload (``body_stream.BodySink``).
    """

    __slots__ = (
        "_connection",
        "_exchange",
        "_exchanges",
        "_progress",
        "_transport",
        "_upload_finished",
        "has_unsent_bytes",
    )

    def __init__(self, connection: WriterConnection, exchanges: ExchangeEvents) -> None:
        """Create the writer of a connection."""
        self._exchanges = exchanges
        self._connection = connection
        self._transport: asyncio.Transport | None = None
        self._exchange: Exchange | None = None  # the one whose request is being written
        self._upload_finished = False  # whether the last chunk of the upload is passed to the transport
        self._progress = OutputProgress()
        # Whether the transport buffers bytes that the operating system has not accepted.
        self.has_unsent_bytes = False

    def write(self, transport: asyncio.Transport, exchange: Exchange, data: bytes) -> None:
        """Write the head of a request and its buffered body, then attach its upload if it has one."""
        self._transport = transport
        self._exchange = exchange
        self._upload_finished = False
        self._write(transport, data)
        if transport.is_closing():  # the write itself failed: no part of the request was sent
            self._exchange = None
            self._exchanges.complete(exchange, CallStatus.RESET_BEFORE_REQUEST)
        elif exchange.upload is not None:
            self._progress.restart()
            self._connection.on_upload_started()
            exchange.upload.attach(self, writable=not self.has_unsent_bytes)
        elif not self.has_unsent_bytes:
            self._exchange = None
            self._exchanges.record_request_written(exchange)

    def stop(self) -> None:
        """Stop writing the current request: its exchange or its connection has ended."""
        self._exchange = None

    def on_buffer_filled(self) -> None:
        """Pause the upload: the transport buffers a part of a write."""
        self.has_unsent_bytes = True
        exchange = self._exchange
        if exchange is not None and exchange.upload is not None and not self._upload_finished:
            exchange.upload.set_writable(writable=False)

    def on_buffer_emptied(self) -> None:
        """Resume the upload, or report the request as written if no part of it remains."""
        self.has_unsent_bytes = False
        exchange = self._exchange
        if exchange is None:
            return
        if exchange.upload is not None and not self._upload_finished:
            exchange.upload.set_writable(writable=True)
        else:
            self._finish_request(exchange)

    def is_stalled(self, now: float) -> bool:
        """Whether the endpoint has accepted nothing of an upload for ``BODY_STALL_TIMEOUT_SECONDS``.

        To be called at intervals while an upload is being written.
        """
        transport = self._transport
        if transport is None or transport.is_closing():
            return False
        return self._progress.seconds_without_progress(transport, now) > BODY_STALL_TIMEOUT_SECONDS

    def _write(self, transport: asyncio.Transport, data: bytes) -> None:
        self._progress.record_written(len(data))
        transport.write(data)

    def _finish_request(self, exchange: Exchange) -> None:
        self._exchange = None
        if exchange.upload is not None:
            self._connection.on_upload_ended()
        self._exchanges.record_request_written(exchange)

    # Methods of ``BodySink``, called by the upload.

    def write_chunk(self, data: bytes) -> None:
        """Write a chunk of the upload."""
        exchange = self._exchange
        if exchange is None or exchange.upload is None or not data:
            return
        assert self._transport is not None
        is_chunked = exchange.upload.content_length is None
        self._write(self._transport, b"%x\r\n%b\r\n" % (len(data), data) if is_chunked else data)

    def finish(self) -> None:
        """End the upload: all of its chunks are written."""
        exchange = self._exchange
        if exchange is None or exchange.upload is None or self._upload_finished:
            return
        assert self._transport is not None
        self._upload_finished = True
        if exchange.upload.content_length is None:
            self._write(self._transport, b"0\r\n\r\n")
        if not self.has_unsent_bytes:
            self._finish_request(exchange)

    def truncate(self) -> None:
        """Close the connection: an endpoint never executes a request whose upload is truncated."""
        self._connection.abort()
