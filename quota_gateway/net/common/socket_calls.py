"""System calls on the sockets of transports for which the event loop has no methods."""

from __future__ import annotations

import asyncio
import contextlib
import enum
import errno
import fcntl
import os
import select
import socket
import struct
import termios

READ_BYTES = 65536
NATIVE_INT = struct.Struct("i")
NATIVE_UNSIGNED = struct.Struct("I")
TCP_INFO_BYTES = 64  # struct tcp_info (Linux) up to the times of the last segments
RETRANSMISSION_TIMEOUT_OFFSET = 8  # offset of tcpi_rto, which is never 0 if the system fills in the structure
LAST_DATA_RECEIVED_OFFSET = 52  # offset of tcpi_last_data_recv: milliseconds since the last data segment
MILLISECONDS_PER_SECOND = 1000
SO_MEMINFO = 55  # Linux: memory of a socket, as numbers of 32 bits
MEMORY_INFO = struct.Struct("II")  # the first two: bytes allocated for received data, and their limit


class PeerState(enum.Enum):
    """The state of a socket's peer that can be seen without reading from the socket."""

    CONNECTED = enum.auto()
    INPUT_ENDED = enum.auto()  # the peer closed its sending side or the whole connection
    RESET = enum.auto()  # the connection was reset, or both sides are shut down


def _open_socket(transport: asyncio.Transport) -> socket.socket:
    """Return the socket of a transport; raise ``OSError`` if the event loop has released it."""
    transport_socket: socket.socket | None = transport.get_extra_info("socket")
    if transport_socket is None:
        raise OSError(errno.EBADF, "the transport has no socket any more")
    return transport_socket


def _descriptor(transport: asyncio.Transport) -> int:
    """Return the descriptor of a transport's socket; -1 if the socket is closed."""
    try:
        return _open_socket(transport).fileno()
    except OSError:
        return -1


def poll_peer(transport: asyncio.Transport) -> PeerState:
    """Return the state of the peer, also while the event loop does not read the socket."""
    descriptor = _descriptor(transport)
    if descriptor < 0:
        return PeerState.RESET
    poll = select.poll()
    poll.register(descriptor, select.POLLRDHUP)
    ready = poll.poll(0)
    if not ready:
        return PeerState.CONNECTED
    _, events = ready[0]
    return PeerState.RESET if events & ~select.POLLRDHUP else PeerState.INPUT_ENDED


def has_socket_error(transport: asyncio.Transport) -> bool:
    """Whether an error such as a reset is pending, also while the event loop does not read the socket."""
    try:
        return bool(_open_socket(transport).getsockopt(socket.SOL_SOCKET, socket.SO_ERROR))
    except OSError:
        return True


def unread_size(transport: asyncio.Transport) -> int:
    """Return the number of bytes that the socket has received and the event loop has not read."""
    descriptor = _descriptor(transport)
    if descriptor < 0:
        return 0
    (size,) = NATIVE_INT.unpack(fcntl.ioctl(descriptor, termios.FIONREAD, bytes(NATIVE_INT.size)))
    return int(size)


def has_unread_input(transport: asyncio.Transport) -> bool:
    """Whether the socket has received bytes that the event loop has not read."""
    return unread_size(transport) > 0


def unacknowledged_size(transport: asyncio.Transport) -> int:
    """Return the number of written bytes that the peer's system has not acknowledged; 0 if it is unknown."""
    descriptor = _descriptor(transport)
    if descriptor < 0:
        return 0
    try:
        result = fcntl.ioctl(descriptor, termios.TIOCOUTQ, bytes(NATIVE_INT.size))
    except OSError:
        return 0
    (size,) = NATIVE_INT.unpack(result)
    return int(size)


def read_available(transport: asyncio.Transport) -> bytes:
    """Return the next bytes that the socket has received; nothing if there are none, or after an error."""
    descriptor = _descriptor(transport)
    if descriptor < 0:
        return b""
    try:
        return os.read(descriptor, READ_BYTES)
    except OSError:
        return b""


def peek_transport(transport: asyncio.Transport, size: int) -> bytes:
    """Return received bytes without consuming them; nothing if there are none, or after an error."""
    return peek(_descriptor(transport), size)


def peek(descriptor: int, size: int) -> bytes:
    """Do the same for a socket by its descriptor, which is negative if the socket is closed."""
    if descriptor < 0:
        return b""
    borrowed = socket.socket(socket.AF_INET, socket.SOCK_STREAM, 0, fileno=descriptor)
    try:
        return borrowed.recv(size, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except OSError:
        return b""
    finally:
        borrowed.detach()


def seconds_since_last_data(transport: asyncio.Transport) -> float | None:
    """Return the seconds since the last data segment arrived; None if the system does not report them."""
    with contextlib.suppress(OSError, struct.error):
        info = _open_socket(transport).getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
        (milliseconds,) = NATIVE_UNSIGNED.unpack_from(info, LAST_DATA_RECEIVED_OFFSET)
        return float(milliseconds / MILLISECONDS_PER_SECOND)
    return None


def reports_data_age(transport: asyncio.Transport) -> bool:
    """Whether the system reports the age of the last data segment of an established connection."""
    with contextlib.suppress(OSError, struct.error):
        info = _open_socket(transport).getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
        (retransmission_timeout,) = NATIVE_UNSIGNED.unpack_from(info, RETRANSMISSION_TIMEOUT_OFFSET)
        return bool(retransmission_timeout)
    return False


def limit_receive_buffer(transport: asyncio.Transport, size: int) -> None:
    """Limit the bytes that the system buffers for a socket while it is not read."""
    with contextlib.suppress(OSError):
        _open_socket(transport).setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)


def receive_buffer_usage(transport: asyncio.Transport) -> float | None:
    """Return the fraction of the socket's receive buffer that is in use; None if it is unknown."""
    with contextlib.suppress(OSError, struct.error):
        data = _open_socket(transport).getsockopt(socket.SOL_SOCKET, SO_MEMINFO, MEMORY_INFO.size)
        allocated, limit = MEMORY_INFO.unpack(data)
        return float(allocated / limit) if limit else None
    return None


def shut_down_sending(transport: asyncio.Transport) -> None:
    """Shut down the sending side at once; the event loop would do so in a later iteration."""
    descriptor = _descriptor(transport)
    if descriptor < 0:
        return
    borrowed = socket.socket(socket.AF_INET, socket.SOCK_STREAM, 0, fileno=descriptor)
    with contextlib.suppress(OSError):
        borrowed.shutdown(socket.SHUT_WR)
    borrowed.detach()


def abort_transport(transport: asyncio.Transport) -> None:
    """Close the connection at once; nothing more is written or read.

    The peer is sent the end of the connection during this call, not in a later iteration of the event loop.
    """
    if not transport.is_closing():
        shut_down_sending(transport)
    transport.abort()
