"""Faults of a limiter's processes: signals, restarts and reloads, and those of other modules."""

from __future__ import annotations

import asyncio
import signal
import time
from collections.abc import Callable, Coroutine, Mapping
from typing import Any, ClassVar

from soak.endpoint_drains import EndpointDrains, seconds_beyond_drain_grace
from soak.environment import Environment
from soak.fault_kinds import FaultKind
from soak.history import LimiterState, Span
from soak.limiter import Limiter
from soak.process_control import MAX_SIGNAL_GAP_SECONDS, ProcessControl
from soak.scenario import Fault
from soak.suspension_faults import SuspensionFaults
from soak.upgrade_faults import UpgradeFaults

OLD_DISCOVERY_SECONDS = 1.5  # from SIGHUP until the connections to the old discovery address are reset
RELOAD_SECONDS = 4.0  # from SIGHUP until the new configuration has to be in force
KILL_DOWNTIME_FRACTION = 0.5  # part of the fault's duration in which no process runs
MAX_STOP_BEFORE_RESTART_SECONDS = 0.15
MIN_RELOAD_GAP_SECONDS = 0.2
RELOADS_IN_SERIES = 4
MAX_RELOAD_SERIES_GAP_SECONDS = 0.2
BURST_REQUESTS = 16
CONNECT_SECONDS = 0.05  # until the requests to a stopped process are in its sockets


