"""Simulated discovery, and the endpoint list that it serves."""

from __future__ import annotations

from collections.abc import Iterable
from random import Random
from typing import NamedTuple

from quota_gateway import model
from scale.fleet.parameters import NOTIFICATION_DELAY_SECONDS
from scale.fleet.scenario import World
from scale.fleet.topology import COORDINATION_ZONE

_ENDPOINT_PREFIX = "s-"


class SimulatedDiscovery:
    """Discovery without agents, which each limiter calls for the endpoint list.

    Serves the calls one at a time in the order of arrival, including those that have timed out at the
    limiter. A call also opens a watch. Sending changes on a watch uses no capacity.
    """

    def __init__(self, capacity: float) -> None:
        """Start idle; ``capacity`` is in calls a second."""
        self._service_time = 1 / capacity
        self._free_at = 0.0

    def call(self, at: float) -> float:
        """Return the time of the response to a call that arrives at ``at``, which never decreases."""
        self._free_at = max(at, self._free_at) + self._service_time
        return self._free_at


class ListChange(NamedTuple):
    """Endpoints that are removed or added, and the time at which discovery learns of the change."""

    at: float
    endpoints: tuple[model.Endpoint, ...]


class Notification(NamedTuple):
    """The time at which a limiter's agent is notified of the first ``known_change_count`` changes."""

    at: float
    known_change_count: int


class EndpointHistory:
    """The endpoint list and its changes, shared by the limiters of a worker."""

    def __init__(self, world: World) -> None:
        """Create the initial list, and its changes as the fault schedule determines them."""
        self._world = world
        self.initial = tuple(self._endpoint(index) for index in range(world.size.servers))
        self.changes = [self._removal(), *self._restarts()]

    def complete_list(self, known_change_count: int, failed: set[str]) -> model.EndpointUpdate:
        """Return the list after the first ``known_change_count`` changes, without ``failed`` endpoints."""
        endpoints = {endpoint.name: endpoint for endpoint in self.initial}
        for _, changed in self.changes[:known_change_count]:
            endpoints |= {endpoint.name: endpoint for endpoint in changed}
        present = (
            endpoint
            for endpoint in endpoints.values()
            if endpoint.health is not model.EndpointHealth.REMOVED and endpoint.name not in failed
        )
        return model.EndpointUpdate(tuple(present), complete=True)

    def notifications(self, limiter: int) -> list[Notification]:
        """Return the notifications of a limiter's agent; a partition delays them in the far region."""
        world = self._world
        zone = world.topology.zone(limiter)
        rng = Random(f"{world.seed} notices {limiter}")
        latest = 0.0
        notifications = list[Notification]()
        for known_change_count, change in enumerate(self.changes, 1):
            latest = max(latest, change.at + rng.uniform(*NOTIFICATION_DELAY_SECONDS))
            if world.faults.partitioned(zone, COORDINATION_ZONE, latest):
                latest = world.schedule.partition.end + rng.uniform(*NOTIFICATION_DELAY_SECONDS)
            notifications.append(Notification(latest, known_change_count))
        return notifications

    def _removal(self) -> ListChange:
        """Return the removal of the endpoints of the failed zone."""
        schedule = self._world.schedule
        removed = tuple(
            self._endpoint(index, model.EndpointHealth.REMOVED)
            for index in range(self._world.size.servers)
            if self._world.topology.zone(index) == schedule.failed_zone
        )
        return ListChange(schedule.zone_outage.begin, removed)

    def _restarts(self) -> Iterable[ListChange]:
        """Return the restarts of the endpoints of the failed zone: one change for each group."""
        groups = dict[float, list[model.Endpoint]]()
        for index in range(self._world.size.servers):
            restarts_at = self._world.faults.endpoint_restarts_at(index)
            if restarts_at > 0:
                groups.setdefault(restarts_at, []).append(self._endpoint(index, started_at=restarts_at))
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
    """Return the name of a zone in settings and endpoint lists."""
    return f"zone-{zone}"


def endpoint_name(index: int) -> str:
    """Return the name of an endpoint in endpoint lists."""
    return f"{_ENDPOINT_PREFIX}{index}"


def endpoint_index(name: str) -> int:
    """Return the index of the endpoint with this name."""
    return int(name[len(_ENDPOINT_PREFIX) :])
