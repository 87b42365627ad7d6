"""Starts and cancels attempts of open requests, and reports how each attempt ended."""

from __future__ import annotations

import logging
import math
from collections.abc import Callable
from functools import partial

from quota_gateway import model
from quota_gateway.net.common.body_stream import BodyStream
from quota_gateway.net.common.invariants import Invariant, InvariantMonitor
from quota_gateway.net.dispatch.attempt_guard import AttemptGuard, latest_write_time
from quota_gateway.net.dispatch.pending_request import PendingRequest
from quota_gateway.net.dispatch.request_log import describe_request
from quota_gateway.net.dispatch.request_table import RequestTable
from quota_gateway.net.upstream.exchange import Exchange
from quota_gateway.net.upstream.pool import ConnectionPool

log = logging.getLogger(__name__)


class AttemptForwarder:
    """Starts the attempts that the decisions request, and reports the end of each exactly once."""

    def __init__(
        self,
        settings: model.Settings,
        clock: Callable[[], float],
        pool: ConnectionPool,
        requests: RequestTable,
        dispatch: Callable[[model.Event], None],
        invariants: InvariantMonitor,
    ) -> None:
        """``clock`` returns seconds; ``dispatch`` receives the ``AttemptCompleted`` events."""
        self._clock = clock
        self._pool = pool
        self._requests = requests
        self._dispatch = dispatch
        self._invariants = invariants
        self._guard = AttemptGuard(invariants, settings)

    def apply_settings(self, settings: model.Settings) -> None:
        """Use these settings for attempts that start from now on."""
        self._guard.apply_settings(settings)

    def forward(self, action: model.Forward) -> None:
        """Start an attempt, or report it as not sent if it may not start or has no time left."""
        pending = self._requests.find(action.request_id)
        if pending is None:  # its client disconnected in the same iteration of the event loop
            log.error("dropped an attempt for a request that has ended")
            return
        number = len(pending.attempts)
        now = self._clock()
        is_allowed = self._guard.may_start(pending, now)
        attempt = self._new_attempt(action, pending, number, now)
        pending.attempts.append(attempt)
        has_attempts_left = number < min(pending.max_attempts, self._requests.max_attempts)
        if is_allowed and has_attempts_left and action.timeout > 0:
            self._start(attempt, pending)
        else:
            self._pool.exchanges.complete(attempt, model.CallStatus.NOT_SENT)

    def cancel(self, action: model.CancelAttempt) -> None:
        """Cancel one attempt, if it exists."""
        pending = self._requests.find(action.request_id)
        if pending is not None and action.attempt < len(pending.attempts):
            self._pool.exchanges.cancel(pending.attempts[action.attempt])

    def _new_attempt(
        self, action: model.Forward, pending: PendingRequest, number: int, now: float
    ) -> Exchange:
        request = pending.request
        request_class = pending.request_class
        is_repeatable = request_class is not None and request_class.idempotency is model.Idempotency.INHERENT
        expires_at = math.inf  # set once the upload is complete
        if pending.deadline < math.inf:
            expires_at = min(pending.deadline, now + action.timeout)
        return Exchange(
            endpoint=action.endpoint,
            request_head=request.forwarded_head,
            request_body=request.forwarded_body,
            expires_at=expires_at,
            on_complete=partial(self._on_completed, action.request_id, number),
            on_response_started=partial(self._on_response_started, action.request_id),
            upload=request.upload,
            timeout=action.timeout,
            not_after=min(action.not_after, latest_write_time(pending)),
            may_begin_attempt=request.may_begin_attempt,
            on_written=None if is_repeatable else request.record_possible_execution,
        )

    def _start(self, attempt: Exchange, pending: PendingRequest) -> None:
        """Start an attempt; end it as failed if that raises an exception."""
        try:
            self._pool.start(attempt)
        except Exception:
            log.exception("unexpected error while starting an attempt; the attempt ends as failed")
            self._invariants.report(Invariant.STARTED_COMPLETELY, describe_request(pending))
            self._pool.exchanges.fail(attempt)

    def _on_response_started(self, request_id: int, attempt: Exchange, body: BodyStream) -> bool:
        return self._requests.begin_response(request_id, attempt, body)

    def _on_completed(self, request_id: int, number: int, attempt: Exchange) -> None:
        """Respond to the client if the attempt succeeded, then notify the decisions."""
        succeeded = attempt.status is model.CallStatus.OK
        if succeeded:
            self._requests.succeed(request_id, attempt)
        self._dispatch(
            model.AttemptCompleted(
                request_id=request_id,
                attempt=number,
                endpoint=attempt.endpoint,
                status=attempt.status,
                elapsed=attempt.elapsed,
                request_finished=succeeded or self._requests.find(request_id) is None,
                load_report=attempt.load_report,
                # Only a successful attempt corrects the charge.
                charged_units=attempt.charged_units if succeeded else None,
                may_retry=attempt.upload is None or not attempt.upload.consumed,
            )
        )
