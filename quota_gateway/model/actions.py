"""Actions: what the decisions want done."""

from __future__ import annotations

import math
from dataclasses import dataclass

from quota_gateway.model.handover import HandoverState


@dataclass(frozen=True, slots=True)
class Forward:
    """Make the next attempt of a request at an endpoint."""

    request_id: int
    endpoint: str
    timeout: float  # seconds until the attempt is given up
    not_after: float = math.inf  # Unix time after which it must not be written any more, as a repeat


@dataclass(frozen=True, slots=True)
class Reject:
    """Final answer: the request was not executed, and the client may come again."""

    request_id: int
    retry_after: float  # seconds


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: the request failed, and it may have been executed."""

    request_id: int


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Stop waiting for an attempt."""

    request_id: int
    attempt: int  # number of the attempt, from 0


@dataclass(frozen=True, slots=True)
class IncrementCounter:
    """Add ``amount`` to a shared number, and learn its total by ``CounterReplied``."""

    counter_id: int
    lifetime: float  # seconds without an increment after which the counter forgets the number
    amount: float  # units


@dataclass(frozen=True, slots=True)
class CheckHealth:
    """Check an endpoint's health; ``HealthChecked`` tells the result."""

    endpoint: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Send ``TimerFired`` with this token after a delay."""

    delay: float  # seconds
    token: int


@dataclass(frozen=True, slots=True)
class Log:
    """Write a line to the log."""

    text: str


@dataclass(frozen=True, slots=True)
class AdminReply:
    """The answer to an operator's command."""

    request_id: int
    ok: bool
    known_endpoints: int
    avoided_endpoints: int  # of the known ones: ejected or suspended


@dataclass(frozen=True, slots=True)
class RecordSuspension:
    """Record for all processes of this limiter that an endpoint is suspended, or no longer."""

    endpoint: str
    suspended: bool


@dataclass(frozen=True, slots=True)
class HandOver:
    """Give the process that has just started what this one knows."""

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
