"""Incremental parser of responses: framing, size limits and the headers that the limiter interprets."""

from __future__ import annotations

import re
from collections.abc import Callable

import httptools

from quota_gateway.net.common.body_stream import BodyStream
from quota_gateway.net.common.http_common import (
    LINE_OVERHEAD_BYTES,
    MAX_BUFFERED_BODY_BYTES,
    MAX_HEAD_BYTES,
    NOT_FORWARDED_HEADERS,
)
from quota_gateway.net.upstream.response_status import STATUS_OK

FIRST_FINAL_STATUS = 200  # lower status codes are interim responses
SERVER_LOAD_HEADER = b"x-server-load"
NOT_PROCESSED_HEADER = b"x-not-processed"
CHARGED_UNITS_HEADER = b"x-units-charged"
CONTENT_LENGTH_VALUE = re.compile(rb"[0-9]{1,9}")
UNITS_VALUE = re.compile(rb"[0-9]{1,9}(?:\.[0-9]{1,9})?")


class MalformedResponseError(ValueError):
    """A response cannot be parsed or exceeds a limit."""


class ResponseParser:
    """Parses the responses of one connection, one after the other; call ``reset`` before each request.

    A body is buffered in ``body``, or written to ``body_stream`` from ``start_streaming`` on. Interim
    responses are skipped. Bytes after a final response set ``has_surplus`` and are dropped.
    """

    __slots__ = (
        "_chunked",
        "_closes_connection",
        "_head_complete",
        "_head_size",
        "_on_large_body",
        "_parser",
        "body",
        "body_stream",
        "charged_units",
        "content_length",
        "ends_at_eof",
        "has_surplus",
        "header_lines",
        "in_message",
        "keep_alive",
        "load_header",
        "not_processed",
        "status_code",
    )

    def __init__(self, on_large_body: Callable[[], None]) -> None:
        """``on_large_body`` is called when the body exceeds ``MAX_BUFFERED_BODY_BYTES``.

        It may call ``start_streaming``, or raise ``MalformedResponseError``.
        """
        self._parser = httptools.HttpResponseParser(self)
        self._on_large_body = on_large_body
        self.body_stream: BodyStream | None = None
        self.in_message = False  # between the first and the last byte of a message
        self.keep_alive = False
        self.reset()

    def reset(self) -> None:
        """Discard the last response."""
        self.header_lines = bytearray()  # those to forward
        self.body = bytearray()  # what has not been written to a stream
        self._head_size = 0  # bytes of header names and values
        self.load_header: bytes | None = None  # value of X-Server-Load
        self.charged_units: float | None = None
        self.not_processed = False  # the endpoint states that it did not execute the request
        self.content_length: int | None = None
        self._chunked = False
        self._closes_connection = False
        self._head_complete = False
        self.ends_at_eof = False  # the body ends with the connection
        self.has_surplus = False
        self.status_code: int | None = None  # set once the final response is complete

    def feed(self, data: bytes) -> None:
        """Parse received bytes.

        Raise ``MalformedResponseError`` if they cannot be parsed, unless the final response is complete.
        """
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if self.status_code is None:
                cause = error.__context__ or error
                raise MalformedResponseError(str(cause)) from cause
            self.has_surplus = True

    def finish_at_eof(self) -> int:
        """Complete the response at the end of the connection; return its status code."""
        self.status_code = self.received_status()
        self.keep_alive = False
        return self.status_code

    def received_status(self) -> int:
        """Return the status code of the message that is being parsed."""
        status: int = self._parser.get_status_code()
        return status

    def may_be_long(self) -> bool:
        """Whether the head is complete, and the body is too long to buffer or of unknown length.

        Such a response must not be cut off; its client waits for its first bytes only.
        """
        if not self._head_complete or self.received_status() != STATUS_OK:
            return False
        return self.content_length is None or self.content_length > MAX_BUFFERED_BODY_BYTES

    def has_head(self) -> bool:
        """Whether the head of the final response is complete."""
        return self._head_complete

    def has_unreliable_end(self) -> bool:
        """Whether part of a body is buffered whose end is that of a connection that was said to stay open.

        The length of such a body was probably lost, and its end may never come.
        """
        return self.ends_at_eof and not self._closes_connection and bool(self.body)

    def start_streaming(self, stream: BodyStream) -> None:
        """Write the rest of the body to a stream; ``take_body`` returns what is buffered so far."""
        self.body_stream = stream

    def end_streaming(self) -> BodyStream | None:
        """Detach and return the stream of the body; None if there is none."""
        stream = self.body_stream
        self.body_stream = None
        return stream

    def take_body(self) -> bytes:
        """Remove and return the buffered part of the body."""
        body = bytes(self.body)
        self.body.clear()
        return body

    @property
    def used_bytes(self) -> int:
        """The memory that the response uses, including a head that is incomplete."""
        return self._head_size + len(self.body)

    # Callbacks of httptools, which wraps the errors that they raise; ``feed`` unwraps them.

    def on_message_begin(self) -> None:
        """Begin a message; it is surplus if the final response is complete."""
        self.has_surplus = self.status_code is not None
        self.in_message = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Interpret one header, or store it to be forwarded."""
        key = name.lower()
        value = value.strip(b" \t")  # httptools does not strip trailing white space
        if self.has_surplus or self._head_complete:  # after a complete head it is a trailer
            return
        self._head_size += len(name) + len(value) + LINE_OVERHEAD_BYTES
        if self._head_size > MAX_HEAD_BYTES:
            raise MalformedResponseError(f"response head exceeds {MAX_HEAD_BYTES} bytes")
        if key == b"content-length":
            self._set_content_length(value)
        elif key == b"transfer-encoding":
            self._set_transfer_encoding(value)
        elif key == SERVER_LOAD_HEADER:
            self.load_header = value
        elif key == CHARGED_UNITS_HEADER:
            self.charged_units = float(value) if UNITS_VALUE.fullmatch(value) else None
        elif key == NOT_PROCESSED_HEADER:
            self.not_processed = value == b"1"
        elif key == b"connection":
            self._closes_connection = b"close" in value.lower()
        elif key not in NOT_FORWARDED_HEADERS:
            self.header_lines += b"%b: %b\r\n" % (name, value)

    def _set_content_length(self, value: bytes) -> None:
        if self.content_length is not None or not CONTENT_LENGTH_VALUE.fullmatch(value):
            raise MalformedResponseError(f"invalid or repeated Content-Length: {value!r:.40}")
        self.content_length = int(value)

    def _set_transfer_encoding(self, value: bytes) -> None:
        if self._chunked or value.lower() != b"chunked":
            raise MalformedResponseError(f"unsupported or repeated Transfer-Encoding: {value!r:.40}")
        self._chunked = True

    def on_headers_complete(self) -> None:
        """Determine the framing of a final response's body."""
        status = self.received_status()
        if self.has_surplus or status < FIRST_FINAL_STATUS:
            return
        if self._chunked and self.content_length is not None:
            raise MalformedResponseError("response with both Content-Length and Transfer-Encoding")
        self._head_complete = True
        self.ends_at_eof = not self._chunked and self.content_length is None
        self._closes_connection = self._closes_connection or self._parser.get_http_version() == "1.0"
        if (
            self.content_length is not None
            and self.content_length > MAX_BUFFERED_BODY_BYTES
            and status != STATUS_OK
        ):
            raise MalformedResponseError(
                f"response body too large to buffer: {self.content_length} bytes with status {status}"
            )

    def on_body(self, body: bytes) -> None:
        """Stream or buffer a part of the body."""
        if self.has_surplus:
            return
        # The receiver passes on what is collected for a stream: chunks may be as small as a byte.
        self.body += body
        is_large = max(len(self.body), self.content_length or 0) > MAX_BUFFERED_BODY_BYTES
        if is_large and self.body_stream is None:
            self._on_large_body()

    def on_message_complete(self) -> None:
        """Record the end of the final response, or discard an interim response."""
        self.in_message = False
        status = self.received_status()
        if self.has_surplus or status >= FIRST_FINAL_STATUS:
            self.status_code = self.status_code or status
            self.keep_alive = self._parser.should_keep_alive()
        else:
            self.reset()
