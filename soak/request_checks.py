"""Checks of requests and their attempts, and of incomplete requests."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from http import HTTPStatus
from itertools import pairwise
from typing import NamedTuple

from soak.excuses import Excuse
from soak.fault_kinds import FaultKind
from soak.history import (
    TRUNCATED_RESPONSE_STATUS,
    Attempt,
    ClientBehaviour,
    ClientRequest,
    History,
    IncompleteRequest,
    LimiterState,
    RequestOutcome,
)
from soak.process_lifetime import ProcessLifetime, seconds_without_accepting_process
from soak.settings import (
    CEILING_BURST_UNITS,
    CEILING_RATE_UNITS_PER_SECOND,
    DEDUPLICATION_WINDOW_SECONDS,
    PlanName,
    RequestClass,
)
from soak.tolerances import (
    WRITE_DELAY_SECONDS,
    is_excused_by_network,
    is_excused_by_runner,
    timing_tolerance,
)
from soak.violations import Invariant, Violation

# A response may arrive up to this long after the client's timeout.
RESPONSE_GRACE_SECONDS = 0.5
# A request that arrives within this time after SIGTERM must be answered before SIGKILL.
ANSWERED_AFTER_SIGTERM_SECONDS = 0.7
# The response time is not checked if the response's body is longer.
LONG_BODY_BYTES = 64 * 1024
# An attempt may start up to this long after its client disconnected.
DISCONNECT_GRACE_SECONDS = 0.1
DEADLINE_TOLERANCE_SECONDS = 0.15
INCOMPLETE_REQUEST_TIMEOUT_SECONDS = 3.0
# Limiters check the timeouts of their connections at a shorter interval than this.
TIMEOUT_SCAN_SECONDS = 0.25
CEILING_TOLERANCE_FRACTION = 0.1  # fraction of the ceiling's burst


def _attempts_of(history: History, request: ClientRequest) -> list[Attempt]:
    return history.attempts.get(request.id, [])


def find_unanswered_requests(history: History) -> Iterator[Violation]:
    """Find completely sent requests with no response or a late one, and refused connections."""
    for request in history.requests.values():
        was_refused = request.outcome is RequestOutcome.CONNECTION_REFUSED
        if not (request.sent_at or was_refused) or request.behaviour is ClientBehaviour.INCOMPLETE_REQUEST:
            continue
        text = ""
        if request.outcome is RequestOutcome.RESPONSE_RECEIVED:
            delay = _response_delay(history, request)
            if delay > 0 and not _is_response_time_unbounded(history, request):
                text = f"response {request.status} received {delay:.3f} s after the latest allowed time"
        elif _has_no_response(request) and not _may_lack_response(history, request):
            text = request.outcome.value
        elif request.outcome is RequestOutcome.CONNECTION_REFUSED and not _may_be_refused(history, request):
            text = "connection refused although a process had to accept it"
        if text:
            yield Violation(
                Invariant.EVERY_REQUEST_ANSWERED, request.ended_at, text, request.id, request.limiter
            )


def _response_delay(history: History, request: ClientRequest) -> float:
    """Return by how many seconds a response was late.

    The delay excludes the time in which the process was stopped or no process served the accept queue.
    """
    latest = request.sent_at + request.timeout + RESPONSE_GRACE_SECONDS
    delay = request.ended_at - latest - timing_tolerance(history, request.ended_at)
    if delay <= 0 or _is_response_time_unbounded(history, request):
        return delay
    stopped = _stopped_seconds(history, request)
    queued = _unserved_queue_seconds(history, request)
    if delay <= stopped + queued:
        history.excuse(Excuse.PROCESS_STOPPED if stopped else Excuse.ACCEPT_QUEUE_UNSERVED)
    return delay - stopped - queued


def _stopped_seconds(history: History, request: ClientRequest) -> float:
    return history.span_seconds(LimiterState.STOPPED, request.limiter, request.sent_at, request.ended_at)


def _unserved_queue_seconds(history: History, request: ClientRequest) -> float:
    """Return how many seconds a new connection waited in an accept queue that no process served."""
    if not request.on_new_connection or request.limiter not in history.limiters_with_listener_kept_open:
        return 0.0
    processes = history.processes_of(request.limiter)
    return seconds_without_accepting_process(processes, request.sent_at, request.ended_at)


def _is_response_time_unbounded(history: History, request: ClientRequest) -> bool:
    """Whether the response time depends on other requests or the size of a body, not only on the limiter.

    Of a truncated response, the client does not have the body, so the endpoints' responses count.
    """
    bodies = [request.body]
    if request.status == TRUNCATED_RESPONSE_STATUS:
        bodies += [attempt.response for attempt in _attempts_of(history, request)]
    return request.behaviour in (ClientBehaviour.PIPELINING, ClientBehaviour.LONG_UPLOAD) or any(
        len(body) > LONG_BODY_BYTES for body in bodies
    )


def _has_no_response(request: ClientRequest) -> bool:
    return request.outcome in (RequestOutcome.CONNECTION_CLOSED, RequestOutcome.TIMED_OUT)


def _may_lack_response(history: History, request: ClientRequest) -> bool:
    """Whether an excuse applies to a request without a response; count the excuse if so."""
    if request.outcome is RequestOutcome.TIMED_OUT:
        due_at = request.sent_at + request.timeout + RESPONSE_GRACE_SECONDS
        stopped = _stopped_seconds(history, request)
        if request.ended_at - stopped < due_at:
            return history.excuse(Excuse.PROCESS_STOPPED)
        queued = _unserved_queue_seconds(history, request)
        if request.ended_at - stopped - queued < due_at:
            return history.excuse(Excuse.ACCEPT_QUEUE_UNSERVED)
        # A delay of the runner may have kept the client from reading the response before it timed out.
        runner_delay = history.runner_delay_around(request.ended_at)
        return history.excuse(Excuse.RUNNER_LATE, applies=request.ended_at - runner_delay < due_at)
    if request.client_port in history.failed_reads.get(request.limiter, ()):
        return history.excuse(Excuse.READ_FAILED)
    if _may_be_closed_unread(history, request):
        return history.excuse(Excuse.DESCRIPTORS_EXHAUSTED)
    killed = _process_killed_around(history, request.limiter, request.ended_at)
    if killed is None:
        return False
    if not killed.sigterm_at:
        return history.excuse(Excuse.KILLED)
    arrived_late = request.sent_at > killed.sigterm_at + ANSWERED_AFTER_SIGTERM_SECONDS
    return history.excuse(Excuse.KILLED_IN_SHUTDOWN, applies=arrived_late)


def _may_be_closed_unread(history: History, request: ClientRequest) -> bool:
    """Whether the limiter may have closed a new connection unread because it had no file descriptors left."""
    if not request.on_new_connection or _attempts_of(history, request):
        return False
    return history.is_affected(
        request.limiter,
        request.sent_at,
        request.ended_at,
        FaultKind.CONNECTION_FLOOD,
        FaultKind.HOSTILE_CROWD,
    )


def _process_killed_around(history: History, limiter: int, at: float) -> ProcessLifetime | None:
    """Return the process whose SIGKILL may have ended a connection at ``at``."""
    tolerance = timing_tolerance(history, at)
    processes = history.processes_of(limiter)
    return next((process for process in processes if process.was_killed_around(at, tolerance)), None)


def _may_be_refused(history: History, request: ClientRequest) -> bool:
    """Whether no process had to accept at some moment around the refusal; count the excuse if so."""
    tolerance = timing_tolerance(history, request.ended_at)
    unserved = seconds_without_accepting_process(
        history.processes_of(request.limiter), request.ended_at - tolerance, request.ended_at + tolerance
    )
    return history.excuse(Excuse.NO_PROCESS, applies=unserved > 0)


def find_mismatched_responses(history: History) -> Iterator[Violation]:
    """Find responses with status 200 whose body is none of those that endpoints sent for the request."""
    for request in history.requests.values():
        if request.outcome is not RequestOutcome.RESPONSE_RECEIVED or request.status != HTTPStatus.OK:
            continue
        if request.body not in [attempt.response for attempt in _attempts_of(history, request)]:
            text = f"status 200 with a body that no endpoint sent for this request: {request.body[:60]!r}"
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
                "an endpoint received a request that no client sent",
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
    # SIGKILL ended the process, which reset the connection. The client took the reset for the close of an
    # idle connection and sent the request again.
    if request.resent and _process_killed_around(history, request.limiter, request.resent_at) is not None:
        history.excuse(Excuse.RESENT_AFTER_KILL)
        return ""
    if request.request_class == RequestClass.POST:
        return "a request that is not idempotent was executed twice"
    tolerance = timing_tolerance(history, repeated.complete_at)
    age = repeated.complete_at - first.complete_at
    is_late = age > DEDUPLICATION_WINDOW_SECONDS + tolerance
    is_keyed = request.request_class == RequestClass.KEYED
    if is_keyed and is_late and not is_excused_by_network(history, repeated):
        return f"a request with an idempotency key was executed again {age:.3f} s after the first time"
    previous_end = previous.ended_at or repeated.ended_at or repeated.complete_at
    overlap = previous_end - repeated.complete_at
    if overlap > tolerance and not is_excused_by_network(history, previous, repeated.complete_at):
        return f"two attempts were in flight at the same time for {overlap:.3f} s"
    return ""


def find_attempts_after_disconnect(history: History) -> Iterator[Violation]:
    """Find attempts that started after their client had disconnected."""
    for request in history.requests.values():
        if request.outcome is not RequestOutcome.DISCONNECTED:
            continue
        for attempt in _attempts_of(history, request):
            delay = attempt.first_byte_at - request.ended_at
            allowed = DISCONNECT_GRACE_SECONDS + timing_tolerance(history, attempt.first_byte_at)
            if delay > allowed and not is_excused_by_network(history, attempt):
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
            if not attempt.propagated_deadline:
                continue
            remaining = request.sent_at + request.timeout - attempt.first_byte_at
            tolerance = DEADLINE_TOLERANCE_SECONDS + timing_tolerance(history, attempt.first_byte_at)
            excess = attempt.propagated_deadline - remaining - tolerance
            if excess > 0 and not (
                is_excused_by_network(history, attempt)
                or is_excused_by_runner(history, request.sent_at, attempt.first_byte_at, excess)
            ):
                text = (
                    f"propagated deadline {attempt.propagated_deadline:.3f} s, "
                    f"but {remaining:.3f} s of the client's timeout remained"
                )
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
    """Find accounts to which all limiters together granted more than the ceiling."""
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
    """Report the first request that overdraws the account's token bucket by more than the tolerance."""
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
            text = f"account {account:x} exceeded its ceiling by {-tokens:.1f} units"
            yield Violation(Invariant.CEILING, at, text, request.id, request.limiter)
            return


def find_overdue_incomplete_requests(history: History) -> Iterator[Violation]:
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
        if waited > allowed and not _is_excused_by_unserved_queue(history, incomplete, waited - allowed):
            text = (
                f"a client that stopped sending ({incomplete.stopped_in}) waited {waited:.2f} s "
                "for an error response or the close"
            )
            yield Violation(Invariant.INCOMPLETE_REQUEST_TIMEOUT, due_at, text, limiter=incomplete.limiter)


def _is_excused_by_unserved_queue(history: History, incomplete: IncompleteRequest, excess: float) -> bool:
    """Whether the connection waited at least ``excess`` seconds in an accept queue that no process served."""
    if incomplete.limiter not in history.limiters_with_listener_kept_open:
        return False
    end = incomplete.ended_at or incomplete.stopped_at + INCOMPLETE_REQUEST_TIMEOUT_SECONDS
    processes = history.processes_of(incomplete.limiter)
    queued = seconds_without_accepting_process(processes, incomplete.stopped_at, end)
    return history.excuse(Excuse.ACCEPT_QUEUE_UNSERVED, applies=queued >= excess)
