"""A job that counts the counter calls of a limiter, in virtual time; the counter is never overloaded."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from scale.model import Size
from scale.simulated_limiter import SimulatedLimiter
from scale.synthetic_inputs import LoadMix


@dataclass(frozen=True, slots=True)
class CounterDemand:
    """Counter calls and client requests a second, of one limiter."""

    first_calls: float  # counter calls soon after the start
    calls: float  # counter calls after the warm-up
    requests: float  # client requests after the warm-up


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
    """Measure one limiter in the second half of ``load`` after its start, and for ``load`` after the warm-up.

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
