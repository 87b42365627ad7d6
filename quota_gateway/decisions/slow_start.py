"""Slow start: how much work an endpoint that is warming up may receive."""

from dataclasses import dataclass

from quota_gateway.arithmetic import moving_average
from quota_gateway.decisions.context import Context
from quota_gateway.model import Settings
from quota_gateway.model.settings import MIN_POSITIVE
from quota_gateway.state import EndpointState

SAFE_LOAD_FRACTION = 0.45  # allowed load as a fraction of the load at which a warming endpoint fails
MIN_RESPONSES = 10  # responses needed before their slowdown shows how warm an endpoint is
MAX_WARM_SLOWDOWN = 0.9  # highest mean slowdown of a warm endpoint
# Fast responses raise the warm fraction to at most this multiple of the fraction planned by the settings.
MAX_SPEED_UP = 2
# An allowance saves up at most this fraction of the work that it gains in one overload window.
ALLOWANCE_FRACTION = 0.5
COMPLETION_RATE_WEIGHT = 0.3  # weight of the newest interval in the completion rate


@dataclass(slots=True, eq=False)
class SlowStart:
    """Gives endpoints that are warming up an allowance: a fraction of what a warm one completes."""

    context: Context
    completion_rate: float = 0.0  # work that a warm endpoint completes per second

    def close_interval(self, subset: list[EndpointState], elapsed: float) -> None:
        """Update the completion rate; must run before the endpoints close their intervals."""
        # The rate counts completed instead of forwarded work, since overloaded endpoints do not complete all
        # work. Endpoints that are warming up are left out: they would lower their own allowance.
        rates = [state.work_completed / elapsed for state in subset if state.warming_since is None]
        if rates:
            mean_rate = sum(rates) / len(rates)
            self.completion_rate = moving_average(self.completion_rate, mean_rate, COMPLETION_RATE_WEIGHT)

    def take_over(self, completion_rate: float) -> None:
        """Take over the completion rate of another process of this limiter; 0 means unknown."""
        self.completion_rate = completion_rate or self.completion_rate

    def admits(self, now: float, state: EndpointState, work: float) -> bool:
        """Whether a request may go to the endpoint; also ends a slow start whose time is over."""
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
        # With hundreds of gateways the allowance of one gateway is less than the work of one request. The
        # random factor then admits a request with the probability allowance / work.
        return state.allowance.work > work * self.context.rng.random()


def _planned_warm_fraction(settings: Settings, age: float) -> float:
    """Return the fraction of full capacity that the settings state for an endpoint of this age in seconds."""
    gained = (1 - settings.initial_capacity) * age / max(MIN_POSITIVE, settings.warm_up_time)
    return settings.initial_capacity + gained


def _observed_warm_fraction(planned_fraction: float, mean_slowdown: float) -> float:
    """Return the fraction of full capacity that the responses show, but at least the planned fraction.

    Load and queues slow responses too, so the latency never makes an endpoint appear warmer than it is.
    """
    observed_fraction = MAX_WARM_SLOWDOWN / max(MAX_WARM_SLOWDOWN, mean_slowdown)
    return max(planned_fraction, min(1.0, MAX_SPEED_UP * planned_fraction, observed_fraction))
