"""A client's request and its final response."""

from __future__ import annotations

from typing import Protocol

from quota_gateway import model
from quota_gateway.net.client.shared_state import SharedState
from quota_gateway.net.client.stats import CloseReason
from quota_gateway.net.common.body_stream import BodyStream
from quota_gateway.net.common.invariants import Invariant

REASON_PHRASES = {
    200: b"OK", 400: b"Bad Request", 404: b"Not Found", 405: b"Method Not Allowed", 408: b"Request Timeout",
    409: b"Conflict", 413: b"Content Too Large", 429: b"Too Many Requests", 500: b"Internal Server Error",
    502: b"Bad Gateway", 503: b"Service Unavailable", 504: b"Gateway Timeout",
}  # fmt: skip
STATUS_LINES = {code: b"HTTP/1.1 %d %b\r\n" % (code, reason) for code, reason in REASON_PHRASES.items()}
REQUEST_OBJECTS_BYTES = 3000  # of the records of an open request in all modules, without its contents
CONNECTION_CLOSE = b"Connection: close\r\n"


class RequestHandler(Protocol):
    """Receives the requests of all client connections and the disconnects of their clients."""

    def on_request(self, request: ClientRequest) -> None:
        """Handle an accepted request; the body of a streamed upload is still being received."""

    def on_upload_arrived(self, request: ClientRequest) -> None:
        """Handle that the last byte of a streamed upload has arrived and waits unread."""

    def on_upload_completed(self, request: ClientRequest) -> None:
        """Handle the complete receipt of a streamed upload."""

    def on_client_disconnected(self, request: ClientRequest) -> None:
        """Handle the disconnect of the client of an unanswered request."""

    def on_client_maybe_disconnected(self, request: ClientRequest) -> None:
        """Handle an unanswered request whose client ended its sending side and may have disconnected."""


class AttemptPermission(Protocol):
    """Decides whether attempts may begin for the client of a request."""

    def may_begin_attempt(self) -> bool:
        """Whether an attempt may begin for the client."""


class RequestConnection(Protocol):
    """The part of a client connection that writing a response requires."""

    shared: SharedState

    @property
    def liveness(self) -> AttemptPermission:
        """The liveness of the client, which decides whether attempts may begin."""

    def write_responses(self) -> None:
        """Write the responses that are ready, in the order of their requests."""

    def check_unread_upload(self) -> None:
        """Start the timeout of an upload whose last byte waits unread."""

    def on_stream_finished(self, request: ClientRequest) -> None:
        """Write the responses that follow a completely written streamed one."""

    def write(self, data: bytes) -> None:
        """Write data, unless the connection is closing."""

    def abort(self, reason: CloseReason) -> None:
        """Reset the connection."""

    def discard_upload(self) -> None:
        """Discard the rest of an upload whose request has already been answered."""


