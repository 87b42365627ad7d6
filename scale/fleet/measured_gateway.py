"""The decisions under test, with the cost of each event; only this module looks into them."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Iterator

from quota_gateway import model
from quota_gateway.decisions.gateway import Gateway

_UNKNOWN_REASON = "unknown"
# The names under which the costs of events are counted.
_COST_NAMES: dict[type[model.Event], str] = {
    model.TimerFired: "tick",
    model.EndpointUpdate: "list",
    model.HealthChecked: "probed",
    model.Request: "ask",
    model.AttemptCompleted: "outcome",
    model.CounterReplied: "counted",
}


class _ReasonRecorder(dict[str, int]):
    """Takes the place of the decisions' counts of rejections by reason, and keeps the latest reasons."""

    def __init__(self) -> None:
        super().__init__()
        self.latest = list[str]()

    def __setitem__(self, reason: str, count: int) -> None:
        self.latest.append(reason)
        super().__setitem__(reason, count)


class MeasuredGateway:
    """The decisions of one incarnation of a limiter.

    Actions do not say why a request is rejected: the reason is read from the forwarder's counts by reason,
    and the number of endpoints that warm up from the gateway's subset of endpoints.
    """

    def __init__(self, settings: model.Settings, *, seed: int, now: float, cost: Counter[str]) -> None:
        """Start the decisions; ``cost`` counts events and nanoseconds by name."""
        self._gateway = Gateway(settings, seed, now)
        self._cost = cost
        self._recorder = _ReasonRecorder()
        self._gateway.forwarder.rejections = self._recorder
        self._reasons: Iterator[str] = iter(())

    def handle(self, now: float, event: model.Event) -> list[model.Action]:
        """The actions that the decisions answer an event with; its processor time is counted."""
        self._recorder.latest.clear()
        began = time.thread_time_ns()
        actions = self._gateway.handle(now, event)
        spent = time.thread_time_ns() - began
        name = _COST_NAMES[type(event)]
        self._cost[name] += spent
        self._cost[f"{name}s"] += 1
        self._reasons = iter(self._recorder.latest)
        return actions

    def next_reason(self) -> str:
        """Why the next of the requests was rejected that the last event's actions reject."""
        return next(self._reasons, _UNKNOWN_REASON)

    def warming_up_endpoints(self) -> int:
        """Endpoints of its subset that this limiter takes to be warming up."""
        return sum(endpoint.warming_since is not None for endpoint in self._gateway.endpoints.subset)

    def discard(self) -> None:
        """Free the decisions: they refer to themselves, and the worker does not collect cycles."""
        self._gateway.__dict__.clear()
