"""The history of a run: what clients, endpoints, operators and the runner observed.

Times are seconds of ``time.monotonic``.
"""

from __future__ import annotations

import time
import traceback
from collections import Counter, defaultdict
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from enum import StrEnum

from soak.excuses import Excuse
from soak.fault_kinds import FaultKind
from soak.process_lifetime import ProcessLifetime

TRUNCATED_RESPONSE_STATUS = -1
ALL_LIMITERS = -1
DELAY_WINDOW_SECONDS = 0.5  # a delay of the runner affects times up to this long before and after it


class ClientBehaviour(StrEnum):
    """How a client sends its request and waits for the response."""

    NORMAL = "plain"
    HALF_CLOSE = "half_close"
    DISCONNECT = "disconnect"
    PIPELINING = "pipelining"
    IMMEDIATE_RETRIES = "immediate_retries"
    FRAGMENTED_REQUEST = "fragmented_request"
    INCOMPLETE_REQUEST = "incomplete_request"
    LONG_UPLOAD = "long_upload"
    IDLE_BETWEEN_REQUESTS = "resting"


class RequestOutcome(StrEnum):
    """How a request ended for its client."""

    OPEN = "open"  # not ended yet; after a run this is an error in the soak test
    RESPONSE_RECEIVED = "response received"
    CONNECTION_CLOSED = "connection closed without a response"
    TIMED_OUT = "no response"
    DISCONNECTED = "client disconnected"
    CONNECTION_REFUSED = "connection refused"
    NOT_COMPLETED = "not completed by its client"


class EndpointHealth(StrEnum):
    """The health of an endpoint in discovery's list."""

    READY = "ready"
    DRAINING = "draining"


class LimiterState(StrEnum):
    """States of a limiter that explain delays; the runner causes and records them."""

    STOPPED = "stopped"  # by SIGSTOP
    UNAVAILABLE = "unavailable"  # from the signal that ends its last process until the next one is ready
    TERMINATING = "terminating"  # from SIGTERM to the exit
    STARTING = "starting"  # from the start of a process until it is ready
    # From SIGHUP with a new discovery address until the new configuration has to be in force.
    CHANGING_DISCOVERY_ADDRESS = "changing discovery"
    RUNNER_LATE = "runner late"  # the runner itself was delayed; this is not a state of a limiter


SpanKind = FaultKind | LimiterState


@dataclass(slots=True)
class ClientRequest:
    """One request as its client observed it.

    The outcome is ``OPEN`` until the exchange ends; ``ended_at`` is set together with any other outcome.
    """

    id: str
    limiter: int
    request_class: str
    plan: str
    account: int
    timeout: float  # seconds
    behaviour: ClientBehaviour
    body_size: int = 0  # bytes
    sent_at: float = 0.0  # time at which the last byte was sent; 0: not sent completely
    on_new_connection: bool = False
    resent: bool = False  # True: sent again on a new connection, because the limiter had closed the idle one
    resent_at: float = 0.0
    client_port: int = 0  # the client's port on the last connection that carried the request
    outcome: RequestOutcome = RequestOutcome.OPEN
    status: int = 0
    body: bytes = b""
    ended_at: float = 0.0

    def begin_exchange(self, client_port: int, *, on_new_connection: bool) -> None:
        """Record that the request is sent on a connection."""
        self.client_port = client_port
        self.on_new_connection = on_new_connection
        self.outcome = RequestOutcome.OPEN

    def mark_sent(self) -> None:
        """Record that the last byte has been written."""
        self.sent_at = time.monotonic()

    def mark_resent(self) -> None:
        """Record that the client sends the request a second time."""
        self.resent = True
        self.resent_at = time.monotonic()

    def receive_response(self, status: int, body: bytes = b"") -> None:
        """Record the response; ``TRUNCATED_RESPONSE_STATUS`` if it ended within its body."""
        self.status = status
        self.body = body
        self.end(RequestOutcome.RESPONSE_RECEIVED)

    def end(self, outcome: RequestOutcome) -> None:
        """Record how the request ended."""
        self.outcome = outcome
        self.ended_at = time.monotonic()

    @property
    def has_complete_response(self) -> bool:
        """Whether the client received a response up to its last byte."""
        return self.outcome is RequestOutcome.RESPONSE_RECEIVED and self.status != TRUNCATED_RESPONSE_STATUS


@dataclass(slots=True)
class Attempt:
    """One attempt as an endpoint observed it."""

    request_id: str
    endpoint: str
    incarnation: int  # incarnation of the endpoint, from 0
    connection: int
    first_byte_at: float
    complete_at: float
    propagated_deadline: float  # seconds; 0: none
    body_size: int  # bytes
    executed: bool = True  # False: the endpoint rejected the request without executing it
    response: bytes = b""
    ended_at: float = 0.0  # time of the response or of the connection's end; 0: not ended

    def reject(self) -> None:
        """Record that the endpoint does not execute the request."""
        self.executed = False

    def respond(self, response: bytes) -> None:
        """Record the body of the response that the endpoint sends."""
        self.response = response

    def end(self) -> None:
        """Record the end of the attempt."""
        self.ended_at = self.ended_at or time.monotonic()


@dataclass(frozen=True, slots=True)
class EndpointChange:
    """A change of the endpoint list."""

    at: float
    endpoint: str
    health: EndpointHealth
    incarnation: int


@dataclass(slots=True)
class Suspension:
    """The suspension of an endpoint at one limiter, from the operator's SUSPEND to RESTORE."""

    limiter: int
    endpoint: str
    requested_at: float
    accepted_at: float = 0.0  # 0: the limiter did not accept it
    restored_at: float = 0.0  # 0: still in force

    def accept(self) -> None:
        """Record that the limiter replied with success."""
        self.accepted_at = time.monotonic()

    def restore(self) -> None:
        """Record that the operator restores the endpoint."""
        self.restored_at = time.monotonic()


