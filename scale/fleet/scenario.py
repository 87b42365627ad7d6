"""What one run of the fleet is made of, and the world that follows from it."""

from __future__ import annotations

from dataclasses import asdict, dataclass
from random import Random
from typing import Any

from scale.fleet.faults import Faults, FaultSchedule
from scale.fleet.parameters import COUNTER_CAPACITY, COUNTER_PARTITIONS
from scale.fleet.tenants import Population
from scale.fleet.topology import Topology
from scale.model import Size


@dataclass(frozen=True, slots=True)
class Scenario:
    """All inputs of a run."""

    size: Size
    schedule: FaultSchedule
    seed: int = 1
    counter_capacity: float = COUNTER_CAPACITY  # calls a second of all partitions
    counter_partitions: int = COUNTER_PARTITIONS
    like_fleets: int = 1  # so many fleets like this one share the counter
    package: str = ""  # the checkout whose decisions are simulated; empty: this one
    # Calls a second that discovery serves; 0: it pushes to an agent beside each limiter.
    discovery_capacity: float = 0.0
    progress: bool = False  # a line on standard error every 10 virtual seconds

    def as_json(self) -> dict[str, Any]:
        """The inputs under the names that a run's JSON file has for them."""
        schedule = self.schedule
        return {
            "size": asdict(self.size),
            "timetable": {
                "seconds": schedule.end,
                "calm": schedule.calm_from,
                "zone_lost": schedule.zone_outage,
                "restart": schedule.restart_at,
                "cut": schedule.partition,
                "restarted": schedule.restarted_share,
                "lost_zone": schedule.lost_zone,
                "silences": schedule.counter_outages,
                "slow": schedule.counter_slowdowns,
            },
            "seed": self.seed,
            "calls": self.counter_capacity,
            "parts": self.counter_partitions,
            "crowd": self.like_fleets,
            "package": self.package,
            "lists": self.discovery_capacity,
            "progress": self.progress,
        }


class World:
    """All that follows from a scenario and never changes; the same in every worker."""

    def __init__(self, scenario: Scenario) -> None:
        """Draw all from the seed; ``ValueError`` for a size that cannot be built."""
        size = scenario.size
        if not 1 <= size.spread <= size.limiters or size.zones < 2 or size.regions != 2:
            raise ValueError("a set needs 1 to all limiters, the world two zones or more and two regions")
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
    """Use is uneven in a set: its second limiter sees half of what the first one does, the third a third."""
    total = 0.0
    weights = list[float]()
    for rank in range(spread):
        total += 1.0 / (rank + 1)
        weights.append(total)
    return weights
