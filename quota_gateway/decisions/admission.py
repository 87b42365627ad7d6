"""Admission by load: expected work, priority among recent requests, and the token bucket gate."""

from bisect import bisect_left
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field

from quota_gateway.arithmetic import moving_average, refilled
from quota_gateway.decisions.controller import LoadController
from quota_gateway.state import OpenRequest

GATE_DEPTH_SECONDS = 1.0  # a full bucket holds the tokens that it gains in this time
MIN_GATE_DEPTH_REQUESTS = 3.0  # smallest depth of the bucket, in requests of mean work
# The gate refills at no less than this fraction of the arrival rate: a closed gate would get no more load
# readings.
MIN_ADMIT_FRACTION = 0.1
UNRESERVED_TOKENS = 2  # part of the bucket's depth that is open to requests of any priority
# Fraction of the remaining depth that requests of the lowest priority may not use.
PRIORITY_RESERVE_FRACTION = 0.6
RANKING_WINDOW_REQUESTS = 300  # number of recent requests among which a request is ranked
# Idle latency of a class before its first response, as a fraction of its latency objective.
INITIAL_LATENCY_FRACTION = 0.1
REQUEST_WEIGHT = 0.02  # weight of one request in the moving averages of units and work
# Weights of one response in the idle latency. Most slower responses waited in a queue, so they count less.
SLOWER_RESPONSE_WEIGHT = 0.01
FASTER_RESPONSE_WEIGHT = 0.02


@dataclass(slots=True, eq=False)
class WorkEstimator:
    """Expected work of a request (idle latency of its class times its size), and its rank by value."""

    base_latencies: dict[str, float] = field(default_factory=dict)  # idle latency in seconds, by class
    mean_units: float = 0.0  # moving average of the units of a request
    mean_work: float = 0.0  # moving average of the work of a request, in seconds
    recent_values: deque[float] = field(default_factory=lambda: deque(maxlen=RANKING_WINDOW_REQUESTS))
    sorted_values: list[float] = field(default_factory=list)  # as of the last call of ``update_ranking``

    def estimate(self, request: OpenRequest) -> None:
        """Set the relative size, work and priority of an arriving request."""
        request_class = request.request_class
        self.mean_units = moving_average(self.mean_units, request.units, REQUEST_WEIGHT)
        relative_size = request.relative_size
        if self.mean_units > 0 and request.units > 0:
            relative_size = request.units / self.mean_units
        initial_latency = request_class.latency_objective * INITIAL_LATENCY_FRACTION
        work = self.base_latencies.setdefault(request_class.name, initial_latency) * relative_size
        self.mean_work = moving_average(self.mean_work, work, REQUEST_WEIGHT)
        value = request_class.priority_weight * request.account.plan.price * request.units / work
        self.recent_values.append(value)
        percentile = request.priority_percentile
        if self.sorted_values:
            percentile = bisect_left(self.sorted_values, value) / len(self.sorted_values)
        request.set_estimate(relative_size=relative_size, work=work, priority_percentile=percentile)

    def record_response(self, request: OpenRequest, latency: float) -> float:
        """Update the idle latency with a successful response, and return the slowdown of the response."""
        base = self.base_latencies[request.request_class.name]
        latency = latency / request.relative_size
        weight = SLOWER_RESPONSE_WEIGHT if latency > base else FASTER_RESPONSE_WEIGHT
        self.base_latencies[request.request_class.name] = base + (latency - base) * weight
        return latency / base

    def update_ranking(self) -> None:
        """Update the values among which the requests of the next interval are ranked."""
        self.sorted_values = sorted(self.recent_values)

    def take_over(self, mean_work: float, mean_units: float, base_latencies: Mapping[str, float]) -> None:
        """Take over the averages of another process of this limiter; it does not know those that are 0."""
        self.mean_work = mean_work or self.mean_work
        self.mean_units = mean_units or self.mean_units
        self.base_latencies |= {name: base for name, base in base_latencies.items() if base > 0}


@dataclass(slots=True, eq=False)
class AdmissionGate:
    """A token bucket that refills at the admit rate; a request takes its work divided by the mean work."""

    controller: LoadController
    work_estimator: WorkEstimator
    refilled_at: float
    tokens: float = 0.0

    def admits(self, now: float, request: OpenRequest) -> bool:
        """Whether there are enough tokens; a full bucket admits any request, even if that overdraws it."""
        rate = max(MIN_ADMIT_FRACTION * self.controller.arrival_rate, self.controller.admit_rate)
        depth = max(MIN_GATE_DEPTH_REQUESTS, rate * GATE_DEPTH_SECONDS)
        self.tokens = refilled(self.tokens, rate, now - self.refilled_at, depth)
        self.refilled_at = now
        reserve = PRIORITY_RESERVE_FRACTION * (1 - request.priority_percentile)
        needed = request.work / self.work_estimator.mean_work + reserve * max(0, depth - UNRESERVED_TOKENS)
        return self.controller.integral is None or self.tokens >= min(depth, needed)

    def take(self, request: OpenRequest) -> None:
        """Take the tokens of a forwarded request; without a measured load the bucket stays full."""
        is_unmeasured = self.controller.integral is None
        self.tokens = (
            float("inf") if is_unmeasured else self.tokens - request.work / self.work_estimator.mean_work
        )
