"""Groups of discovery clients: times at which they are notified of a change of the list."""

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
from scale.model import BrokenRunError, Effort
from scale.processes import split_address
from scale.propagation.cases import Case, Fault
from scale.stand_ins.discovery import FIRST_VERSION, DiscoveryStandIn, make_endpoints

LIST_LENGTH = 8  # endpoints on the list
START_INTERVAL_SECONDS = 0.003  # between the starts of two clients
SETTLE_TIMEOUT_SECONDS = 30.0  # for the first list of all clients, without a fault
NOTIFY_TIMEOUT_SECONDS = 25.0  # after the serving time; later a client counts as never notified
MOVED_VERSION = 77  # of the list at the other discovery
CHANGED_ENDPOINT = "s-00000000"
SETTLE_DELAY_SECONDS = (0.1, 0.4)  # random, so that the change has no fixed phase to the keep-alives
LATENESS_INTERVAL_SECONDS = 0.05  # between two checks of the event loop
SEED_SHIFT = 20  # keeps the clients of different seeds apart
SEEDS_PER_CASE = 1000
SPARE_DESCRIPTORS = 200


@dataclass(frozen=True, slots=True)
class Convergence:
    """The times of notification in a group, in seconds after the first possible moment."""

    median: float
    last: float  # of those that were notified
    never: int  # clients without notification within the serving time and ``NOTIFY_TIMEOUT_SECONDS``
    calls: int  # that discovery received after that moment


@dataclass(frozen=True, slots=True)
class GroupRun:
    """One run of all cases."""

    cases: list[Convergence]  # in the order of the cases
    lateness: float  # longest delay of the event loop in seconds


def _any_event(_event: WatchEvent) -> bool:
    return True


class _ClientGroup:
    """The clients of a case, and the time at which each received the expected event."""

    def __init__(self, case: Case, seed: int) -> None:
        raw = {"n_instances": case.limiters, "contract": {"stop_sending_within_s": 2.0}}
        timing = parse_timing(raw | ({"discovery": "ask"} if case.shared else {}))
        self._is_expected: Callable[[WatchEvent], bool] = _any_event
        self._missing = set[int]()
        self._all_notified = asyncio.Event()
        self.notified_at = dict[int, float]()  # by client, in seconds of ``time.monotonic``
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
        """Wait for the first event of this kind at each client."""
        self._is_expected = is_expected
        self._missing = set(range(len(self._clients)))
        self.notified_at = {}
        self._all_notified.clear()

    async def wait_notified(self, timeout: float) -> bool:
        """Return whether all clients receive the event within a time."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout):
                await self._all_notified.wait()
        return not self._missing

    async def watch(self, address: str, interval: float = 0.0) -> None:
        """Let all clients watch an address, one after the other with an interval in seconds."""
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
        """Run the case. Raise ``BrokenRunError`` if clients are not notified without a fault."""
        address = await self._discovery.open()
        try:
            self._clients.expect(_any_event)
            if self._case.fault is Fault.START:
                return await self._start(address)
            await self._settle(address)
            self._clients.expect(lambda event: event.version > FIRST_VERSION)
            if self._case.fault is Fault.NONE:
                return await self._change()
            await self._fail()
            if self._case.fault is Fault.MOVED:
                return await self._move()
            return await self._recover()
        finally:
            self._clients.close()
            self._discovery.close()
            self._other_discovery.close()

    async def _start(self, address: str) -> Convergence:
        started_at = time.monotonic()
        await self._clients.watch(address)
        return await self._converge(self._discovery, started_at)

    async def _settle(self, address: str) -> None:
        """Let the clients open their watches and receive their first lists, if discovery responds."""
        half_open = self._case.fault is Fault.HALF_OPEN
        if half_open:
            self._discovery.stop_responding()
        # Hundreds of simultaneous starts would delay each other in the same event loop.
        await self._clients.watch(address, START_INTERVAL_SECONDS)
        if half_open:
            return
        if not await self._clients.wait_notified(SETTLE_TIMEOUT_SECONDS):
            raise BrokenRunError(f"{self._case.name}: not all limiters received their first list")
        await asyncio.sleep(Random(self._seed).uniform(*SETTLE_DELAY_SECONDS))

    async def _change(self) -> Convergence:
        started_at = time.monotonic()
        self._discovery.drain(CHANGED_ENDPOINT)
        return await self._converge(self._discovery, started_at)

    async def _fail(self) -> None:
        """Make discovery unavailable, and change the list."""
        if self._case.fault is Fault.UNRESPONSIVE:
            self._discovery.stop_responding()
        elif self._case.fault is not Fault.HALF_OPEN:
            self._discovery.crash()
        self._discovery.drain(CHANGED_ENDPOINT)
        await asyncio.sleep(self._case.outage)

    async def _move(self) -> Convergence:
        self._other_discovery.set_version(MOVED_VERSION)
        self._clients.expect(lambda event: event.version == MOVED_VERSION)
        address = await self._other_discovery.open()
        started_at = time.monotonic()
        await self._clients.watch(address)
        return await self._converge(self._other_discovery, started_at)

    async def _recover(self) -> Convergence:
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


class _LatenessMonitor:
    """Measures the longest delay of the event loop, in seconds."""

    def __init__(self) -> None:
        self.longest = 0.0

    async def run(self) -> None:
        """Check the event loop until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + LATENESS_INTERVAL_SECONDS
            await asyncio.sleep(LATENESS_INTERVAL_SECONDS)
            self.longest = max(self.longest, loop.time() - due)


async def _run_all(cases: list[Case], seed: int) -> GroupRun:
    monitor = _LatenessMonitor()
    monitoring = asyncio.get_running_loop().create_task(monitor.run())

    async def run_one(index: int, case: Case) -> Convergence:
        await asyncio.sleep(START_INTERVAL_SECONDS * sum(before.limiters for before in cases[:index]))
        return await _CaseRun(case, seed + SEEDS_PER_CASE * index).run()

    results = await asyncio.gather(*(run_one(index, case) for index, case in enumerate(cases)))
    monitoring.cancel()
    return GroupRun(results, monitor.longest)


def run_cases(cases: list[Case], seed: int) -> GroupRun:
    """Run all cases at the same time in one event loop."""
    logging.disable()  # the clients log each of hundreds of failures
    return uvloop.run(_run_all(cases, seed))


def measure_groups(cases: list[Case], effort: Effort) -> list[GroupRun]:
    """Run all cases several times, each time in a process of its own.

    Raise ``BrokenRunError`` if a process exits, or may not open as many sockets as the cases need.
    """
    _check_descriptors(cases)
    runs = min(effort.runs, effort.processes)
    pool = ProcessPoolExecutor(runs, multiprocessing.get_context("spawn"))
    try:
        futures = [pool.submit(run_cases, cases, effort.seed + run) for run in range(runs)]
        return [future.result() for future in futures]
    except BrokenProcessPool as error:
        raise BrokenRunError(f"a process of discovery clients died: {error}") from None
    finally:
        pool.shutdown(cancel_futures=True)


def _check_descriptors(cases: list[Case]) -> None:
    needed = 2 * sum(case.limiters for case in cases) + SPARE_DESCRIPTORS
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if allowed != resource.RLIM_INFINITY and needed > allowed:
        raise BrokenRunError(
            f"the discovery clients need {needed} descriptors, and a process may open {allowed}"
        )
