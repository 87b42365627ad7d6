"""Generates the scenario of a run from a seed: number of endpoints, clock error, faults and their times."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from soak.fault_kinds import (
    DRAIN_FAULTS,
    FAULT_SPECS,
    FIRST_VERSION,
    FIRST_VERSION_WITH_DRAIN_FAULTS,
    FIRST_VERSION_WITH_MEMORY_LIMIT,
    RESOURCE_FAULTS,
    FaultFamily,
    FaultKind,
    FaultTarget,
    kinds_of,
)
from soak.settings import MAX_DEADLINE_SECONDS

# Faults are scheduled between these times after the start and before the end of the traffic. In the last
# part, open requests end and the limiters recover.
FAULT_FREE_START_SECONDS = 2.5
FAULT_FREE_END_SECONDS = 4.0
MIN_RUN_SECONDS = 12.0
MIN_GROUP_GAP_SECONDS = 1.5
MAX_GROUP_GAP_SECONDS = 3.0
MAX_OFFSET_IN_GROUP_SECONDS = 0.8
MIN_FAULT_SECONDS = 0.5
MAX_FAULT_SECONDS = 3.5
LISTENER_KEPT_OPEN_FRACTION = 0.5  # fraction of the limiters, see ``Scenario.listener_kept_open``
# This fraction of the faults that target limiters affects all of them. The others affect up to a quarter.
ALL_LIMITERS_FRACTION = 0.2
MAX_AFFECTED_LIMITERS_DIVISOR = 4
MAX_AFFECTED_ENDPOINTS_DIVISOR = 3  # a fault affects up to a third of the endpoints
MIN_ENDPOINTS = 8
MAX_ENDPOINTS = 12
# The longest deadlines that scenarios draw from; SIGKILL follows SIGTERM sooner if it is shorter.
LONGEST_DEADLINES_SECONDS = (MAX_DEADLINE_SECONDS, 1.0)
MEMORY_LIMITS_MB = (32, 64, 192)  # the least and the most that the platform states, and one between
CLOCK_ERRORS_SECONDS = (0.0, 0.0, 0.0, 30.0, 3600.0, -3600.0, -30.0)


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault of a scenario."""

    kind: FaultKind
    start: float  # seconds after the start of the traffic
    duration: float  # seconds
    limiters: tuple[int, ...]
    endpoints: tuple[int, ...]
    # Random number in [0, 1) that sets a detail of the fault, such as an error number or a time gap.
    draw: float

    def describe(self) -> str:
        """Return the fault's line of the printed scenario."""
        targets = f"limiters {list(self.limiters)}" if self.limiters else f"endpoints {list(self.endpoints)}"
        return f"{self.start:6.2f} s  {self.kind:31} {self.duration:4.2f} s  {targets}  draw {self.draw:.3f}"


@dataclass(frozen=True, slots=True)
class Scenario:
    """The size of a run, its clock error and its faults."""

    seed: int
    seconds: float
    limiter_count: int
    endpoint_count: int
    # For each limiter: whether the platform keeps its listening socket open while its processes are replaced,
    # which preserves the connections in the accept queue.
    listener_kept_open: tuple[bool, ...]
    clock_error: float  # seconds by which the wall clocks of all limiters are wrong when they start
    faults: tuple[Fault, ...]
    version: int = FIRST_VERSION  # later versions have more fault kinds
    longest_deadline: float = MAX_DEADLINE_SECONDS  # of all request classes, in seconds
    memory_mb: int = 0  # in the limiters' configuration; 0: not stated

    def describe(self) -> str:
        """Return the printed scenario, one line for each fault."""
        head = (
            f"seed {self.seed}: {self.limiter_count} limiters, {self.endpoint_count} endpoints, "
            f"{self.seconds:.0f} s, wall clocks {self.clock_error:+.0f} s off at the start, "
            f"deadlines up to {self.longest_deadline:.1f} s, version {self.version}"
            + (f", {self.memory_mb} MB" if self.memory_mb else "")
        )
        return "\n".join([head, *(fault.describe() for fault in self.faults)])


