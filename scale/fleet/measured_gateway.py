"""The decisions under test with the cost of each event; only this module reads their internal state."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Iterator

from quota_gateway import model
from quota_gateway.decisions.gateway import Gateway

_UNKNOWN_REASON = "unknown"
# Names of the costs in a run's JSON file.
_COST_NAMES: dict[type[model.Event], str] = {
    model.TimerFired: "tick",
    model.EndpointUpdate: "list",
    model.HealthChecked: "probed",
    model.Request: "ask",
    model.AttemptCompleted: "outcome",
    model.CounterReplied: "counted",
}


class _ReasonRecorder(dict[str, int]):
    """Replaces the decisions' counts of rejections by reason, and records the latest reasons."""

    def __init__(self) -> None:
        super().__init__()
        self.latest = list[str]()

    def __setitem__(self, reason: str, count: int) -> None:
        self.latest.append(reason)
        super().__setitem__(reason, count)


class MeasuredGateway:
    """The decisions of one incarnation of a limiter.

    Actions have no reason for a rejection: it is read from the forwarder's counts by reason. The number of
    endpoints that are warming up is read from the gateway's subset.
    """

    def __init__(self, settings: model.Settings, *, seed: int, now: float, cost: Counter[str]) -> None:
        """Start the decisions; ``cost`` counts events and nanoseconds by name."""
        self._gateway = Gateway(settings, seed, now)
        self._cost = cost
        self._recorder = _ReasonRecorder()
        self._gateway.forwarder.rejections = self._recorder
        self._reasons: Iterator[str] = iter(())

    def handle(self, now: float, event: model.Event) -> list[model.Action]:
        """Return the actions of the decisions for an event, and count its processor time."""
        self._recorder.latest.clear()
        started = time.thread_time_ns()
        actions = self._gateway.handle(now, event)
        spent = time.thread_time_ns() - started
        name = _COST_NAMES[type(event)]
        self._cost[name] += spent
        self._cost[f"{name}s"] += 1
        self._reasons = iter(self._recorder.latest)
        return actions

    def next_reason(self) -> str:
        """Return the reason of the next rejection among the last event's actions."""
        return next(self._reasons, _UNKNOWN_REASON)

    def warming_up_endpoints(self) -> int:
        """Return the number of endpoints of the subset that are considered to be warming up."""
        return sum(endpoint.warming_since is not None for endpoint in self._gateway.endpoints.subset)

    def discard(self) -> None:
        """Release the decisions, whose reference cycles the worker's disabled collector would keep."""
        self._gateway.__dict__.clear()
