"""What limiters, clients, endpoints, counter and discovery send each other in virtual time.

An ``Envelope`` carries one event; envelopes are ordered by time, then by source and its sequence number, so
that every run takes them in the same order, with however many workers.
"""

from __future__ import annotations

from enum import Enum, auto
from typing import TYPE_CHECKING, NamedTuple, get_args

from scale.model import Size

if TYPE_CHECKING:  # a worker may take the decisions from another checkout, later
    from quota_gateway import model


class Role(Enum):
    """To whom an envelope goes."""

    LIMITER = auto()
    ENDPOINT = auto()
    TENANT = auto()
    COUNTER = auto()
    DISCOVERY = auto()


class AttemptOutcome(Enum):
    """How an attempt or a health check ended; the values are names in a run's JSON file."""

    OK = "ok"
    OVERLOADED = "full"
    UNREACHABLE = "unreachable"
    TIMED_OUT = "silent"


class CounterOutcome(Enum):
    """How a call to the counter ended."""

    OK = "ok"
    TIMED_OUT = "timed out"
    UNREACHABLE = "unreachable"


class RequestResult(Enum):
    """How a request ended that was not served; the values are names in a run's JSON file."""

    REJECTED = "refused"
    FAILED = "failed"


# To a limiter. The incarnation is that which began what ends here: a later one ignores it.


class ClientRequest(NamedTuple):
    """A client's request."""

    request_id: int
    tenant: int
    kind: int  # index of ``REQUEST_KINDS``
    plan: int  # index of the world's plans
    timeout: float  # seconds
    account: str
    units: int  # as estimated by the client
    true_units: int
    work: float  # seconds of one core
    is_retry: bool


class AttemptEnded(NamedTuple):
    """The answer of an endpoint, or the timer that ends the attempt without one."""

    incarnation: int
    request_id: int
    attempt: int
    outcome: AttemptOutcome


class TimerDue(NamedTuple):
    """A timer that the decisions set."""

    incarnation: int
    token: int


class CounterAnswered(NamedTuple):
    """The answer of the counter, or the timer that ends the call without one."""

    incarnation: int
    call_id: int
    outcome: CounterOutcome
    total: float  # units
    arrived_at: float  # before the window in which it is handled


class HealthChecked(NamedTuple):
    """How a health check ended."""

    incarnation: int
    endpoint: int
    outcome: AttemptOutcome
    sent_at: float


class EndpointsChanged(NamedTuple):
    """The agent has pushed the endpoint list's changes up to this one."""

    known_changes: int


class EndpointFailed(NamedTuple):
    """The agent has pushed that an endpoint failed under too much load."""

    endpoint: model.Endpoint


class LimiterStarted(NamedTuple):
    """The limiter's process starts."""


class LimiterKilled(NamedTuple):
    """The limiter's process is killed."""


class WatchLost(NamedTuple):
    """The watch of the endpoint list has been silent for too long."""


class DiscoveryCallDue(NamedTuple):
    """The back-off before a call to discovery is over."""

    incarnation: int


class DiscoveryCallTimedOut(NamedTuple):
    """Discovery did not answer in time."""

    incarnation: int
    call_id: int


class WatchOpened(NamedTuple):
    """Discovery answers with the complete list and the begin of a watch."""

    incarnation: int
    call_id: int
    known_changes: int


# To an endpoint, the counter and discovery; the envelope's source is the limiter.


class Attempt(NamedTuple):
    """One attempt of a request."""

    incarnation: int
    request_id: int
    attempt: int
    work: float  # seconds of one core
    timeout: float  # seconds


class HealthCheck(NamedTuple):
    """A health check."""

    incarnation: int
    sent_at: float


class CounterCall(NamedTuple):
    """Add to a counter and read its total."""

    incarnation: int
    call_id: int
    counter_id: int
    amount: float  # units
    lifetime: float  # seconds


class DiscoveryCall(NamedTuple):
    """Read the endpoint list and watch it."""

    incarnation: int
    call_id: int


# To the clients of a tenant.


class RequestForwarded(NamedTuple):
    """The first attempt of a request is sent."""

    request_id: int


class RequestServed(NamedTuple):
    """The client has its answer."""

    request_id: int


class RequestEnded(NamedTuple):
    """The request was rejected, or failed, for this reason."""

    request_id: int
    result: RequestResult
    reason: str


LimiterEvent = (
    ClientRequest
    | AttemptEnded
    | TimerDue
    | CounterAnswered
    | HealthChecked
    | EndpointsChanged
    | EndpointFailed
    | LimiterStarted
    | LimiterKilled
    | WatchLost
    | DiscoveryCallDue
    | DiscoveryCallTimedOut
    | WatchOpened
)
EndpointEvent = Attempt | HealthCheck
ClientEvent = RequestForwarded | RequestServed | RequestEnded
Event = LimiterEvent | EndpointEvent | ClientEvent | CounterCall | DiscoveryCall
# To whom an event goes.
ROLES: dict[type[Event], Role] = {
    **dict.fromkeys(get_args(LimiterEvent), Role.LIMITER),
    **dict.fromkeys(get_args(EndpointEvent), Role.ENDPOINT),
    **dict.fromkeys(get_args(ClientEvent), Role.TENANT),
    CounterCall: Role.COUNTER,
    DiscoveryCall: Role.DISCOVERY,
}


class Envelope(NamedTuple):
    """An event on its way."""

    time: float  # virtual seconds, when it arrives
    source: int  # of ``SourceNumbers``
    sequence: int  # grows with each envelope of the source
    recipient: int  # number of the limiter, endpoint or tenant; the limiter's for counter and discovery
    event: Event


class SourceNumbers:
    """One number for each sender of a fleet: limiters come first and have their own."""

    __slots__ = ("counter", "discovery", "first_endpoint", "first_tenant")

    def __init__(self, size: Size) -> None:
        """The numbers for a fleet of that size."""
        self.first_endpoint = size.limiters
        self.first_tenant = self.first_endpoint + size.servers
        self.counter = self.first_tenant + size.tenants
        self.discovery = self.counter + 1
