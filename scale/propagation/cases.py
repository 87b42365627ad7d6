"""The groups of discovery clients, and the faults of their discovery."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

from scale.model import Effort, Size

OUTAGE_SECONDS = 12.0
QUICK_OUTAGE_SECONDS = 1.0
OUTAGE_BEFORE_MOVE_SECONDS = 6.0
SLOW_WRITE_SECONDS = 2.0  # for a line


class Fault(Enum):
    """The fault before the moment at which the measured time starts."""

    NONE = auto()  # the watches are open
    START = auto()  # the limiters have just started
    REFUSED = auto()  # connections are reset and refused
    UNRESPONSIVE = auto()  # connections are open and get no data
    HALF_OPEN = auto()  # from the start: calls are accepted and get no response
    MOVED = auto()  # refused for a time, then the file has the address of another discovery


@dataclass(frozen=True, slots=True)
class Case:
    """One group of discovery clients, and the fault of their discovery."""

    name: str
    limiters: int
    fault: Fault
    shared: bool = True  # one discovery serves all; otherwise an agent on the limiter's machine notifies it
    capacity: float = 0.0  # calls a second after the outage; 0: any number
    write_seconds: float = 0.0  # for a line
    outage: float = OUTAGE_SECONDS  # seconds

    @property
    def min_serving_time(self) -> float:
        """The seconds that discovery needs to serve each limiter once."""
        return self.limiters / self.capacity if self.capacity else 0.0


@dataclass(frozen=True, slots=True)
class _Scope:
    """The extent of the test."""

    sizes: list[int]  # limiters of a group, ascending
    few_sizes: list[int]  # for cases with fewer groups
    capacities: list[float]  # calls a second of an overloaded discovery
    outage: float  # seconds
    failures_before_move: float  # seconds


def _scope(size: Size, effort: Effort) -> _Scope:
    if effort.quick:
        return _Scope([3, 12], [12], [30.0], QUICK_OUTAGE_SECONDS, QUICK_OUTAGE_SECONDS)
    sizes = sorted({3, 30, 100, 200, size.limiters})
    few_sizes = sorted({30, size.limiters})
    return _Scope(sizes, few_sizes, [8.0, 30.0, 100.0], OUTAGE_SECONDS, OUTAGE_BEFORE_MOVE_SECONDS)


def make_cases(size: Size, effort: Effort) -> list[Case]:
    """Return the groups of discovery clients."""
    scope = _scope(size, effort)
    few = scope.few_sizes
    cases = [Case("pushed", number, Fault.NONE, shared=False) for number in scope.sizes]
    cases += [Case("asked, watches stand", number, Fault.NONE) for number in few]
    cases += [Case("asked at a start", number, Fault.START) for number in few]
    if not effort.quick:
        cases += [
            Case("slow at a start", number, Fault.START, write_seconds=SLOW_WRITE_SECONDS) for number in few
        ]
    return cases + _outages(scope, with_half_open=not effort.quick)


def _outages(scope: _Scope, *, with_half_open: bool) -> list[Case]:
    few = scope.few_sizes
    outage = scope.outage
    cases = [Case("refused, then back", number, Fault.REFUSED, outage=outage) for number in scope.sizes]
    cases += [
        Case("refused, then back, pushed", number, Fault.REFUSED, shared=False, outage=outage)
        for number in few
    ]
    cases += [Case("silent, then back", number, Fault.UNRESPONSIVE, outage=outage) for number in few]
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
