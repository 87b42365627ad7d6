"""One connection to the shared counter: its line protocol and the parsing of answers.

Requests are pipelined. Each request line gets one answer line, in the order of the requests.
"""

from __future__ import annotations

import asyncio
import re
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple, Protocol, cast

from quota_gateway.model import CallStatus

Address = tuple[str, int]
CompletionHandler = Callable[[CallStatus, float], None]

PING_REQUEST = b"ping\r\n"
MIN_LIFETIME = 1  # milliseconds; the bounds of what the counter accepts
MAX_LIFETIME = 60_000
MAX_ANSWER_LENGTH = 64  # bytes
TOTAL_ANSWER = re.compile(rb"ok ([+-]?[0-9]{1,20}(?:\.[0-9]{0,20})?(?:[eE][+-]?[0-9]{1,2})?)")
PARTIAL_TOTAL_ANSWER = re.compile(rb"ok [-+.0-9eE]*\r?")


class CallResult(NamedTuple):
    """How a call ended, and the counter's total after it (0.0 where the answer has none)."""

    status: CallStatus
    total: float = 0.0


WORD_ANSWERS = {
    b"busy": CallResult(CallStatus.OVERLOADED),
    b"error": CallResult(CallStatus.ERROR),
    b"pong": CallResult(CallStatus.OK),
}


@dataclass(slots=True, eq=False)
class CounterCall:
    """A request line and what becomes of it."""

    request: bytes
    sent_at: float  # seconds of the event loop's clock; when it was made, until it is written
    counter_id: int | None = None  # None for a ping
    on_complete: CompletionHandler | None = None
    timeout_timer: asyncio.TimerHandle | None = None
    result: CallResult | None = None  # None until the call has completed


class ConnectionOwner(Protocol):
    """What a connection reports to."""

    def now(self) -> float:
        """Return the seconds of the event loop's clock."""

    def flush(self) -> None:
        """Send what waits: the connection takes requests again."""

    def complete(self, call: CounterCall, result: CallResult) -> None:
        """Handle the end of a call."""

    def on_malformed_answer(self, line: bytes) -> None:
        """Handle an answer that cannot be parsed."""

    def on_connection_lost(self, connection: CounterConnection) -> None:
        """Handle the end of a connection, after its calls have completed."""


class CounterConnection(asyncio.Protocol):
    """One connection to the counter and the calls that wait for its answers."""

    def __init__(self, owner: ConnectionOwner, address: Address) -> None:
        """Make the protocol of a connection to ``address`` that is yet to be opened."""
        self.address = address
        self.in_flight = deque[CounterCall]()
        self.write_paused = False
        self.last_used_at = 0.0  # seconds of the event loop's clock: when it was opened or last written to
        self.last_received_at = 0.0
        self._owner = owner
        self._transport: asyncio.Transport | None = None
        self._buffer = b""
        self._draining = False

    @property
    def usable(self) -> bool:
        """Whether requests can be written to it."""
        return self._transport is not None and not self._transport.is_closing()

    def is_unresponsive(self, now: float, answer_timeout: float) -> bool:
        """Tell whether the oldest call in flight has waited longer than ``answer_timeout`` seconds."""
        return bool(self.in_flight) and now - self.in_flight[0].sent_at > answer_timeout

    def send(self, call: CounterCall, now: float) -> None:
        """Write a request to a usable connection."""
        assert self._transport is not None
        self.in_flight.append(call)
        call.sent_at = now
        self.last_used_at = now
        self._transport.write(call.request)

    def drain(self) -> None:
        """Close once the calls in flight have been answered; the owner sends no more."""
        self._draining = True
        if not self.in_flight:
            self.abort()

    def abort(self) -> None:
        """Close at once."""
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Handle the opening of the connection."""
        transport = cast(asyncio.Transport, transport)  # uvloop's transports are no subclass of it
        transport.set_write_buffer_limits(high=0)  # so that pause_writing tells of any incomplete write
        self._transport = transport

    def pause_writing(self) -> None:
        """Handle a full send buffer: the last request is not written completely."""
        self.write_paused = True

    def resume_writing(self) -> None:
        """Handle an empty send buffer."""
        self.write_paused = False
        self._owner.flush()

    def connection_lost(self, exc: Exception | None) -> None:
        """Handle the end of the connection: calls in flight may have been counted."""
        self._transport = None
        self._fail_in_flight(CallStatus.RESET_AFTER_REQUEST)
        self._owner.on_connection_lost(self)

    def data_received(self, data: bytes) -> None:
        """Handle bytes of answers, which may end anywhere."""
        self.last_received_at = self._owner.now()
        *lines, self._buffer = (self._buffer + data).split(b"\n")
        for line in lines:
            if not self.usable:
                return
            self._on_answer(line.rstrip(b"\r"))
        if self._draining and not self.in_flight:
            self.abort()
        elif not may_begin_answer(self._buffer):
            # Noise need not end its line: waiting for the end would look like an unresponsive counter.
            self._on_malformed_answer(self._buffer)

    def _on_answer(self, line: bytes) -> None:
        result = parse_answer(line)
        if result is None or not self.in_flight:
            self._on_malformed_answer(line)
        else:
            self._owner.complete(self.in_flight.popleft(), result)

    def _on_malformed_answer(self, line: bytes) -> None:
        """Abort: a malformed answer says nothing of the count, and what follows may belong to any call."""
        self._owner.on_malformed_answer(line)
        self.abort()  # first: handlers of results may make calls, and none must be written here
        self._fail_in_flight(CallStatus.MALFORMED)

    def _fail_in_flight(self, status: CallStatus) -> None:
        calls = self.in_flight
        self.in_flight = deque()
        partly_written = calls.pop() if self.write_paused and calls else None
        for call in calls:
            self._owner.complete(call, CallResult(status))
        if partly_written is not None:
            self._owner.complete(partly_written, CallResult(CallStatus.UNREACHABLE))


def increment_request(counter_id: int, amount: float, lifetime: float) -> bytes:
    """Return the request line that adds ``amount`` to a counter, for ``lifetime`` seconds."""
    milliseconds = max(MIN_LIFETIME, min(MAX_LIFETIME, round(lifetime * 1000)))
    return b"tally %d %.6f %d\r\n" % (counter_id, amount, milliseconds)


def parse_answer(line: bytes) -> CallResult | None:
    """Parse an answer line without its line end; ``None`` where it is malformed."""
    total_answer = TOTAL_ANSWER.fullmatch(line)
    if total_answer is not None:
        return CallResult(CallStatus.OK, float(total_answer[1]))
    return WORD_ANSWERS.get(line)


def may_begin_answer(text: bytes) -> bool:
    """Tell whether an answer line can begin with ``text``, which has no line end."""
    if len(text) > MAX_ANSWER_LENGTH:
        return False
    start = text.rstrip(b"\r")
    if any(answer.startswith(start) for answer in (b"ok ", *WORD_ANSWERS)):
        return True
    return PARTIAL_TOTAL_ANSWER.fullmatch(text) is not None
