"""What the limiter adds to a request, and how much of that is decision, counter, dialling and sockets.

Real limiters stand on loopback between a client here and stand-ins in a process of their own. A server tells
how long it had a request; what a limiter adds is the client's time less that. Requests go out by a schedule
that is fixed beforehand and never waits for answers, and their time runs from the schedule.
"""

from __future__ import annotations

import asyncio
import gc
import os
import time
from collections import defaultdict
from collections.abc import Iterable, Sequence
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from pathlib import Path
from random import Random
from statistics import median
from tempfile import TemporaryDirectory
from typing import Any

import uvloop
from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

from quota_gateway import model
from quota_gateway.decisions.gateway import Gateway
from quota_gateway.settings import settings_from
from scale import regression
from scale.model import BrokenRunError, Budget, Effort, Figure, Origin, Result, ScaleTest, Size
from scale.peers import CounterSpec, ServersSpec, Wheel, hosts_of
from scale.program import (
    Answer,
    Front,
    Process,
    config,
    core_wait,
    guard,
    limiters,
    peers,
    request,
)  # fmt: skip

LIMITERS = 3  # real ones, the spread of a tenant
COUNTER_RATE = 1100.0  # calls a second that the counter bears, between the 930 and the 1,300 seen of it
OTHERS = 0.7  # of that, taken by the limiters that are not here: assumed
NEAR, OVER = 0.2, 0.1  # share of the tenants whose demand is near their quota, and over it
DEMAND = {"far": 0.1, "near": 0.92, "over": 1.5}  # demand of a tenant, as a share of its quota
HOLD = 2.0  # seconds of its rate that a quota's store holds
TTL = 2.0  # seconds that a client waits
LINES = 24  # connections of the clients to a limiter, opened beforehand
WARM = 1.5  # seconds of load before the first run
TAIL = 0.4  # seconds after a run until its last answers must be there
MOST_US = 60_000_000
PERCENTILES = {"p50": 50.0, "p99": 99.0, "p99.9": 99.9}


@dataclass(frozen=True, slots=True)
class Cell:
    """One set-up of a load: several runs are made of it."""

    name: str
    servers: int
    rate: float  # requests a second of each limiter
    seconds: float  # of a run
    quotas: bool = True  # False: plans without a quota, and so without a counter call
    servers_spec: ServersSpec = field(default_factory=ServersSpec)
    delay: float = 0.0002  # of the network to the counter, there and back
    direct: bool = False  # no limiter: the clients ask the servers


@dataclass(slots=True)
class Seen:
    """What the runs of a cell gave, in seconds."""

    runs: list[dict[str, float]] = field(default_factory=list)  # p50, p99, p99.9 of what was added
    fresh: dict[str, float] = field(default_factory=dict)  # the same of all runs, over a new dial
    kept: dict[str, float] = field(default_factory=dict)  # and over a kept connection
    pooled: dict[str, float] = field(default_factory=dict)  # the same of all runs together
    refused: dict[str, float] = field(default_factory=dict)  # time to a refusal
    waits: list[float] = field(default_factory=list)  # of each run: see ``_Window.wait``
    late: float = 0.0  # p99 by which the client here was late to write
    served: int = 0
    turned: int = 0
    turned_far: int = 0  # of them, of tenants far under their quota
    broken: int = 0
    dialled: int = 0
    calls: int = 0  # to the counter

    def middle(self, part: str) -> float:
        return median(run[part] for run in self.runs)

    @property
    def quietest(self) -> int:
        return self.waits.index(min(self.waits))

    def spread(self, part: str) -> str:
        values = [run[part] * 1e3 for run in self.runs]
        return f"{min(values):.2f} to {max(values):.2f} ms in {len(values)} runs"


def percentiles(seconds: Iterable[float]) -> dict[str, float]:
    """Median, 99 and 99.9 in 100, to three digits; empty without values."""
    histogram = HdrHistogram(1, MOST_US, 3)
    for value in seconds:
        histogram.record_value(max(1, round(value * 1e6)))
    if not histogram.get_total_count():
        return {}
    return {
        part: histogram.get_value_at_percentile(at) / 1e6 for part, at in PERCENTILES.items()
    }  # fmt: skip


def tenants_of(size: Size) -> int:
    """Tenants that meet at one limiter."""
    return max(10, round(size.tenants * size.spread / size.limiters))


