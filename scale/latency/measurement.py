"""The runs of a cell on real limiters, and what they gave."""

from __future__ import annotations

import asyncio
import gc
import os
import time
from collections.abc import Sequence
from contextlib import AsyncExitStack
from dataclasses import dataclass
from pathlib import Path
from statistics import median
from tempfile import TemporaryDirectory

from scale.http_client import HttpClient
from scale.latency.cells import Cell
from scale.latency.load import Load, Window
from scale.latency.percentiles import Percentile, Percentiles, percentiles
from scale.latency.workload import limiter_settings
from scale.model import BrokenRunError, Effort, Size
from scale.processes import (
    ChildProcess,
    Limiter,
    StandIns,
    guard,
    limiter_config,
    run_queue_seconds,
    start_limiters,
    start_stand_ins,
)
from scale.stand_ins.control import Setup
from scale.stand_ins.counter import CounterSpec
from scale.stand_ins.discovery import make_endpoints

LIMITERS = 3  # real ones, the spread of a tenant
COUNTER_RATE = 1100.0  # calls a second that the counter bears, between the 930 and the 1,300 seen of it
BACKGROUND_FRACTION = 0.7  # of that, taken by the limiters that are not here: assumed
CONNECTIONS = 24  # of the clients to a limiter, opened beforehand
WARM_UP_SECONDS = 1.5  # of load before the first run
QUICK_WARM_UP_SECONDS = WARM_UP_SECONDS / 3
MAX_BROKEN_FRACTION = 0.02  # of the served requests


@dataclass(slots=True)
class CellResult:
    """What the runs of a cell gave, in seconds."""

    runs: list[Percentiles]  # of what was added, by run
    pooled: Percentiles  # the same of all runs together
    added_on_new: Percentiles  # of them, over a new connection to the endpoint
    added_on_reused: Percentiles  # of them, over a reused one
    rejections: Percentiles  # time to a rejection
    core_waits: list[float]  # by run: see ``Window.core_wait``
    send_delay_p99: float  # by which the client here was late to write
    served: int
    rejected: int
    rejected_far: int  # of them, of tenants far under their quota
    broken: int
    connected: int  # requests for which a limiter opened a connection
    counter_calls: int

    def median(self, percentile: Percentile) -> float:
        """The median of the runs."""
        return median(run[percentile] for run in self.runs)

    @property
    def quietest_run(self) -> int:
        """Index of the run that waited least for cores."""
        return self.core_waits.index(min(self.core_waits))

    def spread(self, percentile: Percentile) -> str:
        """Least and most of the runs, in words."""
        values = [run[percentile] * 1e3 for run in self.runs]
        return f"{min(values):.2f} to {max(values):.2f} ms in {len(values)} runs"


@dataclass(frozen=True, slots=True)
class _Stage:
    """The processes of a cell, and the clients' connections to them."""

    stand_ins: StandIns
    limiters: list[Limiter]
    load: Load

    @property
    def processes(self) -> list[ChildProcess]:
        return [self.stand_ins, *self.limiters]

    def core_wait(self) -> float:
        """Seconds so far in which this process or one of the others waited for a core."""
        return run_queue_seconds(os.getpid()) + sum(process.run_queue_seconds() for process in self.processes)

    async def counter_calls(self) -> int:
        return (await self.stand_ins.stats()).counter.calls


async def measure(cell: Cell, size: Size, effort: Effort, folder: Path) -> CellResult:
    """All runs of a cell, on limiters and stand-ins of its own."""
    async with AsyncExitStack() as stack:
        stage = await _set_up(stack, cell, size, effort, folder)
        warm_up = QUICK_WARM_UP_SECONDS if effort.quick else WARM_UP_SECONDS
        await guard(stage.load.run(warm_up), *stage.processes)
        calls_before = await stage.counter_calls()
        gc.collect()
        gc.disable()  # a collection of the client here would count as a limiter's
        try:
            windows = [await _run_window(stage, cell) for _ in range(effort.runs)]
        finally:
            gc.enable()
        calls = await stage.counter_calls() - calls_before
    return _summarize(cell, windows, calls)