class ClientRequest:
    """A request and its final response, which is either complete or streamed.

    The request is the sink of a streamed response (``body_stream.BodySink``). At most one of
    ``response_head`` and ``response_stream`` is ever set, and only once.
    """

    __slots__ = (
        "_chunked",
        "_connection",
        "_length_and_body",
        "_stream_head",
        "arrived_at",
        "event",
        "forwarded_body",
        "forwarded_head",
        "has_arrived",
        "is_http_1_0",
        "keep_alive",
        "request_id",
        "response_head",
        "response_stream",
        "upload",
    )

    def __init__(
        self,
        connection: RequestConnection,
        *,
        keep_alive: bool,
        is_http_1_0: bool = False,
        upload: BodyStream | None = None,
        arrived_at: float = 0.0,
    ) -> None:
        """Create a request whose response is written to ``connection``.

        ``arrived_at`` is the time at which the last byte of the request arrived, by the clock of the shared
        state.
        """
        self._connection = connection
        self._chunked = False  # whether the streamed response uses the chunked framing
        self._length_and_body = b""  # rest of a complete response: Content-Length, empty line, body
        self._stream_head: bytes | None = None  # head of the streamed response, until it is written
        self.keep_alive = keep_alive
        self.is_http_1_0 = is_http_1_0
        self.arrived_at = arrived_at
        # Whether its last byte has arrived; the last part of an upload may still be unread.
        self.has_arrived = upload is None
        self.event: model.Request | None = None
        self.request_id = b""
        self.forwarded_head = b""  # request line and headers for the endpoint, without the empty line
        self.forwarded_body = b""
        self.upload = upload  # a streamed body, in place of ``forwarded_body``
        self.response_head: bytes | None = None  # status line and headers of a complete response
        self.response_stream: BodyStream | None = None

    # The request.

    @property
    def used_bytes(self) -> int:
        """The memory that the request and its response use, without a streamed body."""
        contents = len(self.forwarded_head) + len(self.forwarded_body) + len(self._length_and_body)
        return REQUEST_OBJECTS_BYTES + contents

    @property
    def is_answered(self) -> bool:
        """Whether the final response has been set, or its streaming has begun."""
        return self.response_head is not None or self.response_stream is not None

    def accept(
        self, event: model.Request, request_id: bytes, forwarded_head: bytes, forwarded_body: bytes
    ) -> None:
        """Set the contents of a valid request, whose id is registered as open."""
        self.event = event
        self.request_id = request_id
        self.forwarded_head = forwarded_head
        self.forwarded_body = forwarded_body

    def record_possible_execution(self) -> None:
        """Record that an endpoint may execute the request: it must not be sent on again under its id."""
        self._connection.shared.executed_ids.add(self.request_id)

    def update_event(self, event: model.Request) -> None:
        """Set the event of a request that is answered without the handler, for the metrics."""
        self.event = event

    def record_arrival(self, at: float) -> None:
        """Record when the last byte of the upload arrived, by the clock of the shared state."""
        self.has_arrived = True
        self.arrived_at = at

    def seconds_since_arrival(self) -> float:
        """Return how long the client has been waiting, including stalls of this process."""
        return self._connection.shared.clock() - self.arrived_at

    def may_begin_attempt(self) -> bool:
        """Whether an attempt may begin for the client.

        It may not if the client has disconnected, or ended its input more than a short grace period ago. The
        timeout of the request starts if its last byte has arrived.
        """
        self._connection.check_unread_upload()
        return self._connection.liveness.may_begin_attempt()

    # The response.

    def respond(
        self, status: int, body: bytes = b"", headers: bytes = b"", retry_after: float | None = None
    ) -> None:
        """Set the final response, which the connection writes in the order of the requests.

        ``retry_after`` is in seconds. If the request already has a response, the new one is dropped.
        """
        if not self._may_answer(status):
            return
        connection = self._connection
        shared = connection.shared
        if self.upload is not None and not self.upload.complete:
            connection.discard_upload()
            self.keep_alive = False
        shared.open_request_ids.discard(self.request_id)
        if self.event is not None:
            shared.metrics.record_request(self.event.request_class, status)
        retry_header = b"" if retry_after is None else b"Retry-After: %.3f\r\n" % retry_after
        self.response_head = b"".join((STATUS_LINES[status], headers, retry_header))
        self._length_and_body = b"Content-Length: %d\r\n\r\n%b" % (len(body), body)
        self.forwarded_head = self.forwarded_body = b""  # no further attempt begins
        connection.write_responses()

    def response_bytes(self, *, closes: bool) -> bytes:
        """Return the complete response; ``closes`` adds the header ``Connection: close``."""
        assert self.response_head is not None
        connection_header = CONNECTION_CLOSE if closes else b""
        return self.response_head + connection_header + self._length_and_body

    def reject_malformed(self, status: int) -> None:
        """Respond to a malformed request, and close the connection with the response."""
        self.keep_alive = False
        self.upload = None
        self.respond(status)

    def begin_response(self, headers: bytes, stream: BodyStream) -> None:
        """Begin a streamed final response of status 200; its body follows from ``stream``.

        If the request already has a response, the stream is abandoned.
        """
        if not self._may_answer(200):
            stream.abandon()
            return
        self._connection.shared.open_request_ids.discard(self.request_id)
        self._connection.shared.metrics.record_streaming_started()
        self.response_stream = stream
        self._chunked = stream.content_length is None and not self.is_http_1_0
        if stream.content_length is not None:
            framing = b"Content-Length: %d\r\n" % stream.content_length
        elif self._chunked:
            framing = b"Transfer-Encoding: chunked\r\n"
        else:
            framing = b""
            self.keep_alive = False  # the end of the connection is the end of the body
        self._stream_head = STATUS_LINES[200] + headers + framing
        self._connection.write_responses()

    def _may_answer(self, status: int) -> bool:
        """Whether the request has no response yet; a second response is reported as a violation."""
        if self.response_head is None and self.response_stream is None:
            return True
        description = (
            f"request {self.request_id.decode('latin-1')}: status {status} dropped, already answered"
        )
        self._connection.shared.metrics.invariants.report(Invariant.ANSWERED_ONCE, description)
        return False

    # The stream of the response.

    def start_stream(self, *, closes: bool, writable: bool) -> None:
        """Write the head of a streamed response and attach the stream, unless this was done before.

        ``closes`` adds the header ``Connection: close``; ``writable`` is whether the client accepts data.
        """
        head = self._stream_head
        stream = self.response_stream
        if head is None or stream is None:
            return
        self._stream_head = None
        self.keep_alive = self.keep_alive and not closes
        self._connection.write(head + (b"" if self.keep_alive else CONNECTION_CLOSE) + b"\r\n")
        stream.attach(self, writable=writable)

    def set_client_writable(self, *, writable: bool) -> None:
        """Record whether the client accepts data; the stream is read only while it does."""
        if self.response_stream is not None and self._stream_head is None:
            self.response_stream.set_writable(writable=writable)

    def write_chunk(self, data: bytes) -> None:
        """Write a part of the streamed response."""
        if data:
            self._connection.write(b"%x\r\n%b\r\n" % (len(data), data) if self._chunked else data)

    def finish(self) -> None:
        """End the streamed response, which is complete."""
        if self._chunked:
            self._connection.write(b"0\r\n\r\n")
        self._end_stream(200)
        self._connection.on_stream_finished(self)

    def truncate(self) -> None:
        """Abort the connection, which shows the client that the response is incomplete."""
        self._end_stream(502)
        self._connection.abort(CloseReason.TRUNCATED)

    def _end_stream(self, status: int) -> None:
        metrics = self._connection.shared.metrics
        self.response_stream = None
        metrics.record_streaming_ended()
        if self.event is not None:
            metrics.record_request(self.event.request_class, status)

    def abandon_stream(self) -> None:
        """Abandon the streamed response of a client that has disconnected."""
        stream = self.response_stream
        if stream is not None:
            self.response_stream = None
            self._connection.shared.metrics.record_streaming_ended()
            stream.abandon()
