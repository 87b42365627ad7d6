"""One client connection: the order of its requests and responses, and when it is read, written and closed."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from typing import TYPE_CHECKING, cast

from quota_gateway.net.client.closing import ConnectionCloser
from quota_gateway.net.client.liveness import ClientLiveness
from quota_gateway.net.client.request import ClientRequest
from quota_gateway.net.client.request_reader import MAX_PIPELINE, RequestReader
from quota_gateway.net.client.stats import CloseReason
from quota_gateway.net.common.body_stream import BodyStream

if TYPE_CHECKING:
    from quota_gateway.net.client.listener import ClientListener

log = logging.getLogger(__name__)

IDLE_TIMEOUT = 2.05  # seconds: a kept connection may be closed after 2, a bad client's must be by 3
RESPONSE_STALL_TIMEOUT = 15.0  # seconds in which a client takes nothing of a streamed response
CONNECTION_CLOSE = b"Connection: close\r\n"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class ClientConnection(asyncio.Protocol):
    """Queues the requests of one connection and writes their responses in order."""

    __slots__ = (
        "_write_blocked",
        "closer",
        "discards_input",
        "has_sent_data",
        "listener",
        "liveness",
        "phase_started_at",
        "reader",
        "reading_paused",
        "received_after",
        "request_queue",
        "transport",
    )

    def __init__(self, listener: ClientListener) -> None:
        """Create the protocol of a connection that ``listener`` accepts."""
        now = listener.clock()
        self.listener = listener
        self.transport: asyncio.Transport | None = None  # until the connection closes
        self.request_queue = deque[ClientRequest]()  # requests whose response is not written yet
        self.reader = RequestReader(self)
        self.liveness = ClientLiveness(self, now)
        self.closer = ConnectionCloser(self)
        self.phase_started_at = now  # of the last connect, begin of a request or end of a response
        self.received_after = now  # what is read now, or an end of input, may have come since
        self.discards_input = False  # nothing more is parsed, what is received is dropped
        self.reading_paused = False
        self.has_sent_data = False
        self._write_blocked = False  # the client does not take what is written

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register with the listener."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's are no subclass of it
        self.listener.connected(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Unregister, and give up what is unanswered."""
        self.transport = None
        self.closer.detach()
        self.listener.stats.ended[self.closer.reason] += 1
        self.listener.active_connections -= self.has_sent_data
        self.listener.disconnected(self)
        self.notify_disconnected()

    def notify_disconnected(self) -> None:
        """Give up the queued requests, and tell the handler of those that are unanswered."""
        requests = self.request_queue
        self.request_queue = deque()
        for request in requests:
            if request.response_stream is not None:
                request.on_client_disconnected()
            elif request.response is None:
                self.listener.open_request_ids.discard(request.request_id)
                self.listener.handler.on_client_disconnected(request)

    def data_received(self, data: bytes) -> None:
        """Parse input, or discard it on a connection that is closing."""
        if self.discards_input:
            self.closer.discard(len(data))
            return
        listener = self.listener
        listener.active_connections += not self.has_sent_data
        self.has_sent_data = True
        now = listener.clock()
        listener.stalls.mark(now)
        self.received_after = listener.stalls.unread_since(now)
        self.reader.feed(data)

    def eof_received(self) -> bool:
        """Keep the connection open where responses are owed: the client may wait for them half-closed."""
        if self.transport is None or not self.request_queue or self.reader.body.upload is not None:
            return False
        self.liveness.on_input_ended()
        return True

    def flush(self) -> None:
        """Write the responses whose turn has come."""
        listener = self.listener
        while self.request_queue and self.transport is not None:
            request = self.request_queue[0]
            if request.response_stream is not None:
                self._start_stream(request, request.response_stream)
                break  # the requests behind it follow when it is finished
            if request.response is None:
                break
            self.request_queue.popleft()
            self.phase_started_at = listener.clock()
            headers, length_and_body = request.response
            # Of pipelined responses only the last one closes: the requests behind are accepted too.
            is_last = not self.request_queue and (listener.closes_connections or self.liveness.input_ended)
            close = is_last or not request.keep_alive
            self.transport.write(headers + (CONNECTION_CLOSE if close else b"") + length_and_body)
            if close:
                self.closer.close_after_response()
        self.update_reading()

    def _start_stream(self, request: ClientRequest, stream: BodyStream) -> None:
        head = request.response_head
        if head is None:
            return  # started already
        request.response_head = None
        request.last_progress = self.listener.clock()
        request.keep_alive = request.keep_alive and not self.listener.closes_connections
        self.write(head + (b"" if request.keep_alive else CONNECTION_CLOSE) + b"\r\n")
        stream.attach(request, not self._write_blocked)

    def on_stream_finished(self, request: ClientRequest) -> None:
        """A streamed response is written to its end."""
        if not self.request_queue or self.request_queue[0] is not request:
            return
        self.request_queue.popleft()
        self.phase_started_at = self.listener.clock()
        if (not request.keep_alive or self.liveness.input_ended) and not self.request_queue:
            self.closer.close_after_response()
        self.flush()

    def write(self, data: bytes) -> None:
        """Write, unless the connection is closing."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def write_continue(self) -> None:
        """Write an interim response."""
        if self.transport is not None:
            self.transport.write(CONTINUE)

    def pause_writing(self) -> None:
        """The write buffer is full."""
        self._set_write_blocked(True)

    def resume_writing(self) -> None:
        """The write buffer has drained."""
        self._set_write_blocked(False)

    def _set_write_blocked(self, blocked: bool) -> None:
        self._write_blocked = blocked
        first = self.request_queue[0] if self.request_queue else None
        if first is not None and first.response_stream is not None and first.response_head is None:
            first.last_progress = self.listener.clock()
            first.response_stream.set_writable(not blocked)
        self.update_reading()

    def update_reading(self) -> None:
        """Read only while responses are taken: what a client does not read would fill the memory."""
        stop = self._write_blocked or self.reader.body.paused or len(self.request_queue) >= MAX_PIPELINE
        stop = stop or (self.discards_input and bool(self.request_queue))
        if self.transport is None or self.transport.is_closing() or stop is self.reading_paused:
            return
        self.reading_paused = stop
        if stop:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def reject(self, status: int) -> None:
        """Answer malformed or overdue input behind the queued requests, and close."""
        self.discards_input = True
        request = ClientRequest(self, keep_alive=False)
        self.request_queue.append(request)
        request.respond(status)

    def check_timeouts(self, now: float) -> None:
        """Close idle clients and answer slow ones: both hold a descriptor and memory."""
        age = now - self.phase_started_at
        if self.transport is None:
            return
        if self.reader.body.upload is not None:
            self._check_upload(now)
        elif self.reader.in_message and not self.reading_paused and self.reader.is_overdue(now):
            self.reject(408)  # also behind requests that wait for their responses
        elif self.request_queue:
            self._check_response(now)
        elif not self.reader.in_message and (age > IDLE_TIMEOUT or self.listener.closes_idle_connections):
            self.closer.close_idle()

    def _check_upload(self, now: float) -> None:
        if self.reading_paused:
            self.liveness.poll()
        if self.transport is None or not self.reader.body.is_upload_stalled(now):
            return
        request = self.request_queue[-1]
        self.listener.handler.on_client_disconnected(request)
        request.respond(408)

    def _check_response(self, now: float) -> None:
        first = self.request_queue[0]
        if self.reading_paused and not self.liveness.input_ended:
            self.liveness.poll()
            return
        stalled = now - first.last_progress > RESPONSE_STALL_TIMEOUT
        if first.response_stream is not None and self._write_blocked and stalled:
            log.warning("a client took nothing of its streamed response")
            self.abort(CloseReason.STALLED)

    def abort(self, reason: CloseReason) -> None:
        """Reset the connection at once."""
        self.closer.abort(reason)
