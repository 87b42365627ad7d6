"""The slowdown of one endpoint: its latency relative to the idle latency."""

from __future__ import annotations

from dataclasses import dataclass

from quota_gateway.arithmetic import moving_average


@dataclass(slots=True, eq=False)
class Slowdown:
    """Latency of the good responses of one incarnation, divided by the idle latency."""

    responses: int = 0
    mean: float = 0.0  # over all responses of the incarnation; not valid before the first one
    recent: float = 0.0  # moving average; 0: unknown

    def record(self, slowdown: float, weight: float) -> None:
        """Record a response; ``weight`` is its minimum weight in both averages."""
        self.responses += 1
        self.recent = moving_average(self.recent, slowdown, weight)
        self.mean += max(weight, 1 / self.responses) * (slowdown - self.mean)

    def reset(self) -> None:
        """Start a new incarnation; the first response replaces the mean."""
        self.responses = 0
        self.recent = 0.0
