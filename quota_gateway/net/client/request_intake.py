"""Checks the received requests against the settings, and passes valid ones to the handler."""

from __future__ import annotations

from quota_gateway.net.client.request import ClientRequest, RequestHandler
from quota_gateway.net.client.request_head import RequestHead
from quota_gateway.net.client.request_parser import REQUEST_ID, BadRequestError
from quota_gateway.net.client.shared_state import SharedState

OUT_OF_MEMORY_RETRY_AFTER_SECONDS = 0.1
HEALTH_CHECK_PATH = "/healthz"


class RequestIntake:
    """Accepts the requests of all connections of a listener."""

    __slots__ = ("_handler", "_shared")

    def __init__(self, handler: RequestHandler, shared: SharedState) -> None:
        """Pass accepted requests to ``handler``."""
        self._handler = handler
        self._shared = shared

    def accept(self, request: ClientRequest, head: RequestHead, body: bytes) -> None:
        """Pass a request to the handler, or respond to it.

        Raises BadRequestError, without a response, if the request is not valid.
        """
        shared = self._shared
        if head.method not in (b"GET", b"POST"):
            raise BadRequestError(405, "method other than GET and POST")
        target = head.normalize_target()
        if target.partition("?")[0] == HEALTH_CHECK_PATH:
            request.respond(503 if shared.draining else 200)
            return
        if body and head.method != b"POST":
            raise BadRequestError(400, "a body in a request other than POST")
        event = shared.parser.parse(head.method, target, head.headers, uploading=request.upload is not None)
        if request.seconds_since_arrival() >= event.timeout:
            # The client has stopped waiting: an attempt would be wasted work.
            request.update_event(event)
            request.respond(503, retry_after=0.0)
            return
        if shared.budget.is_exhausted:
            shared.stats.record_out_of_memory()
            request.update_event(event)
            request.respond(503, retry_after=OUT_OF_MEMORY_RETRY_AFTER_SECONDS)
            return
        request_id = head.headers[REQUEST_ID].lower()
        # The outcomes of two open requests with the same id could be confused.
        if request_id in shared.open_request_ids:
            raise BadRequestError(409, "another open request has the same id")
        if head.method == b"POST" and request_id in shared.executed_ids:
            raise BadRequestError(409, "a request with the same id may have been executed")
        shared.open_request_ids.add(request_id)
        request.accept(event, request_id, head.build_forwarded_head(body, request.upload), body)
        self._handler.on_request(request)

    def record_upload_arrival(self, request: ClientRequest) -> None:
        """Notify the handler that the last byte of an accepted request's upload waits unread."""
        if request.response_head is None and request.event is not None:
            self._handler.on_upload_arrived(request)

    def complete_upload(self, request: ClientRequest) -> None:
        """Notify the handler that the upload of an accepted request has been received completely."""
        if request.response_head is None and request.event is not None:
            self._handler.on_upload_completed(request)

    def disconnect(self, request: ClientRequest) -> None:
        """End a request whose client has disconnected."""
        if request.response_stream is not None:
            request.abandon_stream()
        elif request.response_head is None:
            self._shared.open_request_ids.discard(request.request_id)
            self._handler.on_client_disconnected(request)

    def time_out_upload(self, request: ClientRequest) -> None:
        """End a request whose upload has stalled, and respond to it."""
        self._handler.on_client_disconnected(request)
        request.respond(408)

    def withdraw(self, request: ClientRequest) -> None:
        """Withdraw the unsent attempts of an unanswered request whose client may have disconnected."""
        self._handler.on_client_maybe_disconnected(request)
