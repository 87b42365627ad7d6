"""Parses the heads of the requests of one connection, without what follows them."""

from __future__ import annotations

import contextlib
from collections.abc import Callable

import httptools

from quota_gateway.net.client.request_head import RequestHead
from quota_gateway.net.client.request_parser import BadRequestError

HEAD_END = b"\r\n\r\n"


class HeadParser:
    """Feeds a head to the HTTP library, and nothing behind it.

    The library would also end messages, but by rules of its own: it ends one that offers an upgrade behind
    its head, whatever body was announced. It is therefore given a new parser for each message.
    """

    __slots__ = (
        "_last_bytes",
        "_parser",
        "http_version",
        "is_complete",
        "keeps_alive",
        "method",
        "on_header",
        "on_message_begin",
        "on_url",
    )

    def __init__(self, head: RequestHead, on_message_begin: Callable[[], None]) -> None:
        """Fill ``head``; ``on_message_begin`` is called with the first byte of each head.

        Both may raise BadRequestError, which the library wraps in ``httptools.HttpParserCallbackError``.
        """
        # The library calls the head's methods directly, which saves a call for each header.
        self.on_url = head.on_url
        self.on_header = head.on_header
        self.on_message_begin = on_message_begin
        self.begin()

    def begin(self) -> None:
        """Expect the next head."""
        self.is_complete = False
        # By the complete head:
        self.method = b""
        self.http_version = ""
        self.keeps_alive = True  # whether the client expects to send a further request
        self._last_bytes = b""  # the last ones that were fed, as a head may end in parts
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)

    def release(self) -> None:
        """Drop what the library has buffered of a head: no request follows from it.

        The library's parser and this object refer to each other.
        """
        self._parser = None

    def feed(self, data: bytes, start: int) -> int:
        """Parse input from offset ``start`` on, at most up to the end of the head; return the end offset.

        Raises ``httptools.HttpParserError`` and BadRequestError.
        """
        assert self._parser is not None
        end = self._possible_end(data, start)
        part = data[start:end]
        # An offer to upgrade is ignored (RFC 9110, 7.8), and CONNECT is rejected like other methods.
        with contextlib.suppress(httptools.HttpParserUpgrade):
            self._parser.feed_data(part)
        recent = self._last_bytes + part
        if self.is_complete and not recent.endswith(HEAD_END):
            raise BadRequestError(400, "a head that does not end in an empty line")
        self._last_bytes = recent[-len(HEAD_END) + 1 :]
        return end

    def is_ended_by(self, data: bytes) -> bool:
        """Whether the head would end within ``data``."""
        return HEAD_END in self._last_bytes + data

    def _possible_end(self, data: bytes, start: int) -> int:
        """Return the first offset at which the head may end; the end of the data if there is none."""
        seen = len(self._last_bytes)
        end = (self._last_bytes + data[start : start + len(HEAD_END) - 1]).find(HEAD_END)
        if end >= 0:
            return start - seen + end + len(HEAD_END)
        end = data.find(HEAD_END, start)
        return len(data) if end < 0 else end + len(HEAD_END)

    # Callback of the library.

    def on_headers_complete(self) -> None:
        """Record the end of the head, and what the library forgets behind it."""
        parser = self._parser
        assert parser is not None
        self.is_complete = True
        self.keeps_alive = parser.should_keep_alive()
        self.method = parser.get_method()
        self.http_version = parser.get_http_version()
