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
    """The combined tally of all workers, with the real duration and the number of processes."""

    tally: Tally
    elapsed: float  # real seconds
    processes: int


def simulate(scenario: Scenario, processes: int) -> SimulationResult:
    """Run a scenario in a number of processes. Raise ``RunFailedError`` if one fails or exits."""
    started_at = time.monotonic()
    tallies = run_workers(run_worker, processes, scenario)
    total: Tally = tallies[0]
    for tally in tallies[1:]:
        total.add(tally)
    return SimulationResult(total, time.monotonic() - started_at, processes)


def run_worker(index: int, count: int, exchange: Exchange, scenario: Scenario) -> Tally:
    """Run one worker in its own process, which must not have imported the decisions yet."""
    if scenario.package:
        _import_decisions_from(scenario.package)
    from scale.fleet.worker import Worker

    return Worker(index, count, exchange, World(scenario)).run()


def _import_decisions_from(checkout: str) -> None:
    """Import the decisions from another checkout; the simulation itself is still imported from this one."""
    if any(name.partition(".")[0] == "quota_gateway" for name in sys.modules):
        raise RuntimeError(
            f"cannot import quota_gateway from {checkout}: this process has already imported a copy"
        )
    sys.path.insert(0, checkout)
    import quota_gateway

    module_path = Path(quota_gateway.__file__).resolve()
    if not module_path.is_relative_to(Path(checkout).resolve()):
        raise RuntimeError(f"quota_gateway should be imported from {checkout}, but came from {module_path}")
    import quota_gateway.decisions.gateway

    sys.path.remove(checkout)
