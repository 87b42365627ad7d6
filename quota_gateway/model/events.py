"""Events: the input of the decisions, one at a time."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
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
    """An operator's command to one limiter; the values are the words of the admin protocol."""

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
    started_at: float = 0.0  # Unix time of the endpoint's start; 0: unknown


@dataclass(frozen=True, slots=True)
class EndpointUpdate:
    """The endpoint list or changes of it; a ``complete`` list removes the endpoints that it does not name."""

    endpoints: tuple[Endpoint, ...]
    complete: bool = field(kw_only=True)
    # Seconds since the last contact with discovery, which bounds the age of the changes. Infinite if unknown,
    # as for the first list.
    seconds_since_contact: float = math.inf


@dataclass(frozen=True, slots=True)
class Request:
    """A client's request has arrived."""

    id: int
    request_class: str
    plan: str
    timeout: float  # seconds that the client still waits
    account: str
    units: float = 1.0  # cost in units of the customer's quota
    serving_gateways: int = 1  # gateways that serve this customer
    is_retry: bool = False  # the client retries after a rejection or failure
    uploading: bool = False  # the body is incomplete; the timeout starts with ``UploadCompleted``

    def with_timeout(self, timeout: float) -> Request:
        """Return the request with another timeout; ``dataclasses.replace`` takes twice as long."""
        return Request(
            id=self.id,
            request_class=self.request_class,
            plan=self.plan,
            timeout=timeout,
            account=self.account,
            units=self.units,
            serving_gateways=self.serving_gateways,
            is_retry=self.is_retry,
            uploading=self.uploading,
        )


@dataclass(frozen=True, slots=True)
class AttemptCompleted:
    """An attempt at an endpoint has ended."""

    request_id: int
    attempt: int  # number of the attempt, from 0
    endpoint: str
    status: CallStatus
    elapsed: float  # seconds
    request_finished: bool  # the client has got its final answer
    load_report: Mapping[str, float]
    charged_units: float | None = None  # the units that the endpoint charges, if its response states them
    may_retry: bool = True  # False once a part of the request's body was forwarded


@dataclass(frozen=True, slots=True)
class UploadCompleted:
    """The last byte of a long body has arrived: the client's timeout starts."""

    request_id: int


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client has disconnected: its request needs no answer."""

    request_id: int


@dataclass(frozen=True, slots=True)
class CounterReplied:
    """A call to the shared counter has ended; replies with the same ``counter_id`` arrive in call order."""

    counter_id: int
    status: CallStatus
    total: float = 0.0  # units counted so far by all gateways, if the status is ``OK``


@dataclass(frozen=True, slots=True)
class HealthChecked:
    """A health check of an endpoint has ended."""

    endpoint: str
    status: CallStatus
    elapsed: float  # seconds
    load_report: Mapping[str, float]


@dataclass(frozen=True, slots=True)
class TimerFired:
    """The timer that ``SetTimer`` set with this token is due."""

    token: int


@dataclass(frozen=True, slots=True)
class AdminRequest:
    """An operator's command; it gets exactly one ``AdminReply``."""

    id: int
    command: AdminCommand
    endpoint: str = ""


@dataclass(frozen=True, slots=True)
class SuspensionsChanged:
    """The endpoints that operators have suspended, as recorded by the processes of this limiter."""

    endpoints: frozenset[str]


@dataclass(frozen=True, slots=True)
class ProcessCountChanged:
    """The number of processes of this limiter has changed; it is above one during an upgrade."""

    count: int
    seconds_since_poll: float = 0.0  # seconds since the previous poll; the change happened within this time


@dataclass(frozen=True, slots=True)
class ShutdownStarted:
    """The graceful shutdown of this process has started; requests may still arrive for a short time."""


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
