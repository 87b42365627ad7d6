"""Groups of real discovery clients: the time until each is notified of a change of the endpoint list."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import multiprocessing
import resource
import time
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from concurrent.futures.process import BrokenProcessPool
from dataclasses import dataclass, replace
from functools import partial
from random import Random
from statistics import median

import uvloop

from quota_gateway.net.discovery.client import DiscoveryClient
from quota_gateway.net.discovery.poll_timing import PollTiming
from quota_gateway.net.discovery.watch_event import WatchEvent
from quota_gateway.settings_parser import parse_timing
from scale.model import Effort, RunFailedError
from scale.processes import split_address
from scale.propagation.cases import Case, Fault
from scale.stand_ins.discovery import FIRST_VERSION, DiscoveryStandIn, make_endpoints

LIST_LENGTH = 8  # endpoints on the list
START_INTERVAL_SECONDS = 0.003  # interval between the starts of two clients
SETTLE_TIMEOUT_SECONDS = 30.0  # time in which all clients have to receive their first list, before a fault
# Clients that are not notified in this time, in addition to the serving time, count as never notified.
NOTIFY_TIMEOUT_SECONDS = 25.0
MOVED_VERSION = 77  # version of the list at the other discovery
CHANGED_ENDPOINT = "s-00000000"
SETTLE_DELAY_SECONDS = (0.1, 0.4)  # range; random, so that changes have no fixed phase to the keep-alives
LOOP_DELAY_INTERVAL_SECONDS = 0.05  # interval between two measurements of the event loop's delay
SEED_SHIFT = 20  # clients of runs with different seeds have different random numbers
SEEDS_PER_CASE = 1000
SPARE_DESCRIPTORS = 200


@dataclass(frozen=True, slots=True)
class Convergence:
    """The times at which a group was notified, in seconds after the earliest possible time."""

    median: float
    last: float  # time of the last client that was notified
    never: int  # clients that were not notified within the serving time and ``NOTIFY_TIMEOUT_SECONDS``
    calls: int  # calls that discovery received after the earliest possible time


@dataclass(frozen=True, slots=True)
class GroupRun:
    """The results of one run of all cases."""

    convergences: list[Convergence]  # one for each case, in the order of the cases
    max_loop_delay: float  # longest delay of the event loop, in seconds


def _any_event(_event: WatchEvent) -> bool:
    return True


class _ClientGroup:
    """The clients of a case, and the time at which each of them received the expected event."""

    def __init__(self, case: Case, seed: int) -> None:
        raw = {"n_instances": case.limiters, "contract": {"stop_sending_within_s": 2.0}}
        timing = parse_timing(raw | ({"discovery": "ask"} if case.shared else {}))
        self._is_expected: Callable[[WatchEvent], bool] = _any_event
        self._missing = set[int]()
        self._all_notified = asyncio.Event()
        self.notified_at = dict[int, float]()  # time by client, in seconds of ``time.monotonic``
        self._clients = [
            DiscoveryClient(
                partial(self._on_event, number),
                PollTiming(timing.client_count, timing.response_timeout, timing.max_poll_interval),
                Random((seed << SEED_SHIFT) + number),
            )
            for number in range(case.limiters)
        ]

    def _on_event(self, number: int, event: WatchEvent) -> None:
        if number in self._missing and self._is_expected(event):
            self._missing.discard(number)
            self.notified_at[number] = time.monotonic()
            if not self._missing:
                self._all_notified.set()

    def expect(self, is_expected: Callable[[WatchEvent], bool]) -> None:
        """Record, from now on, the time of each client's first event of this kind."""
        self._is_expected = is_expected
        self._missing = set(range(len(self._clients)))
        self.notified_at = {}
        self._all_notified.clear()

    async def wait_notified(self, timeout: float) -> bool:
        """Wait until all clients have received the event; return whether they did within the timeout."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout):
                await self._all_notified.wait()
        return not self._missing

    async def watch(self, address: str, interval: float = 0.0) -> None:
        """Let all clients watch an address; they start one after the other, ``interval`` seconds apart."""
        host, port = split_address(address)
        for client in self._clients:
            client.set_address(host, port)
            if interval:
                await asyncio.sleep(interval)

    def close(self) -> None:
        for client in self._clients:
            client.close()


class _CaseRun:
    """One run of a case in real time."""

    def __init__(self, case: Case, seed: int) -> None:
        self._case = case
        self._seed = seed
        self._discovery = _make_discovery(case.write_seconds)
        self._other_discovery = _make_discovery()
        self._clients = _ClientGroup(case, seed)

    async def run(self) -> Convergence:
        """Run the case. Raise ``RunFailedError`` if clients get no first list before the fault."""
        address = await self._discovery.open()
        try:
            self._clients.expect(_any_event)
            if self._case.fault is Fault.START:
                return await self._measure_start(address)
            await self._settle(address)
            self._clients.expect(lambda event: event.version > FIRST_VERSION)
            if self._case.fault is Fault.NONE:
                return await self._measure_change()
            await self._start_outage()
            if self._case.fault is Fault.MOVED:
                return await self._measure_move()
            return await self._measure_recovery()
        finally:
            self._clients.close()
            self._discovery.close()
            self._other_discovery.close()

    async def _measure_start(self, address: str) -> Convergence:
        started_at = time.monotonic()
        await self._clients.watch(address)
        return await self._converge(self._discovery, started_at)

    async def _settle(self, address: str) -> None:
        """Let the clients open their watches and receive their first lists, if discovery responds."""
        half_open = self._case.fault is Fault.HALF_OPEN
        if half_open:
            self._discovery.stop_responding()
        # Hundreds of clients that start at the same time would delay each other in this event loop.
        await self._clients.watch(address, START_INTERVAL_SECONDS)
        if half_open:
            return
        if not await self._clients.wait_notified(SETTLE_TIMEOUT_SECONDS):
            raise RunFailedError(f"{self._case.name}: not all discovery clients received their first list")
        await asyncio.sleep(Random(self._seed).uniform(*SETTLE_DELAY_SECONDS))

    async def _measure_change(self) -> Convergence:
        started_at = time.monotonic()
        self._discovery.drain(CHANGED_ENDPOINT)
        return await self._converge(self._discovery, started_at)

    async def _start_outage(self) -> None:
        """Make discovery unavailable, change the list, and wait for the duration of the outage."""
        if self._case.fault is Fault.UNRESPONSIVE:
            self._discovery.stop_responding()
        elif self._case.fault is not Fault.HALF_OPEN:
            self._discovery.crash()
        self._discovery.drain(CHANGED_ENDPOINT)
        await asyncio.sleep(self._case.outage)

    async def _measure_move(self) -> Convergence:
        self._other_discovery.set_version(MOVED_VERSION)
        self._clients.expect(lambda event: event.version == MOVED_VERSION)
        address = await self._other_discovery.open()
        started_at = time.monotonic()
        await self._clients.watch(address)
        return await self._converge(self._other_discovery, started_at)

    async def _measure_recovery(self) -> Convergence:
        self._discovery.limit_capacity(self._case.capacity)
        calls_before = self._discovery.calls
        await self._discovery.open()
        convergence = await self._converge(self._discovery, time.monotonic())
        return replace(convergence, calls=convergence.calls - calls_before)

    async def _converge(self, discovery: DiscoveryStandIn, started_at: float) -> Convergence:
        limit = self._case.min_serving_time + self._case.write_seconds + NOTIFY_TIMEOUT_SECONDS
        await self._clients.wait_notified(limit)
        times = sorted(when - started_at for when in self._clients.notified_at.values())
        never = self._case.limiters - len(times)
        return Convergence(
            median=median(times + [limit] * never),
            last=times[-1] if times else limit,
            never=never,
            calls=discovery.calls,
        )


def _make_discovery(write_seconds: float = 0.0) -> DiscoveryStandIn:
    return DiscoveryStandIn(make_endpoints(LIST_LENGTH, ["127.0.0.1:1"]), write_seconds=write_seconds)


class _LoopDelayMonitor:
    """Measures the longest delay of the event loop, in seconds."""

    def __init__(self) -> None:
        self.max_delay = 0.0

    async def run(self) -> None:
        """Measure the delay of the event loop repeatedly until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + LOOP_DELAY_INTERVAL_SECONDS
            await asyncio.sleep(LOOP_DELAY_INTERVAL_SECONDS)
            self.max_delay = max(self.max_delay, loop.time() - due)


