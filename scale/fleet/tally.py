"""What a run counts: whole numbers only, so that sums do not depend on the number of workers."""

from __future__ import annotations

from bisect import bisect_right
from collections import Counter, defaultdict
from dataclasses import dataclass, field


@dataclass(slots=True)
class Tally:
    """Counts by phase and by second; ``cost`` holds what differs from run to run (real time, memory)."""

    begins: tuple[float, ...]
    phases: list[Counter[str]] = field(default_factory=list)
    seconds: defaultdict[int, Counter[str]] = field(default_factory=lambda: defaultdict(Counter))
    waits: Counter[int] = field(default_factory=Counter)  # held requests by virtual microseconds
    cost: Counter[str] = field(default_factory=Counter)
    rss: list[int] = field(default_factory=list)  # bytes at the peak, of each worker

    _from: float = 0.0
    _to: float = 0.0
    _now: Counter[str] = field(default_factory=Counter)

    def __post_init__(self) -> None:
        self.phases = self.phases or [Counter() for _ in self.begins]

    def at(self, time: float) -> Counter[str]:
        """The counts of the phase of that time."""
        if not self._from <= time < self._to:  # the next time is most likely of the same phase
            number = max(0, bisect_right(self.begins, time) - 1)
            self._from, self._to = self.begins[number], (*self.begins, float("inf"))[number + 1]
            self._now = self.phases[number]
        return self._now

    def add(self, other: Tally) -> None:
        for mine, theirs in zip(self.phases, other.phases, strict=True):
            mine.update(theirs)
        for second, counts in other.seconds.items():
            self.seconds[second].update(counts)
        self.waits.update(other.waits)
        self.cost.update(other.cost)
        self.rss += other.rss
