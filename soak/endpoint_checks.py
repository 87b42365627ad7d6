"""Checks of the attempts that draining, suspended and warming up endpoints receive."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from math import sqrt
from typing import NamedTuple

from soak.excuses import Excuse
from soak.history import Attempt, ClientRequest, EndpointChange, EndpointHealth, History, Suspension
from soak.settings import (
    DRAIN_GRACE_SECONDS,
    INITIAL_CAPACITY_FRACTION,
    OVERLOAD_FACTOR,
    OVERLOAD_WINDOW_SECONDS,
    WARM_UP_SECONDS,
)
from soak.tolerances import (
    FAULT_FREE_NOTIFICATION_SECONDS,
    WRITE_DELAY_SECONDS,
    is_excused_by_network,
    is_excused_by_runner,
    notification_deadline,
    timing_tolerance,
)
from soak.violations import Invariant, Violation

# If a limiter accepts a suspension, it must be in force within this time after SUSPEND was sent.
MAX_SUSPENSION_DELAY_SECONDS = 1.0
# An overload is a violation only if more than this fraction of its requests came from limiters that must have
# been notified of the restart.
NOTIFIED_FRACTION = 2 / 3
# During a stall of the soak test its endpoints read nothing, and after it they read many requests at once. An
# overload is therefore excused if stalls of this total length happened shortly before or during it.
MIN_STALL_SECONDS = 0.05
# If fewer requests are expected, the tolerance is three standard deviations instead of two.
SMALL_SAMPLE_REQUESTS = 30


class _DrainPeriod(NamedTuple):
    """A time during which an endpoint was listed as draining."""

    change: EndpointChange
    end: float


def find_attempts_at_draining(history: History) -> Iterator[Violation]:
    """Find attempts at a draining endpoint after the notification deadline and the drain grace."""
    periods = _find_drain_periods(history)
    for attempts in history.attempts.values():
        for attempt in attempts:
            request = history.requests.get(attempt.request_id)
            if request is None:
                continue
            for period in periods.get(attempt.endpoint, []):
                if period.change.at < attempt.first_byte_at < period.end:
                    yield from _check_drain_period(history, period, request, attempt)


def _find_drain_periods(history: History) -> dict[str, list[_DrainPeriod]]:
    periods = defaultdict[str, list[_DrainPeriod]](list)
    for number, change in enumerate(history.endpoint_changes):
        if change.health is EndpointHealth.READY:
            continue
        later_times = (
            other.at for other in history.endpoint_changes[number + 1 :] if other.endpoint == change.endpoint
        )
        periods[change.endpoint].append(_DrainPeriod(change, next(later_times, float("inf"))))
    return periods


def _check_drain_period(
    history: History, period: _DrainPeriod, request: ClientRequest, attempt: Attempt
) -> Iterator[Violation]:
    at = attempt.first_byte_at
    notified_by = notification_deadline(history, request.limiter, period.change.at, by=at)
    latest = notified_by + DRAIN_GRACE_SECONDS + WRITE_DELAY_SECONDS + timing_tolerance(history, at)
    fault_free_latest = latest - notified_by + period.change.at + FAULT_FREE_NOTIFICATION_SECONDS
    if fault_free_latest < at <= latest:
        history.excuse(Excuse.LATE_NOTIFICATION)
    if at > latest and not is_excused_by_network(history, attempt, at):
        text = (
            f"attempt at draining endpoint {attempt.endpoint} {at - notified_by:.3f} s after the time "
            "by which the limiter must have been notified"
        )
        yield Violation(Invariant.NOTHING_TO_EXCLUDED_ENDPOINTS, at, text, request.id, request.limiter)


def find_attempts_at_suspended(history: History) -> Iterator[Violation]:
    """Find attempts at an endpoint whose suspension the limiter had accepted."""
    accepted = [suspension for suspension in history.suspensions if suspension.accepted_at]
    for attempts in history.attempts.values():
        for attempt in attempts:
            request = history.requests.get(attempt.request_id)
            if request is None:
                continue
            for suspension in accepted:
                if _violates_suspension(history, suspension, request, attempt):
                    age = attempt.first_byte_at - suspension.accepted_at
                    text = (
                        f"attempt at suspended endpoint {attempt.endpoint} {age:.3f} s "
                        "after the limiter accepted SUSPEND"
                    )
                    yield Violation(
                        Invariant.NOTHING_TO_EXCLUDED_ENDPOINTS,
                        attempt.first_byte_at,
                        text,
                        request.id,
                        request.limiter,
                    )


def _violates_suspension(
    history: History, suspension: Suspension, request: ClientRequest, attempt: Attempt
) -> bool:
    if (suspension.limiter, suspension.endpoint) != (request.limiter, attempt.endpoint):
        return False
    in_force_at = min(suspension.accepted_at, suspension.requested_at + MAX_SUSPENSION_DELAY_SECONDS)
    end = suspension.restored_at or float("inf")
    at = attempt.first_byte_at
    latest = in_force_at + DRAIN_GRACE_SECONDS + WRITE_DELAY_SECONDS + timing_tolerance(history, at)
    return latest < at < end and not is_excused_by_network(history, attempt)


def find_overloads(history: History) -> Iterator[Violation]:
    """Find endpoints that received too many requests from all limiters together while they warmed up."""
    attempts_by_endpoint = defaultdict[str, list[Attempt]](list)
    for attempts in history.attempts.values():
        for attempt in attempts:
            attempts_by_endpoint[attempt.endpoint].append(attempt)
    capacity = _estimate_capacity(history, attempts_by_endpoint)
    for change in history.endpoint_changes:
        if _is_restart(history, change):
            received = [
                attempt
                for attempt in attempts_by_endpoint[change.endpoint]
                if attempt.incarnation == change.incarnation
            ]
            yield from _find_overload(history, change, received, capacity)


def _is_restart(history: History, change: EndpointChange) -> bool:
    """Whether a change is the first one that lists a new incarnation."""
    if change.incarnation == 0 or change.health is not EndpointHealth.READY:
        return False
    first_at = min(
        other.at
        for other in history.endpoint_changes
        if (other.endpoint, other.incarnation) == (change.endpoint, change.incarnation)
    )
    return change.at == first_at


def _estimate_capacity(history: History, attempts_by_endpoint: dict[str, list[Attempt]]) -> float:
    """Return the mean rate of an endpoint's requests, in requests a second; a warm endpoint can serve it."""
    times = [attempt.complete_at for attempts in attempts_by_endpoint.values() for attempt in attempts]
    seconds = max(1.0, max(times, default=1.0) - history.started_at)
    return len(times) / seconds / max(1, len(attempts_by_endpoint))


