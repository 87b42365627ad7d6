"""One run of a scenario: starts the workers and adds up their tallies."""

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
    """The tally of all workers."""

    tally: Tally
    elapsed: float  # real seconds that the run took
    processes: int


def simulate(scenario: Scenario, processes: int) -> SimulationResult:
    """Run a scenario in a number of processes. Raise ``BrokenRunError`` if one fails or exits."""
    started_at = time.monotonic()
    tallies = run_workers(run_worker, processes, scenario)
    total: Tally = tallies[0]
    for tally in tallies[1:]:
        total.add(tally)
    return SimulationResult(total, time.monotonic() - started_at, processes)


def run_worker(index: int, count: int, exchange: Exchange, scenario: Scenario) -> Tally:
    """Run one worker, in a process of its own that has not imported the decisions yet."""
    if scenario.package:
        _import_decisions_from(scenario.package)
    from scale.fleet.worker import Worker

    return Worker(index, count, exchange, World(scenario)).run()


def _import_decisions_from(checkout: str) -> None:
    """Import the decisions from another checkout; the simulation stays the one of this checkout."""
    if any(name.partition(".")[0] == "quota_gateway" for name in sys.modules):
        raise RuntimeError(f"quota_gateway is imported already: it cannot be imported from {checkout}")
    sys.path.insert(0, checkout)
    import quota_gateway

    found = Path(quota_gateway.__file__).resolve()
    if not found.is_relative_to(Path(checkout).resolve()):
        raise RuntimeError(f"quota_gateway is not in {checkout}, but in {found}")
    import quota_gateway.decisions.gateway

    sys.path.remove(checkout)
