"""How long a change of the list or of the configuration takes until the last limiter goes by it.

A few real limiters are changed under traffic, and the traffic tells when the change holds. Rows of hundreds
are hollow: the real clients of discovery on loopback sockets, with nothing behind them, against a stand-in
with a list of few servers. What reading a long list costs each limiter is measured elsewhere.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import multiprocessing
import resource
import signal
import time
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from concurrent.futures.process import BrokenProcessPool
from contextlib import AsyncExitStack
from dataclasses import dataclass, replace
from enum import Enum
from itertools import count
from pathlib import Path
from random import Random
from statistics import median
from tempfile import TemporaryDirectory
from typing import Any

import uvloop

from quota_gateway.net.discovery_client import DiscoveryClient
from quota_gateway.net.watch_event import WatchEvent
from quota_gateway.settings import timing_from
from scale import regression
from scale.model import BrokenRunError, Budget, Effort, Figure, Origin, Result, ScaleTest, Size
from scale.peers import CounterSpec, DiscoveryStandIn, ServersSpec, hosts_of
from scale.program import Front, Limiter, config, guard, limiters, peers, request

OUTAGE = 12.0  # seconds for which discovery cannot be reached
ROW = 6.0  # seconds of failures before the move
SLOW = 2.0  # seconds that a slow discovery writes a line
SETTLED = 30.0  # seconds within which all must have a first list from a discovery that serves
PATIENCE = 25.0  # seconds after the line's own time until a limiter counts as never told
APART = 0.003  # seconds between the starts of two hollow limiters
HOSTS = 8  # servers on a hollow list
REAL = 8  # real limiters
PORTS = 4  # that the real limiters' servers are behind; the hosts of one of them drain together
GAP = 0.01  # seconds between two requests to a real limiter
SEEN_WITHIN = 10.0  # seconds in which a real limiter must show its new configuration
QUIET = 1.5  # seconds without a request to drained servers that end a run


class Trouble(Enum):
    """What happens before the moment from which the time counts."""

    NONE = "none"  # the watches stand
    START = "start"  # nobody has called yet
    REFUSED = "refused"
    SILENT = "silent"
    HALF_OPEN = "half-open"  # from the start: calls are taken and never answered
    MOVED = "moved"  # refused for a while, and then the file names another discovery


@dataclass(frozen=True, slots=True)
class Case:
    """One row of hollow limiters and what befalls their discovery."""

    name: str
    limiters: int
    trouble: Trouble
    ask: bool = True  # discovery is shared and asked; else an agent on the limiter's machine pushes
    capacity: float = 0.0  # calls a second once it is back; 0: any number
    slow: float = 0.0
    outage: float = OUTAGE

    @property
    def line(self) -> float:
        """Seconds that discovery needs at least to serve each limiter once."""
        return self.limiters / self.capacity if self.capacity else 0.0


@dataclass(frozen=True, slots=True)
class Told:
    """When the limiters of a row had the change, in seconds from the moment that they could."""

    middle: float
    last: float  # of those that were told
    never: int  # those that were not, within the line's time and ``PATIENCE``
    calls: int  # that discovery took from that moment on


class _Row:
    """Hollow limiters, and when each had which version."""

    def __init__(self, case: Case, seed: int) -> None:
        raw: dict[str, Any] = {"n_instances": case.limiters, "contract": {"stop_sending_within_s": 2.0}}
        timing = timing_from(raw | ({"discovery": "ask"} if case.ask else {}))
        self._want: Callable[[WatchEvent], bool] = lambda _listing: True
        self._missing, self.when = set[int](), dict[int, float]()
        self._all = asyncio.Event()
        self.followers = [
            DiscoveryClient(
                self._teller(number), timing.callers, Random((seed << 20) + number), timing.answer,
                timing.call_again,
            )
            for number in range(case.limiters)
        ]  # fmt: skip

    def _teller(self, number: int) -> Callable[[WatchEvent], None]:
        def tell(listing: WatchEvent) -> None:
            if number in self._missing and self._want(listing):
                self._missing.discard(number)
                self.when[number] = time.monotonic()
                if not self._missing:
                    self._all.set()

        return tell

    def expect(self, want: Callable[[WatchEvent], bool]) -> None:
        """From now on what counts is the first listing of this kind."""
        self._want, self._missing, self.when = want, set(range(len(self.followers))), {}
        self._all.clear()

    async def told(self, within: float) -> bool:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(within):
                await self._all.wait()
        return not self._missing

    async def follow(self, address: str, apart: float = 0.0) -> None:
        """All go there, so many seconds apart."""
        host, _, port = address.rpartition(":")
        for follower in self.followers:
            follower.watch(host, int(port))
            if apart:
                await asyncio.sleep(apart)

    def close(self) -> None:
        for follower in self.followers:
            follower.close()


async def play(case: Case, seed: int) -> Told:
    """One case in real time; ``BrokenRunError`` where a discovery that serves does not tell all limiters."""
    discovery, other = (DiscoveryStandIn(hosts_of(HOSTS, ["127.0.0.1:1"])) for _ in range(2))
    discovery.slow = case.slow
    row = _Row(case, seed)
    address = await discovery.open()
    try:
        row.expect(lambda _listing: True)
        if case.trouble is Trouble.HALF_OPEN:
            discovery.hush()
        began = time.monotonic()
        # Where the start is not what counts they come apart: hundreds in one loop are late for each other.
        await row.follow(address, 0.0 if case.trouble is Trouble.START else APART)
        if case.trouble is Trouble.START:
            return await _counted(row, case, discovery, began)
        if case.trouble is not Trouble.HALF_OPEN:
            if not await row.told(SETTLED):
                raise BrokenRunError(f"{case.name}: a discovery that serves did not tell all limiters")
            await asyncio.sleep(Random(seed).uniform(0.1, 0.4))
        row.expect(lambda listing: listing.version > 41)
        if case.trouble is Trouble.NONE:
            began = time.monotonic()
            discovery.drain("s-00000000")
            return await _counted(row, case, discovery, began)
        if case.trouble is Trouble.SILENT:
            discovery.hush()
        elif case.trouble is not Trouble.HALF_OPEN:
            discovery.refuse()
        discovery.drain("s-00000000")
        await asyncio.sleep(case.outage)
        if case.trouble is Trouble.MOVED:
            other.seq = 77
            row.expect(lambda listing: listing.version == 77)
            address = await other.open()
            began = time.monotonic()
            await row.follow(address)
            return await _counted(row, case, other, began)
        discovery.capacity = case.capacity
        calls = discovery.calls
        await discovery.open()
        told = await _counted(row, case, discovery, time.monotonic())
        return replace(told, calls=told.calls - calls)
    finally:
        row.close()
        discovery.close()
        other.close()


async def _counted(row: _Row, case: Case, discovery: DiscoveryStandIn, began: float) -> Told:
    limit = case.line + case.slow + PATIENCE
    await row.told(limit)
    took = sorted(when - began for when in row.when.values())
    never = case.limiters - len(took)
    middle = median(took + [limit] * never)
    return Told(middle, took[-1] if took else limit, never, discovery.calls)


async def _play_all(cases: list[Case], seed: int) -> tuple[list[Told], float]:
    loop, most = asyncio.get_running_loop(), 0.0

    async def watch() -> None:
        nonlocal most
        while True:
            due = loop.time() + 0.05
            await asyncio.sleep(0.05)
            most = max(most, loop.time() - due)

    watcher = loop.create_task(watch())

    async def later(at: int, case: Case) -> Told:
        await asyncio.sleep(APART * sum(before.limiters for before in cases[:at]))
        return await play(case, seed + 1000 * at)

    told = await asyncio.gather(*(later(at, case) for at, case in enumerate(cases)))
    watcher.cancel()
    return told, most


def play_all(cases: list[Case], seed: int) -> tuple[list[Told], float]:
    """All cases at once in one loop, for they mostly wait; and how many seconds it was late at most."""
    logging.disable()  # the clients write a line for each of hundreds of rows of failures
    return uvloop.run(_play_all(cases, seed))


def cases(size: Size, effort: Effort) -> list[Case]:
    """The rows of hollow limiters."""
    full = size.limiters
    if effort.quick:
        sizes, some, crowds, outage = [3, 12], [12], [30.0], 1.0
    else:
        sizes, some, crowds, outage = (
            sorted({3, 30, 100, 200, full}),
            sorted({30, full}),
            [8.0, 30.0, 100.0],
            OUTAGE,
        )
    made = [Case("pushed", n, Trouble.NONE, ask=False) for n in sizes]
    made += [Case("asked, watches stand", n, Trouble.NONE) for n in some]
    made += [Case("asked at a start", n, Trouble.START) for n in some]
    made += [Case("slow at a start", n, Trouble.START, slow=SLOW) for n in some if not effort.quick]
    made += [Case("refused, then back", n, Trouble.REFUSED, outage=outage) for n in sizes]
    made += [Case("refused, then back, pushed", n, Trouble.REFUSED, ask=False, outage=outage) for n in some]
    made += [Case("silent, then back", n, Trouble.SILENT, outage=outage) for n in some]
    made += [
        Case("half-open, then back", n, Trouble.HALF_OPEN, outage=outage) for n in some if not effort.quick
    ]
    made += [
        Case(f"overbooked at {crowd:g} calls/s", n, Trouble.REFUSED, capacity=crowd, outage=outage)
        for crowd in crowds
        for n in sorted({*some, sizes[-2]})
    ]
    row = ROW if not effort.quick else outage
    return made + [Case("moved in a row of failures", n, Trouble.MOVED, outage=row) for n in some]


def hollow(chosen: list[Case], effort: Effort) -> tuple[list[list[Told]], float]:
    """Each run in a process of its own; for each run what each case gave, and the longest lateness.

    ``BrokenRunError`` where a process dies, or may not hold as many sockets as the cases need.
    """
    need, may = 2 * sum(case.limiters for case in chosen) + 200, resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    if may != resource.RLIM_INFINITY and need > may:
        raise BrokenRunError(f"the hollow limiters need {need} descriptors, and a process may hold {may}")
    runs = min(effort.runs, effort.processes)
    pool = ProcessPoolExecutor(runs, multiprocessing.get_context("spawn"))
    try:
        futures = [pool.submit(play_all, chosen, effort.seed + run) for run in range(runs)]
        done = [future.result() for future in futures]
    except BrokenProcessPool as error:
        raise BrokenRunError(f"a process of hollow limiters died: {error}") from None
    finally:
        pool.shutdown(cancel_futures=True)
    return [told for told, _ in done], max(late for _, late in done)


def settings(size: Size, held: bool) -> dict[str, Any]:
    """A real limiter's settings; ``held``: the plan of that name lets nothing through."""
    held_plan = {"name": "held", "never_over_rate": 0.001 * held, "hard_burst": 0.001 * held}
    return {
        "classes": [{"name": "read", "aim_s": 1.0, "effect": "idempotent", "worth": 1.0, "group": "all"}],
        "tariffs": [{"name": "open", "never_over_rate": 0.0, "hard_burst": 0.0}, held_plan],
        "n_instances": size.limiters, "me": 0, "my_zone": "zone-1",
        "limits": {"max_attempts": 2, "retry_after": True, "max_retry_after_s": 1.0, "dial_timeout_s": 0.25,
                   "conn_idle_s": 30.0},
        "contract": {"stop_sending_within_s": 2.0},
    }  # fmt: skip


