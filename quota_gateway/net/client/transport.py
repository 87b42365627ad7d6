"""The transport of one client connection; closes it in a way that loses no response."""

from __future__ import annotations

import asyncio
import enum

from quota_gateway.net.common import socket_calls
from quota_gateway.net.common.http_common import MAX_STREAMED_BODY_BYTES, STREAM_RECEIVE_BUFFER_BYTES
from quota_gateway.net.common.output_progress import OutputProgress
from quota_gateway.net.common.socket_calls import PeerState

# How long a half-closed connection discards input before it is closed, and again if its output has not been
# delivered by then. Closing at once could cause a reset, and a client that receives a reset before it has
# read its response loses the response.
LINGER_SECONDS = 0.5
MAX_DISCARDED_BYTES = 128 * 1024  # a limit, because the client must not determine how much input is discarded
# Output beyond this that the system does not accept stops the production of more.
MAX_WAITING_OUTPUT_BYTES = 4096
# The linger time for the rest of a well-formed upload that was rejected before its end.
UPLOAD_LINGER_SECONDS = 5.0


class TransportPhase(enum.Enum):
    """The phases of a connection's transport, in order; each of them may be followed by CLOSED."""

    CONNECTING = enum.auto()
    OPEN = enum.auto()  # requests are read and responses are written
    HALF_CLOSED = enum.auto()  # the sending side is closed; further input is discarded
    CLOSED = enum.auto()  # closed or reset by either side, or failed


_OPEN = TransportPhase.OPEN  # used for each request, and attribute access on an enum class is slow


