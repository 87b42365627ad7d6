"""A stand-in for discovery, and the endpoint list that it serves."""

from __future__ import annotations

from collections.abc import Iterable
from random import Random
from typing import NamedTuple

from quota_gateway import model
from scale.fleet.parameters import NOTIFICATION_DELAY
from scale.fleet.scenario import World
from scale.fleet.topology import COORDINATION_ZONE

_ENDPOINT_PREFIX = "s-"


class SimulatedDiscovery:
    """Where no agent stands by: it serves the calls for the list in turn, also those that were given up.

    ``capacity``: calls a second. A call begins a watch, on which changes are pushed and cost nothing more.
    """

    def __init__(self, capacity: float) -> None:
        """Idle, with a capacity in calls a second."""
        self._service_time = 1 / capacity
        self._free_at = 0.0

    def call(self, at: float) -> float:
        """The time of the answer; ``at`` never falls from call to call."""
        self._free_at = max(at, self._free_at) + self._service_time
        return self._free_at


class ListChange(NamedTuple):
    """Endpoints that are removed or come, and when discovery learns of it."""

    at: float
    endpoints: tuple[model.Endpoint, ...]


class Notification(NamedTuple):
    """When a limiter's agent is notified of the changes up to this number."""

    at: float
    known_changes: int


class EndpointHistory:
    """The endpoint list and each change of it, shared by the limiters of a worker."""

    def __init__(self, world: World) -> None:
        """The list and its changes as the fault schedule has them."""
        self._world = world
        self.initial = tuple(self._endpoint(index) for index in range(world.size.servers))
        self.changes = [self._removal(), *self._returns()]

    def complete(self, known_changes: int, failed: set[str]) -> model.EndpointUpdate:
        """The list after so many changes, without those that failed under load."""
        endpoints = {endpoint.name: endpoint for endpoint in self.initial}
        for _, changed in self.changes[:known_changes]:
            endpoints |= {endpoint.name: endpoint for endpoint in changed}
        present = (
            endpoint
            for endpoint in endpoints.values()
            if endpoint.health is not model.EndpointHealth.REMOVED and endpoint.name not in failed
        )
        return model.EndpointUpdate(tuple(present), True)

    def notifications(self, limiter: int) -> list[Notification]:
        """When its agent is notified; a far one hears nothing while its region is cut off."""
        world = self._world
        zone = world.topology.zone(limiter)
        rng = Random(f"{world.seed} notices {limiter}")
        latest = 0.0
        notifications = list[Notification]()
        for number, change in enumerate(self.changes, 1):
            latest = max(latest, change.at + rng.uniform(*NOTIFICATION_DELAY))
            if world.faults.partitioned(zone, COORDINATION_ZONE, latest):
                latest = world.schedule.partition.end + rng.uniform(*NOTIFICATION_DELAY)
            notifications.append(Notification(latest, number))
        return notifications

    def _removal(self) -> ListChange:
        """The endpoints of the lost zone go."""
        schedule = self._world.schedule
        removed = tuple(
            self._endpoint(index, model.EndpointHealth.REMOVED)
            for index in range(self._world.size.servers)
            if self._world.topology.zone(index) == schedule.lost_zone
        )
        return ListChange(schedule.zone_outage.begin, removed)

    def _returns(self) -> Iterable[ListChange]:
        """They come back in groups."""
        groups = dict[float, list[model.Endpoint]]()
        for index in range(self._world.size.servers):
            boots_at = self._world.faults.boots_at(index)
            if boots_at > 0:
                groups.setdefault(boots_at, []).append(self._endpoint(index, started_at=boots_at))
        return (ListChange(at, tuple(endpoints)) for at, endpoints in sorted(groups.items()))

    def _endpoint(
        self,
        index: int,
        health: model.EndpointHealth = model.EndpointHealth.HEALTHY,
        started_at: float = 0.0,
    ) -> model.Endpoint:
        topology = self._world.topology
        return model.Endpoint(
            endpoint_name(index),
            health,
            zone_name(topology.zone(index)),
            cell=topology.cell(index),
            weight=1.0,
            started_at=started_at,
        )


def zone_name(zone: int) -> str:
    """The name of a zone in settings and endpoint lists."""
    return f"zone-{zone}"


def endpoint_name(index: int) -> str:
    """The name of an endpoint in endpoint lists."""
    return f"{_ENDPOINT_PREFIX}{index}"


def endpoint_index(name: str) -> int:
    """The number of the endpoint of that name."""
    return int(name[len(_ENDPOINT_PREFIX) :])
