"""Faults of endpoints and of the network between the limiters and an endpoint."""

from __future__ import annotations

import asyncio
import time

from soak.endpoints import EndpointBehaviour, SoakEndpoint
from soak.environment import Environment
from soak.fault_kinds import FaultKind
from soak.history import NetworkFault
from soak.proxy import Proxy
from soak.scenario import Fault

READY_AFTER_DRAIN_SECONDS = 6.0
EARLIER_START_TIME_OFFSET_SECONDS = -3600.0
MIN_DELAY_SECONDS = 0.05  # each way
DELAY_RANGE_SECONDS = 0.1
FRAGMENT_BYTES = 50
TRUNCATED_RESPONSE_BYTES = 300  # forwarded before the connection is reset
RESETS_PER_FAULT = 5

BEHAVIOURS = {
    FaultKind.HANG: EndpointBehaviour(hangs=True),
    FaultKind.ERROR_RESPONSES: EndpointBehaviour(error_fraction=0.5),
    FaultKind.REJECTIONS: EndpointBehaviour(rejection_fraction=0.5),
    FaultKind.FRAGMENTED_RESPONSES: EndpointBehaviour(fragmented_fraction=0.7, long_response_fraction=0.1),
    FaultKind.CONNECTION_RESETS: EndpointBehaviour(reset_fraction=0.5),
    FaultKind.INCOMPLETE_RESPONSES: EndpointBehaviour(incomplete_fraction=0.3),
    FaultKind.RESPONSES_WITHOUT_LENGTH: EndpointBehaviour(without_length_fraction=0.7),
    FaultKind.SLOW_RESPONSES: EndpointBehaviour(service_time_factor=5.0),
    FaultKind.LATE_BODIES: EndpointBehaviour(late_body_fraction=0.5),
}


class EndpointFaults:
    """Faults of the endpoints themselves."""

    KINDS = frozenset(
        {
            *BEHAVIOURS,
            FaultKind.RESTART_WARMING_UP,
            FaultKind.RESTART_WITH_EARLIER_START_TIME,
            FaultKind.DRAIN,
        }
    )

    def __init__(self, environment: Environment) -> None:
        """Inject faults into the endpoints of ``environment``."""
        self._environment = environment

    async def inject(self, endpoint: SoakEndpoint, fault: Fault) -> None:
        """Inject a fault into an endpoint, and undo it after its duration."""
        if fault.kind is FaultKind.RESTART_WARMING_UP:
            self._restart(endpoint, 0.0)
        elif fault.kind is FaultKind.RESTART_WITH_EARLIER_START_TIME:
            self._restart(endpoint, EARLIER_START_TIME_OFFSET_SECONDS)
        elif fault.kind is FaultKind.DRAIN:
            await self._drain(endpoint, fault.duration)
        else:
            endpoint.start_fault(BEHAVIOURS[fault.kind])
            await asyncio.sleep(fault.duration)
            endpoint.end_fault()

    def _restart(self, endpoint: SoakEndpoint, start_time_offset: float) -> None:
        endpoint.restart(start_time_offset)
        self._environment.publish(endpoint)

    async def _drain(self, endpoint: SoakEndpoint, duration: float) -> None:
        endpoint.start_draining()
        self._environment.publish(endpoint)
        await asyncio.sleep(duration + READY_AFTER_DRAIN_SECONDS)
        endpoint.end_draining()
        self._environment.publish(endpoint)


class EndpointNetworkFaults:
    """Faults of the network of an endpoint. The end of one also ends the others on that network."""

    KINDS = frozenset(
        {
            FaultKind.NETWORK_BLACKHOLE,
            FaultKind.NETWORK_DELAY,
            FaultKind.NETWORK_RESETS,
            FaultKind.NETWORK_FRAGMENTATION,
            FaultKind.NETWORK_TRUNCATION,
        }
    )

    def __init__(self, environment: Environment) -> None:
        """Inject faults into the networks of the endpoints of ``environment``."""
        self._history = environment.history

    async def inject(self, endpoint: SoakEndpoint, fault: Fault) -> None:
        """Inject a fault into the network of an endpoint, undo it after its duration, and record it."""
        start = time.monotonic()
        if fault.kind is FaultKind.NETWORK_RESETS:
            await self._reset_repeatedly(endpoint.proxy, fault.duration)
        else:
            self._start(endpoint.proxy, fault)
            await asyncio.sleep(fault.duration)
            endpoint.proxy.clear_faults()
        self._history.network_faults.append(NetworkFault(endpoint.name, start, time.monotonic()))

    async def _reset_repeatedly(self, proxy: Proxy, duration: float) -> None:
        for _ in range(RESETS_PER_FAULT):
            proxy.reset_all()
            await asyncio.sleep(duration / RESETS_PER_FAULT)

    def _start(self, proxy: Proxy, fault: Fault) -> None:
        if fault.kind is FaultKind.NETWORK_DELAY:
            proxy.delay_data(MIN_DELAY_SECONDS + DELAY_RANGE_SECONDS * fault.draw)
        elif fault.kind is FaultKind.NETWORK_FRAGMENTATION:
            proxy.fragment_data(FRAGMENT_BYTES)
        elif fault.kind is FaultKind.NETWORK_BLACKHOLE:
            proxy.block_data()
        else:
            proxy.truncate_responses(TRUNCATED_RESPONSE_BYTES)
