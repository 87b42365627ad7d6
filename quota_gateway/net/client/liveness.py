"""Whether the client of a connection is still there: ends of input, half-closed clients and resets."""

from __future__ import annotations

import asyncio
import contextlib
import select
import socket
import struct
from typing import TYPE_CHECKING

from quota_gateway.net.client.stats import CloseReason

if TYPE_CHECKING:
    from quota_gateway.net.client.connection import ClientConnection

# Seconds in which a client that has gone shows it by a reset: a round trip, and a slow event loop.
RESET_WAIT = 0.1
# Seconds after the end of a client's input in which an attempt for it may still begin: 0.1 s are allowed, and
# a slow event loop needs its part of them. For as long a client that was seen is taken to be there unpolled.
PRESENCE_GRACE = 0.05
TCP_INFO_SIZE = 64  # bytes of struct tcp_info (Linux), up to the times of the last segments
LAST_DATA_RECEIVED = 52  # offset of tcpi_last_data_recv: milliseconds since the last byte came
NATIVE_UNSIGNED = struct.Struct("I")


class ClientLiveness:
    """What is known of the client's presence.

    A client that ends its input has gone, or waits half-closed for its responses. One that has gone meets the
    next bytes with a reset: an interim response is sent, and ``RESET_WAIT`` later the socket tells.
    """

    __slots__ = (
        "_connection",
        "_input_ended_at",
        "_is_confirmed",
        "_is_confirming",
        "input_ended",
        "last_seen_at",
    )

    def __init__(self, connection: ClientConnection, now: float) -> None:
        """Take the client of a new connection as seen ``now``."""
        self._connection = connection
        self._input_ended_at: float | None = None  # the earliest time at which it may have ended
        self._is_confirming = False  # an interim response has been sent
        self._is_confirmed = False  # and no reset followed
        self.input_ended = False  # the event loop has read the end of the input
        self.last_seen_at = now  # when the input had not ended

    @property
    def is_in_doubt(self) -> bool:
        """Whether the client may have gone, and has not been confirmed to wait half-closed."""
        return self._input_ended_at is not None and not self._is_confirmed

    def was_seen_recently(self, now: float) -> bool:
        """Whether the client's input had not ended within ``PRESENCE_GRACE``."""
        return now - self.last_seen_at <= PRESENCE_GRACE

    def is_connected(self) -> bool:
        """Whether an attempt may begin for the client.

        The socket is polled where the event loop may not have read the end yet. A client that ended its input
        within ``PRESENCE_GRACE`` may wait half-closed, and is served. A poll that finds it gone aborts
        the connection, and one that is in doubt has unsent attempts withdrawn.
        """
        connection = self._connection
        if connection.transport is None or connection.transport.is_closing():
            return False
        if self._input_ended_at is None and self.was_seen_recently(connection.listener.clock()):
            return True
        self.poll()
        if connection.transport is None:
            return False
        ended_at = self._input_ended_at
        if ended_at is not None and connection.listener.clock() - ended_at > PRESENCE_GRACE:
            self._notify_maybe_gone()
            return False
        return True

    def seconds_unread(self) -> float:
        """Seconds that what has just been read had waited, if this process may have stood still meanwhile."""
        connection = self._connection
        now = connection.listener.clock()
        if connection.transport is None or not connection.listener.stalls.is_after_stall(now):
            return 0.0
        elapsed = now - connection.received_after
        client_socket = connection.transport.get_extra_info("socket")
        with contextlib.suppress(OSError, struct.error):
            info = client_socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_SIZE)
            (milliseconds,) = NATIVE_UNSIGNED.unpack_from(info, LAST_DATA_RECEIVED)
            return float(min(elapsed, milliseconds / 1000))
        return 0.0

    def poll(self) -> None:
        """Look at the socket: while the input is not read, nothing else shows that the client has gone."""
        connection = self._connection
        assert connection.transport is not None
        poll = select.poll()
        now = connection.listener.clock()
        poll.register(connection.transport.get_extra_info("socket").fileno(), select.POLLRDHUP)
        found = poll.poll(0)
        if not found:
            self.last_seen_at = now
            return
        _, events = found[0]
        if events & ~select.POLLRDHUP:
            connection.abort(CloseReason.CLIENT_GONE)
            return
        if self._input_ended_at is None:
            self._input_ended_at = self.last_seen_at
        self._start_confirmation()

    def on_input_ended(self) -> None:
        """The event loop has read the end of the input, and responses are owed."""
        self.input_ended = True
        if self._input_ended_at is None:
            self._input_ended_at = self._connection.listener.clock()
        self._start_confirmation()

    def _start_confirmation(self) -> None:
        if self._is_confirming:
            return
        self._is_confirming = True
        first = self._connection.request_queue[0]
        if first.response_stream is None and not first.is_http_1_0:
            self._connection.write_continue()
        asyncio.get_running_loop().call_later(RESET_WAIT, self._finish_confirmation)

    def _finish_confirmation(self) -> None:
        """Nothing more is forwarded for a client that may have gone; attempts in flight may answer it."""
        connection = self._connection
        if connection.transport is None or connection.transport.is_closing() or not connection.request_queue:
            return
        if _has_socket_error(connection.transport):
            connection.abort(CloseReason.CLIENT_GONE)
            return
        self._is_confirmed = True
        self._notify_maybe_gone()
        connection.reader.body.on_client_confirmed()

    def _notify_maybe_gone(self) -> None:
        connection = self._connection
        for request in list(connection.request_queue):
            if request.response is None and request.response_stream is None:
                connection.listener.handler.on_client_maybe_gone(request)


def _has_socket_error(transport: asyncio.Transport) -> bool:
    """Whether a reset has been received, also while nothing is read."""
    client_socket = transport.get_extra_info("socket")
    return bool(client_socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR))
