"""The one check that each attempt of a request passes before it starts, the first and the repeats."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from quota_gateway import model
from quota_gateway.net.common.invariants import Invariant, InvariantMonitor
from quota_gateway.net.dispatch.request_log import describe_request
from quota_gateway.net.upstream.exchange import Exchange

if TYPE_CHECKING:
    from quota_gateway.net.dispatch.request_table import PendingRequest


def may_have_executed(attempt: Exchange) -> bool:
    """Whether an attempt was, or may have been or be, executed by its endpoint."""
    return not attempt.completed or attempt.status not in model.PROVES_NOT_EXECUTED


class AttemptGuard:
    """Refuses attempts that would break an invariant: the decisions should never ask for one."""

    __slots__ = ("_classes", "_may_hedge", "_monitor")

    def __init__(self, monitor: InvariantMonitor) -> None:
        """``monitor`` counts what is refused."""
        self._monitor = monitor
        self._classes = dict[str, model.RequestClass]()
        self._may_hedge = False

    def apply_settings(self, settings: model.Settings) -> None:
        """Learn the classes; those that are gone keep their terms for the requests under way."""
        self._classes |= {request_class.name: request_class for request_class in settings.classes}
        self._may_hedge = settings.may_hedge

    def find_class(self, name: str) -> model.RequestClass | None:
        """The class of that name as the settings have it now; None for an unknown one."""
        return self._classes.get(name)

    def may_start(self, opened: PendingRequest, now: float) -> bool:
        """Whether a further attempt may start at ``now``, in seconds of the dispatcher's clock."""
        if not opened.attempts:
            return True
        if not self._may_hedge and not all(attempt.completed for attempt in opened.attempts):
            return self._refuse(Invariant.ONE_ATTEMPT_AT_A_TIME, opened)
        if not self._is_harmless(opened, now):
            return self._refuse(Invariant.REPEATED_SAFELY, opened)
        return True

    def _is_harmless(self, opened: PendingRequest, now: float) -> bool:
        executed = next(filter(may_have_executed, opened.attempts), None)
        if executed is None:
            return True
        request_class = opened.request_class
        if request_class is None or request_class.idempotency is model.Idempotency.NONE:
            return False
        return now < self._window_end(executed, request_class)

    def latest_write(self, opened: PendingRequest) -> float:
        """Time up to which a further attempt may be written, whatever the decisions say."""
        executed = next(filter(may_have_executed, opened.attempts), None)
        request_class = opened.request_class
        if executed is None or request_class is None:
            return math.inf
        return self._window_end(executed, request_class)

    @staticmethod
    def _window_end(executed: Exchange, request_class: model.RequestClass) -> float:
        if request_class.idempotency is model.Idempotency.INHERENT:
            return math.inf
        return executed.started_at + request_class.deduplication_window

    def _refuse(self, invariant: Invariant, opened: PendingRequest) -> bool:
        self._monitor.report(
            invariant, describe_request(opened.request.request_id, opened.event, opened.attempts)
        )
        return False
