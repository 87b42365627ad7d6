"""The groups of hollow limiters, and the faults of their discovery."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

from scale.model import Effort, Size

OUTAGE = 12.0  # seconds for which discovery cannot be reached
QUICK_OUTAGE = 1.0
FAILURES_BEFORE_MOVE = 6.0  # seconds
SLOW_WRITE = 2.0  # seconds in which a slow discovery writes a line


class Fault(Enum):
    """What happens before the moment from which the time counts."""

    NONE = auto()  # the watches are open
    START = auto()  # nobody has called yet
    REFUSED = auto()  # connections are reset and refused
    SILENT = auto()  # connections are open and nothing comes
    HALF_OPEN = auto()  # from the start: calls are accepted and never answered
    MOVED = auto()  # refused for a while, and then the file names another discovery


@dataclass(frozen=True, slots=True)
class Case:
    """One group of hollow limiters and what happens to their discovery."""

    name: str
    limiters: int
    fault: Fault
    shared: bool = True  # one discovery serves all; else an agent on the limiter's machine pushes
    capacity: float = 0.0  # calls a second once it is back; 0: any number
    write_seconds: float = 0.0  # in which it writes a line
    outage: float = OUTAGE  # seconds

    @property
    def min_serving_time(self) -> float:
        """Seconds that discovery needs at least to serve each limiter once."""
        return self.limiters / self.capacity if self.capacity else 0.0


@dataclass(frozen=True, slots=True)
class _Scope:
    """How much is played."""

    sizes: list[int]  # limiters of a group, ascending
    few_sizes: list[int]  # where fewer groups will do
    capacities: list[float]  # calls a second of an overbooked discovery
    outage: float  # seconds
    failures_before_move: float  # seconds


def _scope(size: Size, effort: Effort) -> _Scope:
    if effort.quick:
        return _Scope([3, 12], [12], [30.0], QUICK_OUTAGE, QUICK_OUTAGE)
    sizes = sorted({3, 30, 100, 200, size.limiters})
    few_sizes = sorted({30, size.limiters})
    return _Scope(sizes, few_sizes, [8.0, 30.0, 100.0], OUTAGE, FAILURES_BEFORE_MOVE)


def make_cases(size: Size, effort: Effort) -> list[Case]:
    """The groups of hollow limiters."""
    scope = _scope(size, effort)
    few = scope.few_sizes
    cases = [Case("pushed", number, Fault.NONE, shared=False) for number in scope.sizes]
    cases += [Case("asked, watches stand", number, Fault.NONE) for number in few]
    cases += [Case("asked at a start", number, Fault.START) for number in few]
    if not effort.quick:
        cases += [Case("slow at a start", number, Fault.START, write_seconds=SLOW_WRITE) for number in few]
    return cases + _outages(scope, with_half_open=not effort.quick)


def _outages(scope: _Scope, with_half_open: bool) -> list[Case]:
    few = scope.few_sizes
    outage = scope.outage
    cases = [Case("refused, then back", number, Fault.REFUSED, outage=outage) for number in scope.sizes]
    cases += [
        Case("refused, then back, pushed", number, Fault.REFUSED, shared=False, outage=outage)
        for number in few
    ]
    cases += [Case("silent, then back", number, Fault.SILENT, outage=outage) for number in few]
    if with_half_open:
        cases += [Case("half-open, then back", number, Fault.HALF_OPEN, outage=outage) for number in few]
    cases += [
        Case(f"overbooked at {capacity:g} calls/s", number, Fault.REFUSED, capacity=capacity, outage=outage)
        for capacity in scope.capacities
        for number in sorted({*few, scope.sizes[-2]})
    ]
    before_move = scope.failures_before_move
    return cases + [
        Case("moved in a row of failures", number, Fault.MOVED, outage=before_move) for number in few
    ]
