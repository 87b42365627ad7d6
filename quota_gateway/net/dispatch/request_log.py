"""Log lines on single requests: those that took more than one attempt, failed or had a violation.

A request that is served at once, or rejected before its first attempt, writes nothing: the counts tell of it.
"""

from __future__ import annotations

import logging
from collections.abc import Sequence

from quota_gateway import model
from quota_gateway.net.upstream.exchange import Exchange, describe_attempt

log = logging.getLogger(__name__)

MAX_LINES_PER_SECOND = 2  # the others of that second are only counted


def describe_request(request_id: bytes, event: model.Request, attempts: Sequence[Exchange]) -> str:
    """A request by its client's id, and its attempts in their order."""
    steps = [describe_attempt(number, attempt) for number, attempt in enumerate(attempts)]
    head = f"request {request_id.decode('latin-1')} of class {event.request_class}"
    return "; ".join([head, *steps])


class RequestLog:
    """Writes the lines, at most ``MAX_LINES_PER_SECOND``."""

    __slots__ = ("_current_second", "_lines_in_second", "_suppressed")

    def __init__(self) -> None:
        """Begin with no line written."""
        self._current_second = 0
        self._lines_in_second = 0
        self._suppressed = 0

    def answered(
        self, now: float, request_id: bytes, event: model.Request, attempts: Sequence[Exchange], answer: str
    ) -> None:
        """A request has ended at ``now`` with ``answer``; log it if its attempts are worth it."""
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
        log.info("%s; answered %s%s", describe_request(request_id, event, attempts), answer, before)
