"""The counts of a run: integers, so that sums do not depend on the number of workers."""

from __future__ import annotations

import math
from bisect import bisect_right
from collections import Counter, defaultdict
from dataclasses import dataclass, field

# Events that the decisions handle, by the names of their costs in a run's JSON file.
CONTROL_EVENTS = ("tick", "list", "probed")  # independent of the requests
REQUEST_EVENTS = ("ask", "outcome", "counted")
ALL_EVENTS = (*CONTROL_EVENTS, *REQUEST_EVENTS)


@dataclass(slots=True)
class Tally:
    """Counts by phase and by second. ``cost`` and ``peak_memory`` are real and differ from run to run."""

    phase_begins: tuple[float, ...]  # virtual seconds
    phases: list[Counter[str]] = field(default_factory=list)
    seconds: defaultdict[int, Counter[str]] = field(default_factory=lambda: defaultdict(Counter))
    # Number of requests by their wait for the counter, in virtual microseconds.
    waits: Counter[int] = field(default_factory=Counter)
    # Nanoseconds by event name, and number of events by event name + "s".
    cost: Counter[str] = field(default_factory=Counter)
    peak_memory: list[int] = field(default_factory=list)  # bytes, of each worker

    _phase_begin: float = 0.0
    _phase_end: float = 0.0
    _phase: Counter[str] = field(default_factory=Counter)

    def __post_init__(self) -> None:
        """Create empty counts for each phase."""
        self.phases = self.phases or [Counter() for _ in self.phase_begins]

    def at(self, time: float) -> Counter[str]:
        """Return the counts of the phase that contains a time."""
        # Most calls need the same phase as the call before, so the last one is cached.
        if not self._phase_begin <= time < self._phase_end:
            number = max(0, bisect_right(self.phase_begins, time) - 1)
            self._phase_begin = self.phase_begins[number]
            self._phase_end = (*self.phase_begins, math.inf)[number + 1]
            self._phase = self.phases[number]
        return self._phase

    def add(self, other: Tally) -> None:
        """Add the counts of another worker of the same run."""
        for own, counts in zip(self.phases, other.phases, strict=True):
            own.update(counts)
        for second, counts in other.seconds.items():
            self.seconds[second].update(counts)
        self.waits.update(other.waits)
        self.cost.update(other.cost)
        self.peak_memory += other.peak_memory