class _FaultGenerator:
    """Draws faults and their targets from a random number generator."""

    def __init__(self, random: Random, limiters: int, endpoints: int, version: int) -> None:
        self._random = random
        self._version = version
        self._limiters = limiters
        self._endpoints = endpoints

    def draw(self, family: FaultFamily, start: float, max_duration: float) -> Fault:
        """Draw a fault of a family. Another order of the draws would change the scenario of every seed."""
        return self.draw_of_kind(self._random.choice(kinds_of(family, self._version)), start, max_duration)

    def draw_drain_fault(self) -> Fault:
        """Draw the drain fault with which the faults of a scenario begin."""
        return self.draw_of_kind(
            self._random.choice(DRAIN_FAULTS), FAULT_FREE_START_SECONDS, 2 * MIN_FAULT_SECONDS
        )

    def draw_of_kind(self, kind: FaultKind, start: float, max_duration: float) -> Fault:
        """Draw the targets, duration and detail of a fault."""
        limiters: tuple[int, ...] = ()
        endpoints: tuple[int, ...] = ()
        if FAULT_SPECS[kind].target is FaultTarget.LIMITERS:
            limiters = self._draw_limiters()
        else:
            endpoints = self._draw_endpoints()
        duration = self._random.uniform(MIN_FAULT_SECONDS, max_duration)
        return Fault(kind, start, duration, limiters, endpoints, draw=self._random.random())

    def _draw_limiters(self) -> tuple[int, ...]:
        if self._random.random() < ALL_LIMITERS_FRACTION:
            count = self._limiters
        else:
            count = self._random.randint(1, max(1, self._limiters // MAX_AFFECTED_LIMITERS_DIVISOR))
        return tuple(sorted(self._random.sample(range(self._limiters), count)))

    def _draw_endpoints(self) -> tuple[int, ...]:
        count = self._random.randint(1, max(1, self._endpoints // MAX_AFFECTED_ENDPOINTS_DIVISOR))
        return tuple(sorted(self._random.sample(range(self._endpoints), count)))


def make_scenario(seed: int, seconds: float, limiters: int, version: int = FIRST_VERSION) -> Scenario:
    """Return the scenario of a seed: groups of two or three overlapping faults of different families.

    The same arguments must give the same scenario in every revision of the code.
    """
    random = Random(f"soak {seed}" if version == FIRST_VERSION else f"soak {seed} version {version}")
    endpoints = random.randrange(MIN_ENDPOINTS, MAX_ENDPOINTS + 1)
    listener_kept_open = tuple(random.random() < LISTENER_KEPT_OPEN_FRACTION for _ in range(limiters))
    clock_error = random.choice(CLOCK_ERRORS_SECONDS)
    generator = _FaultGenerator(random, limiters, endpoints, version)
    faults = list[Fault]()
    longest_deadline = MAX_DEADLINE_SECONDS
    memory_mb = 0
    if version >= FIRST_VERSION_WITH_MEMORY_LIMIT:
        memory_mb = random.choice(MEMORY_LIMITS_MB)
    if version >= FIRST_VERSION_WITH_DRAIN_FAULTS:
        longest_deadline = random.choice(LONGEST_DEADLINES_SECONDS)
        faults.append(generator.draw_drain_fault())
    if version >= FIRST_VERSION_WITH_MEMORY_LIMIT:
        latest_start = seconds - FAULT_FREE_END_SECONDS - MAX_FAULT_SECONDS
        for kind in RESOURCE_FAULTS:
            start = random.uniform(FAULT_FREE_START_SECONDS, max(FAULT_FREE_START_SECONDS, latest_start))
            faults.append(generator.draw_of_kind(kind, start, MAX_FAULT_SECONDS))
    group_start = FAULT_FREE_START_SECONDS
    faults_end = seconds - FAULT_FREE_END_SECONDS
    while group_start < faults_end - MIN_FAULT_SECONDS:
        for family in random.sample(list(FaultFamily), random.randrange(2, 4)):
            start = group_start + random.uniform(0, MAX_OFFSET_IN_GROUP_SECONDS)
            max_duration = min(MAX_FAULT_SECONDS, faults_end - start)
            if max_duration > MIN_FAULT_SECONDS:
                faults.append(generator.draw(family, start, max_duration))
        group_start += random.uniform(MIN_GROUP_GAP_SECONDS, MAX_GROUP_GAP_SECONDS)
    faults.sort(key=lambda fault: fault.start)
    return Scenario(
        seed,
        seconds,
        limiters,
        endpoints,
        listener_kept_open,
        clock_error,
        tuple(faults),
        version,
        longest_deadline,
        memory_mb,
    )
