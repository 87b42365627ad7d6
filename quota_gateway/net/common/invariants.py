"""Invariants that are checked at run time.

Each invariant has one guard in the code. A guard that detects a violation reports it here and then refuses
the action: it does not send, retry, answer or close. Violations are counted, shown with the metrics and
logged.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple

log = logging.getLogger(__name__)


class Invariant(StrEnum):
    """The invariants; the values are their names in metrics and log lines."""

    ANSWERED_ONCE = "answered_once"  # a request gets one final response
    ANSWERED_BEFORE_CLOSE = "answered_before_close"  # a connection closes after its last response
    SENT_WHILE_OPEN = "sent_while_open"  # an attempt is sent once, for a request without a response
    ONE_REQUEST_A_CONNECTION = "one_request_a_connection"  # a connection has one request in flight
    ONE_ATTEMPT_AT_A_TIME = "one_attempt_at_a_time"  # a request has one attempt in flight
    REPEATED_SAFELY = "repeated_safely"  # a retry is sent only if a second execution is harmless
    STARTED_COMPLETELY = "started_completely"  # a started attempt is in flight or reported as completed


class Violation(NamedTuple):
    """A violated invariant, with a description of the request, attempt or connection that violates it."""

    invariant: Invariant
    description: str


# These are called with each violation of every monitor; the tests register an observer that makes them fail.
observers: list[Callable[[Violation], None]] = []


class InvariantMonitor:
    """Counts the violations of one process."""

    __slots__ = ("counts",)

    def __init__(self) -> None:
        """Start with no violations."""
        self.counts = dict.fromkeys(Invariant, 0)

    def report(self, invariant: Invariant, description: str) -> None:
        """Count a violation; log the first one of each invariant with its description."""
        self.counts[invariant] += 1
        if self.counts[invariant] == 1:
            log.error("invariant violated: %s: %s", invariant, description)
        for observer in observers:
            observer(Violation(invariant, description))
