"""Retries: the retry budget, what a repeat could do, and which final answer a request is owed."""

import math
from dataclasses import dataclass

from quota_gateway.arithmetic import refilled
from quota_gateway.model import NEVER_STARTED, AttemptCompleted, CallStatus, DeduplicationScope, Idempotency
from quota_gateway.state import OpenRequest

MAX_BUDGET = 10.0  # retries that may be saved up
RETRY_FRACTION = 0.1  # retries that each forwarded request adds to the budget
WINDOW_MARGIN = 0.95  # of the window in which an idempotency key is known
HOLD_UP = 0.15  # seconds that this process may be held up between its clock and a write
MIN_RETRY_AFTER = 0.1  # seconds


@dataclass(slots=True, eq=False)
class RetryBudget:
    """Retries are limited to a share of the requests, so that a failing fleet is not asked twice for all."""

    tokens: float = MAX_BUDGET

    def credit(self) -> None:
        """A request was forwarded."""
        self.tokens = refilled(self.tokens, RETRY_FRACTION, 1, MAX_BUDGET)

    def allows(self, now: float, request: OpenRequest, max_attempts: int) -> bool:
        """Whether a request may be sent once more, by attempts, time, budget and idempotency."""
        has_attempts = len(request.attempts) < min(request.max_attempts, max_attempts)
        has_time = request.useful_until - now > request.work
        return has_attempts and has_time and self.tokens >= 1 and may_repeat(now, request)

    def spend(self, request: OpenRequest, event: AttemptCompleted) -> None:
        """A retry was made after this ending; one that broke early has taken as little of the budget."""
        if event.status not in NEVER_STARTED:
            is_reset = event.status is CallStatus.RESET_AFTER_REQUEST
            self.tokens -= min(1.0, event.elapsed / request.work) if is_reset else 1.0


def may_repeat(now: float, request: OpenRequest) -> bool:
    """Whether a second execution would do no harm."""
    request_class = request.request_class
    if request.first_executed is None or request_class.idempotency is Idempotency.INHERENT:
        return True
    is_keyed = request_class.idempotency is Idempotency.KEYED
    return is_keyed and now < repeat_deadline(request)


def repeat_deadline(request: OpenRequest) -> float:
    """Unix time up to which a repeat may be decided and begin to be written; infinite for a harmless one."""
    executed = request.first_executed
    window = request.request_class.deduplication_window
    if executed is None or request.request_class.idempotency is not Idempotency.KEYED:
        return math.inf
    return executed.started_at + min(WINDOW_MARGIN * window, window - HOLD_UP)


def may_reject(request: OpenRequest) -> bool:
    """Whether the client may be told to come again: not where that could be a second execution."""
    request_class = request.request_class
    if request.first_executed is None or request_class.idempotency is Idempotency.INHERENT:
        return True
    is_keyed = request_class.idempotency is Idempotency.KEYED
    return is_keyed and request_class.deduplication_scope is DeduplicationScope.ALL


def retry_after(request: OpenRequest, max_retry_after: float) -> float:
    """Seconds until the customer's bucket holds enough for the request."""
    rate = request.account.plan.rate
    wait = (request.units - request.account.tokens) / rate if rate else 0.0
    return min(max_retry_after, max(MIN_RETRY_AFTER, wait))