class ClientTransport:
    """Owns the asyncio transport of one client connection.

    Data is written only in phase OPEN. In phase HALF_CLOSED, input is discarded for a limited time and up to
    a limited number of bytes (lingering close), because closing a socket with unread input resets the
    connection.
    """

    __slots__ = (
        "_discarded_bytes",
        "_linger_seconds",
        "_max_discarded_bytes",
        "_progress",
        "_transport",
        "phase",
        "reading_paused",
    )

    def __init__(self) -> None:
        """Create the transport of a connection that is being accepted."""
        self._transport: asyncio.Transport | None = None
        self._discarded_bytes = 0
        self._linger_seconds = LINGER_SECONDS
        self._max_discarded_bytes = MAX_DISCARDED_BYTES
        self._progress = OutputProgress()
        self.phase = TransportPhase.CONNECTING
        self.reading_paused = False

    def on_connected(self, transport: asyncio.Transport) -> None:
        """Take ownership of the asyncio transport, which is connected."""
        self._transport = transport
        transport.set_write_buffer_limits(high=MAX_WAITING_OUTPUT_BYTES)
        self.phase = _OPEN

    def on_closed(self) -> None:
        """Release the asyncio transport, which is closed."""
        self._transport = None
        self.phase = TransportPhase.CLOSED

    @property
    def is_open(self) -> bool:
        """Whether neither the limiter nor the event loop has ended the connection."""
        return self.phase is _OPEN

    @property
    def is_writable(self) -> bool:
        """Whether the transport is open and has not failed."""
        transport = self._transport
        return self.phase is _OPEN and transport is not None and not transport.is_closing()

    @property
    def is_lingering(self) -> bool:
        """Whether the connection is half-closed and its input is still being discarded."""
        return self.phase is TransportPhase.HALF_CLOSED and not self.is_closed

    @property
    def is_closed(self) -> bool:
        """Whether the transport is closed, or will be in this or the next iteration of the event loop."""
        return self._transport is None or self._transport.is_closing()

    @property
    def has_unread_input(self) -> bool:
        """Whether the socket has input that the event loop has not read; closing would lose that input."""
        return self._transport is not None and socket_calls.has_unread_input(self._transport)

    @property
    def has_undelivered_output(self) -> bool:
        """Whether the client's system has not acknowledged all of the output, or its end.

        Closing the connection could lose that output: if any input is unread then, the close resets it.
        """
        transport = self._transport
        if transport is None:
            return False
        return transport.get_write_buffer_size() > 0 or socket_calls.unacknowledged_size(transport) > 0

    def unwritten_size(self) -> int:
        """Return the number of output bytes that have not been passed to the operating system."""
        return 0 if self._transport is None else self._transport.get_write_buffer_size()

    def seconds_without_progress(self, now: float) -> float:
        """Return for how long the client's system has acknowledged none of the output that waits for it.

        To be called in each scan.
        """
        if self._transport is None:
            return 0.0
        return self._progress.seconds_without_progress(self._transport, now)

    def unread_size(self) -> int:
        """Return the number of bytes that the socket has received and the event loop has not read."""
        return 0 if self._transport is None else socket_calls.unread_size(self._transport)

    def peek_input(self, size: int) -> bytes:
        """Return up to ``size`` unread bytes without reading them."""
        if self._transport is None:
            return b""
        return socket_calls.peek_transport(self._transport, size)

    def receive_buffer_usage(self) -> float | None:
        """Return the fraction of the receive buffer that is in use; None if it is unknown."""
        return None if self._transport is None else socket_calls.receive_buffer_usage(self._transport)

    def _writable_transport(self) -> asyncio.Transport | None:
        if self.phase is not _OPEN:
            return None
        transport = self._transport
        return None if transport is None or transport.is_closing() else transport

    # Input and output.

    def write(self, data: bytes) -> None:
        """Write ``data`` if the transport is open; otherwise do nothing."""
        transport = self._transport
        if self.phase is _OPEN and transport is not None and not transport.is_closing():
            self._progress.record_written(len(data))
            transport.write(data)

    def set_reading_paused(self, *, paused: bool) -> None:
        """Pause or resume reading from an open transport."""
        if paused is self.reading_paused:
            return
        transport = self._writable_transport()
        if transport is None:
            return
        self.reading_paused = paused
        if paused:
            transport.pause_reading()
        else:
            transport.resume_reading()

    def limit_receive_buffer(self) -> None:
        """Limit how much of an upload the operating system buffers."""
        if self.phase is _OPEN and self._transport is not None:
            socket_calls.limit_receive_buffer(self._transport, STREAM_RECEIVE_BUFFER_BYTES)

    def extend_linger_limits(self) -> None:
        """Allow more time and bytes for the rest of an upload that was rejected before its end."""
        self._linger_seconds = UPLOAD_LINGER_SECONDS
        self._max_discarded_bytes = MAX_STREAMED_BODY_BYTES

    def count_discarded(self, size: int) -> bool:
        """Count ``size`` discarded bytes of input; return whether the total is within the limit.

        Beyond the limit, no more input is read.
        """
        self._discarded_bytes += size
        if self._discarded_bytes <= self._max_discarded_bytes:
            return True
        if self._transport is not None:
            self._transport.pause_reading()
        return False

    # The state of the client.

    def poll_peer(self) -> PeerState:
        """Return the state of the client as the socket shows it; the transport must be open."""
        assert self._transport is not None
        return socket_calls.poll_peer(self._transport)

    def has_error(self) -> bool:
        """Whether a reset was received, even if the event loop does not read the input."""
        assert self._transport is not None
        return socket_calls.has_socket_error(self._transport)

    def reports_data_age(self) -> bool:
        """Whether the operating system reports the age of the last data segment."""
        return self._transport is not None and socket_calls.reports_data_age(self._transport)

    def seconds_since_last_data(self) -> float | None:
        """Return the age of the last data segment from the client; None if it is unknown."""
        return None if self._transport is None else socket_calls.seconds_since_last_data(self._transport)

    # Closing.

    def half_close(self) -> None:
        """Close the sending side after the written data; close the connection once these are delivered.

        That is checked at intervals of the linger time.
        """
        transport = self._writable_transport()
        self.phase = TransportPhase.HALF_CLOSED
        if transport is None:
            return
        if self.reading_paused:
            transport.resume_reading()
        transport.write_eof()
        self._start_linger()

    def _start_linger(self) -> None:
        asyncio.get_running_loop().call_later(self._linger_seconds, self._end_linger)

    def _end_linger(self) -> None:
        if self.has_undelivered_output:
            self._start_linger()
        elif self._transport is not None:
            self._transport.close()

    def close_idle(self) -> bool:
        """Close the transport unless it has unread input or undelivered output; return whether it was closed.

        The end of the output is sent in the same step as the check for unread input. A client whose request
        arrives later sees that its request and the close crossed on the network, and sends the request again.
        """
        transport = self._writable_transport()
        if transport is None or self.has_undelivered_output or self.has_unread_input:
            return False
        socket_calls.shut_down_sending(transport)
        self.phase = TransportPhase.CLOSED
        transport.close()
        return True

    def abort(self) -> None:
        """Reset the connection at once."""
        self.phase = TransportPhase.CLOSED
        if self._transport is not None:
            self._transport.abort()
