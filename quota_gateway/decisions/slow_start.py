"""Slow start: how much an endpoint that is warming up may be given."""

from dataclasses import dataclass

from quota_gateway.arithmetic import moving_average
from quota_gateway.decisions.context import Context
from quota_gateway.model import Settings
from quota_gateway.model.settings import MIN_POSITIVE
from quota_gateway.state import EndpointState

SAFE_LOAD_FRACTION = 0.45  # of the load that makes a fresh endpoint fail
MIN_RESPONSES = 10  # that show how warm an endpoint is
MAX_WARM_SLOWDOWN = 0.9  # mean latency, in idle latencies, of a warm endpoint
MAX_SPEED_UP = 2  # of the warm-up that the settings state, however good the responses
ALLOWANCE_FRACTION = 0.5  # of the overload window's work that an allowance may save up
COMPLETION_RATE_WEIGHT = 0.3  # of the newest interval


@dataclass(slots=True, eq=False)
class SlowStart:
    """Gives endpoints that are warming up an allowance: a fraction of what a warm one completes."""

    context: Context
    completion_rate: float = 0.0  # work that a warm endpoint completes per second

    def close_interval(self, subset: list[EndpointState], elapsed: float) -> None:
        """Update the completion rate; the endpoints' intervals must not be closed yet."""
        # Completed work, not forwarded work: overloaded endpoints are given work that they do not complete.
        # Warm endpoints only: those that warm up would lower their own allowance.
        rates = [state.work_completed / elapsed for state in subset if state.warming_since is None]
        if rates:
            mean_rate = sum(rates) / len(rates)
            self.completion_rate = moving_average(self.completion_rate, mean_rate, COMPLETION_RATE_WEIGHT)

    def take_over(self, completion_rate: float) -> None:
        """Take over the completion rate of another process of this limiter; 0: unknown."""
        self.completion_rate = completion_rate or self.completion_rate

    def admits(self, now: float, state: EndpointState, work: float) -> bool:
        """Whether a request may go to the endpoint; ends its slow start when it is due."""
        if state.warming_since is None:
            return True
        settings = self.context.settings
        warm_fraction = _planned_warm_fraction(settings, max(0.0, now - state.warming_since))
        if warm_fraction >= 1:
            state.finish_warming_up()
            return True
        if state.slowdown.responses >= MIN_RESPONSES:
            warm_fraction = _observed_warm_fraction(warm_fraction, state.slowdown.mean)
        safe_load = SAFE_LOAD_FRACTION * settings.overload_multiple * min(1.0, warm_fraction)
        rate = safe_load * self.completion_rate / self.context.process_count
        capacity = rate * settings.overload_window * ALLOWANCE_FRACTION
        state.allowance.refill(now, rate, capacity)
        # With hundreds of gateways each allowance is below one request, and admits only some of the requests.
        return state.allowance.work > work * self.context.rng.random()


def _planned_warm_fraction(settings: Settings, age: float) -> float:
    """Return the fraction of its full capacity that an endpoint has at the latest, by its age in seconds."""
    gained = (1 - settings.initial_capacity) * age / max(MIN_POSITIVE, settings.warm_up_time)
    return settings.initial_capacity + gained


def _observed_warm_fraction(planned_fraction: float, mean_slowdown: float) -> float:
    """Return the fraction of its full capacity that an endpoint has by its responses, if above the plan.

    Load and queues slow responses too, so that the latency never shows an endpoint as too warm.
    """
    shown = MAX_WARM_SLOWDOWN / max(MAX_WARM_SLOWDOWN, mean_slowdown)
    return max(planned_fraction, min(1.0, MAX_SPEED_UP * planned_fraction, shown))
