"""How a client connection ends, so that neither a response nor an unread request is lost."""

from __future__ import annotations

import asyncio
import enum
import fcntl
import struct
import termios
from typing import TYPE_CHECKING

from quota_gateway.net.client.stats import VOLUNTARY, CloseReason
from quota_gateway.net.common.http_common import MAX_STREAMED_BODY
from quota_gateway.net.common.invariants import Invariant
from quota_gateway.net.common.socket_calls import shut_down_sending

if TYPE_CHECKING:
    from quota_gateway.net.client.connection import ClientConnection

LINGER_TIME = 0.5  # seconds in which input is still discarded: a reset would eat the response
MAX_DISCARDED = 128 * 1024  # bytes of it: how much is read must not be the sender's choice
UPLOAD_LINGER_TIME = 5.0  # seconds: the upload of a proper request that was rejected early is read off


class EvictionPriority(enum.IntEnum):
    """Which connections are evicted first when the listener is at its limit."""

    LINGERING = 0
    NEVER_SENT_DATA = 1
    HALF_READ = 2
    IDLE = 3


class ConnectionCloser:
    """Closes one connection; holds its transport while the close lingers.

    Every ending by the limiter goes through ``_begin``, the guard of requests without an answer.
    """

    __slots__ = ("_connection", "_discarded", "_linger_time", "_max_discarded", "_transport", "reason")

    def __init__(self, connection: ClientConnection) -> None:
        """Create the closer of an open connection."""
        self._connection = connection
        self._transport: asyncio.Transport | None = None  # it is being closed
        self._discarded = 0  # bytes
        self._linger_time = LINGER_TIME
        self._max_discarded = MAX_DISCARDED
        self.reason = CloseReason.BY_CLIENT  # until the limiter ends it

    @property
    def is_lingering(self) -> bool:
        """Whether the connection is half-closed and its input still discarded."""
        return self._transport is not None and not self._transport.is_closing()

    @property
    def is_closed(self) -> bool:
        """Whether the transport is closed, or will be in this turn of the event loop or the next."""
        transport = self._connection.transport or self._transport
        return transport is None or transport.is_closing()

    @property
    def has_unread_input(self) -> bool:
        """Whether a request was received that the event loop has not read: a close would lose it."""
        transport = self._connection.transport
        assert transport is not None
        descriptor = transport.get_extra_info("socket").fileno()
        if descriptor < 0:
            return False
        (unread,) = struct.unpack("i", fcntl.ioctl(descriptor, termios.FIONREAD, b"\0" * 4))
        return bool(unread)

    def expect_upload(self) -> None:
        """Give the rest of an upload that was rejected early more time and bytes."""
        self._linger_time = UPLOAD_LINGER_TIME
        self._max_discarded = MAX_STREAMED_BODY

    def discard(self, size: int) -> None:
        """Count discarded input; abort where it is too much."""
        self._discarded += size
        if self._discarded > self._max_discarded:
            self.abort(CloseReason.TOO_MUCH_INPUT)

    def close_after_response(self) -> None:
        """Close behind a response: half-close, and discard input for a while (lingering close)."""
        connection = self._connection
        transport = self._take_transport()
        if transport is None:
            return
        self._begin(CloseReason.RESPONSE)
        connection.notify_disconnected()
        if transport.is_closing():
            return
        if connection.reading_paused:
            transport.resume_reading()
        transport.write_eof()
        asyncio.get_running_loop().call_later(self._linger_time, transport.close)

    def close_idle(self, reason: CloseReason = CloseReason.IDLE) -> bool:
        """Close between two requests, unless one was received that has not been read; whether it closed.

        The end is sent in the same step as the look: a request after it has crossed it, and is sent again.
        """
        transport = self._connection.transport
        if transport is None or transport.is_closing() or self.has_unread_input:
            return False
        if transport.get_write_buffer_size() == 0:
            shut_down_sending(transport)
        self._begin(reason)
        self._take_transport()
        transport.close()
        return True

    @property
    def eviction_order(self) -> tuple[EvictionPriority, float] | None:
        """Sorts the connections that may be evicted, the first one first; None for those that may not."""
        connection = self._connection
        if connection.transport is None:
            return (EvictionPriority.LINGERING, connection.phase_started_at) if self.is_lingering else None
        if connection.request_queue:
            return None
        if not connection.has_sent_data:
            priority = EvictionPriority.NEVER_SENT_DATA
        elif connection.reader.in_message:
            priority = EvictionPriority.HALF_READ
        else:
            priority = EvictionPriority.IDLE
        return priority, connection.phase_started_at

    def evict(self) -> bool:
        """Close or abort, unless a request, or the rest of one, is unread; whether the connection went."""
        connection = self._connection
        if connection.transport is not None and not connection.reader.in_message:
            return self.close_idle(CloseReason.EVICTED)
        if connection.transport is not None and self.has_unread_input:
            return False
        self.abort(CloseReason.EVICTED)
        return True

    def abort(self, reason: CloseReason) -> None:
        """Reset the connection at once."""
        connection = self._connection
        self._begin(reason)
        connection.notify_disconnected()
        if connection.transport is not None:
            self._transport = connection.transport
            connection.transport = None
        if self._transport is not None:
            self._transport.abort()

    def _begin(self, reason: CloseReason) -> None:
        """Note why the limiter ends the connection; without need none with an unanswered request ends."""
        if self.reason is CloseReason.BY_CLIENT:
            self.reason = reason
        if reason not in VOLUNTARY:
            return
        unanswered = [
            request.request_id.decode("latin-1")
            for request in self._connection.request_queue
            if request.response is None and request.response_stream is None
        ]
        if unanswered:
            story = f"{reason} with unanswered requests: {', '.join(unanswered)}"
            self._connection.listener.metrics.invariants.report(Invariant.ANSWERED_BEFORE_CLOSE, story)

    def detach(self) -> None:
        """Forget the transport, which is closed."""
        self._transport = None

    def _take_transport(self) -> asyncio.Transport | None:
        """Take the transport from the connection, which is closing from now on."""
        connection = self._connection
        transport = connection.transport
        connection.transport = None
        if transport is not None:
            self._transport = transport
            connection.discards_input = True
        return transport
