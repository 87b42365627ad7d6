"""Log lines on single requests: those with more than one attempt, a failed attempt or a violation.

A request that is served by its first attempt, or rejected before it, has no line; it is counted elsewhere.
"""

from __future__ import annotations

import logging

from quota_gateway import model
from quota_gateway.net.dispatch.pending_request import PendingRequest
from quota_gateway.net.upstream.exchange import describe_attempt

log = logging.getLogger(__name__)

MAX_LINES_PER_SECOND = 2  # further lines of a second are only counted


def describe_request(pending: PendingRequest) -> str:
    """Describe a request by its client's id, its class, and its attempts in their order."""
    steps = [describe_attempt(number, attempt) for number, attempt in enumerate(pending.attempts)]
    request_id = pending.request.request_id.decode("latin-1")
    return "; ".join([f"request {request_id} of class {pending.event.request_class}", *steps])


class RequestLog:
    """Writes the lines, at most ``MAX_LINES_PER_SECOND``."""

    __slots__ = ("_current_second", "_lines_in_second", "_suppressed")

    def __init__(self) -> None:
        """Begin without lines."""
        self._current_second = 0
        self._lines_in_second = 0
        self._suppressed = 0

    def record_end(self, now: float, pending: PendingRequest, status: int) -> None:
        """Log a request that ends at ``now`` with the HTTP ``status``, if its attempts are worth a line."""
        attempts = pending.attempts
        if not attempts or (len(attempts) == 1 and attempts[0].status is model.CallStatus.OK):
            return
        second = int(now)
        if second != self._current_second:
            self._current_second = second
            self._lines_in_second = 0
        self._lines_in_second += 1
        if self._lines_in_second > MAX_LINES_PER_SECOND:
            self._suppressed += 1
            return
        before = f" ({self._suppressed} such requests not logged before)" if self._suppressed else ""
        self._suppressed = 0
        log.info("%s; answered %d%s", describe_request(pending), status, before)
