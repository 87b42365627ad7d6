"""Formats a violation with its request, as the client, the endpoints and the limiters recorded it."""

from __future__ import annotations

from soak.history import Attempt, ClientRequest, History
from soak.violations import Violation

EVENT_WINDOW_SECONDS = 3.0  # before and after the violation
MAX_LOG_LINES = 8


def format_trace(history: History, violation: Violation) -> str:
    """Return the lines of a trace; its times are seconds since the traffic started."""
    at = violation.at - history.started_at if violation.at else 0.0
    limiter = f", limiter {violation.limiter}" if violation.limiter >= 0 else ""
    lines = [f"VIOLATED {violation.invariant} at {at:.3f} s{limiter}: {violation.text}"]
    request = history.requests.get(violation.request_id)
    if request is not None:
        lines.append(_format_request(history, request))
    attempts = history.attempts.get(violation.request_id, [])
    lines += [_format_attempt(history, attempt) for attempt in attempts]
    lines += _log_lines(history, violation)
    lines += _event_lines(history, violation)
    return "\n".join(lines)


def _format_request(history: History, request: ClientRequest) -> str:
    started_at = history.started_at
    connection = "new" if request.on_new_connection else "reused"
    resent = ", sent twice" if request.resent else ""
    return (
        f"  client: {request.id} {request.request_class} plan {request.plan}, timeout {request.timeout} s, "
        f"{request.behaviour}, sent at {request.sent_at - started_at:.3f} s "
        f"on a {connection} connection{resent}; "
        f"{request.outcome.value} {request.status} at {request.ended_at - started_at:.3f} s"
    )


def _format_attempt(history: History, attempt: Attempt) -> str:
    started_at = history.started_at
    outcome = "executed" if attempt.executed else "rejected"
    return (
        f"  {attempt.endpoint} (incarnation {attempt.incarnation}) connection {attempt.connection}: "
        f"first byte at {attempt.first_byte_at - started_at:.3f} s, "
        f"complete at {attempt.complete_at - started_at:.3f} s, "
        f"deadline {attempt.propagated_deadline} s, {outcome}, response of {len(attempt.response)} bytes, "
        f"ended at {attempt.ended_at - started_at:.3f} s"
    )


def _log_lines(history: History, violation: Violation) -> list[str]:
    if not violation.request_id:
        return []
    lines = [
        f"  limiter {ended.limiter}: {line}"
        for ended in history.exits
        for line in ended.log.splitlines()
        if violation.request_id in line
    ]
    return lines[:MAX_LOG_LINES]


def _event_lines(history: History, violation: Violation) -> list[str]:
    if not violation.at:
        return []
    return [
        f"  runner at {event.at - history.started_at:7.3f} s: {event.text}"
        for event in history.runner_events
        if abs(event.at - violation.at) < EVENT_WINDOW_SECONDS
    ]
