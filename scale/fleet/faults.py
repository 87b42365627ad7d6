"""The faults of a run and their times: loss of a zone, mass restart of limiters, partition of a region."""

from __future__ import annotations

import math
from dataclasses import dataclass
from random import Random
from typing import NamedTuple

from scale.fleet.parameters import (
    ENDPOINT_RESTART_GROUP_INTERVAL_SECONDS,
    ENDPOINT_RESTART_GROUPS,
    FAILOVER_SECONDS,
    RESTART_SECONDS,
)
from scale.fleet.topology import Topology
from scale.model import Size

FULL_LENGTH_SECONDS = 108.0  # virtual; in a shorter run the faults are shorter in proportion


class Interval(NamedTuple):
    """Virtual time from ``begin`` to ``end``, in seconds."""

    begin: float
    end: float


class Slowdown(NamedTuple):
    """Virtual time in which each call takes ``factor`` times as long."""

    begin: float
    end: float
    factor: float


class Phase(NamedTuple):
    """A part of a run; it lasts until the next phase begins."""

    name: str
    begin: float


@dataclass(frozen=True, slots=True)
class FaultSchedule:
    """The times of the faults, in virtual seconds from the start."""

    end: float  # end of the run
    fault_free_from: float  # begin of the phase without faults, which follows the start phase
    zone_outage: Interval
    restart_at: float
    partition: Interval
    restarted_fraction: float = 0.7  # fraction of the limiters that are killed at ``restart_at``
    failed_zone: int = 1
    counter_outages: tuple[Interval, ...] = ()  # the counter is empty after each outage
    counter_slowdowns: tuple[Slowdown, ...] = ()

    @staticmethod
    def for_run(seconds: float, warm_up: float = 0.0) -> FaultSchedule:
        """Return the schedule of a run that lasts ``seconds`` after a warm-up of ``warm_up`` seconds.

        The warm-up is needed because a fleet that has just started knows no tenant, and its calls queue at
        the counter. In runs shorter than ``FULL_LENGTH_SECONDS`` the faults are shorter in proportion.
        """
        scale = min(1.0, seconds / FULL_LENGTH_SECONDS)
        return FaultSchedule(
            end=warm_up + seconds,
            fault_free_from=warm_up + 2 * scale,
            zone_outage=Interval(warm_up + 8 * scale, warm_up + 13 * scale),
            restart_at=warm_up + 27 * scale,
            partition=Interval(warm_up + 41 * scale, warm_up + 101 * scale),
        )

    def phases(self) -> tuple[Phase, ...]:
        """Return the phases of the run in order."""
        return (
            Phase("start", 0.0),
            Phase("calm", self.fault_free_from),
            Phase("zone lost", self.zone_outage.begin),
            Phase("zone back", self.zone_outage.end),
            Phase("restart", self.restart_at),
            Phase("cut", self.partition.begin),
            Phase("after", self.partition.end),
        )


class Faults:
    """The limiters, endpoints and links that are down at a time."""

    def __init__(self, size: Size, topology: Topology, schedule: FaultSchedule, rng: Random) -> None:
        """Draw the limiters that are killed, and the times of their failover and restart."""
        self.schedule = schedule
        self._topology = topology
        self.killed_at = [math.inf] * size.limiters
        self.restarted_at = [math.inf] * size.limiters
        self._failed_over_at = [math.inf] * size.limiters
        restarted = round(schedule.restarted_fraction * size.limiters)
        for limiter in rng.sample(range(size.limiters), restarted):
            self.killed_at[limiter] = schedule.restart_at
            self.restarted_at[limiter] = schedule.restart_at + rng.uniform(*RESTART_SECONDS)
            self._failed_over_at[limiter] = schedule.restart_at + rng.uniform(*FAILOVER_SECONDS)

    def partitioned(self, one: int, other: int, at: float) -> bool:
        """Return whether a partition separates the two zones."""
        begin, end = self.schedule.partition
        return begin <= at < end and self._topology.region(one) != self._topology.region(other)

    def endpoint_restarts_at(self, endpoint: int) -> float:
        """Return the time of the restart of an endpoint of the failed zone; 0 for the others."""
        zone = self._topology.zone(endpoint)
        if zone != self.schedule.failed_zone:
            return 0.0
        group = self._topology.position_in_zone(endpoint) % ENDPOINT_RESTART_GROUPS
        return self.schedule.zone_outage.end + ENDPOINT_RESTART_GROUP_INTERVAL_SECONDS * group

    def endpoint_down(self, endpoint: int, at: float) -> bool:
        """Return whether the endpoint is down because its zone has failed."""
        return self.schedule.zone_outage.begin <= at < self.endpoint_restarts_at(endpoint)

    def limiter_down(self, limiter: int, at: float) -> bool:
        """Return whether the limiter has been killed and has not restarted."""
        return self.killed_at[limiter] <= at < self.restarted_at[limiter]

    def limiter_avoided(self, limiter: int, at: float) -> bool:
        """Return whether the load balancer in front of the limiters knows that the limiter is down."""
        return self._failed_over_at[limiter] <= at < self.restarted_at[limiter]