def plan_of(tenant: int, tenants: int) -> str:
    at = tenant / tenants
    return "over" if at < OVER else "near" if at < OVER + NEAR else "far"


def wire_settings(size: Size, rate: float, quotas: bool) -> dict[str, Any]:
    """A limiter's settings in a fleet of the size, for tenants that ask it for ``rate`` together."""
    demand = rate / tenants_of(size) * size.spread  # of one tenant, at all its limiters
    tariffs = [
        {"name": name, "quota_rate": demand / share * quotas, "store_size": HOLD * demand / share * quotas}
        for name, share in DEMAND.items()
    ]
    return {
        "classes": [{"name": "read", "aim_s": 1.0, "effect": "idempotent", "worth": 1.0, "group": "all"}],
        "tariffs": tariffs, "n_instances": size.limiters, "me": 0, "my_zone": "zone-1",
        "limits": {"max_attempts": 2, "retry_after": True, "max_retry_after_s": 1.0, "dial_timeout_s": 0.25,
                   "conn_idle_s": 30.0},
        "specifics": {"has_counter": True, "count_wait_s": 0.05, "max_units": 1.0},
        "contract": {"stop_sending_within_s": 2.0},
    }  # fmt: skip


def schedule(rng: Random, rate: float, seconds: float, tenants: int) -> list[tuple[float, int]]:
    """Times and tenants of a Poisson stream of requests, all fixed beforehand."""
    made, at = list[tuple[float, int]](), rng.expovariate(rate)
    while at < seconds:
        made.append((at, rng.randrange(tenants)))
        at += rng.expovariate(rate)
    return made


@dataclass(slots=True)
class _Window:
    """What one run of a cell gave."""

    added: list[float] = field(default_factory=list)
    fresh: list[float] = field(default_factory=list)
    kept: list[float] = field(default_factory=list)
    refused: list[float] = field(default_factory=list)
    late: list[float] = field(default_factory=list)
    refused_plans: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    broken: int = 0
    open: int = 0
    wait: float = 0.0  # share of the run in which a process that takes part waited for a core, all added up


class _Load:
    """The clients: they send by the schedule, whatever comes back."""

    def __init__(self, fronts: list[Front], cell: Cell, size: Size, seed: int) -> None:
        self._fronts, self._cell, self._size, self._rng = fronts, cell, size, Random(seed)
        self._wheel, self._ids = Wheel(), count(seed << 24)

    def close(self) -> None:
        self._wheel.close()

    async def run(self, seconds: float) -> _Window:
        """One window; ``BrokenRunError`` where answers stay out."""
        window, tenants, begin = _Window(), tenants_of(self._size), time.monotonic() + 0.02
        for number, front in enumerate(self._fronts):
            for at, tenant in schedule(self._rng, self._cell.rate, seconds, tenants):
                plan = plan_of(tenant, tenants)
                id = f"{number:04x}{next(self._ids):012x}"
                path = f"/read?account={tenant:016x}"
                data = request(id, path, plan, TTL, self._size.spread)
                self._plan(window, front, begin + at, data, plan)
        await asyncio.sleep(begin - time.monotonic() + seconds + TAIL)
        until = time.monotonic() + TTL
        while window.open and time.monotonic() < until:
            await asyncio.sleep(0.02)
        if window.open:
            raise BrokenRunError(f"{self._cell.name}: {window.open} requests had no answer in {TTL} s")
        return window

    def _plan(self, window: _Window, front: Front, due: float, data: bytes, plan: str) -> None:
        def send() -> None:
            window.late.append(time.monotonic() - due)
            front.send(data, done)

        def done(answer: Answer) -> None:
            window.open -= 1
            took = answer.at - due
            if answer.status == 200:
                added = took - answer.served
                window.added.append(added)
                (window.fresh if answer.first else window.kept).append(added)
            elif answer.status == 429:
                window.refused.append(took)
                window.refused_plans[plan] += 1
            else:
                window.broken += 1

        window.open += 1
        self._wheel.at(due, send)


