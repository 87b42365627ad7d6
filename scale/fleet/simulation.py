"""One play of the fleet: the workers are started, and what they counted is brought together."""

from __future__ import annotations

import sys
import time
from dataclasses import dataclass
from pathlib import Path

from scale.fleet import lockstep
from scale.fleet.lockstep import Exchange
from scale.fleet.tally import Tally
from scale.fleet.world import Timetable, World
from scale.model import Size

CAPACITY, PARTS = 930.0, 1  # of the counter: the least that the operators state, in calls a second


@dataclass(frozen=True, slots=True)
class Play:
    """What a run is made of; ``package`` is the checkout whose decisions are played (empty: this one)."""

    size: Size
    timetable: Timetable
    seed: int = 1
    calls: float = CAPACITY
    parts: int = PARTS
    crowd: int = 1  # so many fleets like this one share the counter
    package: str = ""
    lists: float = 0.0  # calls a second that discovery serves; 0: it pushes to an agent beside each limiter
    progress: bool = False  # a line on standard error every 10 virtual seconds


@dataclass(slots=True)
class Played:
    tally: Tally
    real: float  # seconds the run took
    processes: int


def work(me: int, count: int, exchange: Exchange, play: Play) -> Tally:
    """The part of one worker; it runs in a process of its own, which has not met the decisions yet."""
    if play.package:
        if any(name.partition(".")[0] == "quota_gateway" for name in sys.modules):
            raise RuntimeError("the decisions are here already: another checkout's cannot be taken")
        sys.path.insert(0, play.package)
    import quota_gateway

    if play.package:
        found = Path(quota_gateway.__file__).resolve()
        if not found.is_relative_to(Path(play.package).resolve()):
            raise RuntimeError("the checkout given has no decisions")
        # Only the decisions come from there: the test itself is this one.
        import quota_gateway.decisions.gateway

        sys.path.remove(play.package)
    from scale.fleet.limiter import Worker

    world = World(play.size, play.timetable, play.seed, play.parts, play.calls, play.crowd, play.lists)
    return Worker(me, count, exchange, world, play.progress).run()


def run(play: Play, processes: int) -> Played:
    """``BrokenRunError`` where a worker fails or dies."""
    began = time.monotonic()
    parts = lockstep.run(work, processes, play)
    total = parts[0]
    for part in parts[1:]:
        total.add(part)
    return Played(total, time.monotonic() - began, processes)
