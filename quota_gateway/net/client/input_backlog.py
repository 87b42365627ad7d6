"""The input of one connection that was read and is parsed later, in slices."""

from __future__ import annotations

from typing import Protocol

from quota_gateway.net.client.head_parser import HEAD_END

# Small enough that a slice of small fields, chunks or requests is parsed in a few milliseconds.
SLICE_BYTES = 1024
BODY_SLICE_BYTES = 16 * 1024  # of a body that is not in chunks


class InputSocket(Protocol):
    """The socket that the input is read from."""

    def unread_size(self) -> int:
        """Return the number of received bytes that have not been read."""

    def peek_input(self, size: int) -> bytes:
        """Return up to ``size`` received bytes without reading them."""

    def receive_buffer_usage(self) -> float | None:
        """Return the fraction of the receive buffer that is in use; None if it is unknown."""


class InputBacklog:
    """Bytes in the order of their arrival."""

    __slots__ = ("_data", "_offset")

    def __init__(self) -> None:
        """Begin with no input."""
        self._data = b""
        self._offset = 0  # of the first byte that was not taken

    def __len__(self) -> int:
        """Return the number of bytes."""
        return len(self._data) - self._offset

    def append(self, data: bytes) -> None:
        """Add input that was read."""
        self._data = self._data[self._offset :] + data if len(self) else data
        self._offset = 0

    def take_slice(self, size: int) -> bytes:
        """Remove and return the first ``size`` bytes, or fewer if a head ends before, or all bytes.

        So a slice starts at most one request, unless it also has the end of the body of the one before.
        """
        start = self._offset
        end = start + size
        head_end = self._data.find(HEAD_END, start, end)
        if head_end >= 0:
            end = head_end + len(HEAD_END)
        taken = self._data[start:end]
        if end >= len(self._data):
            self.clear()
        else:
            self._offset = end
        return taken

    def clear(self) -> None:
        """Drop all bytes."""
        self._data = b""
        self._offset = 0

    def peek(self) -> bytes:
        """Return all bytes without removing them."""
        return self._data[self._offset :]


class UnparsedInput:
    """All received input that has not been parsed: the backlog, and behind it what the socket has."""

    __slots__ = ("_backlog", "_socket")

    def __init__(self, input_socket: InputSocket, backlog: InputBacklog) -> None:
        """Look at the input of one connection."""
        self._socket = input_socket
        self._backlog = backlog

    def unread_size(self) -> int:
        """Return the number of bytes."""
        return len(self._backlog) + self._socket.unread_size()

    def peek_input(self, size: int) -> bytes:
        """Return up to ``size`` bytes without reading them."""
        waiting = self._backlog.peek()[:size]
        return waiting + self._socket.peek_input(size - len(waiting))

    def receive_buffer_usage(self) -> float | None:
        """Return the fraction of the socket's receive buffer that is in use; None if it is unknown."""
        return self._socket.receive_buffer_usage()
