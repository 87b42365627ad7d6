"""Operations on the transport of an endpoint's connection that asyncio has no method for."""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import socket
import struct
import termios

from quota_gateway.net.common.http_common import STREAM_RECEIVE_BUFFER_BYTES
from quota_gateway.net.common.socket_calls import shut_down_sending

NATIVE_INT = struct.Struct("i")  # the result of the FIONREAD call


def abort_transport(transport: asyncio.Transport) -> None:
    """Close at once; nothing more is written or read.

    The end of the connection is sent in this very call: a retry of the request may be written in the next
    step, and must not be in flight together with this attempt.
    """
    if not transport.is_closing():
        shut_down_sending(transport)
    transport.abort()


def has_unread_input(transport: asyncio.Transport) -> bool:
    """Whether bytes have arrived that the event loop has not read yet."""
    descriptor = transport.get_extra_info("socket").fileno()
    size = fcntl.ioctl(descriptor, termios.FIONREAD, bytes(NATIVE_INT.size))
    return bool(NATIVE_INT.unpack(size)[0])


def limit_receive_buffer(transport: asyncio.Transport) -> None:
    """Limit the operating system's receive buffer for a streamed response."""
    raw_socket = transport.get_extra_info("socket")
    with contextlib.suppress(OSError):  # without the limit only more memory is used
        raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, STREAM_RECEIVE_BUFFER_BYTES)
