"""Checks of processes: replies to admin commands, exits, logs and metrics."""

from __future__ import annotations

import signal
from collections.abc import Iterator
from http import HTTPStatus

from soak.excuses import Excuse
from soak.fault_kinds import FaultKind
from soak.history import History, LimiterState
from soak.tolerances import timing_tolerance
from soak.violations import Invariant, Violation

REPLY_TIMEOUT_SECONDS = 1.0
METRICS_TOLERANCE_FRACTION = 0.01
METRICS_TOLERANCE_REQUESTS = 3
EXPECTED_EXIT_CODES = (0, -signal.SIGKILL)
# A process that logs one of these texts had an internal error.
ERROR_MARKERS = ("Traceback", "invariant violated")
LOG_TAIL_CHARACTERS = 600
BYTES_PER_MEGABYTE = 2**20
CHARACTERS_BEFORE_MARKER = 200
CHARACTERS_AFTER_MARKER = 1500
# While one of these affects a limiter, its admin address may be unreachable.
REPLY_DELAYING_KINDS = (
    FaultKind.KILL,
    LimiterState.UNAVAILABLE,
    LimiterState.TERMINATING,
    FaultKind.ACCEPT_ERRORS,
)


def find_late_replies(history: History) -> Iterator[Violation]:
    """Find admin commands with a late reply or without a reply.

    The time in which the limiter was stopped is subtracted from the waiting time.
    """
    for reply in history.replies:
        start, end = reply.sent_at, reply.received_at
        waited = end - start - history.span_seconds(LimiterState.STOPPED, reply.limiter, start, end)
        is_late = waited > REPLY_TIMEOUT_SECONDS + timing_tolerance(history, end)
        if (is_late or not reply.text) and not history.excuse(
            Excuse.ADMIN_UNREACHABLE,
            applies=history.is_affected(reply.limiter, start, end, *REPLY_DELAYING_KINDS),
        ):
            text = f"admin command {reply.command}: {reply.text or 'no reply'} after {waited:.3f} s"
            yield Violation(Invariant.ADMIN_REPLY, end, text, limiter=reply.limiter)


def find_crashes(history: History) -> Iterator[Violation]:
    """Find processes that exited unexpectedly or with an error code, or logged an internal error."""
    for ended in history.exits:
        # SIGTERM may end a process that is not ready, because it has no handler for the signal yet.
        ended_during_start = ended.code == -signal.SIGTERM and not ended.was_ready
        if not ended.expected or (ended.code not in EXPECTED_EXIT_CODES and not ended_during_start):
            text = f"process exited with code {ended.code}; log ends with: {ended.log[-LOG_TAIL_CHARACTERS:]}"
            yield Violation(Invariant.CLEAN_EXIT, ended.at, text, limiter=ended.limiter)
        for marker in ERROR_MARKERS:
            if marker in ended.log:
                yield Violation(
                    Invariant.NO_INTERNAL_ERROR,
                    ended.at,
                    f"internal error in the log: {_excerpt(ended.log, marker)}",
                    limiter=ended.limiter,
                )


def _excerpt(log: str, marker: str) -> str:
    start = log.index(marker)
    return log[max(0, start - CHARACTERS_BEFORE_MARKER) : start + CHARACTERS_AFTER_MARKER]


def find_exceeded_memory(history: History) -> Iterator[Violation]:
    """Find processes that used more memory than the configuration allows the whole limiter."""
    for life in history.processes:
        limit = life.memory_mb * BYTES_PER_MEGABYTE
        if limit and life.peak_memory_bytes > limit:
            peak_mb = life.peak_memory_bytes / BYTES_PER_MEGABYTE
            text = f"a process used {peak_mb:.1f} MB of {life.memory_mb} MB"
            yield Violation(Invariant.MEMORY_LIMIT, life.started_at, text, limiter=life.limiter)


def find_wrong_metrics(history: History) -> Iterator[Violation]:
    """Find metrics that count invariant violations, or count other responses than the clients received."""
    for limiter, metrics in history.metrics.items():
        for name, value in metrics.items():
            if name.startswith("app.violations.") and value:
                yield Violation(
                    Invariant.NO_INTERNAL_ERROR, 0.0, f"metric {name} is {value}", limiter=limiter
                )
        requests = [request for request in history.requests.values() if request.limiter == limiter]
        served = sum(request.status == HTTPStatus.OK for request in requests)
        unanswered = sum(not request.has_complete_response for request in requests)
        counted = sum(value for name, value in metrics.items() if name.endswith(".passed"))
        tolerance = max(METRICS_TOLERANCE_REQUESTS, METRICS_TOLERANCE_FRACTION * served)
        if not served - tolerance <= counted <= served + unanswered + tolerance:
            text = (
                f"the metrics count {counted} served requests; the clients received {served} responses "
                f"with status 200, and no complete response to {unanswered} requests"
            )
            yield Violation(Invariant.METRICS, 0.0, text, limiter=limiter)
