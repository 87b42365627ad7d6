"""Checks of requests and their attempts, and of incomplete requests."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from http import HTTPStatus
from itertools import pairwise
from typing import NamedTuple

from soak.fault_kinds import FaultKind
from soak.history import Attempt, ClientBehaviour, ClientRequest, History, LimiterState, RequestOutcome
from soak.settings import (
    CEILING_BURST_UNITS,
    CEILING_RATE_UNITS_PER_SECOND,
    DEDUPLICATION_WINDOW_SECONDS,
    PlanName,
    RequestClass,
)
from soak.tolerances import WRITE_DELAY_SECONDS, may_be_delayed_by_network, timing_tolerance
from soak.violations import Invariant, Violation

RESPONSE_GRACE_SECONDS = 0.5  # after the client's timeout
SPAN_LOOKBACK_SECONDS = 0.1
LONG_RESPONSE_BYTES = 64 * 1024
DISCONNECT_GRACE_SECONDS = 0.1
DEADLINE_TOLERANCE_SECONDS = 0.15
INCOMPLETE_REQUEST_TIMEOUT_SECONDS = 3.0
TIMEOUT_SCAN_SECONDS = 0.25
CEILING_TOLERANCE_FRACTION = 0.1  # of the ceiling's burst


def _attempts_of(history: History, request: ClientRequest) -> list[Attempt]:
    return history.attempts.get(request.id, [])


def find_unanswered_requests(history: History) -> Iterator[Violation]:
    """Find requests that were sent completely and got no response, or a late one."""
    for request in history.requests.values():
        if not request.sent_at or request.behaviour is ClientBehaviour.INCOMPLETE_REQUEST:
            continue
        text = ""
        if request.outcome is RequestOutcome.RESPONSE_RECEIVED:
            delay = _response_delay(history, request)
            if delay > 0 and not _is_response_time_unbounded(request):
                text = f"response {request.status} received {delay:.3f} s too late"
        elif _has_no_response(request) and not _may_lack_response(history, request):
            text = request.outcome.value
        if text:
            yield Violation(
                Invariant.EVERY_REQUEST_ANSWERED, request.ended_at, text, request.id, request.limiter
            )


def _response_delay(history: History, request: ClientRequest) -> float:
    """Return the seconds by which a response was late, without the time the limiter could not run."""
    paused = sum(
        history.span_seconds(state, request.limiter, request.sent_at, request.ended_at)
        for state in (LimiterState.STOPPED, LimiterState.UNAVAILABLE)
    )
    latest = request.sent_at + request.timeout + RESPONSE_GRACE_SECONDS
    return request.ended_at - latest - paused - timing_tolerance(history, request.ended_at)


def _is_response_time_unbounded(request: ClientRequest) -> bool:
    """Whether other requests or the sizes of the bodies, not the limiter, decide on the response time."""
    return (
        request.behaviour in (ClientBehaviour.PIPELINING, ClientBehaviour.LONG_UPLOAD)
        or len(request.body) > LONG_RESPONSE_BYTES
    )


def _has_no_response(request: ClientRequest) -> bool:
    return request.outcome in (RequestOutcome.CONNECTION_CLOSED, RequestOutcome.TIMED_OUT)


def _may_lack_response(history: History, request: ClientRequest) -> bool:
    """Whether the process was killed or stopped, no process was available, or reads failed."""
    limiter = request.limiter
    kinds: tuple[FaultKind | LimiterState, ...] = (FaultKind.KILL, LimiterState.UNAVAILABLE)
    if request.outcome is RequestOutcome.TIMED_OUT:
        stopped = history.span_seconds(LimiterState.STOPPED, limiter, request.sent_at, request.ended_at)
        if request.ended_at - stopped < request.sent_at + request.timeout + RESPONSE_GRACE_SECONDS:
            return True
    else:
        kinds += (FaultKind.READ_ERRORS,)
    return history.is_affected(limiter, request.sent_at - SPAN_LOOKBACK_SECONDS, request.ended_at, *kinds)


def find_foreign_responses(history: History) -> Iterator[Violation]:
    """Find responses with status 200 whose body is not exactly what an endpoint sent for the request."""
    for request in history.requests.values():
        if request.outcome is not RequestOutcome.RESPONSE_RECEIVED or request.status != HTTPStatus.OK:
            continue
        if request.body not in [attempt.response for attempt in _attempts_of(history, request)]:
            text = f"status 200 with a body that no endpoint sent: {request.body[:60]!r}"
            yield Violation(
                Invariant.EVERY_REQUEST_ANSWERED, request.ended_at, text, request.id, request.limiter
            )


def find_repeated_executions(history: History) -> Iterator[Violation]:
    """Find requests that were executed again although their class forbids it, and concurrent attempts."""
    for request_id, attempts in history.attempts.items():
        request = history.requests.get(request_id)
        if request is None:
            yield Violation(
                Invariant.NO_REPEATED_EXECUTION,
                attempts[0].complete_at,
                "a request that no client sent",
                request_id,
            )
            continue
        executed = sorted(
            (attempt for attempt in attempts if attempt.executed), key=lambda attempt: attempt.complete_at
        )
        for previous, repeated in pairwise(executed):
            text = _describe_repetition(history, request, executed[0], previous, repeated)
            if text:
                yield Violation(
                    Invariant.NO_REPEATED_EXECUTION,
                    repeated.complete_at,
                    text,
                    request_id,
                    request.limiter,
                )


def _describe_repetition(
    history: History, request: ClientRequest, first: Attempt, previous: Attempt, repeated: Attempt
) -> str:
    """Return the text of the violation; empty if the repetition is allowed."""
    if request.resent and history.is_affected(
        request.limiter, previous.first_byte_at, repeated.complete_at, FaultKind.KILL
    ):
        return ""  # the client took the kill for the close of an idle connection and sent the request again
    if request.request_class == RequestClass.POST:
        return "a request that is not idempotent was executed twice"
    tolerance = timing_tolerance(history, repeated.complete_at)
    age = repeated.complete_at - first.complete_at
    is_late = age > DEDUPLICATION_WINDOW_SECONDS + tolerance
    is_keyed = request.request_class == RequestClass.KEYED
    if is_keyed and is_late and not may_be_delayed_by_network(history, repeated):
        return f"a request with an idempotency key was repeated after {age:.3f} s"
    previous_end = previous.ended_at or repeated.ended_at or repeated.complete_at
    overlap = previous_end - repeated.complete_at
    if overlap > tolerance and not may_be_delayed_by_network(history, previous, repeated.complete_at):
        return f"two attempts were in flight together for {overlap:.3f} s"
    return ""


def find_attempts_after_disconnect(history: History) -> Iterator[Violation]:
    """Find attempts that started after their client had disconnected."""
    for request in history.requests.values():
        if request.outcome is not RequestOutcome.DISCONNECTED:
            continue
        for attempt in _attempts_of(history, request):
            delay = attempt.first_byte_at - request.ended_at
            allowed = DISCONNECT_GRACE_SECONDS + timing_tolerance(history, attempt.first_byte_at)
            if delay > allowed and not may_be_delayed_by_network(history, attempt):
                text = f"an attempt started {delay:.3f} s after the client disconnected"
                yield Violation(
                    Invariant.EVERY_REQUEST_ANSWERED,
                    attempt.first_byte_at,
                    text,
                    request.id,
                    request.limiter,
                )


def find_excessive_deadlines(history: History) -> Iterator[Violation]:
    """Find attempts whose propagated deadline is longer than the client's remaining time."""
    for request in history.requests.values():
        if request.behaviour is ClientBehaviour.LONG_UPLOAD or not request.sent_at:
            continue
        for attempt in _attempts_of(history, request):
            if not attempt.propagated_deadline or may_be_delayed_by_network(history, attempt):
                continue
            remaining = request.sent_at + request.timeout - attempt.first_byte_at
            tolerance = DEADLINE_TOLERANCE_SECONDS + timing_tolerance(history, attempt.first_byte_at)
            if attempt.propagated_deadline - remaining > tolerance:
                text = f"deadline {attempt.propagated_deadline:.3f} s, {remaining:.3f} s remained"
                yield Violation(
                    Invariant.DEADLINE_PROPAGATION,
                    attempt.first_byte_at,
                    text,
                    request.id,
                    request.limiter,
                )


