"""Groups of hollow limiters: when their discovery clients have a change of the list."""

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
START_INTERVAL = 0.003  # seconds between the starts of two hollow limiters
SETTLE_TIMEOUT = 30.0  # seconds within which all must have a first list from a discovery that serves
NOTIFY_TIMEOUT = 25.0  # seconds after the serving time until a limiter counts as never notified
MOVED_VERSION = 77  # of the list at the other discovery
CHANGED_ENDPOINT = "s-00000000"
SETTLE_DELAY = (0.1, 0.4)  # seconds, drawn: the change comes at no fixed place between two keep-alives
LATENESS_INTERVAL = 0.05  # seconds between two looks at the loop's lateness
SEED_SHIFT = 20  # a seed's clients do not meet the next one's
SEEDS_PER_CASE = 1000
SPARE_DESCRIPTORS = 200


@dataclass(frozen=True, slots=True)
class Convergence:
    """When the limiters of a group had the change, in seconds from the moment that they could."""

    median: float
    last: float  # of those that were notified
    never: int  # those that were not, within the serving time and ``NOTIFY_TIMEOUT``
    calls: int  # that discovery took from that moment on


@dataclass(frozen=True, slots=True)
class GroupRun:
    """One run of all cases."""

    cases: list[Convergence]  # in the order of the cases
    lateness: float  # seconds that the event loop was late at most


def _any_event(_event: WatchEvent) -> bool:
    return True


class _ClientGroup:
    """The clients of a case, and when each had the event that is waited for."""

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
                PollTiming(timing.client_count, timing.answer_timeout, timing.max_poll_interval),
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
        """From now on what counts is the first event of this kind."""
        self._is_expected = is_expected
        self._missing = set(range(len(self._clients)))
        self.notified_at = {}
        self._all_notified.clear()

    async def wait_notified(self, timeout: float) -> bool:
        """Whether all have had the event in so many seconds."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout):
                await self._all_notified.wait()
        return not self._missing

    async def watch(self, address: str, interval: float = 0.0) -> None:
        """All go there, so many seconds apart."""
        host, port = split_address(address)
        for client in self._clients:
            client.set_address(host, port)
            if interval:
                await asyncio.sleep(interval)

    def close(self) -> None:
        for client in self._clients:
            client.close()


class _CaseRun:
    """One case in real time."""

    def __init__(self, case: Case, seed: int) -> None:
        self._case = case
        self._seed = seed
        self._discovery = _make_discovery(case.write_seconds)
        self._other_discovery = _make_discovery()
        self._clients = _ClientGroup(case, seed)

    async def run(self) -> Convergence:
        """``BrokenRunError`` where a discovery that serves does not notify all limiters."""
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
        began = time.monotonic()
        await self._clients.watch(address)
        return await self._converge(self._discovery, began)

    async def _settle(self, address: str) -> None:
        """Let the clients open their watches, each with its first list unless there is none."""
        half_open = self._case.fault is Fault.HALF_OPEN
        if half_open:
            self._discovery.go_silent()
        # They come apart: hundreds at once in one loop are late for each other.
        await self._clients.watch(address, START_INTERVAL)
        if half_open:
            return
        if not await self._clients.wait_notified(SETTLE_TIMEOUT):
            raise BrokenRunError(f"{self._case.name}: a discovery that serves did not tell all limiters")
        await asyncio.sleep(Random(self._seed).uniform(*SETTLE_DELAY))

    async def _change(self) -> Convergence:
        began = time.monotonic()
        self._discovery.drain(CHANGED_ENDPOINT)
        return await self._converge(self._discovery, began)

    async def _fail(self) -> None:
        """Discovery cannot be reached; the list changes meanwhile."""
        if self._case.fault is Fault.SILENT:
            self._discovery.go_silent()
        elif self._case.fault is not Fault.HALF_OPEN:
            self._discovery.crash()
        self._discovery.drain(CHANGED_ENDPOINT)
        await asyncio.sleep(self._case.outage)

    async def _move(self) -> Convergence:
        self._other_discovery.version = MOVED_VERSION
        self._clients.expect(lambda event: event.version == MOVED_VERSION)
        address = await self._other_discovery.open()
        began = time.monotonic()
        await self._clients.watch(address)
        return await self._converge(self._other_discovery, began)

    async def _recover(self) -> Convergence:
        self._discovery.capacity = self._case.capacity
        calls_before = self._discovery.calls
        await self._discovery.open()
        convergence = await self._converge(self._discovery, time.monotonic())
        return replace(convergence, calls=convergence.calls - calls_before)

    async def _converge(self, discovery: DiscoveryStandIn, began: float) -> Convergence:
        limit = self._case.min_serving_time + self._case.write_seconds + NOTIFY_TIMEOUT
        await self._clients.wait_notified(limit)
        times = sorted(when - began for when in self._clients.notified_at.values())
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
    """How late the event loop has called back at most, in seconds."""

    def __init__(self) -> None:
        self.longest = 0.0

    async def run(self) -> None:
        """Watch the loop until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + LATENESS_INTERVAL
            await asyncio.sleep(LATENESS_INTERVAL)
            self.longest = max(self.longest, loop.time() - due)


async def _run_all(cases: list[Case], seed: int) -> GroupRun:
    monitor = _LatenessMonitor()
    monitoring = asyncio.get_running_loop().create_task(monitor.run())

    async def run_one(index: int, case: Case) -> Convergence:
        await asyncio.sleep(START_INTERVAL * sum(before.limiters for before in cases[:index]))
        return await _CaseRun(case, seed + SEEDS_PER_CASE * index).run()

    results = await asyncio.gather(*(run_one(index, case) for index, case in enumerate(cases)))
    monitoring.cancel()
    return GroupRun(results, monitor.longest)


def run_cases(cases: list[Case], seed: int) -> GroupRun:
    """All cases at once in one loop, for they mostly wait."""
    logging.disable()  # the clients write a line for each of hundreds of failures
    return uvloop.run(_run_all(cases, seed))


def measure_groups(cases: list[Case], effort: Effort) -> list[GroupRun]:
    """The runs, each in a process of its own.

    ``BrokenRunError`` where a process dies, or may not hold as many sockets as the cases need.
    """
    _check_descriptors(cases)
    runs = min(effort.runs, effort.processes)
    pool = ProcessPoolExecutor(runs, multiprocessing.get_context("spawn"))
    try:
        futures = [pool.submit(run_cases, cases, effort.seed + run) for run in range(runs)]
        return [future.result() for future in futures]
    except BrokenProcessPool as error:
        raise BrokenRunError(f"a process of hollow limiters died: {error}") from None
    finally:
        pool.shutdown(cancel_futures=True)


def _check_descriptors(cases: list[Case]) -> None:
    needed = 2 * sum(case.limiters for case in cases) + SPARE_DESCRIPTORS
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if allowed != resource.RLIM_INFINITY and needed > allowed:
        raise BrokenRunError(
            f"the hollow limiters need {needed} descriptors, and a process may hold {allowed}"
        )
