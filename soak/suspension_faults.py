"""Suspensions of endpoints by an operator, also with an upgrade."""

from __future__ import annotations

import asyncio
import errno
import time
from collections.abc import Callable, Coroutine, Mapping
from typing import Any, ClassVar

from soak.environment import Environment
from soak.fault_control import DirectoryCalls
from soak.fault_kinds import FaultKind
from soak.history import Suspension
from soak.limiter import SUCCESS, Limiter
from soak.scenario import Fault
from soak.upgrade_faults import UpgradeFaults

# The shared directory is full during this fraction of the suspensions that an upgrade follows.
FULL_DIRECTORY_FRACTION = 0.5
SUSPENSION_EXTRA_SECONDS = 1.0  # a suspension lasts for the fault's duration and this time
UPGRADE_AFTER_SUSPENSION_SECONDS = 0.3
# With an upgrade, the suspension ends this long after the upgrade and the fault's duration.
SUSPENSION_EXTRA_SECONDS_WITH_UPGRADE = 2.0


class SuspensionFaults:
    """Suspends an endpoint at one limiter, and restores it. The caller holds the limiter's process lock."""

    def __init__(self, environment: Environment, upgrades: UpgradeFaults) -> None:
        """Suspend endpoints of ``environment``."""
        self._environment = environment
        self._history = environment.history
        self._upgrades = upgrades

    async def inject(self, limiter: Limiter, fault: Fault) -> None:
        """Inject one of ``KINDS`` into a limiter."""
        await self.INJECTIONS[fault.kind](self, limiter, fault)

    async def _suspend_endpoint(self, limiter: Limiter, fault: Fault) -> None:
        suspension = await self._suspend(limiter, fault)
        await asyncio.sleep(fault.duration + SUSPENSION_EXTRA_SECONDS)
        await self._restore(limiter, suspension)

    async def _suspend_endpoint_and_upgrade(self, limiter: Limiter, fault: Fault) -> None:
        if fault.draw < FULL_DIRECTORY_FRACTION:
            limiter.control.fail_directory_calls(errno.ENOSPC, DirectoryCalls.WRITING)
        suspension = await self._suspend(limiter, fault)
        limiter.control.fail_directory_calls(0, DirectoryCalls.NONE)
        await asyncio.sleep(UPGRADE_AFTER_SUSPENSION_SECONDS)
        await self._upgrades.upgrade(limiter, fault)
        await asyncio.sleep(fault.duration + SUSPENSION_EXTRA_SECONDS_WITH_UPGRADE)
        await self._restore(limiter, suspension)

    async def _suspend(self, limiter: Limiter, fault: Fault) -> Suspension:
        endpoints = self._environment.endpoints
        endpoint = endpoints[int(fault.draw * len(endpoints))]
        suspension = Suspension(limiter.index, endpoint.name, time.monotonic())
        self._history.suspensions.append(suspension)
        if await limiter.command(f"SUSPEND {suspension.endpoint}") == SUCCESS:
            suspension.accept()
        return suspension

    async def _restore(self, limiter: Limiter, suspension: Suspension) -> None:
        suspension.restore()
        await limiter.command(f"RESTORE {suspension.endpoint}")

    INJECTIONS: ClassVar[
        Mapping[FaultKind, Callable[[SuspensionFaults, Limiter, Fault], Coroutine[Any, Any, None]]]
    ] = {
        FaultKind.SUSPEND_ENDPOINT: _suspend_endpoint,
        FaultKind.SUSPEND_ENDPOINT_AND_UPGRADE: _suspend_endpoint_and_upgrade,
    }
    KINDS: ClassVar[frozenset[FaultKind]] = frozenset(INJECTIONS)
