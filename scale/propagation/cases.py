"""The groups of discovery clients, and the faults of their discovery."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

from scale.model import Effort, Size

OUTAGE_SECONDS = 12.0
QUICK_OUTAGE_SECONDS = 1.0
OUTAGE_BEFORE_MOVE_SECONDS = 6.0
SLOW_WRITE_SECONDS = 2.0  # time that a slow discovery takes to write one line of a watch


class Fault(Enum):
    """The state of discovery before the measured time starts."""

    NONE = auto()  # discovery works, and the watches are open
    START = auto()  # the limiters have just started
    REFUSED = auto()  # connections are reset and refused
    UNRESPONSIVE = auto()  # connections stay open but receive no data
    HALF_OPEN = auto()  # calls get no response from the start, although connections are accepted
    MOVED = auto()  # as REFUSED; the clients then get the address of another discovery


@dataclass(frozen=True, slots=True)
class Case:
    """One group of discovery clients, and the fault of their discovery."""

    name: str
    limiters: int
    fault: Fault
    # True: all limiters call one discovery. False: an agent on the machine of a limiter notifies the limiter.
    shared: bool = True
    capacity: float = 0.0  # calls a second that discovery serves after the outage; 0: unlimited
    write_seconds: float = 0.0  # time that discovery takes to write one line of a watch
    outage: float = OUTAGE_SECONDS  # seconds

    @property
    def min_serving_time(self) -> float:
        """The seconds that discovery needs to serve each limiter once."""
        return self.limiters / self.capacity if self.capacity else 0.0


@dataclass(frozen=True, slots=True)
class _Extent:
    """The sizes of the groups, and the outages, of a full or a quick run."""

    sizes: list[int]  # numbers of limiters in a group, ascending
    few_sizes: list[int]  # the same, for the cases with fewer groups
    capacities: list[float]  # calls a second that an overloaded discovery serves
    outage: float  # seconds
    outage_before_move: float  # seconds


def _extent(size: Size, effort: Effort) -> _Extent:
    if effort.quick:
        return _Extent([3, 12], [12], [30.0], QUICK_OUTAGE_SECONDS, QUICK_OUTAGE_SECONDS)
    sizes = sorted({3, 30, 100, 200, size.limiters})
    few_sizes = sorted({30, size.limiters})
    return _Extent(sizes, few_sizes, [8.0, 30.0, 100.0], OUTAGE_SECONDS, OUTAGE_BEFORE_MOVE_SECONDS)


def make_cases(size: Size, effort: Effort) -> list[Case]:
    """Return the groups of discovery clients."""
    extent = _extent(size, effort)
    few = extent.few_sizes
    cases = [Case("pushed", number, Fault.NONE, shared=False) for number in extent.sizes]
    cases += [Case("asked, watches stand", number, Fault.NONE) for number in few]
    cases += [Case("asked at a start", number, Fault.START) for number in few]
    if not effort.quick:
        cases += [
            Case("slow at a start", number, Fault.START, write_seconds=SLOW_WRITE_SECONDS) for number in few
        ]
    return cases + _outages(extent, with_half_open=not effort.quick)


def _outages(extent: _Extent, *, with_half_open: bool) -> list[Case]:
    few = extent.few_sizes
    outage = extent.outage
    cases = [Case("refused, then back", number, Fault.REFUSED, outage=outage) for number in extent.sizes]
    cases += [
        Case("refused, then back, pushed", number, Fault.REFUSED, shared=False, outage=outage)
        for number in few
    ]
    cases += [Case("silent, then back", number, Fault.UNRESPONSIVE, outage=outage) for number in few]
    if with_half_open:
        cases += [Case("half-open, then back", number, Fault.HALF_OPEN, outage=outage) for number in few]
    cases += [
        Case(f"overbooked at {capacity:g} calls/s", number, Fault.REFUSED, capacity=capacity, outage=outage)
        for capacity in extent.capacities
        for number in sorted({*few, extent.sizes[-2]})
    ]
    outage_before_move = extent.outage_before_move
    return cases + [
        Case("moved in a row of failures", number, Fault.MOVED, outage=outage_before_move) for number in few
    ]
