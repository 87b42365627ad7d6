"""The head of the request that a connection is reading: target, headers and framing."""

from __future__ import annotations

import re

from quota_gateway.net.client.request_parser import DECIMAL_PATTERN, PARSED_HEADERS, TIMEOUT, BadRequestError
from quota_gateway.net.common.body_framing import BodyDecoder, ChunkedDecoder, LengthDecoder
from quota_gateway.net.common.body_stream import BodyStream
from quota_gateway.net.common.http_common import (
    LINE_OVERHEAD_BYTES,
    MAX_HEAD_BYTES,
    MAX_STREAMED_BODY_BYTES,
    NOT_FORWARDED_HEADERS,
)

ABSOLUTE_FORM_PATTERN = re.compile(rb"https?://[^/?#]+(?=/)", re.IGNORECASE)
TARGET_PATTERN = re.compile(rb"[!-~]+")
HTTP_VERSIONS = ("1.0", "1.1")
HEADERS_NOT_COPIED = NOT_FORWARDED_HEADERS | {TIMEOUT}  # each attempt is sent its own remaining time


class RequestHead:
    """Collects the head of a request from the HTTP parser's callbacks.

    The callbacks raise BadRequestError if the input is malformed.

    A connection has one of these, which it uses for one request after the other.
    """

    __slots__ = (
        "_chunked",
        "_forwarded_headers",
        "_received_size",
        "_target",
        "content_length",
        "expects_continue",
        "headers",
        "http_version",
        "method",
        "size",
    )

    def __init__(self) -> None:
        """Create an empty head."""
        self.method = b""
        self.http_version = ""
        self.begin()

    def begin(self) -> None:
        """Reset for the next request."""
        self._target = bytearray()
        self._forwarded_headers = bytearray()  # complete header lines
        self._chunked = False
        self.headers: dict[bytes, bytes] = {}  # the received headers of PARSED_HEADERS
        self.size = 0  # bytes of the target and the header lines
        self._received_size = 0  # bytes of the input, as long as the head is incomplete
        self.content_length: int | None = None
        self.expects_continue = False

    def on_url(self, url: bytes) -> None:
        """Append the target, or a part of it if it was received in parts."""
        self._target += url
        self.size += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Record a header."""
        key = name.lower()
        value = value.strip(b" \t")
        size = len(name) + len(value) + LINE_OVERHEAD_BYTES
        self.size += size
        if key in PARSED_HEADERS:
            if key in self.headers:
                raise BadRequestError(400, "repeated header")
            self.headers[key] = value
        if key not in HEADERS_NOT_COPIED:
            self._forwarded_headers += b"%b: %b\r\n" % (name, value)
        else:
            self._read_framing(key, value)

    def _read_framing(self, key: bytes, value: bytes) -> None:
        if key == b"content-length":
            if self.content_length is not None or not DECIMAL_PATTERN.fullmatch(value):
                raise BadRequestError(400, "invalid content-length")
            self.content_length = int(value)
            if self.content_length > MAX_STREAMED_BODY_BYTES:
                raise BadRequestError(413, "body too large")
        elif key == b"expect":
            self.expects_continue = value.lower() == b"100-continue"
        elif key == b"transfer-encoding":
            if self._chunked or value.lower() != b"chunked":
                raise BadRequestError(400, "invalid transfer-encoding")
            self._chunked = True

    def finish(self, method: bytes, http_version: str) -> None:
        """End the head, and check its size and framing."""
        self.method = method
        self.http_version = http_version
        if self.size > MAX_HEAD_BYTES:
            raise BadRequestError(400, "head too large")
        if self._chunked and self.content_length is not None:
            # One of the two framings may hide a second request in the body.
            raise BadRequestError(400, "both Content-Length and Transfer-Encoding")

    def new_body_decoder(self) -> BodyDecoder:
        """Return the decoder of the body that the head announces."""
        return ChunkedDecoder() if self._chunked else LengthDecoder(self.content_length or 0)

    def add_unparsed_input(self, size: int) -> bool:
        """Count input of an incomplete head, part of which the parser may buffer; return whether it fits."""
        self._received_size += size
        return max(self.size, self._received_size) <= MAX_HEAD_BYTES

    @property
    def used_bytes(self) -> int:
        """The memory that the head uses, including what the parser buffers."""
        return max(self.size, self._received_size)

    def release(self) -> None:
        """Drop what was collected: no request follows from it."""
        self.begin()

    def normalize_target(self) -> str:
        """Return the target in origin form; the absolute form (RFC 9112, 3.2.2) is accepted as well."""
        if not TARGET_PATTERN.fullmatch(self._target) or self.http_version not in HTTP_VERSIONS:
            raise BadRequestError(400, "invalid target or HTTP version")
        absolute_form = ABSOLUTE_FORM_PATTERN.match(self._target)
        if absolute_form is not None:
            del self._target[: absolute_form.end()]
        return self._target.decode("latin-1")

    def build_forwarded_head(self, body: bytes, upload: BodyStream | None) -> bytes:
        """Return the head for the endpoint, without the empty line; its framing headers are generated."""
        framing = b""
        if upload is not None and upload.content_length is None:
            framing = b"Transfer-Encoding: chunked\r\n"
        elif upload is not None:
            framing = b"Content-Length: %d\r\n" % (upload.content_length or 0)
        elif self.method == b"POST":
            framing = b"Content-Length: %d\r\n" % len(body)
        target = bytes(self._target)
        return b"".join((self.method, b" ", target, b" HTTP/1.1\r\n", self._forwarded_headers, framing))
