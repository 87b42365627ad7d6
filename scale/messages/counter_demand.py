"""Counter calls that a limiter wants, in virtual time; a job."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from scale.model import Size
from scale.simulated_limiter import SimulatedLimiter
from scale.synthetic_inputs import LoadMix


@dataclass(frozen=True, slots=True)
class CounterDemand:
    """Of one limiter, a second."""

    first_calls: float  # soon after the start
    calls: float  # later on
    requests: float


def measure_counter_demand(
    size: dict[str, Any],
    *,
    full_spread: bool,
    near: float,
    over: float,
    seed: int,
    warm_up: float,
    load: float,
) -> CounterDemand:
    """Calls and requests of one limiter whose counter answers all: at first, and after the warm-up.

    ``near`` and ``over`` are shares of the tenants near and over their quota; ``warm_up`` and ``load`` are
    emulated seconds. With ``full_spread`` all limiters serve each tenant.
    """
    limiter = SimulatedLimiter(Size(**size), full_spread=full_spread, seed=seed, mix=LoadMix(near, over))
    limiter.start()
    limiter.run(load / 2)
    limiter.reset_counts()
    limiter.run(load / 2)
    first_calls = limiter.counter_calls / (load / 2)
    limiter.run(warm_up)
    limiter.reset_counts()
    limiter.run(load)
    return CounterDemand(
        first_calls=first_calls, calls=limiter.counter_calls / load, requests=limiter.requests / load
    )
