"""Settings, events and actions of the gateway: plain typed records, no logic.

Times are seconds, rates are per second.  ``decisions.gateway.Gateway`` takes ``Settings``
and one event at a time and answers with a list of actions.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum


class Idempotency(Enum):
    """What a second execution of a request would do."""

    INHERENT = "safe"
    KEYED = "keyed"
    NONE = "unsafe"


class DeduplicationScope(Enum):
    """The group of servers that drops repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class CallStatus(Enum):
    """How an attempt, a probe or a counter call ended."""

    OK = "ok"
    ERROR = "error"
    OVERLOADED = "full"
    TIMEOUT = "timeout"
    UNREACHABLE = "unreachable"  # no connection: refused, or it never came up
    RESET_BEFORE_REQUEST = (
        "dropped"  # a connection that came up and broke before the request was whole: it never ran
    )
    RESET_AFTER_REQUEST = "broken"  # the connection ended after it: it may have run, or been added
    MALFORMED = "spoilt"  # the counter answered what cannot be read: it was added, or may have been
    CANCELLED = "cancelled"
    NOT_SENT = "not sent"
    REJECTED = "rejected"  # the server has no use for the request: the client is to blame


class EndpointHealth(Enum):
    """A server's state in the server list."""

    HEALTHY = "up"
    DRAINING = "draining"
    REMOVED = "gone"


class AdminCommand(Enum):
    """What an operator asks of one limiter."""

    STATUS = "STATUS"
    METRICS = "METRICS"
    SUSPEND = "SUSPEND"
    RESTORE = "RESTORE"


@dataclass(frozen=True, slots=True)
class RequestClass:
    name: str
    latency_objective: float
    priority_weight: float
    idempotency: Idempotency
    late_weight: float = 0.0
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window: float = 0.0
    deadline: float = 0.0  # the client's wait over all its tries; 0: not told


@dataclass(frozen=True, slots=True)
class Plan:
    name: str
    price: float = 1.0
    rate: float = 0.0
    burst: float = 0.0
    concurrency_limit: int = 0
    over_quota_value: float = 0.0
    over_quota_cost: float = 0.0
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    gateway_index: int
    gateway_count: int
    zone: str
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    max_attempts: int = 1
    may_hedge: bool = False
    may_cancel: bool = False
    may_check_health: bool = False
    load_in_health_check: bool = False
    has_counter: bool = False
    counter_timeout: float = 0.0
    max_units: float = 1.0
    max_retry_after: float = 0.0
    initial_capacity: float = 1.0
    warm_up_time: float = 0.0
    overload_multiple: float = 1.0
    overload_window: float = 1.0


@dataclass(frozen=True, slots=True)
class Endpoint:
    name: str
    health: EndpointHealth
    zone: str
    cell: int = 0
    weight: float = 1.0
    started_at: float = 0.0


@dataclass(frozen=True, slots=True)
class EndpointUpdate:
    """The server list or a part of it; ``complete`` removes what it leaves out."""

    endpoints: tuple[Endpoint, ...]
    complete: bool


@dataclass(frozen=True, slots=True)
class Request:
    """A client's try; ``gateways`` of them serve its account."""

    id: int
    request_class: str
    plan: str
    timeout: float
    account: str
    units: float = 1.0
    serving_gateways: int = 1
    is_retry: bool = False
    uploading: bool = False  # its body is still coming: ``ttl`` begins with ``Uploaded``


@dataclass(frozen=True, slots=True)
class AttemptCompleted:
    request_id: int
    attempt: int
    endpoint: str
    status: CallStatus
    elapsed: float
    request_finished: bool
    load_report: Mapping[str, float]
    charged_units: float | None = (
        None  # the true units, told with a first good answer where units are settled after
    )
    may_retry: bool = True  # whether the request can be sent once more: not if part of its body is passed on


@dataclass(frozen=True, slots=True)
class UploadCompleted:
    """The last byte of a long body has come: the client's time runs from now on."""

    request_id: int


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client left: nothing is owed any more."""

    request_id: int


@dataclass(frozen=True, slots=True)
class CounterReplied:
    counter_id: int
    status: CallStatus
    total: float = 0.0


@dataclass(frozen=True, slots=True)
class HealthChecked:
    endpoint: str
    status: CallStatus
    elapsed: float
    load_report: Mapping[str, float]


@dataclass(frozen=True, slots=True)
class TimerFired:
    token: int


@dataclass(frozen=True, slots=True)
class AdminRequest:
    """An operator calls; exactly one ``Reply`` answers."""

    id: int
    command: AdminCommand
    endpoint: str = ""


@dataclass(frozen=True, slots=True)
class SuspensionsChanged:
    """All servers that are out by hand, as the processes of this limiter keep them together."""

    endpoints: frozenset[str]


@dataclass(frozen=True, slots=True)
class ProcessCountChanged:
    """So many processes are this limiter now: more than one while a new version takes over."""

    count: int


@dataclass(frozen=True, slots=True)
class EndpointHandover:
    """What a process has learnt of a server, as it was born then."""

    name: str
    started_at: float
    warming_since: float | None
    responses: int
    mean_slowdown: float
    slowdown: float
    work_rate: float


@dataclass(frozen=True, slots=True)
class AccountHandover:
    """What a process knows of a customer's quota, and the part of its ceiling that it gives away."""

    plan: str
    account: str
    serving_gateways: int
    tokens: float
    guaranteed_tokens: float
    ceiling_tokens: float
    remote_usage_rate: float
    last_synchronised: float
    counter_total: float | None


@dataclass(frozen=True, slots=True)
class HandoverState:
    """What another process of this limiter has learnt, told once to one that has just begun."""

    completion_rate: float
    mean_work: float
    mean_units: float
    base_latencies: Mapping[str, float]
    endpoints: tuple[EndpointHandover, ...]
    accounts: tuple[AccountHandover, ...]


@dataclass(frozen=True, slots=True)
class ShutdownStarted:
    """This process is to end: it is not ready for anything new."""


@dataclass(frozen=True, slots=True)
class Forward:
    request_id: int
    endpoint: str
    timeout: float


@dataclass(frozen=True, slots=True)
class Reject:
    request_id: int
    retry_after: float


@dataclass(frozen=True, slots=True)
class Fail:
    request_id: int


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    request_id: int
    attempt: int


@dataclass(frozen=True, slots=True)
class IncrementCounter:
    """Add ``amount`` to a shared number that is forgotten after ``lifetime``."""

    counter_id: int
    lifetime: float
    amount: float


@dataclass(frozen=True, slots=True)
class CheckHealth:
    endpoint: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    delay: float
    token: int


@dataclass(frozen=True, slots=True)
class Log:
    text: str


@dataclass(frozen=True, slots=True)
class AdminReply:
    """To an operator's call: yes or no, servers on the list, and those of them that are avoided now."""

    request_id: int
    ok: bool
    known_endpoints: int
    avoided_endpoints: int


@dataclass(frozen=True, slots=True)
class RecordSuspension:
    """Keep for all processes of this limiter that a server is out by hand, or no longer."""

    endpoint: str
    suspended: bool


@dataclass(frozen=True, slots=True)
class HandOver:
    """Give the process that has just come what this one has learnt."""

    state: HandoverState


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