class _ForwardedRequest(NamedTuple):
    """A request with a ceiling and the time of its first complete attempt."""

    at: float
    request: ClientRequest


def find_exceeded_ceilings(history: History) -> Iterator[Violation]:
    """Find accounts that were granted more than their ceiling over all limiters."""
    forwarded_by_account = defaultdict[int, list[_ForwardedRequest]](list)
    for request in history.requests.values():
        attempts = _attempts_of(history, request)
        if request.plan == PlanName.CAPPED and attempts:
            first_at = min(attempt.complete_at for attempt in attempts)
            forwarded_by_account[request.account].append(_ForwardedRequest(first_at, request))
    for account, forwarded in forwarded_by_account.items():
        yield from _find_exceeded_ceiling(account, forwarded, history.started_at)


def _find_exceeded_ceiling(
    account: int, forwarded: list[_ForwardedRequest], started_at: float
) -> Iterator[Violation]:
    """Report the first request of an account that finds its token bucket empty."""
    tolerance = (
        max(1.0, CEILING_TOLERANCE_FRACTION * CEILING_BURST_UNITS)
        + CEILING_RATE_UNITS_PER_SECOND * WRITE_DELAY_SECONDS
    )
    tokens = CEILING_BURST_UNITS
    refilled_at = started_at
    for at, request in sorted(forwarded, key=lambda each: each.at):
        refill = CEILING_RATE_UNITS_PER_SECOND * (at - refilled_at)
        tokens = min(CEILING_BURST_UNITS, tokens + refill) - 1
        refilled_at = at
        if tokens < -tolerance:
            text = f"account {account:x} exceeds its ceiling by {-tokens:.1f} units"
            yield Violation(Invariant.CEILING, at, text, request.id, request.limiter)
            return


def find_unended_incomplete_requests(history: History) -> Iterator[Violation]:
    """Find incomplete requests that the limiter neither answered with an error nor closed in time."""
    for incomplete in history.incomplete_requests:
        due_at = incomplete.stopped_at + INCOMPLETE_REQUEST_TIMEOUT_SECONDS
        waited = (incomplete.ended_at or float("inf")) - incomplete.stopped_at
        allowed = (
            INCOMPLETE_REQUEST_TIMEOUT_SECONDS
            + TIMEOUT_SCAN_SECONDS
            + timing_tolerance(history, due_at)
            + history.span_seconds(LimiterState.STOPPED, incomplete.limiter, incomplete.stopped_at, due_at)
        )
        was_unavailable = history.is_affected(
            incomplete.limiter,
            incomplete.stopped_at - SPAN_LOOKBACK_SECONDS,
            incomplete.stopped_at + allowed,
            LimiterState.UNAVAILABLE,
        )
        if waited > allowed and not was_unavailable:
            text = f"a client that stopped within its {incomplete.sent_part} waited {waited:.2f} s"
            yield Violation(Invariant.INCOMPLETE_REQUEST_TIMEOUT, due_at, text, limiter=incomplete.limiter)
