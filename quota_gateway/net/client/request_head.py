"""The head of the request that a connection is reading: target, headers and framing."""

from __future__ import annotations

import re

from quota_gateway.net.client.request import ClientRequest
from quota_gateway.net.client.request_parser import DECIMAL_PATTERN, PARSED_HEADERS, TIMEOUT, BadRequestError
from quota_gateway.net.common.http_common import MAX_HEAD, MAX_STREAMED_BODY, NOT_FORWARDED

ABSOLUTE_FORM_PATTERN = re.compile(rb"https?://[^/?#]+(?=/)", re.IGNORECASE)
TARGET_PATTERN = re.compile(rb"[!-~]+")
HTTP_VERSIONS = ("1.0", "1.1")


class RequestHead:
    """Collects one head at a time from the HTTP parser's callbacks; raises BadRequestError for faults.

    A connection has one of these for all its requests.
    """

    __slots__ = (
        "_chunked",
        "_forwarded_headers",
        "_target",
        "_trailer_size",
        "complete",
        "content_length",
        "expects_continue",
        "headers",
        "size",
    )

    def __init__(self) -> None:
        """Create an empty head."""
        self.begin()

    def begin(self) -> None:
        """Start over for the next request."""
        self._target = b""
        self._forwarded_headers: list[bytes] = []  # as lines
        self._chunked = False
        self._trailer_size = 0
        self.headers: dict[bytes, bytes] = {}  # those of PARSED_HEADERS
        self.size = 0  # bytes
        self.content_length: int | None = None
        self.expects_continue = False
        self.complete = False

    def on_url(self, url: bytes) -> None:
        """Take the target, or a part of it where the input was split."""
        self._target += url
        self.size += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header, or a trailer behind a chunked body."""
        key = name.lower()
        value = value.strip(b" \t")
        size = len(name) + len(value)
        if self.complete:
            self._skip_trailer(size)
            return
        self.size += size
        if key in PARSED_HEADERS:
            if key in self.headers:
                raise BadRequestError(400, "a header stands twice")
            self.headers[key] = value
        if key not in NOT_FORWARDED and key != TIMEOUT:
            self._forwarded_headers.append(b"%b: %b\r\n" % (name, value))
        else:
            self._read_framing(key, value)

    def _read_framing(self, key: bytes, value: bytes) -> None:
        if key == b"content-length":
            if self.content_length is not None or not DECIMAL_PATTERN.fullmatch(value):
                raise BadRequestError(400, "content-length is wrong")
            self.content_length = int(value)
            if self.content_length > MAX_STREAMED_BODY:
                raise BadRequestError(413, "body too large")
        elif key == b"expect":
            self.expects_continue = value.lower() == b"100-continue"
        elif key == b"transfer-encoding":
            if self._chunked or value.lower() != b"chunked":
                raise BadRequestError(400, "transfer-encoding is wrong")
            self._chunked = True

    def _skip_trailer(self, size: int) -> None:
        """Trailers are dropped: the head has said all that counts."""
        self._trailer_size += size
        if self._trailer_size > MAX_HEAD:
            raise BadRequestError(400, "trailer too large")

    def check(self) -> None:
        """Check what only the whole head shows."""
        if self.size > MAX_HEAD:
            raise BadRequestError(400, "head too large")
        if self._chunked and self.content_length is not None:
            raise BadRequestError(400, "two framings: one of them may hide a request")

    def normalize_target(self, http_version: str) -> str:
        """The target in origin form; a proxy's absolute form (RFC 9112, 3.2.2) is accepted."""
        if not TARGET_PATTERN.fullmatch(self._target) or http_version not in HTTP_VERSIONS:
            raise BadRequestError(400, "target or version")
        absolute_form = ABSOLUTE_FORM_PATTERN.match(self._target)
        if absolute_form is not None:
            self._target = self._target[absolute_form.end() :]
        return self._target.decode("latin-1")

    def add_framing(self, request: ClientRequest, method: bytes) -> None:
        """Frame the forwarded body anew."""
        upload = request.upload
        if upload is not None and upload.content_length is None:
            self._forwarded_headers.append(b"Transfer-Encoding: chunked\r\n")
        elif upload is not None:
            self._forwarded_headers.append(b"Content-Length: %d\r\n" % (upload.content_length or 0))
        elif method == b"POST":
            self._forwarded_headers.append(b"Content-Length: %d\r\n" % len(request.forwarded_body))
        elif request.forwarded_body:
            raise BadRequestError(400, "a body where none belongs")

    def forwarded(self, method: bytes) -> bytes:
        """The request line and the headers for the endpoint, without the empty line."""
        return b"%b %b HTTP/1.1\r\n%b" % (method, self._target, b"".join(self._forwarded_headers))