async def _set_up(stack: AsyncExitStack, cell: Cell, size: Size, effort: Effort, folder: Path) -> _Stage:
    counter = CounterSpec(
        rate=COUNTER_RATE,
        round_trip=cell.counter_round_trip,
        background_rate=COUNTER_RATE * BACKGROUND_FRACTION,
    )
    setup = Setup(cell.servers, cell.endpoints, counter, effort.seed)
    stand_ins = await stack.enter_async_context(start_stand_ins(folder, setup))
    number = 1 if effort.quick else LIMITERS
    if cell.direct:
        limiters = list[Limiter]()
        addresses = stand_ins.addresses.endpoints[:number]
    else:
        settings = limiter_settings(size, cell.rate, cell.quotas)
        known = make_endpoints(cell.servers, stand_ins.addresses.endpoints)
        configs = [
            limiter_config(
                index, settings, stand_ins.addresses, known, seed=effort.seed + index, with_counter=True
            )
            for index in range(number)
        ]
        limiters = await stack.enter_async_context(start_limiters(folder, configs))
        addresses = [limiter.address for limiter in limiters]
    clients = [HttpClient(address) for address in addresses]
    for client in clients:
        await client.open_connections(CONNECTIONS)
        stack.callback(client.close)
    load = Load(clients, cell, size, effort.seed)
    stack.callback(load.close)
    return _Stage(stand_ins, limiters, load)


async def _run_window(stage: _Stage, cell: Cell) -> Window:
    waited_before = stage.core_wait()
    began = time.monotonic()
    window = await guard(stage.load.run(cell.seconds), *stage.processes)
    window.core_wait = (stage.core_wait() - waited_before) / (time.monotonic() - began)
    return window


def _summarize(cell: Cell, windows: list[Window], counter_calls: int) -> CellResult:
    """``BrokenRunError`` where a run served nothing, or too many requests failed."""
    if any(not window.added for window in windows):
        raise BrokenRunError(f"{cell.name}: a run in which no request was served")
    broken = sum(window.broken for window in windows)
    served = sum(len(window.added) for window in windows)
    if broken > MAX_BROKEN_FRACTION * served:
        raise BrokenRunError(f"{cell.name}: {broken} requests failed beside {served} served")
    send_delays = percentiles(value for window in windows for value in window.send_delays)
    return CellResult(
        runs=[percentiles(window.added) for window in windows],
        pooled=percentiles(value for window in windows for value in window.added),
        added_on_new=percentiles(value for window in windows for value in window.added_on_new),
        added_on_reused=percentiles(value for window in windows for value in window.added_on_reused),
        rejections=percentiles(value for window in windows for value in window.rejections),
        core_waits=[window.core_wait for window in windows],
        send_delay_p99=send_delays[Percentile.P99],
        served=served,
        rejected=sum(len(window.rejections) for window in windows),
        rejected_far=sum(window.rejected_by_plan["far"] for window in windows),
        broken=broken,
        connected=sum(len(window.added_on_new) for window in windows),
        counter_calls=counter_calls,
    )


async def measure_all(cells: Sequence[Cell], size: Size, effort: Effort) -> dict[str, CellResult]:
    """The results of the cells by name."""

    async def measure_one(cell: Cell) -> CellResult:
        with TemporaryDirectory(prefix="latency-") as folder:
            return await measure(cell, size, effort, Path(folder))

    if effort.quick:  # at once, for no figure of a quick run counts
        results = await asyncio.gather(*(measure_one(cell) for cell in cells))
        return {cell.name: result for cell, result in zip(cells, results, strict=True)}
    # In turn: not to wait for each other's cores.
    return {cell.name: await measure_one(cell) for cell in cells}
