"""Logs each request that had more than one attempt, or an attempt that did not succeed.

Requests that were served by their first attempt, or had none, are not logged; the metrics count them.
Reports of invariant violations describe their request in the same form.
"""

from __future__ import annotations

import logging

from quota_gateway import model
from quota_gateway.net.dispatch.pending_request import PendingRequest
from quota_gateway.net.upstream.exchange import describe_attempt

log = logging.getLogger(__name__)

MAX_LINES_PER_SECOND = 2  # further lines of a second are only counted


def describe_request(pending: PendingRequest) -> str:
    """Describe a request: the id that its client gave it, its class, and its attempts in their order."""
    descriptions = [describe_attempt(number, attempt) for number, attempt in enumerate(pending.attempts)]
    request_id = pending.request.request_id.decode("latin-1")
    return "; ".join([f"request {request_id} of class {pending.event.request_class}", *descriptions])


class RequestLog:
    """Logs requests that have ended, at most ``MAX_LINES_PER_SECOND``."""

    __slots__ = ("_current_second", "_lines_in_second", "_suppressed")

    def __init__(self) -> None:
        """Start with no lines logged."""
        self._current_second = 0
        self._lines_in_second = 0
        self._suppressed = 0

    def record_end(self, now: float, pending: PendingRequest, status: int) -> None:
        """Log a request that ends at ``now`` with the HTTP ``status``.

        A request is not logged if it had no attempt, or only one that succeeded.
        """
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
        suppressed_note = (
            f" ({self._suppressed} earlier such requests were not logged)" if self._suppressed else ""
        )
        self._suppressed = 0
        log.info("%s; answered %d%s", describe_request(pending), status, suppressed_note)
