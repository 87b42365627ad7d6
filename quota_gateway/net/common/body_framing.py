"""Framing of bodies (RFC 9112, 6 and 7.1): decides where a message ends, and decodes what it contains.

A decoder is fed the bytes behind a head, in parts of any size, until it is complete. A copy of a decoder can
look ahead: it is fed bytes that the connection has not read, and the original stays where it is.
"""

from __future__ import annotations

import copy
import enum
import re
from typing import NamedTuple, Protocol, Self

from quota_gateway.net.common.http_common import MAX_HEAD_BYTES

LINE_END = b"\r\n"
HEXADECIMAL = 16
# A size of more digits exceeds any limit. Extensions are ignored (RFC 9112, 7.1.1).
CHUNK_SIZE_START = re.compile(rb"[0-9A-Fa-f]{1,16}(?:[ \t;\r]|\Z)")
CHUNK_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,16})[ \t]*(?:;[\t -~\x80-\xff]*)?")
# What mostly stands between the data of two chunks.
NEXT_CHUNK = re.compile(rb"\r\n([0-9A-Fa-f]{1,16})\r\n")
TRAILER_LINE = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+:[\t -~\x80-\xff]*")
TRAILER_LINES = re.compile(rb"(?:%b\r\n)*" % TRAILER_LINE.pattern)


class FramingError(ValueError):
    """The bytes do not have the announced framing: it cannot be known where the message ends."""


class DecodedPart(NamedTuple):
    """What a decoder has taken from a part of the input."""

    payload: bytes  # the bytes of the body
    end: int  # offset of the first byte that was not taken


class BodyDecoder(Protocol):
    """Decodes one body."""

    consumed: int  # bytes of input that were taken so far

    @property
    def is_complete(self) -> bool:
        """Whether the message has ended; no more input is taken then."""

    @property
    def missing_bytes(self) -> int | None:
        """The number of bytes up to the end of the message; None if it is unknown."""

    def decode(self, data: bytes, start: int = 0) -> DecodedPart:
        """Take the input from offset ``start`` on, at most up to the end of the message.

        Raises FramingError.
        """

    def skip(self, data: bytes, start: int = 0) -> None:
        """Take the input as ``decode`` does, and drop the payload. Raises FramingError."""

    def copy(self) -> Self:
        """Return a decoder that goes on from the same place."""


class LengthDecoder:
    """Decodes a body of known length; a message without a body has the length 0."""

    __slots__ = ("consumed", "missing_bytes")

    def __init__(self, length: int) -> None:
        """``length`` is in bytes."""
        self.consumed = 0
        self.missing_bytes = length

    @property
    def is_complete(self) -> bool:
        """Whether all bytes were taken."""
        return self.missing_bytes == 0

    def decode(self, data: bytes, start: int = 0) -> DecodedPart:
        """Take the input from offset ``start`` on, at most up to the end of the message."""
        payload = data[start : start + self.missing_bytes]
        self._take(len(payload))
        return DecodedPart(payload, start + len(payload))

    def skip(self, data: bytes, start: int = 0) -> None:
        """Take the input, and drop the payload."""
        self._take(min(self.missing_bytes, len(data) - start))

    def copy(self) -> Self:
        """Return a decoder that goes on from the same place."""
        return copy.copy(self)

    def _take(self, size: int) -> None:
        self.consumed += size
        self.missing_bytes -= size


class _Expected(enum.Enum):
    """The part of a chunked body that is expected next."""

    SIZE = enum.auto()  # the line with the size of a chunk
    DATA = enum.auto()
    DATA_END = enum.auto()  # the line end behind the data of a chunk
    TRAILER = enum.auto()  # a trailer, or the empty line that ends the message
    NOTHING = enum.auto()  # the message has ended


# Used for each chunk, which may be a byte long; a lookup in an enum class is slow.
_SIZE = _Expected.SIZE
_DATA = _Expected.DATA
_DATA_END = _Expected.DATA_END
_TRAILER = _Expected.TRAILER
_NOTHING = _Expected.NOTHING


