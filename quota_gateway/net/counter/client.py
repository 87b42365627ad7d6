"""The client of the shared counter: pipelined calls, each completed once, in order for each counter."""

from __future__ import annotations

import asyncio
import logging
from collections import Counter, deque
from random import Random

from quota_gateway.model import CallStatus
from quota_gateway.net.counter.connection import (
    PING_REQUEST,
    CallResult,
    CompletionHandler,
    CounterCall,
    CounterConnection,
    increment_request,
)
from quota_gateway.net.counter.connector import CounterConnector

log = logging.getLogger(__name__)

CHECK_INTERVAL = 0.1  # seconds between checks of the connections
CHECKS_PER_LOG_LINE = 100  # checks between log lines on how the calls ended
PING_INTERVAL = 2.0  # idle seconds until a ping: the counter closes idle connections
UNRESPONSIVE_TIMEOUTS = 10  # time-outs that the oldest call may wait until its connection is closed


class CallOrder:
    """Completes the calls of each counter in the order in which they were made.

    The decisions match results to calls by this order. With one connection draining and a new one in use, a
    result that overtakes another waits here, for the time-out of a call at most.
    """

    __slots__ = ("_calls",)

    def __init__(self) -> None:
        """Begin without calls."""
        self._calls = dict[int, deque[CounterCall]]()

    def __len__(self) -> int:
        """Count the counters that have calls."""
        return len(self._calls)

    def add(self, counter_id: int, call: CounterCall) -> None:
        """Take a new call, behind the earlier ones of its counter."""
        self._calls.setdefault(counter_id, deque()).append(call)

    def deliver(self, counter_id: int) -> None:
        """Notify the handlers of the counter's calls whose turn has come."""
        calls = self._calls[counter_id]
        while calls and (result := calls[0].result) is not None:
            first = calls.popleft()
            if not calls:
                del self._calls[counter_id]  # clients choose the counters: idle ones must not pile up
            assert first.on_complete is not None
            first.on_complete(*result)


