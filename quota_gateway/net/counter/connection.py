"""One connection to the shared counter: pipelined requests and their replies."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import NamedTuple, Protocol, cast

from quota_gateway.model import CallStatus
from quota_gateway.net.counter.call import CounterCall
from quota_gateway.net.counter.line_protocol import CallResult, is_reply_prefix, parse_reply


class Address(NamedTuple):
    """Host and port of a counter."""

    host: str
    port: int


class CallEvents(Protocol):
    """Receives the events of calls; implemented by ``CounterClient``."""

    def flush(self) -> None:
        """Send queued calls; called when the active connection may accept requests again."""

    def complete(self, call: CounterCall, result: CallResult) -> None:
        """Set the result of a call that has ended."""


class ConnectionOwner(Protocol):
    """Receives the events of a connection."""

    def on_malformed_reply(self, line: bytes) -> None:
        """Handle a reply that cannot be parsed; the connection closes itself."""

    def on_connection_lost(self, connection: CounterConnection) -> None:
        """Handle the end of a connection, after its calls have been completed."""


class CounterConnection(asyncio.Protocol):
    """One connection to the counter, with the calls in flight on it in the order of their requests.

    While writing is paused, the last of these requests has not been written completely.
    """

    def __init__(self, owner: ConnectionOwner, calls: CallEvents, address: Address) -> None:
        """Create a connection to ``address``, which the caller opens."""
        self.address = address
        self.in_flight = deque[CounterCall]()
        self.write_paused = False
        # Times are in seconds of the event loop's clock. Opening the connection counts as its first use,
        # writing a request as a later one.
        self.last_used_at = 0.0
        self.last_received_at = 0.0
        self._owner = owner
        self._calls = calls
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._buffer = b""  # an incomplete reply line
        self._draining = False

    @property
    def usable(self) -> bool:
        """Whether the connection is open and not closing."""
        return self._transport is not None and not self._transport.is_closing()

    def is_unresponsive(self, now: float, reply_timeout: float) -> bool:
        """Whether the oldest call in flight has waited longer than ``reply_timeout`` seconds."""
        return bool(self.in_flight) and now - self.in_flight[0].sent_at > reply_timeout

    def mark_opened(self, now: float) -> None:
        """Record that the connection was opened at ``now``."""
        self.last_used_at = now

    def send(self, call: CounterCall, now: float) -> None:
        """Write the request of a call; the connection must be usable."""
        assert self._transport is not None
        self.in_flight.append(call)
        call.mark_sent(now)
        self.last_used_at = now
        self._transport.write(call.request)

    def drain(self) -> None:
        """Close once all calls in flight have received their replies; the owner sends no further calls."""
        self._draining = True
        if not self.in_flight:
            self.abort()

    def abort(self) -> None:
        """Close at once."""
        if self._transport is not None:
            self._transport.abort()

    # Called by the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the transport, and have it report each incomplete write."""
        # The cast is needed because uvloop's transports are not subclasses of asyncio.Transport.
        self._transport = cast(asyncio.Transport, transport)
        # With a limit of 0, the transport calls pause_writing when the socket accepts a write only partly.
        self._transport.set_write_buffer_limits(high=0)

    def pause_writing(self) -> None:
        """Record that the last request has not been written completely."""
        self.write_paused = True

    def resume_writing(self) -> None:
        """Record that all requests have been written completely, and send queued calls."""
        self.write_paused = False
        self._calls.flush()

    def connection_lost(self, exc: Exception | None) -> None:
        """Complete the calls in flight as reset: the counter may have added their amounts."""
        self._transport = None
        self._fail_in_flight(CallStatus.RESET_AFTER_REQUEST)
        self._owner.on_connection_lost(self)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, which may end within a reply."""
        self.last_received_at = self._loop.time()
        *lines, self._buffer = (self._buffer + data).split(b"\n")
        for line in lines:
            if not self.usable:
                return
            self._on_reply(line.rstrip(b"\r"))
        if self._draining and not self.in_flight:
            self.abort()
        elif not is_reply_prefix(self._buffer):
            # A malformed line may never end; waiting for its end would look like an unresponsive counter.
            self._on_malformed_reply(self._buffer)

    def _on_reply(self, line: bytes) -> None:
        result = parse_reply(line)
        if result is None or not self.in_flight:
            self._on_malformed_reply(line)
        else:
            self._calls.complete(self.in_flight.popleft(), result)

    def _on_malformed_reply(self, line: bytes) -> None:
        """Abort: a malformed reply contains no total, and later replies cannot be matched to calls."""
        self._owner.on_malformed_reply(line)
        # Abort before the calls fail: their handlers may make further calls, which must not be sent on this
        # connection.
        self.abort()
        self._fail_in_flight(CallStatus.MALFORMED)

    def _fail_in_flight(self, status: CallStatus) -> None:
        calls = self.in_flight
        self.in_flight = deque()
        partly_written = calls.pop() if self.write_paused and calls else None
        for call in calls:
            self._calls.complete(call, CallResult(status))
        if partly_written is not None:
            self._calls.complete(partly_written, CallResult(CallStatus.UNREACHABLE))
