"""The client of the shared counter: pipelines calls, and delivers each counter's results in call order."""

from __future__ import annotations

import asyncio
from collections import deque
from random import Random

from quota_gateway.model import CallStatus
from quota_gateway.net.counter.call import CompletionHandler, CounterCall, PendingCalls
from quota_gateway.net.counter.connection import Address
from quota_gateway.net.counter.connections import CounterConnections
from quota_gateway.net.counter.line_protocol import CallResult, increment_request
from quota_gateway.net.counter.stats import CounterStats

CONNECTION_CHECK_INTERVAL_SECONDS = 0.1
CHECKS_PER_LOG_LINE = 100
# A connection is closed when its oldest call has been in flight for this number of call timeouts.
REPLY_TIMEOUT_FACTOR = 10


class CounterClient:
    """Sends calls to the counter on the active connection of ``CounterConnections``.

    A call is queued until that connection accepts it, then in flight until its reply is received or its
    connection is lost. It completes once: at one of these events or at its timeout, whichever is first.
    """

    def __init__(self, host: str, port: int, timeout: float, rng: Random | None = None) -> None:
        """Create a client of the counter at an address; a call times out after ``timeout`` seconds."""
        self._loop = asyncio.get_running_loop()
        self._timeout = timeout
        self._stats = CounterStats()
        self.connections = CounterConnections(Address(host, port), self, self._stats, rng or Random())
        self._unsent = deque[CounterCall]()
        self._pending = PendingCalls()
        self._checks = 0
        self._check_timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Connect, and keep connections open from now on."""
        self.connections.start()
        self._on_check_timer()

    def close(self) -> None:
        """Close all connections; calls in flight complete as reset, unsent ones time out."""
        if self._check_timer is not None:
            self._check_timer.cancel()
        self.connections.close()

    def set_address(self, host: str, port: int) -> None:
        """Connect to another address; the active connection is used until the new one is open."""
        self.connections.set_address(Address(host, port))

    def set_timeout(self, timeout: float) -> None:
        """Set the timeout, in seconds, of calls that are made from now on."""
        self._timeout = timeout

    @property
    def pending_counters(self) -> int:
        """The number of counters with calls that have not completed."""
        return len(self._pending)

    def increment(
        self, counter_id: int, amount: float, lifetime: float, on_complete: CompletionHandler
    ) -> None:
        """Add ``amount`` to a counter, for ``lifetime`` seconds.

        ``on_complete`` is called with the result, after this method has returned.
        """
        request = increment_request(counter_id, amount, lifetime)
        call = CounterCall(request, self._loop.time(), counter_id, on_complete)
        call.set_timeout_timer(self._loop.call_later(self._timeout, self._on_timeout, call))
        self._pending.add(counter_id, call)
        self.enqueue(call)

    def enqueue(self, call: CounterCall) -> None:
        """Send a call on the active connection as soon as the connection accepts it."""
        self._unsent.append(call)
        self.flush()

    def flush(self) -> None:
        """Send queued calls while the active connection accepts them.

        No request is passed to the transport before it has written the previous one completely. The requests
        of queued calls are therefore known to be unsent.
        """
        while self._unsent:
            connection = self.connections.active
            if connection is None or not connection.usable or connection.write_paused:
                return
            connection.send(self._unsent.popleft(), self._loop.time())

    def complete(self, call: CounterCall, result: CallResult) -> None:
        """Set a call's result, which is delivered after those of the earlier calls to its counter.

        Pings and calls that have already completed are ignored.
        """
        if call.result is not None or call.counter_id is None:
            return
        call.complete(result)
        self._stats.record_call(result.status)
        self._pending.deliver(call.counter_id)

    def check(self) -> None:
        """Close unresponsive connections, send pings on idle ones and open missing ones."""
        self.connections.check(self._loop.time(), REPLY_TIMEOUT_FACTOR * self._timeout)

    def _on_timeout(self, call: CounterCall) -> None:
        if call in self._unsent:
            self._unsent.remove(call)
            self.complete(call, CallResult(CallStatus.UNREACHABLE))
        else:
            # The call stays in flight on its connection, because its reply may still be received.
            self.complete(call, CallResult(CallStatus.TIMEOUT))
            self.connections.fail_over_if_unresponsive(call)

    def _on_check_timer(self) -> None:
        self._check_timer = self._loop.call_later(CONNECTION_CHECK_INTERVAL_SECONDS, self._on_check_timer)
        self._checks += 1
        if self._checks % CHECKS_PER_LOG_LINE == 0:
            self._stats.log_and_reset()
        self.check()
