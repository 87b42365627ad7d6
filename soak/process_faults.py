"""Faults of a limiter's processes: signals, restarts, upgrades, reloads, admin commands."""

from __future__ import annotations

import asyncio
import errno
import signal
import time
from collections.abc import Callable, Coroutine, Iterator, Mapping
from contextlib import contextmanager
from typing import Any, ClassVar

from soak.endpoint_drains import EndpointDrains, seconds_beyond_drain_grace
from soak.environment import Environment
from soak.fault_control import DirectoryCalls
from soak.fault_kinds import FaultKind
from soak.history import LimiterState, Span, Suspension
from soak.limiter import SUCCESS, Limiter
from soak.limiter_process import LimiterProcess
from soak.scenario import Fault

OLD_DISCOVERY_SECONDS = 1.5  # from SIGHUP until the connections to the old discovery address are reset
RELOAD_SECONDS = 4.0  # from SIGHUP until the new configuration has to be in force
# From the signal that ends the last process until its clients stop opening new connections.
CONNECT_BLOCK_DELAY_SECONDS = 0.3
KILL_DOWNTIME_FRACTION = 0.5  # part of the fault's duration in which no process runs
MAX_STOP_BEFORE_RESTART_SECONDS = 0.15
MIN_RELOAD_GAP_SECONDS = 0.2
RELOADS_IN_SERIES = 4
MAX_RELOAD_SERIES_GAP_SECONDS = 0.2
MAX_SIGNAL_GAP_SECONDS = 0.7  # three gaps fit into a shutdown, which lasts at most 2.7 s
# The least time from the start of a process to SIGTERM. An earlier SIGTERM would end the interpreter while it
# still starts.
MIN_ABORTED_START_SECONDS = 0.2
ABORTED_START_RANGE_SECONDS = 0.6  # a random part of it is added to the least time
MAX_UPGRADE_OVERLAP_SECONDS = 0.5
MAX_TERMINATION_GAP_SECONDS = 0.4
SIGCONT_TO_SIGTERM_SECONDS = 0.2
# The shared directory is full during this fraction of the suspensions that an upgrade follows.
FULL_DIRECTORY_FRACTION = 0.5
SUSPENSION_EXTRA_SECONDS = 1.0  # a suspension lasts for the fault's duration and this time
UPGRADE_AFTER_SUSPENSION_SECONDS = 0.3
# With an upgrade, the suspension ends this long after the upgrade and the fault's duration.
SUSPENSION_EXTRA_SECONDS_WITH_UPGRADE = 2.0
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

    async def inject(self, limiter: Limiter, fault: Fault) -> None:
        """Inject a fault into a limiter, and undo it after its duration."""
        await self.INJECTIONS[fault.kind](self, limiter, fault)

    async def _start_process(self, limiter: Limiter, delay: float = 0.0) -> LimiterProcess:
        with self._history.span(LimiterState.STARTING, limiter.index):
            return await limiter.start(delay)

    async def _start_second_process(self, limiter: Limiter) -> LimiterProcess:
        """Start a process beside the running one; its configuration has the current endpoint list."""
        self._environment.write_config(limiter)
        return await self._start_process(limiter)

    @contextmanager
    def _record_unavailability(self, limiter: Limiter) -> Iterator[None]:
        """Record the limiter as unavailable while the body ends its processes and starts the next one.

        The next process starts with the endpoint list of the time before the body, the last one that the
        limiter had. After the body, its clients may open new connections again.
        """
        self._environment.write_config(limiter)
        with self._history.span(LimiterState.UNAVAILABLE, limiter.index):
            yield
        self._environment.clients[limiter.index].allow_connects()

    @contextmanager
    def _blocked_connects(self, limiter: Limiter) -> Iterator[None]:
        """Block new client connections shortly after the body starts to end the last process.

        They stay blocked until ``_record_unavailability`` allows them again.
        """
        clients = self._environment.clients[limiter.index]
        loop = asyncio.get_running_loop()
        timer = loop.call_later(CONNECT_BLOCK_DELAY_SECONDS, clients.block_connects)
        yield
        timer.cancel()
        clients.block_connects()

    async def _restart(self, limiter: Limiter, _fault: Fault) -> None:
        process = limiter.current_process
        with self._record_unavailability(limiter):
            if process is not None:
                with self._blocked_connects(limiter):
                    await limiter.terminate(process)
            await self._start_process(limiter)

    async def _kill(self, limiter: Limiter, fault: Fault) -> None:
        process = limiter.current_process
        with self._record_unavailability(limiter):
            if process is not None:
                with self._blocked_connects(limiter):
                    await limiter.kill(process)
            await asyncio.sleep(fault.duration * KILL_DOWNTIME_FRACTION)
            await self._start_process(limiter)

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
        with self._record_unavailability(limiter):
            if process is not None:
                with self._blocked_connects(limiter):
                    await limiter.terminate(process)
            drains = EndpointDrains.start(self._environment, fault)
            await self._start_process(limiter, seconds_beyond_drain_grace(fault))
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
        with self._record_unavailability(limiter):
            with self._blocked_connects(limiter):
                with self._history.span(LimiterState.STOPPED, limiter.index):
                    process.send_signal(signal.SIGSTOP)
                    termination = asyncio.create_task(limiter.terminate(process))
                    await asyncio.sleep(min(MAX_STOP_BEFORE_RESTART_SECONDS, fault.duration * fault.draw))
                    process.send_signal(signal.SIGCONT)
                await termination
            await self._start_process(limiter)

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
        with self._record_unavailability(limiter):
            with self._blocked_connects(limiter):
                termination = asyncio.create_task(limiter.terminate(process))
                await asyncio.sleep(0)
                for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP):
                    await asyncio.sleep(MAX_SIGNAL_GAP_SECONDS * fault.draw)
                    process.send_signal(number)
                await termination
            await self._start_process(limiter)

    async def _abort_upgrade(self, limiter: Limiter, fault: Fault) -> None:
        self._environment.write_config(limiter)
        new = await limiter.spawn()
        await asyncio.sleep(MIN_ABORTED_START_SECONDS + ABORTED_START_RANGE_SECONDS * fault.draw)
        await limiter.terminate(new)

    async def _upgrade_with_signals(self, limiter: Limiter, fault: Fault) -> None:
        old = limiter.current_process
        new = await self._start_second_process(limiter)
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

    async def _upgrade(self, limiter: Limiter, fault: Fault) -> None:
        old = limiter.current_process
        await self._start_second_process(limiter)
        await asyncio.sleep(MAX_UPGRADE_OVERLAP_SECONDS * fault.draw)
        if old is not None:
            await limiter.terminate(old)

    async def _roll_back_upgrade(self, limiter: Limiter, fault: Fault) -> None:
        new = await self._start_second_process(limiter)
        await asyncio.sleep(MAX_UPGRADE_OVERLAP_SECONDS * fault.draw)
        await limiter.terminate(new)

    async def _terminate_both_in_upgrade(self, limiter: Limiter, fault: Fault) -> None:
        old = limiter.current_process
        new = await self._start_second_process(limiter)
        if old is None:
            return
        with self._record_unavailability(limiter):
            with self._blocked_connects(limiter):
                termination = asyncio.create_task(limiter.terminate(old))
                await asyncio.sleep(MAX_TERMINATION_GAP_SECONDS * fault.draw)
                await limiter.terminate(new)
                await termination
            await self._start_process(limiter)

    async def _upgrade_while_stopped(self, limiter: Limiter, fault: Fault) -> None:
        old = limiter.current_process
        if old is None:
            return
        with self._history.span(LimiterState.STOPPED, limiter.index):
            old.send_signal(signal.SIGSTOP)
            await self._start_second_process(limiter)
            await asyncio.sleep(fault.duration * fault.draw)
            old.send_signal(signal.SIGCONT)
        await asyncio.sleep(SIGCONT_TO_SIGTERM_SECONDS)
        await limiter.terminate(old)

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
        await self._upgrade(limiter, fault)
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
        Mapping[FaultKind, Callable[[ProcessFaults, Limiter, Fault], Coroutine[Any, Any, None]]]
    ] = {
        FaultKind.KILL: _kill,
        FaultKind.RELOAD: _reload,
        FaultKind.RELOAD_TWICE: _reload_twice,
        FaultKind.RESTART: _restart,
        FaultKind.STOP: _stop,
        FaultKind.RESTART_WHILE_STOPPED: _restart_while_stopped,
        FaultKind.SUSPEND_ENDPOINT: _suspend_endpoint,
        FaultKind.SUSPEND_ENDPOINT_AND_UPGRADE: _suspend_endpoint_and_upgrade,
        FaultKind.UPGRADE: _upgrade,
        FaultKind.UPGRADE_ROLLED_BACK: _roll_back_upgrade,
        FaultKind.UPGRADE_BOTH_TERMINATED: _terminate_both_in_upgrade,
        FaultKind.UPGRADE_WHILE_STOPPED: _upgrade_while_stopped,
        FaultKind.RELOAD_SERIES: _reload_series,
        FaultKind.SIGNALS_IN_SHUTDOWN: _signal_in_shutdown,
        FaultKind.UPGRADE_ABORTED: _abort_upgrade,
        FaultKind.UPGRADE_WITH_SIGNALS: _upgrade_with_signals,
        FaultKind.RESTART_DURING_DRAIN: _restart_during_drain,
        FaultKind.STOP_DURING_DRAIN: _stop_during_drain,
    }
    KINDS: ClassVar[frozenset[FaultKind]] = frozenset(INJECTIONS)
