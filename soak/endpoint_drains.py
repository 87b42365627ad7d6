"""Endpoints that drain while a limiter is restarted or stopped for longer than the drain grace."""

from __future__ import annotations

import asyncio
from typing import Self

from soak.endpoints import SoakEndpoint
from soak.environment import Environment
from soak.history import EndpointHealth
from soak.scenario import Fault
from soak.settings import DRAIN_GRACE_SECONDS

DRAINED_ENDPOINTS = 3
# Time beyond the drain grace for which a process starts or is stopped while endpoints drain.
MIN_SECONDS_AFTER_DRAIN_GRACE = 0.3
SECONDS_AFTER_DRAIN_GRACE_RANGE = 0.5  # a random part of it is added to the least time
DRAIN_EXTRA_SECONDS = 1.0  # the endpoints drain for this time and the fault's duration after the stall


class EndpointDrains:
    """The endpoints that one limiter's fault drains."""

    def __init__(self, environment: Environment, endpoints: list[SoakEndpoint]) -> None:
        """Drain ``endpoints``, which are ready."""
        self._environment = environment
        self._endpoints = endpoints
        for endpoint in endpoints:
            endpoint.start_draining()
            environment.publish(endpoint)

    @classmethod
    def start(cls, environment: Environment, fault: Fault) -> Self:
        """Drain the endpoints that a fault draws, the same ones for each of its limiters.

        Those that drain already are left to the fault that drains them.
        """
        endpoints = environment.endpoints
        first = int(fault.draw * len(endpoints))
        drawn = [endpoints[(first + number) % len(endpoints)] for number in range(DRAINED_ENDPOINTS)]
        return cls(environment, [endpoint for endpoint in drawn if endpoint.health is EndpointHealth.READY])

    async def end_after(self, seconds: float) -> None:
        """Keep the endpoints draining for ``seconds`` and ``DRAIN_EXTRA_SECONDS``, then make them ready."""
        await asyncio.sleep(seconds + DRAIN_EXTRA_SECONDS)
        for endpoint in self._endpoints:
            endpoint.end_draining()
            self._environment.publish(endpoint)


def seconds_beyond_drain_grace(fault: Fault) -> float:
    """Return a time that is longer than the drain grace, in seconds."""
    extra_seconds = MIN_SECONDS_AFTER_DRAIN_GRACE + SECONDS_AFTER_DRAIN_GRACE_RANGE * fault.draw
    return DRAIN_GRACE_SECONDS + extra_seconds
