"""How one limiter sets timers and sends messages."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappush

from scale.fleet.messages import Envelope, Event, LimiterEvent

Send = Callable[[Envelope], None]


class Mailbox:
    """Numbers all that a limiter schedules and sends, so that its order does not depend on the workers."""

    __slots__ = ("_events", "_index", "_send", "_sequence")

    def __init__(self, index: int, events: list[Envelope], send: Send) -> None:
        """``events``: the heap of all limiters of the worker; ``send``: what is for others goes there."""
        self._index = index
        self._events = events  # heap of the events of all limiters of the worker
        self._send = send
        self._sequence = 0

    def next_number(self) -> int:
        """A number that the limiter has not used yet."""
        self._sequence += 1
        return self._sequence

    def schedule(self, at: float, event: LimiterEvent) -> None:
        """Have the limiter itself receive the event at that time."""
        self._sequence += 1
        heappush(self._events, Envelope(at, self._index, self._sequence, self._index, event))

    def send(self, recipient: int, at: float, event: Event) -> None:
        """Have another one receive the event at that time: one of the role that the event's type has."""
        self._sequence += 1
        self._send(Envelope(at, self._index, self._sequence, recipient, event))
