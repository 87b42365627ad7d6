"""Calls to the shared counter, and the delivery of their results in call order."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from quota_gateway.net.counter.line_protocol import CallResult

CompletionHandler = Callable[[CallResult], None]


@dataclass(slots=True, eq=False)
class CounterCall:
    """One call: its request line and, once it has completed, its result, which never changes again."""

    request: bytes
    # The time when the request was written, in seconds of the event loop's clock. Until then, the time when
    # the call was made.
    sent_at: float
    counter_id: int | None = None  # None for a ping
    on_complete: CompletionHandler | None = None
    result: CallResult | None = None  # None until the call has completed
    _timeout_timer: asyncio.TimerHandle | None = None

    def set_timeout_timer(self, timer: asyncio.TimerHandle) -> None:
        """Set the timer of the call's timeout, which is cancelled when the call completes."""
        self._timeout_timer = timer

    def mark_sent(self, now: float) -> None:
        """Record that the request was written at ``now``."""
        self.sent_at = now

    def complete(self, result: CallResult) -> None:
        """Set the result and cancel the timeout."""
        self.result = result
        if self._timeout_timer is not None:
            self._timeout_timer.cancel()


class PendingCalls:
    """The calls whose results have not been delivered; delivers those of each counter in call order.

    The gateway matches results to calls by this order. While an old connection drains and a new one is in
    use, a reply on the new one may precede the reply to an earlier call on the old one. Its result is then
    delivered after that of the earlier call, which completes within the timeout of a call.
    """

    __slots__ = ("_calls",)

    def __init__(self) -> None:
        """Start with no calls."""
        self._calls = dict[int, deque[CounterCall]]()

    def __len__(self) -> int:
        """Return the number of counters that have pending calls."""
        return len(self._calls)

    def add(self, counter_id: int, call: CounterCall) -> None:
        """Append a new call to those of its counter."""
        self._calls.setdefault(counter_id, deque()).append(call)

    def deliver(self, counter_id: int) -> None:
        """Deliver the results of the counter's completed calls, up to the first call without a result."""
        calls = self._calls[counter_id]
        while calls and (result := calls[0].result) is not None:
            first = calls.popleft()
            if not calls:
                # Clients choose the counters by their requests, so entries of idle counters would accumulate.
                del self._calls[counter_id]
            assert first.on_complete is not None
            first.on_complete(result)
