"""One request of a client and the place of its answer."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from quota_gateway import model
from quota_gateway.net.body_stream import BodyStream

if TYPE_CHECKING:
    from quota_gateway.net.client_connection import _Client

REASONS = {
    200: b"OK", 400: b"Bad Request", 404: b"Not Found", 405: b"Method Not Allowed", 408: b"Request Timeout",
    409: b"Conflict", 413: b"Content Too Large", 429: b"Too Many Requests", 500: b"Internal Server Error",
    502: b"Bad Gateway", 503: b"Service Unavailable", 504: b"Gateway Timeout",
}  # fmt: skip
STATUS_LINES = {code: b"HTTP/1.1 %d %b\r\n" % (code, reason) for code, reason in REASONS.items()}


class ClientRequest:
    """One try of a client, and the place in its connection where the answer goes."""

    __slots__ = (
        "_chunked",
        "_client",
        "body",
        "event",
        "head",
        "is_http_1_0",
        "keep_alive",
        "last_progress",
        "request_id",
        "response",
        "response_head",
        "response_stream",
        "upload",
    )  # fmt: skip

    def __init__(self, client: _Client, keep_alive: bool, old: bool = False) -> None:
        self._client, self.keep_alive, self.is_http_1_0 = client, keep_alive, old
        self.event: model.Request | None = None
        self.upload: BodyStream | None = None  # its body, where that is long
        self.response_stream: BodyStream | None = None  # its answer, where that is long
        self.response_head: bytes | None = None  # the head of that, until it is written
        self._chunked, self.last_progress = False, 0.0
        self.request_id = self.head = self.body = b""
        self.response: tuple[bytes, bytes] | None = None

    def respond(
        self, status: int, body: bytes = b"", headers: bytes = b"", retry_after: float | None = None
    ) -> None:
        """Give the one final answer; the connection writes it when its turn has come."""
        if self.response is not None or self.response_stream is not None:
            raise RuntimeError("a request was answered twice")
        if self.upload is not None and not self.upload.complete:
            self._client.refuse_rest()
            self.keep_alive = False
        self._client.frontend.open_request_ids.discard(self.request_id)
        if self.event is not None:
            self._client.frontend.metrics.record_request(self.event.request_class, status)
        retry = b"" if retry_after is None else b"Retry-After: %.3f\r\n" % retry_after
        length = b"Content-Length: %d\r\n\r\n" % len(body)
        self.response = b"".join((STATUS_LINES[status], headers, retry)), length + body
        self._client.flush()

    def begin_response(self, headers: bytes, pipe: BodyStream) -> None:
        """Begin the one final answer with the first bytes of a long one; the rest comes by the pipe."""
        if self.response is not None or self.response_stream is not None:
            raise RuntimeError("a request was answered twice")
        client = self._client
        client.frontend.open_request_ids.discard(self.request_id)
        client.frontend.metrics.streaming_responses += 1
        self.response_stream, self._chunked = pipe, pipe.content_length is None and not self.is_http_1_0
        if pipe.content_length is not None:
            framing = b"Content-Length: %d\r\n" % pipe.content_length
        elif self._chunked:
            framing = b"Transfer-Encoding: chunked\r\n"
        else:
            framing, self.keep_alive = b"", False  # the end of the connection is the answer's
        self.response_head = STATUS_LINES[200] + headers + framing
        client.flush()

    def is_client_connected(self) -> bool:
        """Whether an attempt may begin: not for a client that has gone or ended its sending a while ago."""
        return self._client.is_connected()

    # The sink of the answer.

    def write_chunk(self, data: bytes) -> None:
        if data:
            self.last_progress = self._client.frontend.clock()
            self._client.write(b"%x\r\n%b\r\n" % (len(data), data) if self._chunked else data)

    def finish(self) -> None:
        if self._chunked:
            self._client.write(b"0\r\n\r\n")
        self._over(200)
        self._client.finished(self)

    def truncate(self) -> None:
        """The answer will not become whole: the client sees its connection end before it."""
        self._over(502)
        self._client.abort()

    def _over(self, status: int) -> None:
        figures = self._client.frontend.metrics
        self.response_stream = None
        figures.streaming_responses -= 1
        if self.event is not None:
            figures.record_request(self.event.request_class, status)

    def on_client_disconnected(self) -> None:
        """The client has gone in the middle of its answer."""
        if (pipe := self.response_stream) is not None:
            self.response_stream = None
            self._client.frontend.metrics.streaming_responses -= 1
            pipe.abandon()


class RequestHandler(Protocol):
    """What the clients' side tells of its requests."""

    def on_request(self, request: ClientRequest) -> None: ...

    def on_upload_completed(self, request: ClientRequest) -> None: ...

    def on_client_disconnected(self, request: ClientRequest) -> None: ...

    def on_client_maybe_gone(self, request: ClientRequest) -> None: ...
