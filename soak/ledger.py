"""What clients, endpoints, operators and the runner saw; times are seconds of ``time.monotonic``."""

from __future__ import annotations

import time
from collections import defaultdict
from dataclasses import dataclass, field
from enum import StrEnum


class Ending(StrEnum):
    """How a request ended for its client."""

    OPEN = "open"
    ANSWERED = "answered"
    CLOSED = "closed on without an answer"
    NO_ANSWER = "no answer"
    LEFT = "client left"
    REFUSED = "connection refused"


@dataclass(slots=True)
class ClientRequest:
    """One request as its client saw it."""

    id: str
    limiter: int
    request_class: str
    plan: str
    account: int
    timeout: float  # seconds
    behaviour: str  # of the client, ``plain`` or the name of a trouble
    body_size: int = 0
    sent_at: float = 0.0  # when its last byte was written; 0: not completely
    on_new_connection: bool = False
    resent: bool = False  # on a new connection, after its first one was closed
    ending: Ending = Ending.OPEN
    status: int = 0
    body: bytes = b""
    ended_at: float = 0.0


@dataclass(slots=True)
class Receipt:
    """One attempt as an endpoint saw it."""

    id: str
    endpoint: str
    incarnation: int  # of the endpoint, from 0
    connection: int
    first_byte_at: float
    complete_at: float
    told_timeout: float  # seconds; 0: none
    body_size: int
    executed: bool = True  # False: turned away with the promise of no effect
    answer: bytes = b""
    ended_at: float = 0.0  # its answer was written, or its connection ended; 0: neither


@dataclass(frozen=True, slots=True)
class Publication:
    """A change of the endpoint list."""

    at: float
    endpoint: str
    health: str
    incarnation: int


@dataclass(slots=True)
class Suspension:
    """An operator's SUSPEND at one limiter, until RESTORE."""

    limiter: int
    endpoint: str
    called_at: float
    accepted_at: float = 0.0  # 0: it was not
    restored_at: float = 0.0  # 0: it is still in force


@dataclass(frozen=True, slots=True)
class Span:
    """Something that held for a limiter for a time: a trouble, a stop, the time from TERM to the end."""

    kind: str
    limiter: int  # -1: for all
    start: float
    end: float

    def touches(self, limiter: int, start: float, end: float) -> bool:
        """Whether it held for the limiter at some moment between the two."""
        return self.limiter in (limiter, -1) and self.start <= end and self.end >= start


@dataclass(frozen=True, slots=True)
class BadClient:
    """A client that stopped in the middle of a request, and when it got an error or a close (0: never)."""

    limiter: int
    kind: str
    stopped_at: float
    ended_at: float


@dataclass(frozen=True, slots=True)
class Reply:
    """An operator's command and its reply (empty: none)."""

    limiter: int
    command: str
    sent_at: float
    received_at: float
    text: str


@dataclass(frozen=True, slots=True)
class Exit:
    """A limiter's process that ended."""

    limiter: int
    at: float
    code: int
    expected: bool
    log: str


@dataclass(slots=True)
class Ledger:
    """All of it."""

    requests: dict[str, ClientRequest] = field(default_factory=dict)
    receipts: dict[str, list[Receipt]] = field(default_factory=lambda: defaultdict(list))
    publications: list[Publication] = field(default_factory=list)
    suspensions: list[Suspension] = field(default_factory=list)
    spans: list[Span] = field(default_factory=list)
    paths: list[Span] = field(default_factory=list)  # troubles on the way to the endpoint that ``kind`` names
    bad_clients: list[BadClient] = field(default_factory=list)
    replies: list[Reply] = field(default_factory=list)
    exits: list[Exit] = field(default_factory=list)
    metrics: dict[int, dict[str, int]] = field(default_factory=dict)  # of limiters that never restarted
    lags: list[tuple[float, float]] = field(default_factory=list)  # when the runner was late, and seconds
    notes: list[tuple[float, str]] = field(default_factory=list)  # what the runner did
    started_at: float = field(default_factory=time.monotonic)

    def note(self, text: str) -> None:
        """Take down something that the runner does now."""
        self.notes.append((time.monotonic(), text))

    def lag_around(self, at: float, window: float = 0.5) -> float:
        """How late the runner was around a moment: so much less exact are its times."""
        return max((lag for when, lag in self.lags if abs(when - at) <= window + lag), default=0.0)

    def span_seconds(self, kind: str, limiter: int, start: float, end: float) -> float:
        """Seconds between the two moments for which a kind of span held."""
        return sum(
            min(end, span.end) - max(start, span.start)
            for span in self.spans
            if span.kind == kind and span.touches(limiter, start, end)
        )

    def is_touched(self, limiter: int, start: float, end: float, *kinds: str) -> bool:
        """Whether any span (of these kinds, if some are named) held for the limiter."""
        return any(
            (not kinds or span.kind in kinds) and span.touches(limiter, start, end) for span in self.spans
        )