def allowed_requests(capacity: float, age: float) -> float:
    """Return how many requests an endpoint may receive within the overload window.

    ``capacity`` is what a warm endpoint serves, in requests a second; ``age`` is seconds since its start.
    """
    warm_fraction = INITIAL_CAPACITY_FRACTION + (1 - INITIAL_CAPACITY_FRACTION) * age / WARM_UP_SECONDS
    requests = OVERLOAD_FACTOR * capacity * min(1.0, warm_fraction) * OVERLOAD_WINDOW_SECONDS
    if requests < SMALL_SAMPLE_REQUESTS:
        return requests + 3 * sqrt(requests) + 3
    return requests + 2 * sqrt(requests) + 2


def _find_overload(
    history: History, change: EndpointChange, received: list[Attempt], capacity: float
) -> Iterator[Violation]:
    """Report the first window that exceeds the allowed requests, if notified limiters sent most of them.

    Later windows are not checked.
    """
    received = sorted(received, key=lambda attempt: attempt.complete_at)
    begin = 0
    for end, last in enumerate(received):
        while last.complete_at - received[begin].complete_at > OVERLOAD_WINDOW_SECONDS:
            begin += 1
        age = last.complete_at - change.at
        allowed = allowed_requests(capacity, max(0.0, age))
        window = received[begin : end + 1]
        if age < WARM_UP_SECONDS and len(window) > allowed:
            notified = sum(_is_from_notified_limiter(history, change, attempt) for attempt in window)
            window_start = window[0].complete_at - OVERLOAD_WINDOW_SECONDS
            is_excused = is_excused_by_runner(history, window_start, last.complete_at, MIN_STALL_SECONDS)
            if notified > NOTIFIED_FRACTION * len(window) and not is_excused:
                text = (
                    f"{change.endpoint} received {len(window)} requests within "
                    f"{OVERLOAD_WINDOW_SECONDS:.0f} s, {notified} from notified limiters, "
                    f"{age:.2f} s after its restart; {allowed:.1f} are allowed"
                )
                yield Violation(Invariant.SLOW_START, last.complete_at, text)
            return


def _is_from_notified_limiter(history: History, change: EndpointChange, attempt: Attempt) -> bool:
    """Whether the limiter must have been notified of the change when its attempt arrived."""
    request = history.requests.get(attempt.request_id)
    if request is None:
        return False
    at = attempt.complete_at
    return at >= notification_deadline(history, request.limiter, change.at, by=at)