@dataclass(frozen=True, slots=True)
class Span:
    """A time during which a fault or state affected a limiter."""

    kind: SpanKind
    limiter: int  # or ``ALL_LIMITERS``
    start: float
    end: float

    def overlaps(self, limiter: int, start: float, end: float) -> bool:
        """Whether the span affected the limiter at some moment between ``start`` and ``end``."""
        return self.limiter in (limiter, ALL_LIMITERS) and self.start <= end and self.end >= start


@dataclass(frozen=True, slots=True)
class NetworkFault:
    """A time during which the network of an endpoint was faulty."""

    endpoint: str
    start: float
    end: float


@dataclass(frozen=True, slots=True)
class IncompleteRequest:
    """A request that its client left incomplete while it kept the connection open."""

    limiter: int
    stopped_in: str  # name of the stopping point
    stopped_at: float
    ended_at: float  # time of the error response or the close; 0: neither arrived


@dataclass(frozen=True, slots=True)
class CommandReply:
    """An admin command and its reply."""

    limiter: int
    command: str
    sent_at: float
    received_at: float
    text: str  # empty: no reply


@dataclass(frozen=True, slots=True)
class ProcessExit:
    """The exit of a limiter's process."""

    limiter: int
    at: float
    code: int
    expected: bool
    log: str
    was_ready: bool = True


@dataclass(frozen=True, slots=True)
class RunnerDelay:
    """A delay of the runner itself; times that it recorded around ``at`` may be late by ``seconds``."""

    at: float
    seconds: float


@dataclass(frozen=True, slots=True)
class RunnerEvent:
    """An action of the runner."""

    at: float
    text: str


@dataclass(slots=True)
class History:
    """All observations of a run."""

    requests: dict[str, ClientRequest] = field(default_factory=dict)
    attempts: dict[str, list[Attempt]] = field(default_factory=lambda: defaultdict(list))
    endpoint_changes: list[EndpointChange] = field(default_factory=list)
    suspensions: list[Suspension] = field(default_factory=list)
    spans: list[Span] = field(default_factory=list)
    network_faults: list[NetworkFault] = field(default_factory=list)
    incomplete_requests: list[IncompleteRequest] = field(default_factory=list)
    replies: list[CommandReply] = field(default_factory=list)
    processes: list[ProcessLifetime] = field(default_factory=list)
    # The limiters whose listening socket the runner keeps open while none of their processes runs.
    limiters_with_listener_kept_open: set[int] = field(default_factory=set)
    # The client ports of the connections on which a limiter's read failed, by limiter.
    failed_reads: dict[int, set[int]] = field(default_factory=lambda: defaultdict(set))
    excuses: Counter[Excuse] = field(default_factory=Counter)
    exits: list[ProcessExit] = field(default_factory=list)
    # Metrics by limiter, only of the limiters that ran as a single process.
    metrics: dict[int, dict[str, int]] = field(default_factory=dict)
    runner_delays: list[RunnerDelay] = field(default_factory=list)
    runner_errors: list[str] = field(default_factory=list)  # errors in the soak test itself
    runner_events: list[RunnerEvent] = field(default_factory=list)
    started_at: float = field(default_factory=time.monotonic)

    def start_traffic(self) -> float:
        """Record that the traffic starts; return the time."""
        self.started_at = time.monotonic()
        return self.started_at

    def record_event(self, text: str) -> None:
        """Record an action of the runner."""
        self.runner_events.append(RunnerEvent(time.monotonic(), text))

    def record_runner_error(self, context: str, error: BaseException | None) -> None:
        """Record an unexpected error in the soak test itself; the command will exit with ``SOAK_FAILURE``."""
        trace = "".join(traceback.format_exception(error)) if error is not None else ""
        self.runner_errors.append(f"{context}\n{trace}".strip())

    def open_requests(self) -> list[ClientRequest]:
        """Return the requests whose exchange has not ended."""
        return [request for request in self.requests.values() if request.outcome is RequestOutcome.OPEN]

    @contextmanager
    def span(self, kind: SpanKind, limiter: int) -> Iterator[None]:
        """Record the time of the ``with`` block as a span; record nothing if the block raises."""
        start = time.monotonic()
        yield
        self.spans.append(Span(kind, limiter, start, time.monotonic()))

    def excuse(self, reason: Excuse, *, applies: bool = True) -> bool:
        """Count an excuse if it applies; return whether it does."""
        if applies:
            self.excuses[reason] += 1
        return applies

    def processes_of(self, limiter: int) -> list[ProcessLifetime]:
        """Return the processes of a limiter."""
        return [process for process in self.processes if process.limiter == limiter]

    def runner_delay_around(self, at: float) -> float:
        """Return the seconds by which times recorded around ``at`` may be late."""
        return max(
            (
                delay.seconds
                for delay in self.runner_delays
                if abs(delay.at - at) <= DELAY_WINDOW_SECONDS + delay.seconds
            ),
            default=0.0,
        )

    def span_seconds(self, kind: SpanKind, limiter: int, start: float, end: float) -> float:
        """Return the seconds between ``start`` and ``end`` that are covered by spans of a kind."""
        return sum(
            min(end, span.end) - max(start, span.start)
            for span in self.spans
            if span.kind == kind and span.overlaps(limiter, start, end)
        )

    def is_affected(self, limiter: int, start: float, end: float, *kinds: SpanKind) -> bool:
        """Whether a span of one of the kinds affected the limiter between ``start`` and ``end``."""
        return any(span.kind in kinds and span.overlaps(limiter, start, end) for span in self.spans)
