"""The checker: verifies the protocol's invariants on the history of a run.

Each check is a function that takes the history and yields the violations that it finds. It reports a time
limit as exceeded only beyond the sum of the check's tolerance, 50 ms for sockets and the runner's own delay
around that time. The limiters' metrics are compared with what the clients observed.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator

from soak.endpoint_checks import find_attempts_at_draining, find_attempts_at_suspended, find_overloads
from soak.history import History
from soak.process_checks import find_crashes, find_exceeded_memory, find_late_replies, find_wrong_metrics
from soak.request_checks import (
    find_attempts_after_disconnect,
    find_exceeded_ceilings,
    find_excessive_deadlines,
    find_mismatched_responses,
    find_overdue_incomplete_requests,
    find_repeated_executions,
    find_unanswered_requests,
)
from soak.violations import Violation

Check = Callable[[History], Iterator[Violation]]

CHECKS: tuple[Check, ...] = (
    find_unanswered_requests,
    find_mismatched_responses,
    find_repeated_executions,
    find_attempts_at_draining,
    find_attempts_at_suspended,
    find_overloads,
    find_attempts_after_disconnect,
    find_excessive_deadlines,
    find_exceeded_ceilings,
    find_overdue_incomplete_requests,
    find_late_replies,
    find_crashes,
    find_wrong_metrics,
    find_exceeded_memory,
)


def check_history(history: History) -> list[Violation]:
    """Return all violations in the order of their times."""
    violations = [violation for check in CHECKS for violation in check(history)]
    return sorted(violations, key=lambda violation: violation.at)
