"""Open requests: from their arrival to their one final answer, with their attempts and deadlines.

The answer is that of the decisions, or a failure shortly before the client's timeout if they give none.
"""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Callable
from dataclasses import replace
from functools import partial

from quota_gateway import model
from quota_gateway.net.client.request import ClientRequest
from quota_gateway.net.common.body_stream import BodyStream
from quota_gateway.net.common.invariants import Invariant, InvariantMonitor
from quota_gateway.net.dispatch.attempt_guard import AttemptGuard
from quota_gateway.net.dispatch.request_log import RequestLog, describe_request
from quota_gateway.net.upstream.exchange import Exchange
from quota_gateway.net.upstream.pool import ConnectionPool

log = logging.getLogger(__name__)

ANSWER_MARGIN = 0.02  # seconds of the client's timeout that are kept for the way back of the answer
ANSWER_MARGIN_FRACTION = 0.1  # of a short timeout: the margin is no more of it than this
SILENCE_FRACTION = 0.5  # of the margin: so long before the timeout silent decisions are answered for
SHUTDOWN_RETRY_AFTER = 0.1  # seconds until a client that is rejected at the end retries, elsewhere


def _answer_margin(timeout: float) -> float:
    return min(ANSWER_MARGIN, ANSWER_MARGIN_FRACTION * timeout)


class PendingRequest:
    """A request that has no final answer yet."""

    __slots__ = ("attempts", "deadline", "event", "max_attempts", "request", "request_class", "timer")

    def __init__(
        self,
        request: ClientRequest,
        event: model.Request,
        request_class: model.RequestClass | None,
        max_attempts: int,
    ) -> None:
        """Open a request of a class, None if unknown; its deadline is set when it has arrived completely."""
        self.request_class = request_class  # new settings do not change it
        self.request = request
        self.event = event
        self.deadline = math.inf  # seconds of the dispatcher's clock
        self.max_attempts = max_attempts
        self.attempts: list[Exchange] = []
        self.timer: asyncio.TimerHandle | None = None  # answers for silent decisions


