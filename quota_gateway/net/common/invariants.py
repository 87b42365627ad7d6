"""Invariants that hold at run time.

Each has one guard in the code. A guard that meets a violation reports it here, where it is counted, shown
with the metrics and logged once, and then does the safe thing: it does not send, repeat, answer or close.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple

log = logging.getLogger(__name__)


class Invariant(StrEnum):
    """What must hold; the values are the names in the metrics and in the log."""

    ANSWERED_ONCE = "answered_once"  # a request gets one final answer
    ANSWERED_BEFORE_CLOSE = "answered_before_close"  # a request that was read is answered before its close
    SENT_WHILE_OPEN = "sent_while_open"  # an attempt is sent once, and only for a request without its answer
    ONE_REQUEST_A_CONNECTION = "one_request_a_connection"  # at a time
    ONE_ATTEMPT_AT_A_TIME = "one_attempt_at_a_time"  # of one request
    REPEATED_SAFELY = "repeated_safely"  # only where a second execution does no harm
    STARTED_COMPLETELY = "started_completely"  # what was begun to start is either running or reported


class Violation(NamedTuple):
    """One broken invariant, and what led to it."""

    invariant: Invariant
    story: str


# Called with each violation, in all monitors; tests add one that fails them.
observers: list[Callable[[Violation], None]] = []


class InvariantMonitor:
    """The violations of one process."""

    __slots__ = ("counts",)

    def __init__(self) -> None:
        """Begin without violations."""
        self.counts = dict.fromkeys(Invariant, 0)

    def report(self, invariant: Invariant, story: str) -> None:
        """Count a violation; the first of its kind is logged with its story."""
        self.counts[invariant] += 1
        if self.counts[invariant] == 1:
            log.error("invariant violated: %s: %s", invariant, story)
        for observer in observers:
            observer(Violation(invariant, story))
