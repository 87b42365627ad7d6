"""The tenants of the test: plans, quotas and times of their requests."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from typing import Any

from scale.limiter_settings import make_settings
from scale.model import Size

NEAR_FRACTION = 0.2  # fraction of the tenants with a demand near their quota
OVER_FRACTION = 0.1  # fraction of the tenants with a demand over their quota
# Demand of a tenant divided by its quota, by the name of its plan.
DEMAND = {"far": 0.1, "near": 0.92, "over": 1.5}
BURST_SECONDS = 2.0  # time in which the quota fills the token bucket
CLIENT_TIMEOUT_SECONDS = 2.0
MIN_TENANTS = 10


@dataclass(frozen=True, slots=True)
class Arrival:
    """A scheduled request."""

    at: float  # seconds after the start of the run
    tenant: int


def tenants_per_limiter(size: Size) -> int:
    """Return the number of tenants that a limiter serves."""
    return max(MIN_TENANTS, round(size.tenants * size.spread / size.limiters))


def plan_of(tenant: int, tenants: int) -> str:
    """Return the name of a tenant's plan, which depends on its number among the limiter's tenants."""
    position = tenant / tenants
    if position < OVER_FRACTION:
        return "over"
    return "near" if position < OVER_FRACTION + NEAR_FRACTION else "far"


def limiter_settings(size: Size, rate: float, *, quotas: bool) -> dict[str, Any]:
    """Return the settings of a limiter in a fleet of the size, by their names on the wire.

    The limiter's tenants together send ``rate`` requests a second. Without ``quotas`` the plans have no
    quota, so the limiter does not call the counter.
    """
    # Requests a second that a tenant sends to all of its limiters together.
    demand = rate / tenants_per_limiter(size) * size.spread
    tariffs = [
        {
            "name": name,
            "quota_rate": demand / utilization * quotas,
            "store_size": BURST_SECONDS * demand / utilization * quotas,
        }
        for name, utilization in DEMAND.items()
    ]
    specifics = {"has_counter": True, "count_wait_s": 0.05, "max_units": 1.0}
    return make_settings(size, tariffs) | {"specifics": specifics}


def poisson_schedule(rng: Random, rate: float, seconds: float, tenants: int) -> list[Arrival]:
    """Draw the arrivals of a Poisson process with ``rate`` requests a second."""
    arrivals = list[Arrival]()
    at = rng.expovariate(rate)
    while at < seconds:
        arrivals.append(Arrival(at, rng.randrange(tenants)))
        at += rng.expovariate(rate)
    return arrivals
