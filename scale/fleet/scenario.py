"""The inputs of one simulation run, and the constant data derived from them."""

from __future__ import annotations

from dataclasses import asdict, dataclass
from random import Random
from typing import Any

from scale.fleet.faults import Faults, FaultSchedule
from scale.fleet.parameters import COUNTER_CALLS_PER_SECOND, COUNTER_PARTITIONS
from scale.fleet.tenants import Population
from scale.fleet.topology import Topology
from scale.model import Size

REGIONS = 2  # the counter and discovery are in one of the regions
MIN_ZONES = 2


@dataclass(frozen=True, slots=True)
class Scenario:
    """All inputs of a run."""

    size: Size
    schedule: FaultSchedule
    seed: int = 1
    counter_capacity: float = COUNTER_CALLS_PER_SECOND  # calls a second, of all partitions together
    counter_partitions: int = COUNTER_PARTITIONS
    fleets_sharing_counter: int = 1  # number of fleets of this size that share the counter
    package: str = ""  # path of the checkout whose decisions are simulated; empty: this checkout
    # Calls a second that discovery serves. 0: no limiter calls it; it notifies an agent of each limiter.
    discovery_capacity: float = 0.0
    progress: bool = False  # print a line to standard error every 10 virtual seconds

    def as_json(self) -> dict[str, Any]:
        """Return the inputs under their names in a run's JSON file."""
        schedule = self.schedule
        return {
            "size": asdict(self.size),
            "timetable": {
                "seconds": schedule.end,
                "calm": schedule.fault_free_from,
                "zone_lost": schedule.zone_outage,
                "restart": schedule.restart_at,
                "cut": schedule.partition,
                "restarted": schedule.restarted_fraction,
                "lost_zone": schedule.failed_zone,
                "silences": schedule.counter_outages,
                "slow": schedule.counter_slowdowns,
            },
            "seed": self.seed,
            "calls": self.counter_capacity,
            "parts": self.counter_partitions,
            "crowd": self.fleets_sharing_counter,
            "package": self.package,
            "lists": self.discovery_capacity,
            "progress": self.progress,
        }


class World:
    """All constant data of a run, derived from the scenario; each worker derives an equal copy."""

    def __init__(self, scenario: Scenario) -> None:
        """Draw faults and tenants from the seed. Raise ``ValueError`` if the size is out of range."""
        size = scenario.size
        if not 1 <= size.spread <= size.limiters or size.zones < MIN_ZONES or size.regions != REGIONS:
            raise ValueError(f"a fleet needs regions = 2, zones >= 2 and 1 <= spread <= limiters: {size}")
        self.scenario = scenario
        self.size = size
        self.seed = scenario.seed
        self.schedule = scenario.schedule
        rng = Random(f"{scenario.seed} world")
        self.topology = Topology(size.zones)
        self.faults = Faults(size, self.topology, scenario.schedule, rng)
        population = Population(size, rng)
        self.tenants = population.tenants
        self.plans = population.plans
        self.work_scale = population.work_scale(size.servers)
        self.cumulative_set_weights = _cumulative_set_weights(size.spread)


def _cumulative_set_weights(spread: int) -> list[float]:
    """Return the cumulative sums of the weights of a tenant's limiters, which are 1, 1/2, 1/3 and so on."""
    total = 0.0
    weights = list[float]()
    for position in range(1, spread + 1):
        total += 1.0 / position
        weights.append(total)
    return weights
