"""The messages between limiters, clients, endpoints, counter and discovery in virtual time.

An ``Envelope`` carries one event. Envelopes are ordered by time, then by source and its sequence number, so
that the order does not depend on the number of workers.
"""

from __future__ import annotations

from collections.abc import Iterator
from enum import Enum, auto
from heapq import heappop
from typing import TYPE_CHECKING, NamedTuple, get_args

from scale.model import Size

if TYPE_CHECKING:  # no import at run time: a worker may import the decisions from another checkout
    from quota_gateway import model


class Role(Enum):
    """The kind of recipient of an envelope."""

    LIMITER = auto()
    ENDPOINT = auto()
    TENANT = auto()
    COUNTER = auto()
    DISCOVERY = auto()


class AttemptOutcome(Enum):
    """The outcome of an attempt or a health check; the values are names in a run's JSON file."""

    OK = "ok"
    OVERLOADED = "full"
    UNREACHABLE = "unreachable"
    TIMED_OUT = "silent"


class CounterOutcome(Enum):
    """The outcome of a call to the counter."""

    OK = "ok"
    TIMED_OUT = "timed out"
    UNREACHABLE = "unreachable"


class RequestResult(Enum):
    """The outcome of a request that was not served; the values are names in a run's JSON file."""

    REJECTED = "refused"
    FAILED = "failed"


# Events of a limiter. Those with an incarnation are ignored by any later one.


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
    """The response of an endpoint, or the timer that ends the attempt without one."""

    incarnation: int
    request_id: int
    attempt: int
    outcome: AttemptOutcome


class TimerDue(NamedTuple):
    """A timer of the decisions has expired."""

    incarnation: int
    token: int


class CounterAnswered(NamedTuple):
    """The reply of the counter, or the timer that ends the call without one."""

    incarnation: int
    call_id: int
    outcome: CounterOutcome
    total: float  # units
    arrived_at: float  # earlier than the window in which it is handled


class HealthChecked(NamedTuple):
    """A health check has ended."""

    incarnation: int
    endpoint: int
    outcome: AttemptOutcome
    sent_at: float


class EndpointsChanged(NamedTuple):
    """The agent has delivered the first ``known_changes`` changes of the endpoint list."""

    known_changes: int


class EndpointFailed(NamedTuple):
    """The agent has delivered the failure of an overloaded endpoint."""

    endpoint: model.Endpoint


class LimiterStarted(NamedTuple):
    """The limiter's process starts."""


class LimiterKilled(NamedTuple):
    """The limiter's process is killed."""


class WatchTimedOut(NamedTuple):
    """The watch of the endpoint list is unresponsive."""


class DiscoveryCallDue(NamedTuple):
    """The backoff before a call to discovery has ended."""

    incarnation: int


class DiscoveryCallTimedOut(NamedTuple):
    """Discovery did not respond in time."""

    incarnation: int
    call_id: int


class WatchOpened(NamedTuple):
    """Discovery responds with the complete list and opens a watch."""

    incarnation: int
    call_id: int
    known_changes: int


# Events of an endpoint, the counter and discovery; the envelope's source is the limiter.


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
    """An increment of a counter, whose reply is the total."""

    incarnation: int
    call_id: int
    counter_id: int
    amount: float  # units
    lifetime: float  # seconds


class DiscoveryCall(NamedTuple):
    """A request for the endpoint list and a watch of it."""

    incarnation: int
    call_id: int


# Events of the clients of a tenant.


class RequestForwarded(NamedTuple):
    """The first attempt of a request has been sent."""

    request_id: int


class RequestServed(NamedTuple):
    """The client has received its response."""

    request_id: int


class RequestEnded(NamedTuple):
    """The request was rejected or failed."""

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
    | WatchTimedOut
    | DiscoveryCallDue
    | DiscoveryCallTimedOut
    | WatchOpened
)
EndpointEvent = Attempt | HealthCheck
ClientEvent = RequestForwarded | RequestServed | RequestEnded
Event = LimiterEvent | EndpointEvent | ClientEvent | CounterCall | DiscoveryCall
# The role of the recipient, by the type of the event.
ROLES: dict[type[Event], Role] = {
    **dict.fromkeys(get_args(LimiterEvent), Role.LIMITER),
    **dict.fromkeys(get_args(EndpointEvent), Role.ENDPOINT),
    **dict.fromkeys(get_args(ClientEvent), Role.TENANT),
    CounterCall: Role.COUNTER,
    DiscoveryCall: Role.DISCOVERY,
}


class Envelope(NamedTuple):
    """An event in transit."""

    time: float  # of the arrival, in virtual seconds
    source: int  # of ``SourceNumbers``
    sequence: int  # increases with each envelope of the source
    recipient: int  # number of the limiter, endpoint or tenant; the limiter's for counter and discovery
    event: Event


def pop_before(heap: list[Envelope], time: float) -> Iterator[Envelope]:
    """Remove the envelopes that arrive before a time from a heap, in order; more may be added meanwhile."""
    while heap and heap[0].time < time:
        yield heappop(heap)


class SourceNumbers:
    """The numbers of the senders of a fleet; a limiter has its index."""

    __slots__ = ("counter", "discovery", "first_endpoint", "first_tenant")

    def __init__(self, size: Size) -> None:
        """Assign the numbers for a size."""
        self.first_endpoint = size.limiters
        self.first_tenant = self.first_endpoint + size.servers
        self.counter = self.first_tenant + size.tenants
        self.discovery = self.counter + 1
