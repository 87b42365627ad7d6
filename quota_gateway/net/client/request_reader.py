"""Reads the requests of one connection: the callbacks of the HTTP parser, framing and sizes."""

from __future__ import annotations

import logging
from dataclasses import replace
from typing import TYPE_CHECKING

import httptools

from quota_gateway import model
from quota_gateway.net.client.request import ClientRequest
from quota_gateway.net.client.request_body import RequestBody
from quota_gateway.net.client.request_head import RequestHead
from quota_gateway.net.client.request_parser import REQUEST_ID, BadRequestError
from quota_gateway.net.common.body_stream import BodyStream
from quota_gateway.net.common.http_common import MAX_BUFFERED_BODY, MAX_HEAD

if TYPE_CHECKING:
    from quota_gateway.net.client.connection import ClientConnection

log = logging.getLogger(__name__)

MAX_PIPELINE = 8  # unanswered requests of one connection: clients send one at a time
MIN_TIMEOUT = 0.001  # seconds that a request is taken to have left at least
HEAD_TIMEOUT = 2.5  # seconds for a head: a slow client takes 2, a bad one must be answered by 3


class RequestReader:
    """Turns received bytes into requests, and hands each to the connection's queue and the handler.

    A request is handed over when its body is complete or, where that is long, when its upload begins.
    """

    __slots__ = (
        "_began_at",
        "_connection",
        "_has_read_request",
        "_parser",
        "body",
        "head",
        "in_message",
        "on_header",
        "on_url",
    )

    def __init__(self, connection: ClientConnection) -> None:
        """Create the reader of a new connection."""
        self._connection = connection
        self._began_at = 0.0  # when the request that is read now began
        self._has_read_request = False  # whether any request has been complete
        self.body = RequestBody(connection)
        self.head = RequestHead()
        self.in_message = False  # between the first byte and the last byte of a request
        # The parser calls the head's methods directly: one call less for each header.
        self.on_url = self.head.on_url
        self.on_header = self.head.on_header
        self._parser = httptools.HttpRequestParser(self)

    def feed(self, data: bytes) -> None:
        """Parse received bytes; malformed input is answered and ends the connection."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as upgrade:
            # The offer is ignored (RFC 9110, 7.8): its request is accepted, what follows is HTTP/1.1.
            self._parser = httptools.HttpRequestParser(self)
            self._connection.data_received(data[upgrade.args[0] :])
            return
        except httptools.HttpParserError as error:
            self._reject_malformed(error)
            return
        # An endless head would grow inside the parser, where no callback sees it. What was seen of one that
        # was received in parts counts twice: a bound on memory need not be exact.
        if self.in_message and not self.head.complete:
            self.head.size += len(data)
            if self.head.size > MAX_HEAD:
                self._connection.reject(400)

    def _reject_malformed(self, error: httptools.HttpParserError) -> None:
        if self._connection.discards_input:
            return  # answered already
        cause = error.__context__
        if isinstance(cause, BadRequestError):
            self._connection.reject(cause.status)
        elif isinstance(error, httptools.HttpParserCallbackError):
            log.error("a request could not be handled", exc_info=cause)
            self._connection.reject(500)
        else:
            self._connection.reject(400)

    def is_overdue(self, now: float) -> bool:
        """Whether the request that is read now takes too long."""
        late_head = now - self._began_at > HEAD_TIMEOUT
        if not self.head.complete:
            return late_head
        return self.body.is_overdue(now, late_head)

    def discard_upload(self) -> None:
        """Discard the rest of an upload whose request has its response already."""
        self._connection.discards_input = True
        self.in_message = False
        self.body.discard_upload()
        self._connection.closer.expect_upload()

    def on_message_begin(self) -> None:
        """Start a request."""
        self.head.begin()
        self.in_message = True
        connection = self._connection
        # The first request's time starts with the connection, as it does for a client that sends nothing.
        self._began_at = (
            connection.listener.clock() if self._has_read_request else connection.phase_started_at
        )
        if not connection.request_queue and self._has_read_request:
            connection.phase_started_at = self._began_at
        elif len(connection.request_queue) >= MAX_PIPELINE:
            # Reading stops at this many, but one read may bring hundreds.
            raise BadRequestError(400, "too many requests at once")

    def on_headers_complete(self) -> None:
        """Check the framing, and begin the body."""
        head = self.head
        head.check()
        connection = self._connection
        if connection.discards_input:
            return
        head.complete = True
        self.body.begin(connection.listener.clock())
        if head.expects_continue and not connection.request_queue:
            connection.write_continue()
        if head.content_length is not None and head.content_length > MAX_BUFFERED_BODY:
            self._start_upload()

    def on_body(self, data: bytes) -> None:
        """Take a part of the body."""
        if self._connection.discards_input:
            return
        self.body.append(data)
        if self.body.is_too_long_to_collect:
            self._start_upload()

    def _start_upload(self) -> None:
        """Hand over a request before all of its body is received."""
        if self._parser.get_method() != b"POST":
            raise BadRequestError(413, "body too large")
        upload = self.body.start_upload(self.head.content_length)
        self._submit(upload)

    def on_message_complete(self) -> None:
        """Hand over the request, or end its upload."""
        connection = self._connection
        if connection.discards_input:
            return
        self.in_message = False
        self._has_read_request = True
        upload = self.body.upload
        if upload is None:
            self._submit(None)
            return
        self.body.upload = None
        request = connection.request_queue[-1]
        if request.response is None and request.event is not None:
            request.event = _without(request.event, connection.liveness.seconds_unread())
            connection.listener.handler.on_upload_completed(request)
        upload.finish()

    def _submit(self, upload: BodyStream | None) -> None:
        connection = self._connection
        is_http_1_0 = self._parser.get_http_version() == "1.0"
        request = ClientRequest(connection, self._parser.should_keep_alive(), is_http_1_0)
        request.upload = upload
        connection.liveness.last_seen_at = connection.received_after
        connection.request_queue.append(request)
        try:
            self._dispatch(request)
        except BadRequestError as error:
            # Whoever sends this sends more of it: the connection ends with the response.
            connection.discards_input = True
            request.keep_alive = False
            request.upload = None
            self.body.discard_upload()
            request.respond(error.status)
            raise  # and nothing behind it is parsed
        connection.update_reading()

    def _dispatch(self, request: ClientRequest) -> None:
        listener = self._connection.listener
        head = self.head
        method = self._parser.get_method()
        if method not in (b"GET", b"POST"):
            raise BadRequestError(405, "method")
        target = head.normalize_target(self._parser.get_http_version())
        if target.partition("?")[0] == "/healthz":
            request.respond(503 if listener.draining else 200)
            return
        request.forwarded_body = self.body.collected()
        head.add_framing(request, method)
        event = listener.parser.parse(method, target, head.headers, request.upload is not None)
        waited = self._connection.liveness.seconds_unread()
        if waited >= event.timeout:
            # Its client has stopped waiting, and whatever is begun now is work for nobody.
            request.event = event
            request.respond(503, retry_after=0.0)
            return
        event = _without(event, waited)
        request_id = head.headers[REQUEST_ID].lower()
        # An open request with this id is another one: outcomes must not be taken for each other's.
        if request_id in listener.open_request_ids:
            raise BadRequestError(409, "the request id is in use")
        listener.open_request_ids.add(request_id)
        request.request_id = request_id
        request.event = event
        request.forwarded_head = head.forwarded(method)
        listener.handler.on_request(request)


def _without(event: model.Request, waited: float) -> model.Request:
    """The request with the time that its client has left after so many seconds in which it was not read."""
    return replace(event, timeout=max(MIN_TIMEOUT, event.timeout - waited)) if waited else event
