"""Upgrades of a limiter: two of its processes run side by side."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable, Coroutine, Mapping
from typing import Any, ClassVar

from soak.environment import Environment
from soak.fault_kinds import FaultKind
from soak.history import LimiterState
from soak.limiter import Limiter
from soak.process_control import MAX_SIGNAL_GAP_SECONDS, ProcessControl
from soak.scenario import Fault

# The least time from the start of a process to SIGTERM. An earlier SIGTERM would end the interpreter while it
# still starts.
MIN_ABORTED_START_SECONDS = 0.2
ABORTED_START_RANGE_SECONDS = 0.6  # a random part of it is added to the least time
MAX_UPGRADE_OVERLAP_SECONDS = 0.5
MAX_TERMINATION_GAP_SECONDS = 0.4
SIGCONT_TO_SIGTERM_SECONDS = 0.2


class UpgradeFaults:
    """Upgrades that end in different ways. The caller holds the limiter's process lock."""

    def __init__(self, environment: Environment, control: ProcessControl) -> None:
        """Upgrade the limiters of ``environment``."""
        self._environment = environment
        self._history = environment.history
        self._control = control

    async def inject(self, limiter: Limiter, fault: Fault) -> None:
        """Inject one of ``KINDS`` into a limiter."""
        await self.INJECTIONS[fault.kind](self, limiter, fault)

    async def upgrade(self, limiter: Limiter, fault: Fault) -> None:
        """Start a second process, and end the first one after a random time."""
        old = limiter.current_process
        await self._control.start_second_process(limiter)
        await asyncio.sleep(MAX_UPGRADE_OVERLAP_SECONDS * fault.draw)
        if old is not None:
            await limiter.terminate(old)

    async def _abort_upgrade(self, limiter: Limiter, fault: Fault) -> None:
        self._environment.write_config(limiter)
        new = await limiter.spawn()
        await asyncio.sleep(MIN_ABORTED_START_SECONDS + ABORTED_START_RANGE_SECONDS * fault.draw)
        await limiter.terminate(new)

    async def _upgrade_with_signals(self, limiter: Limiter, fault: Fault) -> None:
        old = limiter.current_process
        new = await self._control.start_second_process(limiter)
        if old is None:
            return
        for process in (old, new):
            process.send_signal(signal.SIGHUP)
        await asyncio.sleep(MAX_UPGRADE_OVERLAP_SECONDS * fault.draw)
        termination = asyncio.create_task(limiter.terminate(old))
        await asyncio.sleep(0)
        for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP):
            await asyncio.sleep(MAX_SIGNAL_GAP_SECONDS * fault.draw)
            old.send_signal(number)
        new.send_signal(signal.SIGHUP)
        await termination

    async def _roll_back_upgrade(self, limiter: Limiter, fault: Fault) -> None:
        new = await self._control.start_second_process(limiter)
        await asyncio.sleep(MAX_UPGRADE_OVERLAP_SECONDS * fault.draw)
        await limiter.terminate(new)

    async def _terminate_both_in_upgrade(self, limiter: Limiter, fault: Fault) -> None:
        old = limiter.current_process
        new = await self._control.start_second_process(limiter)
        if old is None:
            return
        with self._control.record_unavailability(limiter):
            with self._control.blocked_connects(limiter):
                termination = asyncio.create_task(limiter.terminate(old))
                await asyncio.sleep(MAX_TERMINATION_GAP_SECONDS * fault.draw)
                await limiter.terminate(new)
                await termination
            await self._control.start_process(limiter)

    async def _upgrade_while_stopped(self, limiter: Limiter, fault: Fault) -> None:
        old = limiter.current_process
        if old is None:
            return
        with self._history.span(LimiterState.STOPPED, limiter.index):
            old.send_signal(signal.SIGSTOP)
            await self._control.start_second_process(limiter)
            await asyncio.sleep(fault.duration * fault.draw)
            old.send_signal(signal.SIGCONT)
        await asyncio.sleep(SIGCONT_TO_SIGTERM_SECONDS)
        await limiter.terminate(old)

    INJECTIONS: ClassVar[
        Mapping[FaultKind, Callable[[UpgradeFaults, Limiter, Fault], Coroutine[Any, Any, None]]]
    ] = {
        FaultKind.UPGRADE: upgrade,
        FaultKind.UPGRADE_ROLLED_BACK: _roll_back_upgrade,
        FaultKind.UPGRADE_BOTH_TERMINATED: _terminate_both_in_upgrade,
        FaultKind.UPGRADE_WHILE_STOPPED: _upgrade_while_stopped,
        FaultKind.UPGRADE_ABORTED: _abort_upgrade,
        FaultKind.UPGRADE_WITH_SIGNALS: _upgrade_with_signals,
    }
    KINDS: ClassVar[frozenset[FaultKind]] = frozenset(INJECTIONS)
