"""Which faults come when: a zone is lost, limiters restart together, a region is cut off by a partition."""

from __future__ import annotations

import math
from dataclasses import dataclass
from random import Random
from typing import NamedTuple

from scale.fleet.parameters import BOOT_GROUP_INTERVAL, BOOT_GROUPS, FAILOVER_TIME, RESTART_TIME
from scale.fleet.topology import Topology
from scale.model import Size

FULL_LENGTH = 108.0  # virtual seconds from which on a run has all faults in full length


class Interval(NamedTuple):
    """Virtual seconds from ``begin`` up to ``end``."""

    begin: float
    end: float


class Slowdown(NamedTuple):
    """From ``begin`` up to ``end`` each call takes ``factor`` times as long."""

    begin: float
    end: float
    factor: float


class Phase(NamedTuple):
    """A part of a run; it lasts to the begin of the next one."""

    name: str
    begin: float


@dataclass(frozen=True, slots=True)
class FaultSchedule:
    """When which fault comes, in virtual seconds from the start."""

    end: float  # of the run
    calm_from: float  # the start ends here and the calm phase begins
    zone_outage: Interval
    restart_at: float
    partition: Interval
    restarted_share: float = 0.7  # of the limiters: so many are killed together
    lost_zone: int = 1
    counter_outages: tuple[Interval, ...] = ()  # it comes back empty
    counter_slowdowns: tuple[Slowdown, ...] = ()

    @staticmethod
    def of(seconds: float, warm_up: float = 0.0) -> FaultSchedule:
        """From 108 s on the region is cut off for a minute; a shorter run has all faults, shorter.

        ``warm_up``: so many seconds come before these. A fleet that starts all at once knows no tenant, and
        its calls crowd before the counter: what is calm shows only behind that.
        """
        scale = min(1.0, seconds / FULL_LENGTH)
        return FaultSchedule(
            end=warm_up + seconds,
            calm_from=warm_up + 2 * scale,
            zone_outage=Interval(warm_up + 8 * scale, warm_up + 13 * scale),
            restart_at=warm_up + 27 * scale,
            partition=Interval(warm_up + 41 * scale, warm_up + 101 * scale),
        )

    def phases(self) -> tuple[Phase, ...]:
        """Each phase of the run in order."""
        return (
            Phase("start", 0.0),
            Phase("calm", self.calm_from),
            Phase("zone lost", self.zone_outage.begin),
            Phase("zone back", self.zone_outage.end),
            Phase("restart", self.restart_at),
            Phase("cut", self.partition.begin),
            Phase("after", self.partition.end),
        )


class Faults:
    """Which limiters, endpoints and links are down at a time."""

    def __init__(self, size: Size, topology: Topology, schedule: FaultSchedule, rng: Random) -> None:
        """Draw which limiters restart, and when."""
        self.schedule = schedule
        self._topology = topology
        self.killed_at = [math.inf] * size.limiters
        self.restarted_at = [math.inf] * size.limiters
        self._failed_over_at = [math.inf] * size.limiters
        restarted = round(schedule.restarted_share * size.limiters)
        for limiter in rng.sample(range(size.limiters), restarted):
            self.killed_at[limiter] = schedule.restart_at
            self.restarted_at[limiter] = schedule.restart_at + rng.uniform(*RESTART_TIME)
            self._failed_over_at[limiter] = schedule.restart_at + rng.uniform(*FAILOVER_TIME)

    def partitioned(self, one: int, other: int, at: float) -> bool:
        """Whether the two zones cannot reach each other."""
        begin, end = self.schedule.partition
        return begin <= at < end and self._topology.region(one) != self._topology.region(other)

    def boots_at(self, endpoint: int) -> float:
        """When an endpoint of the lost zone starts anew; 0 for the others."""
        zone = self._topology.zone(endpoint)
        if zone != self.schedule.lost_zone:
            return 0.0
        group = self._topology.rank_in_zone(endpoint) % BOOT_GROUPS
        return self.schedule.zone_outage.end + BOOT_GROUP_INTERVAL * group

    def endpoint_down(self, endpoint: int, at: float) -> bool:
        """Whether the endpoint is lost with its zone."""
        return self.schedule.zone_outage.begin <= at < self.boots_at(endpoint)

    def limiter_down(self, limiter: int, at: float) -> bool:
        """Whether the limiter is killed and not yet back."""
        return self.killed_at[limiter] <= at < self.restarted_at[limiter]

    def limiter_avoided(self, limiter: int, at: float) -> bool:
        """Whether the balancer before the limiters knows that this one is down."""
        return self._failed_over_at[limiter] <= at < self.restarted_at[limiter]
