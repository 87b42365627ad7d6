"""Injects the faults of a scenario, and undoes each fault after its duration."""

from __future__ import annotations

import asyncio

from soak.client_faults import ClientFaults
from soak.endpoint_faults import EndpointFaults, EndpointNetworkFaults
from soak.environment import Environment
from soak.fault_kinds import FaultKind
from soak.limiter import Limiter
from soak.process_faults import ProcessFaults
from soak.scenario import Fault
from soak.service_faults import ServiceFaults
from soak.system_faults import SystemFaults

# Crowds at more limiters would delay the runner's own process, in which the endpoints run.
MAX_CROWDED_LIMITERS = 3


class FaultInjector:
    """Injects faults into an environment."""

    def __init__(self, environment: Environment) -> None:
        """Inject faults into ``environment``, and record them in its history."""
        self._environment = environment
        self._history = environment.history
        self._clients = ClientFaults()
        self._endpoints = EndpointFaults(environment)
        self._endpoint_networks = EndpointNetworkFaults(environment)
        self._processes = ProcessFaults(environment)
        self._services = ServiceFaults()
        self._system = SystemFaults()

    async def inject(self, fault: Fault) -> None:
        """Inject one fault into all its targets; return when it has been undone."""
        self._history.record_event(f"{fault.kind}: limiters {fault.limiters}, endpoints {fault.endpoints}")
        endpoints = [self._environment.endpoints[index] for index in fault.endpoints]
        if fault.kind in ClientFaults.KINDS:
            limiter_indices = fault.limiters
            if fault.kind is FaultKind.CROWD:
                limiter_indices = fault.limiters[:MAX_CROWDED_LIMITERS]
            await asyncio.gather(*(self._inject_at_clients(index, fault) for index in limiter_indices))
        elif fault.kind in EndpointFaults.KINDS:
            await asyncio.gather(*(self._endpoints.inject(endpoint, fault) for endpoint in endpoints))
        elif fault.kind in EndpointNetworkFaults.KINDS:
            await asyncio.gather(*(self._endpoint_networks.inject(endpoint, fault) for endpoint in endpoints))
        else:
            limiters = [self._environment.limiters[index] for index in fault.limiters]
            await asyncio.gather(*(self._inject_at_limiter(limiter, fault) for limiter in limiters))

    async def _inject_at_clients(self, limiter: int, fault: Fault) -> None:
        with self._history.span(fault.kind, limiter):
            await self._clients.inject(self._environment.clients[limiter], fault)

    async def _inject_at_limiter(self, limiter: Limiter, fault: Fault) -> None:
        if fault.kind in ProcessFaults.KINDS:
            await self._inject_into_processes(limiter, fault)
            return
        with self._history.span(fault.kind, limiter.index):
            if fault.kind in ServiceFaults.KINDS:
                await self._services.inject(limiter, fault)
            else:
                await self._system.inject(limiter, fault)

    async def _inject_into_processes(self, limiter: Limiter, fault: Fault) -> None:
        """Inject a fault into a limiter's processes; skip it if another fault is starting or ending them."""
        if limiter.process_lock.locked():
            return
        with self._history.span(fault.kind, limiter.index):
            async with limiter.process_lock:
                await self._processes.inject(limiter, fault)
