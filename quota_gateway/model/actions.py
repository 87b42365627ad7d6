"""Actions: the output of the decisions, executed by the network modules or the simulator."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from quota_gateway.model.handover import HandoverState


@dataclass(frozen=True, slots=True)
class Forward:
    """Make the next attempt of a request at an endpoint."""

    request_id: int
    endpoint: str
    timeout: float  # seconds until the attempt is abandoned
    # Unix time after which a repeat must not be written, because the endpoints may have forgotten its
    # idempotency key; infinite if no deduplication window limits the attempt.
    not_after: float = math.inf


@dataclass(frozen=True, slots=True)
class Reject:
    """Final answer: the request was rejected, and the client may retry it without harm."""

    request_id: int
    retry_after: float  # seconds that the client should wait


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: the request failed; it may have been executed, or an endpoint returned a client error."""

    request_id: int


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Stop waiting for the response of an attempt."""

    request_id: int
    attempt: int  # number of the attempt, from 0


@dataclass(frozen=True, slots=True)
class IncrementCounter:
    """Add ``amount`` to a total of the shared counter; ``CounterReplied`` returns the new total."""

    counter_id: int
    lifetime: float  # seconds without an increment after which the total expires
    amount: float  # units


@dataclass(frozen=True, slots=True)
class CheckHealth:
    """Check an endpoint's health; ``HealthChecked`` returns the result."""

    endpoint: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Deliver ``TimerFired`` with this token after a delay."""

    delay: float  # seconds
    token: int


@dataclass(frozen=True, slots=True)
class Log:
    """Write a line to the log."""

    text: str


@dataclass(frozen=True, slots=True)
class AdminReply:
    """The reply to an operator's command."""

    request_id: int
    ok: bool
    known_endpoints: int
    avoided_endpoints: int  # known endpoints that are ejected or suspended


@dataclass(frozen=True, slots=True)
class RecordSuspension:
    """Record for all processes of this limiter whether an endpoint is suspended."""

    endpoint: str
    suspended: bool = field(kw_only=True)


@dataclass(frozen=True, slots=True)
class HandOver:
    """Hand over the state of this process to one that has just started."""

    state: HandoverState


Action = (
    Forward
    | Reject
    | Fail
    | CancelAttempt
    | IncrementCounter
    | CheckHealth
    | SetTimer
    | Log
    | AdminReply
    | RecordSuspension
    | HandOver
)
