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

# Units a second before they are scaled to the fleet's rate. These quotas and the fraction of tenants on the
# volume plan give 54% and 46% of the usage to the plans.
_BASIC_RATE = 7.35
_VOLUME_RATE = 49.0
_BASIC_BURST_SECONDS = 4.45  # of the quota, which the bucket holds
_VOLUME_BURST_SECONDS = 1.95
_CEILING_MULTIPLE = 2.1  # of the volume plan's rate and burst
_OVER_QUOTA_LOAD = (1.1, 4.9)  # demand divided by the quota, before the exponent
_OVER_QUOTA_EXPONENT = 0.8
_NEAR_QUOTA_LOAD = (0.85, 1.0)
_MAX_BELOW_QUOTA_LOAD = 0.75
_MIN_LOAD = 1e-4
_PARETO_SHAPE = 0.9  # of the demand below the quota
_PARETO_SCALE = 0.05
_BISECTION_STEPS = 50
_MAX_SCALE = 1000.0  # of the demand below the quota


@dataclass(frozen=True, slots=True)
class PlanTerms:
    """A plan: rates in units a second, bursts in units; 0 means no ceiling."""

    name: str
    rate: float
    burst: float
    price: int  # in tenths, because sums of integers do not depend on their order
    over_quota_cost: float
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0


@dataclass(frozen=True, slots=True)
class Tenant:
    """One customer with its plan and demand."""

    index: int
    plan: int  # index of the population's plans
    first_limiter: int  # of its set, which continues with the next ones
    rate: float  # first requests a second
    bursty: bool
    account: str


class Population:
    """All tenants and their plans, and the work of their usage within the quotas."""

    def __init__(self, size: Size, rng: Random) -> None:
        """Draw the tenants of a fleet."""
        on_volume = [rng.random() < VOLUME_PLAN_FRACTION for _ in range(size.tenants)]
        offered_units = size.rate * MEAN_UNITS
        self.plans = _scaled_plans(offered_units, on_volume)
        quotas = [self.plans[volume].rate for volume in on_volume]
        loads = _Loads(rng, quotas)
        loads.scale_to(offered_units)
        self._within_quota = loads.within_quota() / MEAN_UNITS  # requests a second
        self.tenants = [
            Tenant(
                index=index,
                plan=int(on_volume[index]),
                first_limiter=rng.randrange(size.limiters),
                rate=quotas[index] * loads.relative[index] / MEAN_UNITS,
                bursty=loads.draw_bursty(index, rng),
                account=f"{rng.getrandbits(33):016x}",
            )
            for index in range(size.tenants)
        ]

    def work_scale(self, endpoints: int) -> float:
        """Return the factor on the work of a request that gives the target utilization."""
        mean_work = sum(kind.fraction * kind.work for kind in REQUEST_KINDS)
        return TARGET_UTILIZATION * endpoints * ENDPOINT_CORES / (self._within_quota * mean_work)


def _scaled_plans(offered_units: float, on_volume: list[bool]) -> tuple[PlanTerms, PlanTerms]:
    """Return both plans; ``offered_units`` a second are ``QUOTA_UTILIZATION`` of the sum of all quotas."""
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
    """Each tenant's demand divided by its quota: some above 1, some near 1, the others below."""

    def __init__(self, rng: Random, quotas: list[float]) -> None:
        self._quotas = quotas
        self.relative = [0.0] * len(quotas)
        self._below = list[int]()
        for index in range(len(quotas)):
            draw = rng.random()
            if draw < OVER_QUOTA_FRACTION:
                self.relative[index] = rng.uniform(*_OVER_QUOTA_LOAD) ** _OVER_QUOTA_EXPONENT
            elif draw < OVER_QUOTA_FRACTION + NEAR_QUOTA_FRACTION:
                self.relative[index] = rng.uniform(*_NEAR_QUOTA_LOAD)
            else:
                self._below.append(index)
                self.relative[index] = rng.paretovariate(_PARETO_SHAPE) * _PARETO_SCALE
        self._below_set = set(self._below)

    def scale_to(self, offered_units: float) -> None:
        """Scale the demand below the quotas so that the total demand is ``offered_units`` a second."""
        quotas = self._quotas
        relative = self.relative
        total_demand = sum(quota * load for quota, load in zip(quotas, relative, strict=True))
        fixed = total_demand - sum(quotas[index] * relative[index] for index in self._below)
        low = 0.0
        high = _MAX_SCALE
        for _ in range(_BISECTION_STEPS):
            middle = (low + high) / 2
            total = fixed + sum(
                quotas[index] * min(_MAX_BELOW_QUOTA_LOAD, middle * relative[index]) for index in self._below
            )
            if total < offered_units:
                low = middle
            else:
                high = middle
        for index in self._below:
            relative[index] = max(_MIN_LOAD, min(_MAX_BELOW_QUOTA_LOAD, low * relative[index]))

    def within_quota(self) -> float:
        """Return the demand within the quotas in units a second."""
        return sum(quota * min(1.0, load) for quota, load in zip(self._quotas, self.relative, strict=True))

    def draw_bursty(self, index: int, rng: Random) -> bool:
        """Draw whether a tenant has bursts; only tenants below their quota do."""
        probability = BURSTY_FRACTION / (1 - OVER_QUOTA_FRACTION - NEAR_QUOTA_FRACTION)
        return index in self._below_set and rng.random() < probability