async def measure(cell: Cell, size: Size, effort: Effort, folder: Path) -> Seen:
    """All runs of a cell, on limiters and stand-ins of its own."""
    others = COUNTER_RATE * OTHERS
    counter = CounterSpec(rate=COUNTER_RATE, delay=cell.delay, others=others)
    async with AsyncExitStack() as stack:
        made = await stack.enter_async_context(
            peers(folder, cell.servers, cell.servers_spec, counter, effort.seed)
        )
        number = 1 if effort.quick else LIMITERS
        if cell.direct:
            started, addresses = [], made.dials[:number]
        else:
            settings = wire_settings(size, cell.rate, cell.quotas)
            known = hosts_of(cell.servers, made.dials)
            configs = [
                config(index, settings, made.counter, made.discovery, known, effort.seed + index)
                for index in range(number)
            ]
            started = await stack.enter_async_context(limiters(folder, configs))
            addresses = [limiter.address for limiter in started]
        fronts = [Front(address) for address in addresses]
        for front in fronts:
            await front.warm(LINES)
            stack.callback(front.close)
        load = _Load(fronts, cell, size, effort.seed)
        stack.callback(load.close)
        warm = WARM / 3 if effort.quick else WARM
        await guard(load.run(warm), made, *started)
        before = (await made.ask("stats"))["counter"].get("calls", 0)
        windows = list[_Window]()
        gc.collect()
        gc.disable()  # a collection of the client here would count as a limiter's
        try:
            for _ in range(effort.runs):
                waited, began = _waited(made, *started), time.monotonic()
                window = await guard(load.run(cell.seconds), made, *started)
                window.wait = (_waited(made, *started) - waited) / (time.monotonic() - began)
                windows.append(window)
        finally:
            gc.enable()
        calls = (await made.ask("stats"))["counter"].get("calls", 0) - before
    return _gather(cell, windows, calls)


def _waited(*processes: Process) -> float:
    return core_wait(os.getpid()) + sum(process.waited() for process in processes)


def _gather(cell: Cell, windows: list[_Window], calls: int) -> Seen:
    if any(not window.added for window in windows):
        raise BrokenRunError(f"{cell.name}: a run in which no request was served")
    broken = sum(window.broken for window in windows)
    served = sum(len(window.added) for window in windows)
    if broken > 0.02 * served:
        raise BrokenRunError(f"{cell.name}: {broken} requests failed beside {served} served")
    return Seen(
        runs=[percentiles(window.added) for window in windows],
        pooled=percentiles(value for window in windows for value in window.added),
        waits=[window.wait for window in windows],
        fresh=percentiles(value for window in windows for value in window.fresh),
        kept=percentiles(value for window in windows for value in window.kept),
        refused=percentiles(value for window in windows for value in window.refused),
        late=percentiles(value for window in windows for value in window.late)["p99"],
        served=served,
        turned=sum(len(window.refused) for window in windows),
        turned_far=sum(window.refused_plans["far"] for window in windows),
        broken=broken,
        dialled=sum(len(window.fresh) for window in windows),
        calls=calls,
    )


@dataclass(frozen=True, slots=True)
class Decision:
    """What the decisions cost, hollow: no socket, and time that only the events move."""

    request: dict[str, float]  # wall seconds of all events of one request, by percentile
    tick: dict[str, float]  # and of the tick once a second, during which requests wait
    cpu: float  # process seconds a request, ticks included


