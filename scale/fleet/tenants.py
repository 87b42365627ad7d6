"""The tenants of the fleet, drawn from the run's seed: plans and demand."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from scale.fleet.parameters import (
    BURSTY_FRACTION,
    ENDPOINT_CORES,
    MEAN_UNITS,
    NEAR_QUOTA_FRACTION,
    OVER_QUOTA_FRACTION,
    QUOTA_UTILIZATION,
    REQUEST_KINDS,
    TARGET_UTILIZATION,
    VOLUME_PLAN_FRACTION,
)
from scale.model import Size

# Quotas in units a second, before they are scaled to the fleet's rate. With ``VOLUME_PLAN_FRACTION``, 54% of
# the usage is on the basic plan and 46% on the volume plan.
_BASIC_RATE = 7.35
_VOLUME_RATE = 49.0
_BASIC_BURST_SECONDS = 4.45  # burst divided by the quota
_VOLUME_BURST_SECONDS = 1.95
_CEILING_MULTIPLE = 2.1  # ceiling of the volume plan divided by its rate and burst
_OVER_QUOTA_LOAD = (1.1, 4.9)  # range of the load (demand divided by the quota), before the exponent
_OVER_QUOTA_EXPONENT = 0.8
_NEAR_QUOTA_LOAD = (0.85, 1.0)
_MAX_BELOW_QUOTA_LOAD = 0.75
_MIN_LOAD = 1e-4
_PARETO_SHAPE = 0.9  # shape of the distribution of the loads below the quota
_PARETO_SCALE = 0.05
_BISECTION_STEPS = 50
_MAX_LOAD_SCALE = 1000.0  # upper bound of the factor on the loads below the quota


@dataclass(frozen=True, slots=True)
class PlanTerms:
    """A plan: rates in units a second, bursts in units; 0 means no ceiling."""

    name: str
    rate: float
    burst: float
    price: int  # tenths; an integer, so that sums of prices do not depend on their order
    over_quota_cost: float
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0


@dataclass(frozen=True, slots=True)
class Tenant:
    """One customer with its plan and demand."""

    index: int
    plan: int  # index into ``Population.plans``
    first_limiter: int  # first index of its set of limiters, which have consecutive indices
    rate: float  # requests a second, without retries
    bursty: bool
    account: str


class Population:
    """All tenants of a fleet with their plans, and the scale of their work."""

    def __init__(self, size: Size, rng: Random) -> None:
        """Draw the tenants of a fleet."""
        on_volume = [rng.random() < VOLUME_PLAN_FRACTION for _ in range(size.tenants)]
        offered_units = size.rate * MEAN_UNITS
        self.plans = _scaled_plans(offered_units, on_volume)
        quotas = [self.plans[volume].rate for volume in on_volume]
        loads = _Loads(rng, quotas)
        loads.scale_to(offered_units)
        self._requests_within_quota = loads.within_quota() / MEAN_UNITS  # requests a second
        self.tenants = [
            Tenant(
                index=index,
                plan=int(on_volume[index]),
                first_limiter=rng.randrange(size.limiters),
                rate=quotas[index] * loads.by_tenant[index] / MEAN_UNITS,
                bursty=loads.draw_bursty(index, rng),
                account=f"{rng.getrandbits(33):016x}",
            )
            for index in range(size.tenants)
        ]

    def work_scale(self, endpoints: int) -> float:
        """Return the factor on the work of a request that gives the target utilization."""
        mean_work = sum(kind.fraction * kind.work for kind in REQUEST_KINDS)
        return TARGET_UTILIZATION * endpoints * ENDPOINT_CORES / (self._requests_within_quota * mean_work)


def _scaled_plans(offered_units: float, on_volume: list[bool]) -> tuple[PlanTerms, PlanTerms]:
    """Return both plans, scaled to quotas whose sum is ``offered_units`` divided by ``QUOTA_UTILIZATION``."""
    unscaled = sum(_VOLUME_RATE if volume else _BASIC_RATE for volume in on_volume)
    scale = offered_units / (QUOTA_UTILIZATION * unscaled)
    basic = PlanTerms(
        "basic",
        rate=_BASIC_RATE * scale,
        burst=_BASIC_RATE * scale * _BASIC_BURST_SECONDS,
        price=13,
        over_quota_cost=0.5,
    )
    volume = PlanTerms(
        "volume",
        rate=_VOLUME_RATE * scale,
        burst=_VOLUME_RATE * scale * _VOLUME_BURST_SECONDS,
        price=18,
        over_quota_cost=1.0,
        ceiling_rate=_VOLUME_RATE * scale * _CEILING_MULTIPLE,
        ceiling_burst=_VOLUME_RATE * scale * _VOLUME_BURST_SECONDS * _CEILING_MULTIPLE,
    )
    return basic, volume


class _Loads:
    """The load of each tenant, which is its demand divided by its quota: above 1, near 1 or below."""

    def __init__(self, rng: Random, quotas: list[float]) -> None:
        self._quotas = quotas
        self.by_tenant = [0.0] * len(quotas)
        self._below_quota = list[int]()
        for index in range(len(quotas)):
            draw = rng.random()
            if draw < OVER_QUOTA_FRACTION:
                self.by_tenant[index] = rng.uniform(*_OVER_QUOTA_LOAD) ** _OVER_QUOTA_EXPONENT
            elif draw < OVER_QUOTA_FRACTION + NEAR_QUOTA_FRACTION:
                self.by_tenant[index] = rng.uniform(*_NEAR_QUOTA_LOAD)
            else:
                self._below_quota.append(index)
                self.by_tenant[index] = rng.paretovariate(_PARETO_SHAPE) * _PARETO_SCALE
        self._below_quota_set = set(self._below_quota)

    def scale_to(self, offered_units: float) -> None:
        """Scale the loads below the quota so that the total demand is ``offered_units`` a second."""
        quotas = self._quotas
        by_tenant = self.by_tenant
        total_demand = sum(quota * load for quota, load in zip(quotas, by_tenant, strict=True))
        fixed_demand = total_demand - sum(quotas[index] * by_tenant[index] for index in self._below_quota)
        low = 0.0
        high = _MAX_LOAD_SCALE
        for _ in range(_BISECTION_STEPS):
            middle = (low + high) / 2
            total = fixed_demand + sum(
                quotas[index] * min(_MAX_BELOW_QUOTA_LOAD, middle * by_tenant[index])
                for index in self._below_quota
            )
            if total < offered_units:
                low = middle
            else:
                high = middle
        for index in self._below_quota:
            by_tenant[index] = max(_MIN_LOAD, min(_MAX_BELOW_QUOTA_LOAD, low * by_tenant[index]))

    def within_quota(self) -> float:
        """Return the demand within the quotas in units a second."""
        return sum(quota * min(1.0, load) for quota, load in zip(self._quotas, self.by_tenant, strict=True))

    def draw_bursty(self, index: int, rng: Random) -> bool:
        """Draw whether a tenant has bursts; only tenants below their quota do."""
        probability = BURSTY_FRACTION / (1 - OVER_QUOTA_FRACTION - NEAR_QUOTA_FRACTION)
        return index in self._below_quota_set and rng.random() < probability
