"""Observes an upload while reading is paused: its rest may wait unread, or its client may have stopped."""

from __future__ import annotations

from quota_gateway.net.client.input_backlog import InputSocket
from quota_gateway.net.common.body_framing import BodyDecoder, FramingError

MAX_SEND_BUFFER_BYTES = 4 * 1024 * 1024  # what the client's system accepts ahead of the network (Linux)
# Up to this fraction of the receive buffer in use, the client can send more (its window is open).
MAX_OPEN_WINDOW_USAGE = 0.5
LOOKAHEAD_BYTES = 4096  # examined at once; chunks of a byte take about a millisecond


class UnreadUpload:
    """The unread part of an upload, as successive calls of ``observe`` see it.

    The timeout of the request runs from its last byte, whether or not the limiter has read it. A copy of the
    decoder that reads the body finds the end of a chunked one in the unread input, examining each byte once.
    """

    __slots__ = ("_decoder", "_is_malformed", "_lookahead", "_observed", "_socket", "_unchanged_since")

    def __init__(self, input_socket: InputSocket, decoder: BodyDecoder) -> None:
        """Observe an upload on one connection; ``decoder`` has taken what was read of its body."""
        self._socket = input_socket
        self._decoder = decoder
        self._lookahead = decoder  # may be ahead of the decoder, never behind it when it is used
        self._is_malformed = False  # whether the unread input does not have the framing of the body
        self._observed: tuple[int, int] | None = None  # bytes that were read, and that were unread
        self._unchanged_since: float | None = None  # None if input was read or has arrived since

    def observe(self, now: float) -> None:
        """Look at the amount of unread input at ``now``, in seconds; to be called at intervals."""
        observed = (self._decoder.consumed, self._socket.unread_size())
        if observed != self._observed:
            self._unchanged_since = None
        elif self._unchanged_since is None:
            self._unchanged_since = now
        self._observed = observed

    @property
    def is_quiet(self) -> bool:
        """Whether no input was read or has arrived between the last two observations."""
        return self._unchanged_since is not None

    def has_unexamined_input(self) -> bool:
        """Whether ``look_ahead`` would find more out about a body in chunks."""
        if self._decoder.missing_bytes is not None or self._is_malformed:
            return False
        return not self._has_seen_end() and self._socket.unread_size() > self._examined_size()

    def look_ahead(self) -> None:
        """Examine the next part of the unread input of a body in chunks."""
        examined_size = self._examined_size()
        if self._lookahead is self._decoder or examined_size < 0:
            self._lookahead = self._decoder.copy()
            examined_size = 0
        unread = self._socket.peek_input(examined_size + LOOKAHEAD_BYTES)
        try:
            self._lookahead.skip(unread, examined_size)
        except FramingError:
            self._is_malformed = True  # the request is rejected when this part is read

    def has_end(self) -> bool:
        """Whether all input of the upload has arrived, as far as it was examined."""
        missing_bytes = self._decoder.missing_bytes
        if missing_bytes is None:
            return self._has_seen_end()
        return self._socket.unread_size() >= missing_bytes

    def is_client_silent(self, now: float, timeout: float) -> bool:
        """Whether the client has sent nothing for ``timeout`` seconds although it can send more."""
        if self._unchanged_since is None or now - self._unchanged_since <= timeout:
            return False
        usage = self._socket.receive_buffer_usage()
        return usage is not None and usage <= MAX_OPEN_WINDOW_USAGE

    def may_be_sent(self) -> bool:
        """Whether the client may have sent the rest, of which its own system may hold a part.

        Its system cannot deliver more while the receive buffer is full. A body of unknown length counts as
        not sent: it may go on.
        """
        missing_bytes = self._decoder.missing_bytes
        if missing_bytes is None:
            return False
        usage = self._socket.receive_buffer_usage()
        is_full = usage is not None and usage > MAX_OPEN_WINDOW_USAGE
        return is_full and missing_bytes - self._socket.unread_size() <= MAX_SEND_BUFFER_BYTES

    def _examined_size(self) -> int:
        """Return how many bytes of the unread input were examined; negative if more was read than that."""
        return self._lookahead.consumed - self._decoder.consumed

    def _has_seen_end(self) -> bool:
        return self._lookahead.is_complete
