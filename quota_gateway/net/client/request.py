"""One request of a client, and the place of its response among those of its connection."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from quota_gateway import model
from quota_gateway.net.client.stats import CloseReason
from quota_gateway.net.common.body_stream import BodyStream
from quota_gateway.net.common.invariants import Invariant

if TYPE_CHECKING:
    from quota_gateway.net.client.connection import ClientConnection

REASON_PHRASES = {
    200: b"OK", 400: b"Bad Request", 404: b"Not Found", 405: b"Method Not Allowed", 408: b"Request Timeout",
    409: b"Conflict", 413: b"Content Too Large", 429: b"Too Many Requests", 500: b"Internal Server Error",
    502: b"Bad Gateway", 503: b"Service Unavailable", 504: b"Gateway Timeout",
}  # fmt: skip
STATUS_LINES = {code: b"HTTP/1.1 %d %b\r\n" % (code, reason) for code, reason in REASON_PHRASES.items()}


class RequestHandler(Protocol):
    """Receives the requests of all client connections and what becomes of their clients."""

    def on_request(self, request: ClientRequest) -> None:
        """A request was accepted; of a streamed upload the body is still to come."""

    def on_upload_completed(self, request: ClientRequest) -> None:
        """The last byte of a streamed upload was received."""

    def on_client_disconnected(self, request: ClientRequest) -> None:
        """The client of an unanswered request has disconnected."""

    def on_client_maybe_gone(self, request: ClientRequest) -> None:
        """The client of an unanswered request ended its sending side and may be gone."""


class ClientRequest:
    """A request with its one final response, either whole or streamed (it is the sink of the stream)."""

    __slots__ = (
        "_chunked",
        "_connection",
        "event",
        "forwarded_body",
        "forwarded_head",
        "is_http_1_0",
        "keep_alive",
        "last_progress",
        "request_id",
        "response",
        "response_head",
        "response_stream",
        "upload",
    )

    def __init__(self, connection: ClientConnection, keep_alive: bool, is_http_1_0: bool = False) -> None:
        """Create a request whose response is written to ``connection``."""
        self._connection = connection
        self._chunked = False  # whether the streamed response is in chunks
        self.keep_alive = keep_alive
        self.is_http_1_0 = is_http_1_0
        self.event: model.Request | None = None
        self.request_id = b""
        self.forwarded_head = b""  # forwarded: the request line and headers without the empty line
        self.forwarded_body = b""
        self.upload: BodyStream | None = None  # a streamed body, in place of ``forwarded_body``
        self.response: tuple[bytes, bytes] | None = None  # around the place of a ``Connection: close``
        self.response_stream: BodyStream | None = None  # a streamed response, in place of ``response``
        self.response_head: bytes | None = None  # of the streamed response, until it is written
        self.last_progress = 0.0  # when the client last took something of the streamed response

    def respond(
        self, status: int, body: bytes = b"", headers: bytes = b"", retry_after: float | None = None
    ) -> None:
        """Set the final response (``retry_after`` in seconds); the connection writes it in its turn.

        A request that has its response already keeps that one.
        """
        if not self._may_answer(status):
            return
        connection = self._connection
        if self.upload is not None and not self.upload.complete:
            connection.reader.discard_upload()
            self.keep_alive = False
        connection.listener.open_request_ids.discard(self.request_id)
        if self.event is not None:
            connection.listener.metrics.record_request(self.event.request_class, status)
        retry_header = b"" if retry_after is None else b"Retry-After: %.3f\r\n" % retry_after
        length_header = b"Content-Length: %d\r\n\r\n" % len(body)
        self.response = b"".join((STATUS_LINES[status], headers, retry_header)), length_header + body
        connection.flush()

    def begin_response(self, headers: bytes, stream: BodyStream) -> None:
        """Begin a streamed final response of status 200; its body follows from ``stream``.

        A request that has its response already keeps that one, and the stream is abandoned.
        """
        if not self._may_answer(200):
            stream.abandon()
            return
        connection = self._connection
        connection.listener.open_request_ids.discard(self.request_id)
        connection.listener.metrics.streaming_responses += 1
        self.response_stream = stream
        self._chunked = stream.content_length is None and not self.is_http_1_0
        if stream.content_length is not None:
            framing = b"Content-Length: %d\r\n" % stream.content_length
        elif self._chunked:
            framing = b"Transfer-Encoding: chunked\r\n"
        else:
            framing = b""
            self.keep_alive = False  # the end of the connection is the end of the body
        self.response_head = STATUS_LINES[200] + headers + framing
        connection.flush()

    def _may_answer(self, status: int) -> bool:
        """Guard of the one final answer."""
        if self.response is None and self.response_stream is None:
            return True
        story = f"request {self.request_id.decode('latin-1')}: answered {status} behind its final answer"
        self._connection.listener.metrics.invariants.report(Invariant.ANSWERED_ONCE, story)
        return False

    def is_client_connected(self) -> bool:
        """Whether an attempt may begin: not for a client that left or ended its sending side a while ago."""
        return self._connection.liveness.is_connected()

    def write_chunk(self, data: bytes) -> None:
        """Write a part of the streamed response."""
        if data:
            self.last_progress = self._connection.listener.clock()
            self._connection.write(b"%x\r\n%b\r\n" % (len(data), data) if self._chunked else data)

    def finish(self) -> None:
        """End the streamed response: all of it is written."""
        if self._chunked:
            self._connection.write(b"0\r\n\r\n")
        self._end_stream(200)
        self._connection.on_stream_finished(self)

    def truncate(self) -> None:
        """Abort the connection: its end shows the client that the response is incomplete."""
        self._end_stream(502)
        self._connection.abort(CloseReason.TRUNCATED)

    def _end_stream(self, status: int) -> None:
        metrics = self._connection.listener.metrics
        self.response_stream = None
        metrics.streaming_responses -= 1
        if self.event is not None:
            metrics.record_request(self.event.request_class, status)

    def on_client_disconnected(self) -> None:
        """Abandon the streamed response of a client that has disconnected."""
        stream = self.response_stream
        if stream is not None:
            self.response_stream = None
            self._connection.listener.metrics.streaming_responses -= 1
            stream.abandon()
