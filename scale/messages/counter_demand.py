"""A job: counter calls of a limiter whose counter is never full, in virtual time."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from scale.model import Size
from scale.simulated_limiter import SimulatedLimiter
from scale.synthetic_inputs import LoadMix


@dataclass(frozen=True, slots=True)
class CounterDemand:
    """Calls and requests of one limiter a second."""

    first_calls: float  # soon after the start
    calls: float  # after the warm-up
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
    """Measure one limiter soon after its start and after the warm-up.

    ``near`` and ``over`` are the fractions of the tenants near and over their quota; ``warm_up`` and ``load``
    are virtual seconds. With ``full_spread`` all limiters serve each tenant.
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
