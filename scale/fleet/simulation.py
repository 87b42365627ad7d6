"""One run of a scenario: the workers are started, and what they counted is brought together."""

from __future__ import annotations

import sys
import time
from dataclasses import dataclass
from pathlib import Path

from scale.fleet.lockstep import Exchange, run_workers
from scale.fleet.scenario import Scenario, World
from scale.fleet.tally import Tally


@dataclass(slots=True)
class SimulationResult:
    """What all workers counted."""

    tally: Tally
    elapsed: float  # real seconds that the run took
    processes: int


def simulate(scenario: Scenario, processes: int) -> SimulationResult:
    """Run a scenario in so many processes; ``BrokenRunError`` where one of them fails or dies."""
    began = time.monotonic()
    tallies = run_workers(run_worker, processes, scenario)
    total: Tally = tallies[0]
    for tally in tallies[1:]:
        total.add(tally)
    return SimulationResult(total, time.monotonic() - began, processes)


def run_worker(index: int, count: int, exchange: Exchange, scenario: Scenario) -> Tally:
    """The part of one worker; it runs in a process of its own, which has not imported the decisions yet."""
    if scenario.package:
        _import_decisions_from(scenario.package)
    from scale.fleet.worker import Worker

    return Worker(index, count, exchange, World(scenario)).run()


def _import_decisions_from(checkout: str) -> None:
    """Import the decisions, and only these, from another checkout: the simulation itself is this one."""
    if any(name.partition(".")[0] == "quota_gateway" for name in sys.modules):
        raise RuntimeError("the decisions are here already: another checkout's cannot be taken")
    sys.path.insert(0, checkout)
    import quota_gateway

    found = Path(quota_gateway.__file__).resolve()
    if not found.is_relative_to(Path(checkout).resolve()):
        raise RuntimeError("the checkout given has no decisions")
    import quota_gateway.decisions.gateway

    sys.path.remove(checkout)