async def _run_all(cases: list[Case], seed: int) -> GroupRun:
    monitor = _LoopDelayMonitor()
    monitoring = asyncio.get_running_loop().create_task(monitor.run())

    async def run_one(index: int, case: Case) -> Convergence:
        await asyncio.sleep(START_INTERVAL_SECONDS * sum(earlier.limiters for earlier in cases[:index]))
        return await _CaseRun(case, seed + SEEDS_PER_CASE * index).run()

    results = await asyncio.gather(*(run_one(index, case) for index, case in enumerate(cases)))
    monitoring.cancel()
    return GroupRun(results, monitor.max_delay)


def run_cases(cases: list[Case], seed: int) -> GroupRun:
    """Run all cases at the same time in one event loop."""
    logging.disable()  # hundreds of clients would log each failure
    return uvloop.run(_run_all(cases, seed))


def measure_groups(cases: list[Case], effort: Effort) -> list[GroupRun]:
    """Run all cases several times in parallel, each time in a separate process.

    Raise ``RunFailedError`` if a process exits, or if it may not open the sockets that the cases need.
    """
    _check_descriptors(cases)
    runs = min(effort.runs, effort.processes)
    pool = ProcessPoolExecutor(runs, multiprocessing.get_context("spawn"))
    try:
        futures = [pool.submit(run_cases, cases, effort.seed + run) for run in range(runs)]
        return [future.result() for future in futures]
    except BrokenProcessPool as error:
        raise RunFailedError(f"a process of discovery clients exited: {error}") from None
    finally:
        pool.shutdown(cancel_futures=True)


def _check_descriptors(cases: list[Case]) -> None:
    needed = 2 * sum(case.limiters for case in cases) + SPARE_DESCRIPTORS
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if allowed != resource.RLIM_INFINITY and needed > allowed:
        raise RunFailedError(
            f"the discovery clients need {needed} file descriptors, but the limit of a process is {allowed}"
        )
