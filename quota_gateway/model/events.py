"""Events: what the decisions are told, one at a time."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from quota_gateway.model.handover import HandoverState
from quota_gateway.model.settings import Settings
from quota_gateway.model.status import CallStatus


class EndpointHealth(Enum):
    """An endpoint's state in the endpoint list."""

    HEALTHY = "healthy"
    DRAINING = "draining"
    REMOVED = "removed"


class AdminCommand(Enum):
    """What an operator asks of one limiter; the values are the words of the admin protocol."""

    STATUS = "STATUS"
    METRICS = "METRICS"
    SUSPEND = "SUSPEND"
    RESTORE = "RESTORE"


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One entry of the endpoint list."""

    name: str
    health: EndpointHealth
    zone: str
    cell: int = 0
    weight: float = 1.0
    started_at: float = 0.0  # Unix time of its start; 0: not known


@dataclass(frozen=True, slots=True)
class EndpointUpdate:
    """The endpoint list or a part of it; a ``complete`` one removes what it leaves out."""

    endpoints: tuple[Endpoint, ...]
    complete: bool
    # Seconds since discovery was last heard of: what is new in it has not changed much longer ago. Infinite
    # where that is not known, as for the first list.
    seconds_since_contact: float = math.inf


@dataclass(frozen=True, slots=True)
class Request:
    """A client's request has come."""

    id: int
    request_class: str
    plan: str
    timeout: float  # seconds that the client still waits
    account: str
    units: float = 1.0  # of the customer's quota
    serving_gateways: int = 1  # gateways that serve this customer
    is_retry: bool = False  # the client asks again after a rejection or failure
    uploading: bool = False  # its body is still coming: the time-out begins with ``UploadCompleted``


@dataclass(frozen=True, slots=True)
class AttemptCompleted:
    """An attempt at an endpoint has ended."""

    request_id: int
    attempt: int  # number of the attempt, from 0
    endpoint: str
    status: CallStatus
    elapsed: float  # seconds
    request_finished: bool  # the client has its final answer
    load_report: Mapping[str, float]
    charged_units: float | None = None  # the true units, where they are known only afterwards
    may_retry: bool = True  # not once a part of the request's body was passed on


@dataclass(frozen=True, slots=True)
class UploadCompleted:
    """The last byte of a long body has come: the client's time runs from now on."""

    request_id: int


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client has gone: no answer is owed any more."""

    request_id: int


@dataclass(frozen=True, slots=True)
class CounterReplied:
    """A call to the shared counter has ended; replies for one counter come in the order of the calls."""

    counter_id: int
    status: CallStatus
    total: float = 0.0  # units counted in all, where the status is ``OK``


@dataclass(frozen=True, slots=True)
class HealthChecked:
    """A health check of an endpoint has ended."""

    endpoint: str
    status: CallStatus
    elapsed: float  # seconds
    load_report: Mapping[str, float]


@dataclass(frozen=True, slots=True)
class TimerFired:
    """The timer that ``SetTimer`` asked for with this token is due."""

    token: int


@dataclass(frozen=True, slots=True)
class AdminRequest:
    """An operator's command; exactly one ``AdminReply`` answers it."""

    id: int
    command: AdminCommand
    endpoint: str = ""


@dataclass(frozen=True, slots=True)
class SuspensionsChanged:
    """All endpoints that operators have suspended, as the processes of this limiter keep them together."""

    endpoints: frozenset[str]


@dataclass(frozen=True, slots=True)
class ProcessCountChanged:
    """So many processes are this limiter now: more than one while a new version takes over."""

    count: int
    seconds_unknown: float = 0.0  # for which it may have been so already: this process did not look meanwhile


@dataclass(frozen=True, slots=True)
class ShutdownStarted:
    """This process is about to end: it is not ready for anything new."""


Event = (
    EndpointUpdate
    | Request
    | AttemptCompleted
    | ClientDisconnected
    | CounterReplied
    | HealthChecked
    | TimerFired
    | UploadCompleted
    | AdminRequest
    | SuspensionsChanged
    | ProcessCountChanged
    | HandoverState
    | ShutdownStarted
    | Settings
)
