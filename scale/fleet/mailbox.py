"""Timers and messages of one limiter."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappush

from scale.fleet.messages import Envelope, Event, LimiterEvent

Send = Callable[[Envelope], None]


class Mailbox:
    """Schedules events for its own limiter and sends events to other recipients.

    Each event has a sequence number, so that the order of events does not depend on the number of workers.
    """

    __slots__ = ("_events", "_index", "_send", "_sequence")

    def __init__(self, index: int, events: list[Envelope], send: Send) -> None:
        """``events`` is the heap of the worker's limiters; ``send`` delivers envelopes to others."""
        self._index = index
        self._events = events
        self._send = send
        self._sequence = 0

    def next_sequence_number(self) -> int:
        """Return a sequence number that the limiter has not used yet."""
        self._sequence += 1
        return self._sequence

    def schedule(self, at: float, event: LimiterEvent) -> None:
        """Deliver an event to this limiter at time ``at``."""
        self._sequence += 1
        heappush(self._events, Envelope(at, self._index, self._sequence, self._index, event))

    def send(self, recipient: int, at: float, event: Event) -> None:
        """Deliver an event to a recipient at time ``at``; the type of the event determines its role."""
        self._sequence += 1
        self._send(Envelope(at, self._index, self._sequence, recipient, event))
