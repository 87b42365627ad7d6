"""Detects that the rest of an upload waits unread in the socket while reading is paused."""

from __future__ import annotations

import re
from typing import Protocol

# The end of a chunked body (RFC 9112, 7.1): the last chunk, then trailers if there are any.
END_OF_CHUNKED_BODY = re.compile(rb"\r\n0+[ \t]*(?:;[^\r\n]*)?\r\n(?:[^\r\n]+\r\n)*\r\n\Z")
MAX_END_BYTES = 4096  # the end is searched for in this many bytes; longer trailers are not recognized


class InputSocket(Protocol):
    """The socket that the upload is read from."""

    def unread_size(self) -> int:
        """Return the number of received bytes that have not been read."""

    def peek_input(self, size: int) -> bytes:
        """Return up to ``size`` received bytes without reading them."""


class UnreadUpload:
    """Knows whether the client has sent all of an upload, of which some is unread.

    The timeout of the request runs from its last byte, whether or not the limiter has read it. The end of a
    chunked body is recognized by its last bytes, once no input has arrived between two calls.
    """

    __slots__ = ("_last_read", "_quiet_size", "_socket")

    def __init__(self, input_socket: InputSocket) -> None:
        """Observe the uploads on one connection."""
        self._socket = input_socket
        self._last_read = b""  # the last bytes that were read
        self._quiet_size = 0  # unread bytes at the last call, or 0

    def record_read(self, data: bytes) -> None:
        """Record input that has been read: the end of a chunked body may be read in part."""
        self._quiet_size = 0
        self._last_read = (self._last_read + data[-MAX_END_BYTES:])[-MAX_END_BYTES:]

    def is_complete(self, missing_bytes: int | None) -> bool:
        """Whether all input of the upload has arrived.

        ``missing_bytes``: bytes of the body that have not been read; None if its length is unknown.
        """
        unread_size = self._socket.unread_size()
        if missing_bytes is not None:
            return unread_size >= missing_bytes
        is_quiet = unread_size == self._quiet_size
        self._quiet_size = unread_size
        return is_quiet and unread_size > 0 and self._ends_chunked_body(unread_size)

    def _ends_chunked_body(self, unread_size: int) -> bool:
        unread = self._socket.peek_input(unread_size)
        last_bytes = (self._last_read + unread)[-MAX_END_BYTES:]
        return END_OF_CHUNKED_BODY.search(last_bytes) is not None