class CounterClient:
    """Keeps a connection to the counter and a standby, and moves to another address without a gap."""

    def __init__(self, host: str, port: int, timeout: float, rng: Random | None = None) -> None:
        """Prepare a client of the counter at an address; a call times out after ``timeout`` seconds."""
        self._loop = asyncio.get_running_loop()
        self._timeout = timeout
        self._connector = CounterConnector((host, port), self, self._on_connected, rng or Random())
        self._active: CounterConnection | None = None
        # Connections become unresponsive one by one while the counter serves others: the next one is ready.
        self._standby: CounterConnection | None = None
        self._draining = set[CounterConnection]()
        self._unsent = deque[CounterCall]()
        self._order = CallOrder()
        self._event_counts = Counter[str]()  # since the last log line
        self._checks = 0
        self._check_timer: asyncio.TimerHandle | None = None
        self._closed = False

    def start(self) -> None:
        """Connect, and from then on keep connections open."""
        self._check()

    def set_address(self, host: str, port: int) -> None:
        """Move to another address; the active connection serves until the new one is open."""
        if (host, port) == self._connector.address:
            return
        self._connector.set_address((host, port))
        standby = self._standby
        if standby is not None:
            self._standby = None
            standby.abort()
        self._open_missing_connections()

    def set_timeout(self, timeout: float) -> None:
        """Set the seconds until a call times out, for the calls made from now on."""
        self._timeout = timeout

    def increment(
        self, counter_id: int, amount: float, lifetime: float, on_complete: CompletionHandler
    ) -> None:
        """Add ``amount`` to a counter, for ``lifetime`` seconds.

        ``on_complete`` gets the status and the counter's total, after this method has returned.
        """
        request = increment_request(counter_id, amount, lifetime)
        call = CounterCall(request, self._loop.time(), counter_id, on_complete)
        call.timeout_timer = self._loop.call_later(self._timeout, self._on_timeout, call)
        self._order.add(counter_id, call)
        self._enqueue(call)

    def close(self) -> None:
        """Close all connections; calls in flight complete as reset, unsent ones time out."""
        self._closed = True
        if self._check_timer is not None:
            self._check_timer.cancel()
        self._connector.cancel()
        for connection in (*self._draining, self._active, self._standby):
            if connection is not None:
                connection.abort()

    def now(self) -> float:
        """Return the seconds of the event loop's clock."""
        return self._loop.time()

    def flush(self) -> None:
        """Send what the active connection takes.

        One request at a time goes to the transport: those that are queued here are known not to be written.
        """
        while self._unsent:
            connection = self._active
            if connection is None or not connection.usable or connection.write_paused:
                return
            connection.send(self._unsent.popleft(), self._loop.time())

    def complete(self, call: CounterCall, result: CallResult) -> None:
        """Complete a call unless it has completed before, behind the earlier ones of its counter."""
        if call.result is not None or call.counter_id is None:
            return
        call.result = result
        self._event_counts[result.status.name.lower()] += 1
        if call.timeout_timer is not None:
            call.timeout_timer.cancel()
        self._order.deliver(call.counter_id)

    def on_connection_lost(self, connection: CounterConnection) -> None:
        """Replace a lost connection; what is queued goes out on the standby."""
        self._event_counts["connections closed"] += 1
        self._draining.discard(connection)
        if connection is self._active:
            self._active = self._standby
            self._standby = None
            self.flush()
        elif connection is self._standby:
            self._standby = None
        else:
            return
        if not self._closed:
            self._loop.call_later(self._connector.remaining_interval(), self._open_missing_connections)

    def on_malformed_answer(self, line: bytes) -> None:
        """Count a malformed answer. A faulty counter sends several a second: one is logged."""
        if not self._event_counts["malformed lines"]:
            log.warning("malformed answer of the counter, reconnecting: %.80r", line)
        self._event_counts["malformed lines"] += 1

    def _enqueue(self, call: CounterCall) -> None:
        self._unsent.append(call)
        self.flush()

    def _on_timeout(self, call: CounterCall) -> None:
        if call in self._unsent:
            self._unsent.remove(call)
            self.complete(call, CallResult(CallStatus.UNREACHABLE))
        else:
            # It stays in flight: its answer may still come.
            self.complete(call, CallResult(CallStatus.TIMEOUT))
            self._fail_over_from_unresponsive(call)

    def _fail_over_from_unresponsive(self, call: CounterCall) -> None:
        """Make the standby active if nothing was received since ``call`` was sent."""
        active = self._active
        standby = self._standby
        if active is None or standby is None or not standby.usable or standby.in_flight:
            return
        if active.last_received_at < call.sent_at and call in active.in_flight:
            self._event_counts["failovers to standby"] += 1
            self._active = standby
            self._standby = None
            self._drain(active)
            self.flush()
            self._open_missing_connections()

    def _drain(self, connection: CounterConnection) -> None:
        self._draining.add(connection)
        connection.drain()

    def _check(self) -> None:
        """Close unresponsive connections, ping idle ones and open those that are missing."""
        self._check_timer = self._loop.call_later(CHECK_INTERVAL, self._check)
        self._log_event_counts()
        now = self._loop.time()
        answer_timeout = UNRESPONSIVE_TIMEOUTS * self._timeout
        for connection in list(self._draining):
            if connection.is_unresponsive(now, answer_timeout):
                connection.abort()
        self._check_active(now, answer_timeout)
        self._check_standby(now, answer_timeout)
        self._open_missing_connections()

    def _check_active(self, now: float, answer_timeout: float) -> None:
        active = self._active
        if active is None:
            return
        if active.is_unresponsive(now, answer_timeout):
            log.warning("the counter does not answer, reconnecting")
            active.abort()
        elif now - active.last_used_at > PING_INTERVAL:
            self._enqueue(CounterCall(PING_REQUEST, now))

    def _check_standby(self, now: float, answer_timeout: float) -> None:
        standby = self._standby
        if standby is None:
            return
        if standby.is_unresponsive(now, answer_timeout):
            standby.abort()
        elif now - standby.last_used_at > PING_INTERVAL and not standby.in_flight:
            standby.send(CounterCall(PING_REQUEST, now), now)

    def _log_event_counts(self) -> None:
        self._checks += 1
        if self._checks % CHECKS_PER_LOG_LINE == 0 and self._event_counts:
            counts = ", ".join(f"{event} {count}" for event, count in sorted(self._event_counts.items()))
            log.info("counter calls: %s", counts)
            self._event_counts.clear()

    def _open_missing_connections(self) -> None:
        if self._check_timer is None or self._check_timer.cancelled():
            return  # not started, or closed
        for connection in (self._active, self._standby):
            if connection is None or connection.address != self._connector.address:
                self._connector.connect()
                return

    def _on_connected(self, connection: CounterConnection) -> None:
        previous = self._active
        if previous is not None and previous.address == connection.address:
            self._standby = connection
        else:
            self._active = connection
            if previous is not None:
                self._drain(previous)
        if not connection.usable:
            self.on_connection_lost(connection)  # it was lost before it was known here
        elif connection is self._active:
            self.flush()
            self._open_missing_connections()  # the standby
