"""Processor time that the decisions spend on each type of event."""

from __future__ import annotations

from dataclasses import dataclass
from time import process_time_ns

from quota_gateway import model
from quota_gateway.decisions.gateway import Gateway

NANOSECONDS_PER_SECOND = 1e9


@dataclass(slots=True)
class _EventCost:
    """The processor time and the number of the events of one type."""

    nanoseconds: int = 0
    events: int = 0

    def add(self, nanoseconds: int) -> None:
        self.nanoseconds += nanoseconds
        self.events += 1


class EventCosts:
    """Measures the processor time of the decisions and adds it up by event type."""

    def __init__(self) -> None:
        """Start without events."""
        self._costs = dict[type[model.Event], _EventCost]()

    def measure(self, gateway: Gateway, now: float, event: model.Event) -> list[model.Action]:
        """Let the decisions handle an event, and return their actions."""
        started = process_time_ns()
        actions = gateway.handle(now, event)
        spent = process_time_ns() - started
        self._costs.setdefault(type(event), _EventCost()).add(spent)
        return actions

    def clear(self) -> None:
        """Discard all sums."""
        self._costs.clear()

    def count(self, event_type: type[model.Event]) -> int:
        """Return the number of events of a type."""
        return self._costs.get(event_type, _EventCost()).events

    def mean_seconds(self, first: type[model.Event], *caused: type[model.Event]) -> float:
        """Return the processor time of all events of these types per event of type ``first``."""
        nanoseconds = sum(self._costs.get(each, _EventCost()).nanoseconds for each in (first, *caused))
        return nanoseconds / max(1, self._costs[first].events) / NANOSECONDS_PER_SECOND
