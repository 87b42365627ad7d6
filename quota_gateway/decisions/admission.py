"""Admission by load: expected work, priority among recent requests, and the token bucket gate."""

from bisect import bisect_left
from collections import deque
from dataclasses import dataclass, field

from quota_gateway.arithmetic import moving_average, refilled
from quota_gateway.decisions.controller import LoadController
from quota_gateway.state import OpenRequest

GATE_TIME = 1.0  # seconds of the admit rate that the bucket holds
MIN_GATE_TOKENS = 3.0  # requests that it holds at least
MIN_ADMIT_FRACTION = 0.1  # of the arrivals, for load readings: a closed gate would stay closed
FREE_TOKENS = 2  # tokens of the bucket's depth that no priority is reserved
PRIORITY_RESERVE = 0.6  # share of the bucket that the work of lowest priority must leave
RECENT_REQUESTS = 300  # that a priority is ranked among
FIRST_GUESS = 0.1  # idle latency over the latency objective, until an answer tells
REQUEST_WEIGHT = 0.02  # of one request in the means over requests
SLOWER_WEIGHT = 0.01  # of a latency above the idle latency: most of those have waited
FASTER_WEIGHT = 0.02  # of one below it


@dataclass(slots=True, eq=False)
class WorkEstimator:
    """Expected work of a request (idle latency of its class times its size), and its rank by value."""

    base_latencies: dict[str, float] = field(default_factory=dict)  # idle latency in seconds, by class
    mean_units: float = 0.0  # of a request
    mean_work: float = 0.0  # of a request, seconds
    recent_values: deque[float] = field(default_factory=lambda: deque(maxlen=RECENT_REQUESTS))
    sorted_values: list[float] = field(default_factory=list)

    def estimate(self, request: OpenRequest) -> None:
        """Set the size, work and priority of a request that has just come."""
        request_class = request.request_class
        self.mean_units = moving_average(self.mean_units, request.units, REQUEST_WEIGHT)
        if self.mean_units > 0 and request.units > 0:
            request.relative_size = request.units / self.mean_units
        first_guess = request_class.latency_objective * FIRST_GUESS
        request.work = self.base_latencies.setdefault(request_class.name, first_guess) * request.relative_size
        self.mean_work = moving_average(self.mean_work, request.work, REQUEST_WEIGHT)
        value = request_class.priority_weight * request.account.plan.price * request.units / request.work
        self.recent_values.append(value)
        if self.sorted_values:
            request.priority_percentile = bisect_left(self.sorted_values, value) / len(self.sorted_values)

    def learn(self, request: OpenRequest, latency: float) -> float:
        """Take in a good answer; gives its slowdown, the latency over the idle latency."""
        base = self.base_latencies[request.request_class.name]
        latency = latency / request.relative_size
        weight = SLOWER_WEIGHT if latency > base else FASTER_WEIGHT
        self.base_latencies[request.request_class.name] = base + (latency - base) * weight
        return latency / base


@dataclass(slots=True, eq=False)
class AdmissionGate:
    """A token bucket that refills at the admit rate; a request takes its work over the mean work."""

    controller: LoadController
    work: WorkEstimator
    refilled_at: float
    tokens: float = 0.0

    def admits(self, now: float, request: OpenRequest) -> bool:
        """Whether there are tokens; a full bucket lets any one request pass, into debt."""
        rate = max(MIN_ADMIT_FRACTION * self.controller.arrival_rate, self.controller.admit_rate)
        depth = max(MIN_GATE_TOKENS, rate * GATE_TIME)
        self.tokens = refilled(self.tokens, rate, now - self.refilled_at, depth)
        self.refilled_at = now
        reserve = PRIORITY_RESERVE * (1 - request.priority_percentile)
        needed = request.work / self.work.mean_work + reserve * max(0, depth - FREE_TOKENS)
        return self.controller.integral is None or self.tokens >= min(depth, needed)

    def take(self, request: OpenRequest) -> None:
        """A request was forwarded; while the gateway is fresh the bucket stays full."""
        is_fresh = self.controller.integral is None
        self.tokens = float("inf") if is_fresh else self.tokens - request.work / self.work.mean_work