class ProcessFaults:
    """Faults of a limiter's processes. The caller holds the limiter's process lock.

    While a limiter has no running process, its clients open no new connections.
    """

    def __init__(self, environment: Environment) -> None:
        """Inject faults into the limiters of ``environment``."""
        self._environment = environment
        self._history = environment.history
        self._control = ProcessControl(environment)
        self._upgrades = UpgradeFaults(environment, self._control)
        self._suspensions = SuspensionFaults(environment, self._upgrades)

    async def inject(self, limiter: Limiter, fault: Fault) -> None:
        """Inject a fault into a limiter, and undo it after its duration."""
        if fault.kind in UpgradeFaults.KINDS:
            await self._upgrades.inject(limiter, fault)
        elif fault.kind in SuspensionFaults.KINDS:
            await self._suspensions.inject(limiter, fault)
        else:
            await self.INJECTIONS[fault.kind](self, limiter, fault)

    async def _restart(self, limiter: Limiter, _fault: Fault) -> None:
        process = limiter.current_process
        with self._control.record_unavailability(limiter):
            if process is not None:
                with self._control.blocked_connects(limiter):
                    await limiter.terminate(process)
            await self._control.start_process(limiter)

    async def _kill(self, limiter: Limiter, fault: Fault) -> None:
        process = limiter.current_process
        with self._control.record_unavailability(limiter):
            if process is not None:
                with self._control.blocked_connects(limiter):
                    await limiter.kill(process)
            await asyncio.sleep(fault.duration * KILL_DOWNTIME_FRACTION)
            await self._control.start_process(limiter)

    async def _stop(self, limiter: Limiter, fault: Fault) -> None:
        process = limiter.current_process
        if process is None:
            return
        with self._history.span(LimiterState.STOPPED, limiter.index):
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(fault.duration * fault.draw)
            process.send_signal(signal.SIGCONT)

    async def _restart_during_drain(self, limiter: Limiter, fault: Fault) -> None:
        process = limiter.current_process
        with self._control.record_unavailability(limiter):
            if process is not None:
                with self._control.blocked_connects(limiter):
                    await limiter.terminate(process)
            drains = EndpointDrains.start(self._environment, fault)
            await self._control.start_process(limiter, seconds_beyond_drain_grace(fault))
        self._environment.clients[limiter.index].send_burst(BURST_REQUESTS)
        await drains.end_after(fault.duration)

    async def _stop_during_drain(self, limiter: Limiter, fault: Fault) -> None:
        process = limiter.current_process
        if process is None:
            return
        with self._history.span(LimiterState.STOPPED, limiter.index):
            process.send_signal(signal.SIGSTOP)
            drains = EndpointDrains.start(self._environment, fault)
            await asyncio.sleep(seconds_beyond_drain_grace(fault))
            self._environment.clients[limiter.index].send_burst(BURST_REQUESTS)
            await asyncio.sleep(CONNECT_SECONDS)
            process.send_signal(signal.SIGCONT)
        await drains.end_after(fault.duration)

    async def _restart_while_stopped(self, limiter: Limiter, fault: Fault) -> None:
        process = limiter.current_process
        if process is None:
            return
        with self._control.record_unavailability(limiter):
            with self._control.blocked_connects(limiter):
                with self._history.span(LimiterState.STOPPED, limiter.index):
                    process.send_signal(signal.SIGSTOP)
                    termination = asyncio.create_task(limiter.terminate(process))
                    await asyncio.sleep(min(MAX_STOP_BEFORE_RESTART_SECONDS, fault.duration * fault.draw))
                    process.send_signal(signal.SIGCONT)
                await termination
            await self._control.start_process(limiter)

    async def _reload(self, limiter: Limiter, _fault: Fault) -> None:
        process = limiter.current_process
        if process is None:
            return
        old = await limiter.replace_discovery_proxy(self._environment.discovery_address)
        self._environment.write_config(limiter)
        reloaded_at = time.monotonic()
        process.send_signal(signal.SIGHUP)
        old.refuse()
        await asyncio.sleep(OLD_DISCOVERY_SECONDS)
        old.close()
        self._history.spans.append(
            Span(
                LimiterState.CHANGING_DISCOVERY_ADDRESS,
                limiter.index,
                reloaded_at,
                reloaded_at + RELOAD_SECONDS,
            )
        )

    async def _reload_twice(self, limiter: Limiter, fault: Fault) -> None:
        first = asyncio.create_task(self._reload(limiter, fault))
        await asyncio.sleep(MIN_RELOAD_GAP_SECONDS + fault.draw)
        await self._reload(limiter, fault)
        await first

    async def _reload_series(self, limiter: Limiter, fault: Fault) -> None:
        reloads = []
        for _ in range(RELOADS_IN_SERIES):
            reloads.append(asyncio.create_task(self._reload(limiter, fault)))
            await asyncio.sleep(MAX_RELOAD_SERIES_GAP_SECONDS * fault.draw)
        await asyncio.gather(*reloads)

    async def _signal_in_shutdown(self, limiter: Limiter, fault: Fault) -> None:
        process = limiter.current_process
        if process is None:
            return
        with self._control.record_unavailability(limiter):
            with self._control.blocked_connects(limiter):
                termination = asyncio.create_task(limiter.terminate(process))
                await asyncio.sleep(0)
                for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP):
                    await asyncio.sleep(MAX_SIGNAL_GAP_SECONDS * fault.draw)
                    process.send_signal(number)
                await termination
            await self._control.start_process(limiter)

    INJECTIONS: ClassVar[
        Mapping[FaultKind, Callable[[ProcessFaults, Limiter, Fault], Coroutine[Any, Any, None]]]
    ] = {
        FaultKind.KILL: _kill,
        FaultKind.RELOAD: _reload,
        FaultKind.RELOAD_TWICE: _reload_twice,
        FaultKind.RESTART: _restart,
        FaultKind.STOP: _stop,
        FaultKind.RESTART_WHILE_STOPPED: _restart_while_stopped,
        FaultKind.RELOAD_SERIES: _reload_series,
        FaultKind.SIGNALS_IN_SHUTDOWN: _signal_in_shutdown,
        FaultKind.RESTART_DURING_DRAIN: _restart_during_drain,
        FaultKind.STOP_DURING_DRAIN: _stop_during_drain,
    }
    KINDS: ClassVar[frozenset[FaultKind]] = (
        frozenset(INJECTIONS) | UpgradeFaults.KINDS | SuspensionFaults.KINDS
    )
