"""Checks each attempt of a request against the invariants before it starts."""

from __future__ import annotations

import math

from quota_gateway import model
from quota_gateway.net.common.invariants import Invariant, InvariantMonitor
from quota_gateway.net.dispatch.pending_request import PendingRequest
from quota_gateway.net.dispatch.request_log import describe_request
from quota_gateway.net.upstream.exchange import Exchange


def may_have_been_executed(attempt: Exchange) -> bool:
    """Whether the endpoint may have executed the attempt, or may be executing it."""
    return not attempt.completed or attempt.status not in model.PROVES_NOT_EXECUTED


class AttemptGuard:
    """Refuses attempts that would violate an invariant; only faulty decisions request such attempts."""

    __slots__ = ("_may_hedge", "_monitor")

    def __init__(self, monitor: InvariantMonitor, settings: model.Settings) -> None:
        """``monitor`` counts the refused attempts."""
        self._monitor = monitor
        self.apply_settings(settings)

    def apply_settings(self, settings: model.Settings) -> None:
        """Use these settings for attempts that start from now on."""
        self._may_hedge = settings.may_hedge

    def may_start(self, pending: PendingRequest, now: float) -> bool:
        """Whether a further attempt may start at ``now``, in seconds of the dispatcher's clock."""
        if not pending.attempts:
            return True
        if not self._may_hedge and not all(attempt.completed for attempt in pending.attempts):
            return self._refuse(Invariant.ONE_ATTEMPT_AT_A_TIME, pending)
        if not _is_safe_to_repeat(pending, now):
            return self._refuse(Invariant.REPEATED_SAFELY, pending)
        return True

    def _refuse(self, invariant: Invariant, pending: PendingRequest) -> bool:
        self._monitor.report(invariant, describe_request(pending))
        return False


def latest_write_time(pending: PendingRequest) -> float:
    """Return the time after which a further attempt must not be written, even if the decisions allow it."""
    if not pending.attempts:
        return math.inf
    possibly_executed = _first_possibly_executed(pending)
    request_class = pending.request_class
    if possibly_executed is None or request_class is None:
        return math.inf
    return _deduplication_window_end(possibly_executed, request_class)


def _is_safe_to_repeat(pending: PendingRequest, now: float) -> bool:
    possibly_executed = _first_possibly_executed(pending)
    if possibly_executed is None:
        return True
    request_class = pending.request_class
    if request_class is None or request_class.idempotency is model.Idempotency.NONE:
        return False
    return now < _deduplication_window_end(possibly_executed, request_class)


def _first_possibly_executed(pending: PendingRequest) -> Exchange | None:
    return next(filter(may_have_been_executed, pending.attempts), None)


def _deduplication_window_end(possibly_executed: Exchange, request_class: model.RequestClass) -> float:
    """Return the end of the deduplication window, in which endpoints recognise repeats of this attempt.

    The window of a request that is inherently idempotent does not end.
    """
    if request_class.idempotency is model.Idempotency.INHERENT:
        return math.inf
    return possibly_executed.started_at + request_class.deduplication_window
