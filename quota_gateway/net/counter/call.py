"""One call of the shared counter, and the order in which calls complete."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from quota_gateway.net.counter.line_protocol import CallResult

CompletionHandler = Callable[[CallResult], None]


@dataclass(slots=True, eq=False)
class CounterCall:
    """A request line and the result of its call; ``result`` is set once and not changed any more."""

    request: bytes
    sent_at: float  # seconds of the event loop's clock; before it is written, the time at which it was made
    counter_id: int | None = None  # None for a ping
    on_complete: CompletionHandler | None = None
    result: CallResult | None = None  # None until the call has completed
    _timeout_timer: asyncio.TimerHandle | None = None

    def start_timeout(self, timer: asyncio.TimerHandle) -> None:
        """Keep the timer of the timeout; it is cancelled when the call completes."""
        self._timeout_timer = timer

    def mark_sent(self, now: float) -> None:
        """Record that the request is written at ``now``."""
        self.sent_at = now

    def complete(self, result: CallResult) -> None:
        """Set the result and stop the timeout."""
        self.result = result
        if self._timeout_timer is not None:
            self._timeout_timer.cancel()


class CallOrder:
    """Completes the calls of each counter in the order in which they were made.

    The decisions match results to calls by this order. While one connection drains and a new one is in use,
    a result may overtake an earlier one; it is delivered after that one, which takes the timeout of a call
    at most.
    """

    __slots__ = ("_calls",)

    def __init__(self) -> None:
        """Begin without calls."""
        self._calls = dict[int, deque[CounterCall]]()

    def __len__(self) -> int:
        """Return the number of counters that have calls."""
        return len(self._calls)

    def add(self, counter_id: int, call: CounterCall) -> None:
        """Append a new call to those of its counter."""
        self._calls.setdefault(counter_id, deque()).append(call)

    def deliver(self, counter_id: int) -> None:
        """Call the handlers of the counter's completed calls, up to the first one that is in flight."""
        calls = self._calls[counter_id]
        while calls and (result := calls[0].result) is not None:
            first = calls.popleft()
            if not calls:
                del self._calls[counter_id]  # clients choose the counters: idle ones must not accumulate
            assert first.on_complete is not None
            first.on_complete(result)
