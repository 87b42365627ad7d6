"""Faults of the services that a limiter depends on: discovery and the counter."""

from __future__ import annotations

import asyncio

from soak.fault_kinds import FaultKind
from soak.limiter import Limiter
from soak.proxy import Proxy
from soak.scenario import Fault

DISCOVERY_FRAGMENT_BYTES = 200
COUNTER_DELAY_SECONDS = 0.03  # each way


class ServiceFaults:
    """Faults of the connections between one limiter and discovery or the counter."""

    KINDS = frozenset(
        {
            FaultKind.DISCOVERY_UNRESPONSIVE,
            FaultKind.DISCOVERY_DOWN,
            FaultKind.DISCOVERY_FRAGMENTED,
            FaultKind.COUNTER_UNRESPONSIVE,
            FaultKind.COUNTER_DOWN,
            FaultKind.COUNTER_DELAY,
        }
    )

    async def inject(self, limiter: Limiter, fault: Fault) -> None:
        """Inject a fault at a limiter, and undo it after its duration."""
        match fault.kind:
            case FaultKind.DISCOVERY_UNRESPONSIVE:
                await self._block(limiter.discovery, fault.duration)
            case FaultKind.COUNTER_UNRESPONSIVE:
                await self._block(limiter.counter, fault.duration)
            case FaultKind.DISCOVERY_DOWN:
                async with limiter.process_lock:
                    await self._shut_down(limiter.discovery, fault.duration)
            case FaultKind.COUNTER_DOWN:
                async with limiter.process_lock:
                    await self._shut_down(limiter.counter, fault.duration)
            case FaultKind.DISCOVERY_FRAGMENTED:
                await self._fragment_discovery(limiter, fault.duration)
            case FaultKind.COUNTER_DELAY:
                await self._delay_counter(limiter, fault.duration)
            case _:
                raise ValueError(f"{fault.kind} is not a fault kind of discovery or the counter")

    async def _block(self, proxy: Proxy, duration: float) -> None:
        proxy.block_data()
        await asyncio.sleep(duration)
        proxy.unblock_data()

    async def _shut_down(self, proxy: Proxy, duration: float) -> None:
        proxy.refuse()
        proxy.reset_all()
        await asyncio.sleep(duration)
        await proxy.open()

    async def _fragment_discovery(self, limiter: Limiter, duration: float) -> None:
        limiter.discovery.fragment_data(DISCOVERY_FRAGMENT_BYTES)
        await asyncio.sleep(duration)
        limiter.discovery.fragment_data(0)

    async def _delay_counter(self, limiter: Limiter, duration: float) -> None:
        limiter.counter.delay_data(COUNTER_DELAY_SECONDS)
        await asyncio.sleep(duration)
        limiter.counter.delay_data(0.0)
