"""Measures the processor time of a gateway; only this module reads the gateway's internal state."""

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
    """Replaces the gateway's counts of rejections by reason; also lists the reasons of the last event."""

    def __init__(self) -> None:
        super().__init__()
        self.latest = list[str]()

    def __setitem__(self, reason: str, count: int) -> None:
        self.latest.append(reason)
        super().__setitem__(reason, count)


class MeasuredGateway:
    """The gateway of one incarnation of a limiter.

    An action that rejects a request does not state the reason, so this class reads it from the forwarder's
    counts by reason. It reads the number of endpoints that are warming up from the gateway's subset.
    """

    def __init__(self, settings: model.Settings, *, seed: int, now: float, cost: Counter[str]) -> None:
        """Create the gateway; ``cost`` adds up the number of events and their nanoseconds by name."""
        self._gateway = Gateway(settings, seed, now)
        self._cost = cost
        self._recorder = _ReasonRecorder()
        self._gateway.forwarder.rejections = self._recorder
        self._reasons: Iterator[str] = iter(())

    def handle(self, now: float, event: model.Event) -> list[model.Action]:
        """Return the gateway's actions for an event, and add the processor time to the cost."""
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
        """Return the reason of the next rejection, in the order of the last event's actions."""
        return next(self._reasons, _UNKNOWN_REASON)

    def warming_up_endpoints(self) -> int:
        """Return the number of endpoints of the subset that the gateway considers to be warming up."""
        return sum(endpoint.warming_since is not None for endpoint in self._gateway.endpoints.subset)

    def discard(self) -> None:
        """Break the gateway's reference cycles, since garbage collection is disabled in a worker."""
        self._gateway.__dict__.clear()