@dataclass(slots=True)
class Real:
    """Seconds until each real limiter went by a change, by run."""

    config: list[list[float]]
    list: list[list[float]]
    servers: int
    unused: int  # limiters that sent nothing to the servers that drained, in all runs


class _Traffic:
    """Requests to one real limiter, one behind the other, of a plan that is open and one that may be held."""

    def __init__(self, number: int, limiter: Limiter, ids: count[int]) -> None:
        self._number, self._front, self._ids = number, Front(limiter.address), ids
        self.held: bool | None = None  # whether the plan was held when last seen
        self.changed = 0.0  # when that was first seen
        self._ended = False

    async def run(self) -> None:
        plans = "open", "held"
        for turn in count():
            if self._ended:
                return self._front.close()
            plan = plans[turn % 2]
            id = f"{self._number:04x}{next(self._ids):012x}"
            account = f"{self._number * 64 + turn // 2 % 50:016x}"
            answer = await self._front.fetch(request(id, f"/read?account={account}", plan, 2.0, 3))
            if plan == "held" and answer.status in (200, 429) and self.held is not (answer.status == 429):
                self.held, self.changed = answer.status == 429, answer.at
            await asyncio.sleep(GAP)

    def end(self) -> None:
        self._ended = True


async def _real(size: Size, effort: Effort, folder: Path) -> Real:
    number = 2 if effort.quick else REAL
    servers = 60 if effort.quick else size.servers
    runs = min(2, effort.runs) if effort.quick else effort.runs
    spec = ServersSpec(ports=PORTS, least=0.001, most=0.003, closing=0, slow=0)
    async with AsyncExitStack() as stack:
        made = await stack.enter_async_context(peers(folder, servers, spec, CounterSpec(), effort.seed))
        known = hosts_of(servers, made.dials)
        indices = [at * size.limiters // number for at in range(number)]
        configs = [
            config(index, settings(size, True), None, made.discovery, known, effort.seed + index)
            for index in indices
        ]
        started = await stack.enter_async_context(limiters(folder, configs))
        ids = count(effort.seed << 24)
        traffic = [_Traffic(at, limiter, ids) for at, limiter in enumerate(started)]

        async def drive() -> Real:
            await asyncio.sleep(0.5 if effort.quick else 1.5)
            found = Real([], [], servers, 0)
            for turn in range(runs):
                found.config.append(await _reload(started, traffic, size, turn % 2 == 1))
            for limiter in started:
                figures = await limiter.metrics()
                if figures["loads"] != runs or figures["load_errors"]:
                    raise BrokenRunError(f"{limiter.name} took {figures['loads']} of {runs} configurations")
            for turn in range(runs):
                port = turn % PORTS
                at = (await made.ask("list", port=port, health="draining"))["at"]
                await asyncio.sleep(QUIET)
                last = (await made.ask("list", port=port, health="ready"))["last"]
                times = [last.get(f"{port} {sender:04x}") for sender in range(number)]
                found.unused += sum(when is None or when < at - 1.0 for when in times)
                found.list.append([max(0.0, when - at) for when in times if when is not None])
                await asyncio.sleep(0.5)  # and requests go there again
            return found

        tasks = [asyncio.create_task(one.run()) for one in traffic]
        try:
            return await guard(drive(), made, *started)
        finally:
            for one in traffic:
                one.end()
            await asyncio.wait(tasks, timeout=3.0)
            for task in tasks:
                task.cancel()


async def _reload(started: list[Limiter], traffic: list[_Traffic], size: Size, held: bool) -> list[float]:
    began = time.monotonic()
    for limiter in started:
        limiter.raw["settings"] = settings(size, held) | {"me": limiter.raw["settings"]["me"]}
        limiter.write()
        limiter.process.send_signal(signal.SIGHUP)
    while any(one.held is not held for one in traffic) and time.monotonic() < began + SEEN_WITHIN:
        await asyncio.sleep(0.005)
    return [max(0.0, one.changed - began) if one.held is held else SEEN_WITHIN for one in traffic]


def real(size: Size, effort: Effort) -> Real:
    """Changes of the configuration and of the list at real limiters."""

    async def main() -> Real:
        with TemporaryDirectory(prefix="in-force-") as folder:
            return await _real(size, effort, Path(folder))

    return uvloop.run(main())


def run(size: Size, budget: Budget, effort: Effort) -> Result:
    """Real limiters, then rows of hollow ones; ``BrokenRunError`` as the test's record says."""
    result, chosen = Result(), cases(size, effort)
    _tell_real(result, real(size, effort), None if effort.quick else budget)
    runs, late = hollow(chosen, effort)
    by_name = dict[str, list[tuple[Case, list[Told]]]]()
    for at, case in enumerate(chosen):
        told = [one[at] for one in runs]
        by_name.setdefault(case.name, []).append((case, told))
        _tell_row(result, case, told, size, budget, effort)
    for name, rows in by_name.items():
        if len(rows) > 2:
            points = [(float(c.limiters), tuple(t.last for t in told)) for c, told in rows]
            result.slopes.append(regression.line(f"last limiter told: {name}", "s", "limiters", dict(points)))
    result.notes.append(
        f"hollow limiters: real discovery clients, {HOSTS} servers on the list, all cases of a run in one "
        f"loop, which was late by {late * 1e3:.0f} ms at most; {len(runs)} runs in processes side by side"
    )
    return result


def _tell_real(result: Result, found: Real, budget: Budget | None) -> None:
    for name, runs, limit, how in (
        ("configuration", found.config, budget.config_in_force if budget else None,
         "from the first file written (then a signal each) until requests go by it"),
        ("list", found.list, budget.list_in_force if budget else None,
         "from discovery's write until the last request to a drained server; they are some 0.1 s apart"),
    ):  # fmt: skip
        lasts = [max(times) for times in runs]
        at = f"{len(runs[0])} real limiters, {found.servers} servers: {how}"
        middle = median(median(times) for times in runs)
        result.figures += [
            Figure(f"{name} in force, median limiter", "s", middle, Origin.MEASURED, at),
            Figure(f"{name} in force, last limiter", "s", median(lasts), Origin.MEASURED,
                   f"{at}; {min(lasts):.3f} to {max(lasts):.3f} s in {len(runs)} runs", limit),
        ]  # fmt: skip
    if found.unused:
        result.notes.append(
            f"real limiters that sent nothing to the drained servers just before: {found.unused} in all runs"
        )


def _tell_row(
    result: Result, case: Case, told: list[Told], size: Size, budget: Budget, effort: Effort
) -> None:
    moved = case.trouble is Trouble.MOVED
    limit = budget.config_in_force if moved else budget.list_in_force
    never, calls = sum(one.never for one in told), median(one.calls for one in told)
    lasts = [one.last for one in told]
    how = f"{min(lasts):.2f} to {max(lasts):.2f} s in {len(told)} runs, {calls:.0f} calls"
    how += f", NEVER told {never} in all runs" * bool(never)
    how += f", line of {case.line:.1f} s at least" * bool(case.line)
    # No limiter's choice of when to call makes a line shorter than its calls: there is no budget to keep.
    counts = case.limiters == size.limiters and case.line < limit and not effort.quick
    last = median(lasts) if not never else case.line + case.slow + PATIENCE
    name = f"{case.name}, {case.limiters} limiters"
    middle = median(one.middle for one in told)
    result.figures += [
        Figure(f"{name}: median", "s", middle, Origin.MEASURED, f"hollow; {len(told)} runs"),
        Figure(f"{name}: last", "s", last, Origin.MEASURED, f"hollow; {how}", limit if counts else None),
    ]


TEST = ScaleTest("in_force", "how long a change of list or configuration takes to the last limiter", run)
