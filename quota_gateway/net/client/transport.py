"""The transport of one client connection: its phase, and closing it without losing a response."""

from __future__ import annotations

import asyncio
import enum

from quota_gateway.net.common import socket_calls
from quota_gateway.net.common.http_common import MAX_STREAMED_BODY_BYTES, STREAM_RECEIVE_BUFFER_BYTES
from quota_gateway.net.common.socket_calls import PeerState

LINGER_SECONDS = 0.5  # a reset before the client has read its response would destroy the response
MAX_DISCARDED_BYTES = 128 * 1024  # the sender must not choose how much input is discarded
UPLOAD_LINGER_SECONDS = 5.0  # for the rest of a well-formed upload that was rejected before its end


class TransportPhase(enum.Enum):
    """The phases of a connection's transport, in their order; any of them may be followed by CLOSED."""

    CONNECTING = enum.auto()
    OPEN = enum.auto()  # requests are read and responses are written
    HALF_CLOSED = enum.auto()  # the end of the output was sent; further input is discarded
    CLOSED = enum.auto()  # closed or reset by the limiter, or lost


_OPEN = TransportPhase.OPEN  # compared for each request, and a lookup in an enum class is slow


class ClientTransport:
    """The one owner of a connection's transport.

    Only an OPEN transport is written to. In HALF_CLOSED it discards input for a limited time and a limited
    number of bytes (a lingering close), because closing a socket with unread input resets the connection.
    """

    __slots__ = (
        "_discarded_bytes",
        "_linger_seconds",
        "_max_discarded_bytes",
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
        self.phase = TransportPhase.CONNECTING
        self.reading_paused = False

    def on_connected(self, transport: asyncio.Transport) -> None:
        """Take ownership of the event loop's transport."""
        self._transport = transport
        self.phase = _OPEN

    def on_closed(self) -> None:
        """Release the event loop's transport, which is closed."""
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
        """Whether the transport is closed, or will be in this iteration of the event loop or the next."""
        return self._transport is None or self._transport.is_closing()

    @property
    def has_unread_input(self) -> bool:
        """Whether input was received that the event loop has not read; closing would lose it."""
        return self._transport is not None and socket_calls.has_unread_input(self._transport)

    def _usable(self) -> asyncio.Transport | None:
        if self.phase is not _OPEN:
            return None
        transport = self._transport
        return None if transport is None or transport.is_closing() else transport

    # Input and output.

    def write(self, data: bytes) -> None:
        """Write to an open transport; do nothing in any other phase."""
        transport = self._transport
        if self.phase is _OPEN and transport is not None and not transport.is_closing():
            transport.write(data)

    def set_reading_paused(self, *, paused: bool) -> None:
        """Pause or resume reading from an open transport."""
        if paused is self.reading_paused:
            return
        transport = self._usable()
        if transport is None:
            return
        self.reading_paused = paused
        if paused:
            transport.pause_reading()
        else:
            transport.resume_reading()

    def limit_receive_buffer(self) -> None:
        """Bound the part of an upload that the system buffers."""
        if self.phase is _OPEN and self._transport is not None:
            socket_calls.limit_receive_buffer(self._transport, STREAM_RECEIVE_BUFFER_BYTES)

    def allow_upload(self) -> None:
        """Allow more time and bytes for the rest of an upload that was rejected before its end."""
        self._linger_seconds = UPLOAD_LINGER_SECONDS
        self._max_discarded_bytes = MAX_STREAMED_BODY_BYTES

    def discard(self, size: int) -> bool:
        """Count discarded bytes of input; return whether they are within the limit."""
        self._discarded_bytes += size
        return self._discarded_bytes <= self._max_discarded_bytes

    # The state of the client.

    def poll_peer(self) -> PeerState:
        """Return what the socket of an open transport shows of the client."""
        assert self._transport is not None
        return socket_calls.poll_peer(self._transport)

    def has_error(self) -> bool:
        """Whether a reset was received, also while the input is not read."""
        assert self._transport is not None
        return socket_calls.has_socket_error(self._transport)

    def reports_data_age(self) -> bool:
        """Whether the system reports the age of the last data segment."""
        return self._transport is not None and socket_calls.reports_data_age(self._transport)

    def seconds_since_last_data(self) -> float | None:
        """Return the age of the last data segment from the client; None if it is unknown."""
        return None if self._transport is None else socket_calls.seconds_since_last_data(self._transport)

    # Closing.

    def half_close(self) -> None:
        """Send the end of the output behind the written data; close after the lingering time."""
        transport = self._usable()
        self.phase = TransportPhase.HALF_CLOSED
        if transport is None:
            return
        if self.reading_paused:
            transport.resume_reading()
        transport.write_eof()
        asyncio.get_running_loop().call_later(self._linger_seconds, transport.close)

    def close_without_input(self) -> bool:
        """Close unless input was received that has not been read; return whether the transport was closed.

        The end of the output is sent in the same step as the check. A request that arrives later has crossed
        it on the way, which its client recognizes and sends the request again.
        """
        transport = self._usable()
        if transport is None or self.has_unread_input:
            return False
        if transport.get_write_buffer_size() == 0:
            socket_calls.shut_down_sending(transport)
        self.phase = TransportPhase.CLOSED
        transport.close()
        return True

    def abort(self) -> None:
        """Reset the connection at once."""
        self.phase = TransportPhase.CLOSED
        if self._transport is not None:
            self._transport.abort()