class RequestTable(dict[int, PendingRequest]):
    """The open requests by id, and the actions of the decisions on them."""

    def __init__(
        self,
        settings: model.Settings,
        clock: Callable[[], float],
        pool: ConnectionPool,
        dispatch: Callable[[model.Event], None],
        invariants: InvariantMonitor | None = None,
    ) -> None:
        """Create the table in a running event loop; ``clock`` gives seconds."""
        super().__init__()
        self._clock = clock
        self._pool = pool
        self._dispatch = dispatch
        self._loop = asyncio.get_running_loop()
        self._invariants = invariants or InvariantMonitor()
        self._guard = AttemptGuard(self._invariants)
        self._log = RequestLog()
        self.apply_settings(settings)

    def apply_settings(self, settings: model.Settings) -> None:
        """Use new limits; a lower number of attempts holds for open requests too."""
        self._max_attempts = settings.max_attempts
        self._guard.apply_settings(settings)
        self.shutdown_retry_after = min(SHUTDOWN_RETRY_AFTER, settings.max_retry_after)

    @property
    def uploaded_count(self) -> int:
        """How many open requests have arrived completely."""
        return sum(opened.deadline < math.inf for opened in self.values())

    def add(self, request: ClientRequest, event: model.Request) -> model.Request:
        """Register a request; returns its event with the time that the decisions have."""
        margin = _answer_margin(event.timeout)
        request_class = self._guard.find_class(event.request_class)
        opened = PendingRequest(request, event, request_class, self._max_attempts)
        self[event.id] = opened
        if not event.uploading:  # else its timeout begins with its last byte
            self._start_deadline(opened, event, self._clock(), margin)
        return replace(event, timeout=event.timeout - margin)

    def complete_upload(self, event: model.Request) -> bool:
        """Start the timeout of a request whose last byte has come; ``False`` if it is answered already."""
        opened = self.get(event.id)
        if opened is None:
            return False
        now = self._clock()
        self._start_deadline(opened, event, now, _answer_margin(event.timeout))
        for attempt in opened.attempts:
            self._pool.exchanges.set_expiry(attempt, min(opened.deadline, now + attempt.timeout))
        return True

    def _start_deadline(
        self, opened: PendingRequest, event: model.Request, now: float, margin: float
    ) -> None:
        opened.deadline = now + event.timeout - margin
        last_moment = event.timeout - SILENCE_FRACTION * margin
        opened.timer = self._loop.call_later(last_moment, self.abandon, event.id, 504)

    def stop_forwarding(self, request_id: int) -> None:
        """Start no further attempt, and withdraw those that have not gone out yet."""
        opened = self.get(request_id)
        if opened is None:
            return
        opened.max_attempts = len(opened.attempts)
        for attempt in list(opened.attempts):
            self._pool.exchanges.withdraw_unsent(attempt)

    def close(self, request_id: int) -> PendingRequest | None:
        """Remove a request and cancel its attempts; ``None`` if it is not open."""
        opened = self.pop(request_id, None)
        if opened is not None:
            if opened.timer is not None:
                opened.timer.cancel()
            for attempt in opened.attempts:
                self._pool.exchanges.cancel(attempt)
        return opened

    def abandon(self, request_id: int, status: int) -> None:
        """Answer in place of decisions that are silent or have failed."""
        opened = self.close(request_id)
        if opened is None:
            return
        log.warning("a request was answered %d in place of the decisions", status)
        self._log_end(opened, str(status))
        retry_after = self.shutdown_retry_after if status == 503 else None
        opened.request.respond(status, retry_after=retry_after)
        self._dispatch(model.ClientDisconnected(request_id))

    def abandon_all(self) -> None:
        """Answer all open requests; those that no endpoint has received completely may be retried."""
        for request_id, opened in list(self.items()):
            may_have_run = any(attempt.request_written for attempt in opened.attempts)
            self.abandon(request_id, 504 if may_have_run else 503)

    def forward(self, action: model.Forward) -> None:
        """Start an attempt, or report it as not sent if the request may have no more of them."""
        opened = self.get(action.request_id)
        if opened is None:
            log.error("dropped an attempt for a request that has ended")  # its client left in this turn
            return
        number = len(opened.attempts)
        is_allowed = self._guard.may_start(opened, self._clock())
        attempt = self._new_attempt(action, opened, number)
        opened.attempts.append(attempt)
        has_attempts = number < min(opened.max_attempts, self._max_attempts)
        if is_allowed and has_attempts and action.timeout > 0:
            self._start(attempt, opened)
        else:
            self._pool.exchanges.complete(attempt, model.CallStatus.NOT_SENT)

    def _start(self, attempt: Exchange, opened: PendingRequest) -> None:
        """Start an attempt; whatever goes wrong, the decisions are told how it ended."""
        try:
            self._pool.start(attempt)
        except Exception:
            log.exception("an attempt could not be started")
            story = describe_request(opened.request.request_id, opened.event, opened.attempts)
            self._invariants.report(Invariant.STARTED_COMPLETELY, story)
            self._pool.exchanges.fail(attempt)

    def _log_end(self, opened: PendingRequest, answer: str) -> None:
        self._log.answered(self._clock(), opened.request.request_id, opened.event, opened.attempts, answer)

    def _new_attempt(self, action: model.Forward, opened: PendingRequest, number: int) -> Exchange:
        request = opened.request
        expires_at = math.inf
        if opened.deadline != math.inf:
            expires_at = min(opened.deadline, self._clock() + action.timeout)
        return Exchange(
            endpoint=action.endpoint,
            request_head=request.forwarded_head,
            request_body=request.forwarded_body,
            expires_at=expires_at,
            on_complete=partial(self._attempt_completed, action.request_id, number),
            on_response_started=partial(self._response_started, action.request_id),
            upload=request.upload,
            timeout=action.timeout,
            not_after=min(action.not_after, self._guard.latest_write(opened)),
            is_client_connected=request.is_client_connected,
        )

    def _response_started(self, request_id: int, attempt: Exchange, body: BodyStream) -> bool:
        """Hand a long response to its client: from now on no deadline ends it."""
        opened = self.get(request_id)
        if opened is None:
            return False
        opened.attempts.remove(attempt)
        self.close(request_id)
        opened.request.begin_response(attempt.response_headers, body)
        return True

    def _attempt_completed(self, request_id: int, number: int, attempt: Exchange) -> None:
        succeeded = attempt.status is model.CallStatus.OK
        if succeeded and (opened := self.close(request_id)) is not None:
            self._log_end(opened, "200")
            opened.request.respond(200, attempt.response_body, attempt.response_headers)
        self._dispatch(
            model.AttemptCompleted(
                request_id=request_id,
                attempt=number,
                endpoint=attempt.endpoint,
                status=attempt.status,
                elapsed=attempt.elapsed,
                request_finished=request_id not in self,
                load_report=attempt.load_report,
                charged_units=attempt.charged_units if succeeded else None,  # only success settles the units
                may_retry=attempt.upload is None or not attempt.upload.consumed,
            )
        )

    def reject(self, action: model.Reject) -> None:
        """Answer 429."""
        opened = self.close(action.request_id)
        if opened is not None:
            self._log_end(opened, "429")
            opened.request.respond(429, retry_after=max(0.0, action.retry_after))

    def fail(self, action: model.Fail) -> None:
        """Answer 502."""
        opened = self.close(action.request_id)
        if opened is not None:
            self._log_end(opened, "502")
            opened.request.respond(502)

    def cancel_attempt(self, action: model.CancelAttempt) -> None:
        """Cancel one attempt, if it exists."""
        opened = self.get(action.request_id)
        if opened is not None and action.attempt < len(opened.attempts):
            self._pool.exchanges.cancel(opened.attempts[action.attempt])
