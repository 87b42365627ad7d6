"""Sizes, budgets and results of the scale tests."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum


class Origin(Enum):
    """How a figure was obtained."""

    MEASURED = "measured"
    DERIVED = "derived"  # calculated from slopes and the size
    ASSUMED = "assumed"


@dataclass(frozen=True, slots=True)
class Size:
    """A fleet and its load; the defaults are the expected size in two years."""

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
    """The operators' limits; they apply to one limiter unless stated otherwise."""

    added_p99: float = 0.0031  # seconds added to a request, 99th percentile
    control_cpu: float = 0.02  # fraction of a core for control, which is all work other than requests
    control_memory: float = 128e6  # bytes for control
    control_bytes: float = 3000.0  # bytes a second for control
    config_in_force: float = 4.0  # seconds until a change of the configuration is in force at all limiters
    list_in_force: float = 6.0  # seconds until all limiters are notified of a change of the list
    counter_calls: float = 930.0  # calls a second that the counter guarantees to all limiters together


@dataclass(frozen=True, slots=True)
class Slope:
    """A cost as a linear function of a count, fitted to the medians of several runs."""

    name: str
    unit: str  # unit of the cost
    by: str  # the count: "servers", "tenants", ...
    points: tuple[tuple[float, tuple[float, ...]], ...]  # the count, and the cost in each run
    slope: float
    intercept: float
    residual: float  # largest distance of a median from the line, as a fraction of the largest median


@dataclass(frozen=True, slots=True)
class Figure:
    """One number of the summary. A figure with a budget fails if its value exceeds the budget."""

    name: str
    unit: str
    value: float
    origin: Origin
    how: str  # the slope, run or assumption that the value is based on, one line
    budget: float | None = None

    @property
    def passed(self) -> bool:
        """Whether the value is within the budget, if there is one."""
        return self.budget is None or self.value <= self.budget


@dataclass(slots=True)
class Result:
    """The result of one test."""

    slopes: list[Slope] = field(default_factory=list)
    figures: list[Figure] = field(default_factory=list)
    notes: list[str] = field(default_factory=list)

    def add_slope(self, slope: Slope) -> None:
        """Add a slope."""
        self.slopes.append(slope)

    def add_slopes(self, slopes: Iterable[Slope]) -> None:
        """Add several slopes."""
        self.slopes.extend(slopes)

    def add_figure(self, figure: Figure) -> None:
        """Add a figure."""
        self.figures.append(figure)

    def add_figures(self, figures: Iterable[Figure]) -> None:
        """Add several figures."""
        self.figures.extend(figures)

    def add_note(self, note: str) -> None:
        """Add a note on the conditions of the test."""
        self.notes.append(note)

    def add_notes(self, notes: Iterable[str]) -> None:
        """Add several notes."""
        self.notes.extend(notes)


@dataclass(frozen=True, slots=True)
class Effort:
    """The number and kind of the runs of a test."""

    runs: int = 5  # number of runs at each size
    seed: int = 1
    processes: int = 4
    quick: bool = False  # smaller sizes and no figures, for tests and a first look


class RunFailedError(Exception):
    """The run has no valid figures, for example because a stand-in or a worker exited."""


@dataclass(frozen=True, slots=True)
class ScaleTest:
    """One scale test; ``run`` raises ``RunFailedError`` if a run fails."""

    name: str
    about: str
    run: Callable[[Size, Budget, Effort], Result]
    # Peak memory in bytes, by the option that causes it ("servers", ...); None: estimated from the size.
    memory: Callable[[Size, Effort], Mapping[str, float]] | None = None
