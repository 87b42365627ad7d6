"""Open requests: from their arrival to their one final response, with their deadlines.

The final response is that of the decisions, or a failure shortly before the client's timeout if they do not
respond.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Collection

from quota_gateway import model
from quota_gateway.net.client.request import ClientRequest
from quota_gateway.net.common.body_stream import BodyStream
from quota_gateway.net.dispatch.pending_request import PendingRequest
from quota_gateway.net.dispatch.request_log import RequestLog
from quota_gateway.net.upstream.exchange import Exchange
from quota_gateway.net.upstream.exchange_control import ExchangeControl

log = logging.getLogger(__name__)

# Part of the client's timeout that is reserved for the transfer of the response.
RESPONSE_MARGIN_SECONDS = 0.02
MAX_RESPONSE_MARGIN_FRACTION = 0.1  # upper limit of the margin, as a fraction of the timeout
# If the decisions do not respond, the limiter responds when this fraction of the margin remains until the
# client's timeout.
UNANSWERED_MARGIN_FRACTION = 0.5
MIN_TIMEOUT_SECONDS = 0.001  # lower limit of the timeout in an event for the decisions
SHUTDOWN_RETRY_AFTER_SECONDS = 0.1  # Retry-After of the responses with status 503 at the end of the process
STATUS_OK = 200
STATUS_REJECTED = 429
STATUS_INTERNAL_ERROR = 500
STATUS_FAILED = 502
STATUS_SHUTTING_DOWN = 503
STATUS_TIMEOUT = 504


def _response_margin(timeout: float) -> float:
    return min(RESPONSE_MARGIN_SECONDS, MAX_RESPONSE_MARGIN_FRACTION * timeout)


class RequestTable:
    """The open requests by id.

    A request is closed exactly once; closing it cancels its attempts and its timer. The table sends no
    response to it after that.
    """

    def __init__(
        self,
        settings: model.Settings,
        clock: Callable[[], float],
        exchanges: ExchangeControl,
        dispatch: Callable[[model.Event], None],
    ) -> None:
        """Create the table in a running event loop; ``clock`` returns seconds."""
        self._clock = clock
        self._exchanges = exchanges
        self._dispatch = dispatch
        self._loop = asyncio.get_running_loop()
        self._log = RequestLog()
        self._open = dict[int, PendingRequest]()
        self._classes = dict[str, model.RequestClass]()
        self.apply_settings(settings)

    def apply_settings(self, settings: model.Settings) -> None:
        """Replace the settings; a lower ``max_attempts`` applies to open requests too.

        Classes that the settings no longer contain stay valid, because requests of them may still arrive.
        """
        self._classes |= {request_class.name: request_class for request_class in settings.classes}
        self.max_attempts = settings.max_attempts
        self.shutdown_retry_after = min(SHUTDOWN_RETRY_AFTER_SECONDS, settings.max_retry_after)

    def __len__(self) -> int:
        """Return the number of open requests."""
        return len(self._open)

    def open_requests(self) -> Collection[PendingRequest]:
        """Return the open requests."""
        return self._open.values()

    def find(self, request_id: int) -> PendingRequest | None:
        """Return a request if it is open, None otherwise."""
        return self._open.get(request_id)

    @property
    def received_count(self) -> int:
        """The number of open requests that have been received completely."""
        return sum(pending.has_deadline for pending in self._open.values())

    # Arrival and deadline.

    def add(self, request: ClientRequest, event: model.Request) -> model.Request:
        """Register a request; return its event, whose timeout is the time left for the decisions."""
        request_class = self._classes.get(event.request_class)
        pending = PendingRequest(request, event, request_class, self.max_attempts)
        self._open[event.id] = pending
        if event.uploading:
            # The timeout of an upload starts with its last byte. That may have arrived during a stall of this
            # process, like the part that was read.
            remaining = event.timeout - request.seconds_since_arrival()
            return event.with_timeout(max(MIN_TIMEOUT_SECONDS, remaining - _response_margin(event.timeout)))
        now = self._clock()
        self._start_deadline(pending, now)
        return event.with_timeout(max(MIN_TIMEOUT_SECONDS, pending.deadline - now))

    def start_upload_deadline(self, event: model.Request) -> None:
        """Start the timeout of a request, if it is open, whose last byte has arrived and waits unread."""
        pending = self._open.get(event.id)
        if pending is None:
            return
        self._start_deadline(pending, self._clock())
        for attempt in pending.attempts:
            self._exchanges.set_expiry(attempt, pending.deadline)

    def complete_upload(self, event: model.Request) -> bool:
        """Start the timeouts of a request that was received completely; return False if it is not open."""
        pending = self._open.get(event.id)
        if pending is None:
            return False
        now = self._clock()
        if not pending.has_deadline:
            self._start_deadline(pending, now)
        for attempt in pending.attempts:
            self._exchanges.set_expiry(attempt, min(pending.deadline, now + attempt.timeout))
        return True

    def _start_deadline(self, pending: PendingRequest, now: float) -> None:
        """Count the timeout from the arrival of the request.

        The time since the arrival is read after ``now``: a stall of this process between the two readings
        makes the deadline earlier, never later.
        """
        request = pending.request
        event = pending.event
        remaining = event.timeout - request.seconds_since_arrival()
        margin = _response_margin(max(0.0, remaining))
        respond_at = request.arrived_at + event.timeout - UNANSWERED_MARGIN_FRACTION * margin
        timer = self._loop.call_at(respond_at, self.respond_without_decisions, event.id, STATUS_TIMEOUT)
        pending.start_deadline(now + remaining - margin, timer)

    # End and final response.

    def close(self, request_id: int) -> PendingRequest | None:
        """Remove a request and cancel its attempts; return None if it is not open."""
        pending = self._open.pop(request_id, None)
        if pending is not None:
            pending.end()
            for attempt in pending.attempts:
                self._exchanges.cancel(attempt)
        return pending

    def stop_forwarding(self, request_id: int) -> None:
        """Allow no further attempt, and withdraw the attempts that no connection carries yet."""
        pending = self._open.get(request_id)
        if pending is None:
            return
        pending.forbid_further_attempts()
        for attempt in list(pending.attempts):
            self._exchanges.withdraw_unsent(attempt)

    def succeed(self, request_id: int, attempt: Exchange) -> None:
        """Respond with the complete response of an attempt."""
        pending = self.close(request_id)
        if pending is not None:
            self._record_end(pending, STATUS_OK)
            pending.request.respond(STATUS_OK, attempt.response_body, attempt.response_headers)

    def begin_response(self, request_id: int, attempt: Exchange, body: BodyStream) -> bool:
        """Pass a streamed response to the client; the stream has no deadline.

        Return False if the request is not open.
        """
        pending = self._open.get(request_id)
        if pending is None:
            return False
        pending.detach_attempt(attempt)
        self.close(request_id)
        pending.request.begin_response(attempt.response_headers, body)
        return True

    def reject(self, action: model.Reject) -> None:
        """Reject a request: respond with 429 and the delay that the decisions chose for a retry."""
        pending = self.close(action.request_id)
        if pending is not None:
            self._record_end(pending, STATUS_REJECTED)
            pending.request.respond(STATUS_REJECTED, retry_after=max(0.0, action.retry_after))

    def fail(self, action: model.Fail) -> None:
        """Fail a request: respond with 502, since an endpoint may have executed or has refused it."""
        pending = self.close(action.request_id)
        if pending is not None:
            self._record_end(pending, STATUS_FAILED)
            pending.request.respond(STATUS_FAILED)

    def respond_without_decisions(self, request_id: int, status: int) -> None:
        """Respond with ``status`` and notify the decisions that the request has ended.

        The decisions did not respond in time or raised an exception, or this process is about to end.
        """
        pending = self.close(request_id)
        if pending is None:
            return
        log.warning("a request was answered %d in place of the decisions", status)
        self._record_end(pending, status)
        retry_after = self.shutdown_retry_after if status == STATUS_SHUTTING_DOWN else None
        pending.request.respond(status, retry_after=retry_after)
        self._dispatch(model.ClientDisconnected(request_id))

    def respond_to_all(self) -> None:
        """Respond to all open requests: with 504 if an endpoint may be executing the request, 503 otherwise.

        Clients may retry after a 503.
        """
        for request_id, pending in list(self._open.items()):
            self.respond_without_decisions(
                request_id, STATUS_TIMEOUT if pending.may_be_executing() else STATUS_SHUTTING_DOWN
            )

    def _record_end(self, pending: PendingRequest, status: int) -> None:
        self._log.record_end(self._clock(), pending, status)