class ChunkedDecoder:
    """Decodes a chunked body; trailers are dropped. Its work is linear in the bytes of the input."""

    __slots__ = ("_chunk_rest", "_expected", "_line", "_trailer_size", "consumed")

    def __init__(self) -> None:
        """Begin behind the head."""
        self.consumed = 0
        self._expected = _SIZE
        self._chunk_rest = 0  # bytes of the current chunk that were not taken
        self._line = bytearray()  # what was taken of an incomplete line
        self._trailer_size = 0  # bytes

    @property
    def is_complete(self) -> bool:
        """Whether the empty line behind the last chunk was taken."""
        return self._expected is _NOTHING

    @property
    def missing_bytes(self) -> int | None:
        """Unknown until the end."""
        return 0 if self.is_complete else None

    def decode(self, data: bytes, start: int = 0) -> DecodedPart:
        """Take the input from offset ``start`` on, at most up to the end of the message.

        Raises FramingError.
        """
        parts = list[bytes]()
        end = self._take(data, start, parts)
        return DecodedPart(b"".join(parts), end)

    def skip(self, data: bytes, start: int = 0) -> None:
        """Take the input, and drop the payload. Raises FramingError."""
        self._take(data, start, None)

    def copy(self) -> Self:
        """Return a decoder that goes on from the same place."""
        return copy.deepcopy(self)

    def _take(self, data: bytes, start: int, parts: list[bytes] | None) -> int:
        """Take input, append its payload to ``parts``, and return the offset of the first byte not taken."""
        offset = start
        while offset < len(data) and self._expected is not _NOTHING:
            if self._expected is _DATA:
                offset = self._take_data(data, offset, parts)
            elif self._expected is _TRAILER and not self._line:
                offset = self._take_line(data, self._take_trailers(data, offset))
            else:
                offset = self._take_line(data, offset)
        self.consumed += offset - start
        return offset

    def _take_data(self, data: bytes, offset: int, parts: list[bytes] | None) -> int:
        """Take the data of the current chunk, and that of the chunks behind it as long as they are plain."""
        while True:
            end = offset + self._chunk_rest
            if parts is not None:
                parts.append(data[offset:end])
            if end > len(data):
                self._chunk_rest = end - len(data)
                return len(data)
            match = NEXT_CHUNK.match(data, end)
            if match is None:
                self._expected = _DATA_END
                return end
            offset = match.end()
            self._begin_chunk(match[1])
            if self._expected is not _DATA:
                return offset

    def _take_trailers(self, data: bytes, offset: int) -> int:
        """Take the trailers that are complete and valid."""
        match = TRAILER_LINES.match(data, offset)
        assert match is not None  # perhaps empty
        self._count_trailers(match.end() - offset)
        return match.end()

    def _take_line(self, data: bytes, offset: int) -> int:
        line_feed = data.find(b"\n", offset)
        end = line_feed + 1 if line_feed >= 0 else len(data)
        if len(self._line) + end - offset > MAX_HEAD_BYTES:
            raise FramingError("line too long")
        if line_feed < 0:
            self._line += data[offset:end]
            self._check_incomplete_line()
            return end
        line = data[offset:end]
        if self._line:
            line = bytes(self._line) + line
            self._line.clear()
        if not line.endswith(LINE_END):
            raise FramingError("a line end other than CRLF")
        self._handle_line(line[: -len(LINE_END)])
        return end

    def _check_incomplete_line(self) -> None:
        """Reject a line that is not valid as soon as its start shows this: its end may never come."""
        if self._expected is _DATA_END and self._line != b"\r":
            raise FramingError("data beyond the size of a chunk")
        if self._expected is _SIZE and not CHUNK_SIZE_START.match(self._line):
            raise FramingError("invalid chunk size")

    def _handle_line(self, line: bytes) -> None:
        if self._expected is _SIZE:
            match = CHUNK_SIZE_LINE.fullmatch(line)
            if match is None:
                raise FramingError(f"invalid chunk size: {line!r:.40}")
            self._begin_chunk(match[1])
        elif self._expected is _TRAILER:
            self._handle_trailer(line)
        elif line:
            raise FramingError("data beyond the size of a chunk")
        else:
            self._expected = _SIZE

    def _begin_chunk(self, size: bytes) -> None:
        self._chunk_rest = int(size, HEXADECIMAL)
        self._expected = _DATA if self._chunk_rest else _TRAILER

    def _handle_trailer(self, line: bytes) -> None:
        if not line:
            self._expected = _NOTHING
            return
        if not TRAILER_LINE.fullmatch(line):
            raise FramingError(f"invalid trailer: {line!r:.40}")
        self._count_trailers(len(line) + len(LINE_END))

    def _count_trailers(self, size: int) -> None:
        self._trailer_size += size
        if self._trailer_size > MAX_HEAD_BYTES:
            raise FramingError("trailers too large")
