"""The client of the shared counter: pipelined calls, each completed once, in order for each counter."""

from __future__ import annotations

import asyncio
from collections import deque
from random import Random

from quota_gateway.model import CallStatus
from quota_gateway.net.counter.call import CallOrder, CompletionHandler, CounterCall
from quota_gateway.net.counter.connection import Address
from quota_gateway.net.counter.connections import CounterConnections
from quota_gateway.net.counter.line_protocol import CallResult, increment_request
from quota_gateway.net.counter.stats import CounterStats

CHECK_INTERVAL_SECONDS = 0.1  # between two checks of the connections
CHECKS_PER_LOG_LINE = 100
MAX_REPLY_TIMEOUTS = 10  # timeouts for which the oldest call may be in flight until its connection is closed


class CounterClient:
    """Calls the counter, on the active connection of ``CounterConnections``.

    A call is queued until that connection accepts it, then in flight until its reply is received or its
    connection ends. It completes once, by one of these events or by its timeout.
    """

    def __init__(self, host: str, port: int, timeout: float, rng: Random | None = None) -> None:
        """Create a client of the counter at an address; a call times out after ``timeout`` seconds."""
        self._loop = asyncio.get_running_loop()
        self._timeout = timeout
        self._stats = CounterStats()
        self.connections = CounterConnections(Address(host, port), self, self._stats, rng or Random())
        self._unsent = deque[CounterCall]()
        self._order = CallOrder()
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
        """Use another address; the active connection is used until the new one is open."""
        self.connections.set_address(Address(host, port))

    def set_timeout(self, timeout: float) -> None:
        """Set the seconds after which a call times out, for calls that are made from now on."""
        self._timeout = timeout

    @property
    def pending_counters(self) -> int:
        """The number of counters with calls that have not completed."""
        return len(self._order)

    def increment(
        self, counter_id: int, amount: float, lifetime: float, on_complete: CompletionHandler
    ) -> None:
        """Add ``amount`` to a counter, for ``lifetime`` seconds.

        ``on_complete`` is called with the result, after this method has returned.
        """
        request = increment_request(counter_id, amount, lifetime)
        call = CounterCall(request, self._loop.time(), counter_id, on_complete)
        call.start_timeout(self._loop.call_later(self._timeout, self._on_timeout, call))
        self._order.add(counter_id, call)
        self.enqueue(call)

    def enqueue(self, call: CounterCall) -> None:
        """Send a call on the active connection as soon as that accepts it."""
        self._unsent.append(call)
        self.flush()

    def flush(self) -> None:
        """Send queued calls while the active connection accepts them.

        The transport never holds more than one incomplete request, so that no queued call has been written.
        """
        while self._unsent:
            connection = self.connections.active
            if connection is None or not connection.usable or connection.write_paused:
                return
            connection.send(self._unsent.popleft(), self._loop.time())

    def complete(self, call: CounterCall, result: CallResult) -> None:
        """Complete a call, after the earlier ones of its counter; do nothing if it has completed already."""
        if call.result is not None or call.counter_id is None:
            return
        call.complete(result)
        self._stats.record_call(result.status)
        self._order.deliver(call.counter_id)

    def check(self) -> None:
        """Close unresponsive connections, send pings on idle ones and open missing ones."""
        self.connections.check(self._loop.time(), MAX_REPLY_TIMEOUTS * self._timeout)

    def _on_timeout(self, call: CounterCall) -> None:
        if call in self._unsent:
            self._unsent.remove(call)
            self.complete(call, CallResult(CallStatus.UNREACHABLE))
        else:
            # It stays in flight, because its reply may still be received.
            self.complete(call, CallResult(CallStatus.TIMEOUT))
            self.connections.fail_over_from_unresponsive(call)

    def _on_check_timer(self) -> None:
        self._check_timer = self._loop.call_later(CHECK_INTERVAL_SECONDS, self._on_check_timer)
        self._checks += 1
        if self._checks % CHECKS_PER_LOG_LINE == 0:
            self._stats.log_and_reset()
        self.check()
