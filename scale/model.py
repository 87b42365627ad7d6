"""Sizes, budgets and results that all scale tests share."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import Enum


class Origin(Enum):
    """Where a figure comes from."""

    MEASURED = "measured"
    DERIVED = "derived"  # from measured slopes and the size
    ASSUMED = "assumed"


@dataclass(frozen=True, slots=True)
class Size:
    """A fleet and its load; the defaults are the size in two years."""

    limiters: int = 420
    servers: int = 3400
    services: int = 74
    routes: int = 6800
    tenants: int = 15_000
    rate: float = 36_000.0  # requests a second of the whole fleet at the peak
    regions: int = 2
    zones: int = 5
    config_changes: int = 340  # a day
    spread: int = 3  # limiters that serve one tenant


@dataclass(frozen=True, slots=True)
class Budget:
    """What the operators allow; per limiter unless said."""

    added_p99: float = 0.0031  # seconds added to a request for 99 in 100
    control_cpu: float = 0.02  # of a core, for control
    control_memory: float = 128e6  # bytes, for control
    control_bytes: float = 3000.0  # a second, for control
    config_in_force: float = 4.0  # seconds until a change of configuration is in force everywhere
    list_in_force: float = 6.0  # seconds until a change of the list counts as told everywhere
    counter_calls: float = 930.0  # calls a second that the counter bears at least, all limiters together


@dataclass(frozen=True, slots=True)
class Slope:
    """How a cost grows with one thing, as a straight line through the medians of several runs."""

    name: str
    unit: str  # of the cost
    by: str  # what it grows with: "servers", "tenants", ...
    points: tuple[tuple[float, tuple[float, ...]], ...]  # size, and the cost in each run
    slope: float
    intercept: float
    residual: float  # largest distance of a median from the line, as a share of the largest median


@dataclass(frozen=True, slots=True)
class Figure:
    """One number of the summary; a budget makes it a check: above it the run fails."""

    name: str
    unit: str
    value: float
    origin: Origin
    how: str  # one line: the slope, run or assumption it rests on
    budget: float | None = None

    @property
    def passed(self) -> bool:
        """Whether the value is within the budget, if there is one."""
        return self.budget is None or self.value <= self.budget


@dataclass(slots=True)
class Result:
    """What one test found."""

    slopes: list[Slope] = field(default_factory=list)
    figures: list[Figure] = field(default_factory=list)
    notes: list[str] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Effort:
    """How much work a run may be."""

    runs: int = 5  # of each point
    seed: int = 1
    processes: int = 4
    quick: bool = False  # smaller points, for a look and the tests: no figures of the size


class BrokenRunError(Exception):
    """A stand-in or worker died, or a rule broke: no figure of this run counts."""


@dataclass(frozen=True, slots=True)
class ScaleTest:
    """One test by name; ``run`` raises ``BrokenRunError`` with its cause."""

    name: str
    about: str
    run: Callable[[Size, Budget, Effort], Result]
    # Bytes held at once by the size option that asks for them ("servers", ...); None: a rough guess is taken.
    memory: Callable[[Size, Effort], Mapping[str, float]] | None = None