def decide(size: Size, servers: int, rate: float, seconds: float, seed: int) -> Decision:
    """Time ``Gateway.handle`` alone, under the load of ``measure``; counter and servers answer at once."""
    rng, gateway = Random(seed), Gateway(settings_from(wire_settings(size, rate, True)), seed, 0.0)
    due, order = list[tuple[float, int, model.Event, int]](), count()
    spent, ticks = defaultdict[int, float](float), list[float]()
    counted = dict[int, int]()  # who asked for a number last

    def put(when: float, event: model.Event, owner: int) -> None:
        heappush(due, (when, next(order), event, owner))

    entries = tuple(
        model.Endpoint(host.name, model.EndpointHealth.HEALTHY, host.site)
        for host in hosts_of(servers, ["127.0.0.1:1"])
    )
    gateway.handle(0.0, model.EndpointUpdate(entries, True))
    tenants = tenants_of(size)
    for id, (at, tenant) in enumerate(schedule(rng, rate, seconds, tenants)):
        plan = plan_of(tenant, tenants)
        put(at, model.Request(id, "read", plan, TTL, f"{tenant:016x}", serving_gateways=size.spread), id)
    put(0.0, model.TimerFired(0), -1)
    begin = time.process_time()
    while due and due[0][0] < seconds:
        now, _, event, owner = heappop(due)
        started = time.perf_counter()
        actions = gateway.handle(now, event)
        took = time.perf_counter() - started
        if isinstance(event, model.TimerFired):
            ticks.append(took)
        else:
            spent[owner] += took
        for action in actions:
            if isinstance(action, model.Forward):
                wait = rng.uniform(0.004, 0.016)
                done = model.AttemptCompleted(
                    action.request_id, 0, action.endpoint, model.CallStatus.OK, wait, True, {}
                )
                put(now + wait, done, action.request_id)
            elif isinstance(action, model.IncrementCounter):
                counted[action.counter_id] = owner
                put(
                    now + 0.001,
                    model.CounterReplied(action.counter_id, model.CallStatus.OK, action.amount),
                    owner,
                )
            elif isinstance(action, model.SetTimer):
                put(now + action.delay, model.TimerFired(action.token), -1)
    cpu = time.process_time() - begin
    return Decision(percentiles(spent.values()), percentiles(ticks), cpu / max(1, len(spent)))


def cells(size: Size, effort: Effort) -> dict[str, Cell]:
    """The set-ups by name; ``as is`` is the one that the budget is for."""
    share, seconds = size.rate / size.limiters, 0.5 if effort.quick else 1.2
    full = min(size.servers, 60) if effort.quick else size.servers
    still = ServersSpec(closing=0, slow=0)
    dialling = ServersSpec(closing=0, slow=0, keep=False)
    made = [
        Cell("as is", full, share, seconds * (1 if effort.quick else 3)),
        Cell("no quotas", full, share, seconds, quotas=False),
        Cell("kept", full, share, seconds, quotas=False, servers_spec=still),
        Cell("dialled", full, share, seconds, quotas=False, servers_spec=dialling),
        Cell("direct", full, share, seconds, quotas=False, servers_spec=still, direct=True),
    ]
    if effort.quick:
        return {cell.name: cell for cell in made}
    made.append(Cell("counter 4 ms away", full, share, seconds, delay=0.004))
    made += [Cell(f"{n} servers", n, share, seconds) for n in (60, 500, 1500) if n < full]
    made += [Cell(f"{part:g} of the rate", full, part * share, seconds) for part in (0.25, 0.5, 2.0)]
    return {cell.name: cell for cell in made}


async def _all(chosen: Sequence[Cell], size: Size, effort: Effort) -> dict[str, Seen]:
    async def one(cell: Cell) -> Seen:
        with TemporaryDirectory(prefix="latency-") as folder:
            return await measure(cell, size, effort, Path(folder))

    if effort.quick:  # at once, for no figure of a look counts
        made = await asyncio.gather(*(one(cell) for cell in chosen))
        return {cell.name: seen for cell, seen in zip(chosen, made, strict=True)}
    return {cell.name: await one(cell) for cell in chosen}  # in turn: not to wait for each other's cores


def run(size: Size, budget: Budget, effort: Effort) -> Result:
    """All cells, the split and the slopes; ``BrokenRunError`` as the test's record says."""
    chosen = cells(size, effort)
    seen = uvloop.run(_all(list(chosen.values()), size, effort))
    result, base = Result(), chosen["as is"]
    decision = decide(size, base.servers, base.rate, 10.0 if effort.quick else 60.0, effort.seed)
    _split(result, seen, decision, base, None if effort.quick else budget.added_p99)
    if not effort.quick:
        _slopes(result, seen, chosen, size)
    for name, one in seen.items():
        result.notes.append(_told(name, one))
    result.notes.append(
        "hollow servers: all share one process and 16 ports of 127.0.0.1, and differ by name only; the first "
        "port closes connections idle for 0.3 s, the second takes 1.5 ms for a connection's first request, "
        "which counts as dialling; service 4 to 16 ms. "
        f"Counter {COUNTER_RATE:.0f} calls/s, {OTHERS:.0%} of it taken by limiters that are not here "
        "(assumed). "
        "Limiters are not pinned to a core. A server that never comes up is not played."
    )
    return result


