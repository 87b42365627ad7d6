"""Retries: the retry budget, when a repeat is harmless, and when a request may be rejected."""

import math
from dataclasses import dataclass

from quota_gateway.arithmetic import refilled
from quota_gateway.model import NEVER_STARTED, AttemptCompleted, CallStatus, DeduplicationScope, Idempotency
from quota_gateway.state import OpenRequest

MAX_SAVED_RETRIES = 10.0
RETRIES_PER_REQUEST = 0.1  # retries that a forwarded request adds to the budget
# A repeat may be written within this fraction of the deduplication window, and not in the last
# MAX_WRITE_DELAY_SECONDS of the window.
REPEAT_WINDOW_FRACTION = 0.95
MAX_WRITE_DELAY_SECONDS = 0.15  # longest assumed stall of this process between the decision and the write
MIN_RETRY_AFTER_SECONDS = 0.1


@dataclass(slots=True, eq=False)
class RetryBudget:
    """Limits retries to a fraction of the requests: they must not double the load of a failing fleet."""

    tokens: float = MAX_SAVED_RETRIES

    def credit(self) -> None:
        """Add the fraction of a retry that a forwarded request allows."""
        self.tokens = refilled(self.tokens, RETRIES_PER_REQUEST, 1, MAX_SAVED_RETRIES)

    def allows(self, now: float, request: OpenRequest, max_attempts: int) -> bool:
        """Whether attempts, time, budget and idempotency allow another attempt at a request."""
        has_attempts = len(request.attempts) < min(request.max_attempts, max_attempts)
        has_time = request.useful_until - now > request.work
        return has_attempts and has_time and self.tokens >= 1 and may_repeat(now, request)

    def spend(self, request: OpenRequest, event: AttemptCompleted) -> None:
        """Charge the budget for a retry, by the work that the previous attempt may have caused."""
        if event.status in NEVER_STARTED:
            return
        if event.status is CallStatus.RESET_AFTER_REQUEST:
            self.tokens -= min(1.0, event.elapsed / request.work)
        else:
            self.tokens -= 1.0


def may_repeat(now: float, request: OpenRequest) -> bool:
    """Whether another attempt cannot cause a harmful second execution."""
    if _may_repeat_anywhere(request):
        return True
    is_keyed = request.request_class.idempotency is Idempotency.KEYED
    return is_keyed and now < repeat_deadline(request)


def _may_repeat_anywhere(request: OpenRequest) -> bool:
    """Whether the request was surely not executed yet, or may be executed any number of times."""
    return request.first_executed is None or request.request_class.idempotency is Idempotency.INHERENT


def repeat_deadline(request: OpenRequest) -> float:
    """Return the Unix time until which a repeat may begin to be written.

    It is infinite if no deduplication window limits the repeat.
    """
    executed = request.first_executed
    window = request.request_class.deduplication_window
    if executed is None or request.request_class.idempotency is not Idempotency.KEYED:
        return math.inf
    return executed.started_at + min(REPEAT_WINDOW_FRACTION * window, window - MAX_WRITE_DELAY_SECONDS)


def may_reject(request: OpenRequest) -> bool:
    """Whether the request may be rejected: not if the client's retry could be a harmful second execution."""
    if _may_repeat_anywhere(request):
        return True
    request_class = request.request_class
    is_keyed = request_class.idempotency is Idempotency.KEYED
    return is_keyed and request_class.deduplication_scope is DeduplicationScope.ALL


def retry_after(request: OpenRequest, max_retry_after: float) -> float:
    """Return the seconds until the customer's bucket holds enough units for the request."""
    rate = request.account.plan.rate
    wait = (request.units - request.account.tokens) / rate if rate else 0.0
    return min(max_retry_after, max(MIN_RETRY_AFTER_SECONDS, wait))
