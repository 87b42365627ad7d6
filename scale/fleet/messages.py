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

if TYPE_CHECKING:  # not imported at run time: a worker may import the decisions from another checkout
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


# Events that a limiter receives. It ignores an event that states another incarnation than its current one.


class ClientRequest(NamedTuple):
    """A client's request."""

    request_id: int
    tenant: int
    kind: int  # index into ``REQUEST_KINDS``
    plan: int  # index into ``World.plans``
    timeout: float  # seconds
    account: str
    units: int  # as estimated by the client
    charged_units: int
    work: float  # seconds of one core
    is_retry: bool


class AttemptEnded(NamedTuple):
    """An endpoint has responded to an attempt, or the attempt has timed out."""

    incarnation: int
    request_id: int
    attempt: int
    outcome: AttemptOutcome


class TimerDue(NamedTuple):
    """A timer that the gateway has set has expired."""

    incarnation: int
    token: int


class CounterReplied(NamedTuple):
    """The counter has replied to a call, or the call has timed out."""

    incarnation: int
    call_id: int
    outcome: CounterOutcome
    total: float  # units
    arrived_at: float  # may be earlier than the window in which the limiter handles the event


class HealthChecked(NamedTuple):
    """A health check has ended."""

    incarnation: int
    endpoint: int
    outcome: AttemptOutcome
    sent_at: float


class EndpointsChanged(NamedTuple):
    """Discovery notifies the limiter of a change; the count includes it and all earlier changes."""

    known_change_count: int


class EndpointFailed(NamedTuple):
    """Discovery notifies the limiter that an endpoint has failed because of overload."""

    endpoint: model.Endpoint


class LimiterStarted(NamedTuple):
    """The limiter's process starts."""


class LimiterKilled(NamedTuple):
    """The limiter's process is killed."""


class WatchTimedOut(NamedTuple):
    """The limiter has received nothing on its watch of the endpoint list within the timeout."""


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
    known_change_count: int


# Events that a limiter sends to an endpoint, the counter or discovery. The envelope's source is the limiter.


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
    """A call that adds units to a counter and returns the total."""

    incarnation: int
    call_id: int
    counter_id: int
    amount: float  # units
    lifetime: float  # seconds


class DiscoveryCall(NamedTuple):
    """A request for the endpoint list and a watch of it."""

    incarnation: int
    call_id: int


# Events that a limiter sends to the clients of a tenant.


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
    | CounterReplied
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

    time: float  # time of arrival, in virtual seconds
    source: int  # number of the sender, from ``SourceNumbers``
    sequence: int  # increases with each envelope of the source
    # Index of the limiter, endpoint or tenant. In a call to the counter or discovery, index of the caller.
    recipient: int
    event: Event


def pop_before(heap: list[Envelope], time: float) -> Iterator[Envelope]:
    """Pop and yield in order the envelopes that arrive before ``time``; more may be pushed meanwhile."""
    while heap and heap[0].time < time:
        yield heappop(heap)


class SourceNumbers:
    """The numbers that identify the senders of envelopes in a fleet. The number of a limiter is its index."""

    __slots__ = ("counter", "discovery", "first_endpoint", "first_tenant")

    def __init__(self, size: Size) -> None:
        """Assign the numbers for a fleet of this size."""
        self.first_endpoint = size.limiters
        self.first_tenant = self.first_endpoint + size.servers
        self.counter = self.first_tenant + size.tenants
        self.discovery = self.counter + 1