def _told(name: str, one: Seen) -> str:
    text = ", ".join(f"{p} {one.middle(p) * 1e3:.2f} ms ({one.spread(p)})" for p in ("p50", "p99"))
    text += f", p99.9 {one.pooled['p99.9'] * 1e3:.2f} ms"
    refusals = f", p99 of a refusal {one.refused['p99'] * 1e3:.2f} ms" if one.refused else ""
    return (
        f"{name}: added {text}; served {one.served}, dialled for {one.dialled}, refused {one.turned} "
        f"(far under quota {one.turned_far}){refusals}, failed {one.broken}, counter calls {one.calls}, "
        f"client late p99 {one.late * 1e3:.2f} ms, waiting for a core {min(one.waits):.0%} to "
        f"{max(one.waits):.0%} of a run (all processes added up)"
    )


def _split(
    result: Result, seen: dict[str, Seen], decision: Decision, base: Cell, budget: float | None
) -> None:
    whole, free, kept = seen["as is"], seen["no quotas"], seen["kept"]
    dialled, direct = seen["dialled"], seen["direct"]
    at = f"{base.servers} servers, {base.rate:.0f} requests/s a limiter"
    how = f"{at}: client's time from the schedule less the server's, "
    for part, limit in (("p50", None), ("p99", budget)):
        told = f"{how}median of runs ({whole.spread(part)})"
        result.figures.append(Figure(f"added {part}", "s", whole.middle(part), Origin.MEASURED, told, limit))
    still = whole.quietest
    result.figures += [
        Figure("added p99.9", "s", whole.pooled["p99.9"], Origin.MEASURED, f"{how}all {whole.served}"),
        Figure("added p99 of the quietest run", "s", whole.runs[still]["p99"], Origin.MEASURED,
               f"{how}the run that waited least for cores ({whole.waits[still]:.0%} of it)"),
    ]  # fmt: skip
    for part in ("p50", "p99"):

        def put(name: str, value: float, origin: Origin, how: str, part: str = part) -> None:
            result.figures.append(Figure(f"{name} {part}", "s", value, origin, how))

        wait = whole.middle(part) - free.middle(part)
        sockets = kept.middle(part) - direct.middle(part) - decision.request[part]
        put("decision", decision.request[part], Origin.MEASURED, f"{at}: Gateway.handle alone, by request")
        put("waiting for the counter", wait, Origin.DERIVED, "added as is less added without quotas")
        put("dialling", dialled.middle(part) - kept.middle(part), Origin.DERIVED,
            "added where each request dials less added where none does")  # fmt: skip
        put("sockets", sockets, Origin.DERIVED,
            "added over kept connections without quotas, less direct, less decision")  # fmt: skip
        put("client and loopback", direct.middle(part), Origin.MEASURED, "the same load without a limiter")
        if part in whole.fresh:
            put("added with a new dial", whole.fresh[part], Origin.MEASURED, "as is, by what the server saw")
        put(
            "added over a kept connection", whole.kept[part], Origin.MEASURED, "as is, by what the server saw"
        )
    result.figures += [
        Figure("tick p50", "s", decision.tick["p50"], Origin.MEASURED,
               f"{at}: once a second, and requests wait meanwhile"),
        Figure("decision cpu", "s", decision.cpu, Origin.MEASURED, f"{at}: a request, ticks included"),
        Figure("client late p99", "s", whole.late, Origin.MEASURED,
               "the client here, part of what is told as added"),
    ]  # fmt: skip


def _slopes(result: Result, seen: dict[str, Seen], chosen: dict[str, Cell], size: Size) -> None:
    share, full = size.rate / size.limiters, chosen["as is"].servers
    plain = {name: cell for name, cell in chosen.items() if cell.quotas and cell.delay < 0.001}
    sizes = [(c.servers, seen[n]) for n, c in plain.items() if c.rate == share]
    rates = [(c.rate, seen[n]) for n, c in plain.items() if c.servers == full]
    for part in ("p50", "p99"):
        for by, points in (("servers", sizes), ("requests/s", rates)):
            if len(points) > 1:
                ordered = sorted(points, key=lambda point: point[0])
                runs = [(x, [r[part] for r in one.runs]) for x, one in ordered]
                result.slopes.append(regression.line(f"added {part}", "s", by, dict(runs)))


TEST = ScaleTest("latency", "what is added to a request, and by which part", run)
