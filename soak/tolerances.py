"""Tolerances that several checks share: inexact times, delays by the network, late notification."""

from __future__ import annotations

from soak.excuses import Excuse
from soak.fault_kinds import FaultKind
from soak.history import ALL_LIMITERS, Attempt, History, LimiterState

SOCKET_TOLERANCE_SECONDS = 0.05
WRITE_DELAY_SECONDS = 0.15  # from the limiter's decision to its write to the socket
NETWORK_RECOVERY_SECONDS = 1.0  # a network fault may delay attempts up to this long after its end
# Under any fault, a limiter must be notified within this time after discovery has a change. The duration of a
# discovery outage is added; a stop of the process is not: what discovery has written counts as notified.
MAX_NOTIFICATION_SECONDS = 6.0
FAULT_FREE_NOTIFICATION_SECONDS = 0.2
UPGRADE_NOTIFICATION_SECONDS = 2.0
# A fault that ended up to this long before a change may still delay its notification.
NOTIFICATION_LOOKBACK_SECONDS = 0.5
NOTIFICATION_DELAYING_KINDS = (
    FaultKind.DISCOVERY_UNRESPONSIVE,
    FaultKind.DISCOVERY_DOWN,
    FaultKind.DISCOVERY_FRAGMENTED,
    LimiterState.CHANGING_DISCOVERY_ADDRESS,
    FaultKind.CONNECT_ERRORS,
    FaultKind.SOCKET_ERRORS,
    FaultKind.READ_ERRORS,
    FaultKind.SHORT_TRANSFERS,
)


def timing_tolerance(history: History, at: float) -> float:
    """Return the seconds by which a recorded time around ``at`` may be off."""
    return SOCKET_TOLERANCE_SECONDS + history.runner_delay_around(at)


def may_be_delayed_by_network(history: History, attempt: Attempt, until: float | None = None) -> bool:
    """Whether a fault of the endpoint's network may have delayed an attempt.

    A fault counts if it began before the request was complete or, if given, before ``until``.
    """
    end = attempt.complete_at if until is None else until
    start = attempt.first_byte_at - NETWORK_RECOVERY_SECONDS
    return any(
        fault.endpoint == attempt.endpoint and fault.start <= end and fault.end >= start
        for fault in history.network_faults
    )


def is_excused_by_network(history: History, attempt: Attempt, until: float | None = None) -> bool:
    """Whether a network fault may explain the observation; count the excuse if so."""
    return history.excuse(Excuse.NETWORK_FAULT, applies=may_be_delayed_by_network(history, attempt, until))


def is_excused_by_runner(history: History, start: float, end: float, seconds: float) -> bool:
    """Whether the soak test itself was stalled for ``seconds`` between two times; count the excuse if so.

    After a stall, its endpoints read requests later than these arrived.
    """
    late = history.span_seconds(LimiterState.RUNNER_LATE, ALL_LIMITERS, start, end)
    return history.excuse(Excuse.RUNNER_LATE, applies=late >= seconds)


def notification_deadline(history: History, limiter: int, at: float, *, by: float) -> float:
    """Return the time by which a limiter must be notified of a change that discovery had at ``at``.

    ``by`` is the time at which the limiter acted; what happened later does not matter.
    """
    latest = at + MAX_NOTIFICATION_SECONDS
    end = min(latest, by)
    if not history.is_affected(
        limiter, at - NOTIFICATION_LOOKBACK_SECONDS, end, *NOTIFICATION_DELAYING_KINDS
    ):
        return max(at + FAULT_FREE_NOTIFICATION_SECONDS, _notified_since_start(history, limiter, by))
    outage_ends = (
        span.end
        for span in history.spans
        if span.kind is FaultKind.DISCOVERY_DOWN
        and span.limiter == limiter
        and span.start <= latest
        and span.end >= at
    )
    available_at = max(at, max(outage_ends, default=at))
    return available_at + MAX_NOTIFICATION_SECONDS


def _notified_since_start(history: History, limiter: int, at: float) -> float:
    """Return since when the processes that run at ``at`` count as notified of what discovery has.

    A process counts as notified from its start, also while it cannot read its sockets yet. A process that
    starts beside another one counts as notified 2 s after it has reported that it is ready.
    """
    running = [process for process in history.processes_of(limiter) if process.is_running_at(at)]
    first_start = min((process.started_at for process in running), default=0.0)
    return max(
        (
            process.started_at
            if process.started_at == first_start
            else (process.ready_at or at) + UPGRADE_NOTIFICATION_SECONDS
            for process in running
        ),
        default=0.0,
    )
