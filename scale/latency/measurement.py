"""The runs of a cell on real limiters, and their results."""

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
from typing import Any

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

LIMITERS = 3  # the spread of a tenant
COUNTER_CALLS_PER_SECOND = 1100.0  # served by the counter; operators report 930 to 1,300
BACKGROUND_FRACTION = 0.7  # of the counter's rate, used by the other limiters of the fleet (assumed)
CONNECTIONS = 24  # of the clients to a limiter, opened in advance
WARM_UP_SECONDS = 1.5  # of load before the first run
QUICK_WARM_UP_SECONDS = WARM_UP_SECONDS / 3
MILLISECONDS_PER_SECOND = 1e3
MAX_BROKEN_FRACTION = 0.02  # of the served requests


@dataclass(slots=True)
class CellResult:
    """The results of a cell's runs, in seconds."""

    runs: list[Percentiles]  # of the added latency, by run
    pooled: Percentiles  # of the added latency in all runs
    added_on_new: Percentiles  # over a new connection to the endpoint
    added_on_reused: Percentiles  # over a reused connection
    rejections: Percentiles  # time to a rejection
    core_waits: list[float]  # by run, see ``Window.core_wait``
    send_delay_p99: float  # of the client behind the schedule
    served: int
    rejected: int
    rejected_far: int  # of tenants far below their quota
    broken: int
    connected: int  # requests for which a limiter opened a connection
    counter_calls: int

    def median(self, percentile: Percentile) -> float:
        """Return the median of the runs."""
        return median(run[percentile] for run in self.runs)

    @property
    def quietest_run(self) -> int:
        """The index of the run with the shortest wait for cores."""
        return self.core_waits.index(min(self.core_waits))

    def spread(self, percentile: Percentile) -> str:
        """Return the range of the runs as text."""
        values = [run[percentile] * MILLISECONDS_PER_SECOND for run in self.runs]
        return f"{min(values):.2f} to {max(values):.2f} ms in {len(values)} runs"


@dataclass(frozen=True, slots=True)
class _CellProcesses:
    """The processes of a cell, and the load on them."""

    stand_ins: StandIns
    limiters: list[Limiter]
    load: Load

    @property
    def all(self) -> list[ChildProcess]:
        """The stand-ins and the limiters."""
        return [self.stand_ins, *self.limiters]

    def core_wait(self) -> float:
        """Return the seconds for which processes waited for a core so far, this one included."""
        return run_queue_seconds(os.getpid()) + sum(process.run_queue_seconds() for process in self.all)

    async def counter_calls(self) -> int:
        """Return the calls that the counter has served so far."""
        return (await self.stand_ins.stats()).counter.calls


async def measure(cell: Cell, size: Size, effort: Effort, directory: Path) -> CellResult:
    """Measure all runs of a cell, with limiters and stand-ins of its own."""
    async with AsyncExitStack() as stack:
        processes = await _set_up(stack, cell, size, effort, directory)
        warm_up = QUICK_WARM_UP_SECONDS if effort.quick else WARM_UP_SECONDS
        await guard(processes.load.run(warm_up), *processes.all)
        calls_before = await processes.counter_calls()
        gc.collect()
        gc.disable()  # a collection in this process would count as added latency
        try:
            windows = [await _run_window(processes, cell) for _ in range(effort.runs)]
        finally:
            gc.enable()
        calls = await processes.counter_calls() - calls_before
    return _summarize(cell, windows, calls)


async def _set_up(
    stack: AsyncExitStack, cell: Cell, size: Size, effort: Effort, directory: Path
) -> _CellProcesses:
    counter = CounterSpec(
        rate=COUNTER_CALLS_PER_SECOND,
        round_trip=cell.counter_round_trip,
        background_rate=COUNTER_CALLS_PER_SECOND * BACKGROUND_FRACTION,
    )
    setup = Setup(cell.servers, cell.endpoints, counter, effort.seed)
    stand_ins = await stack.enter_async_context(start_stand_ins(directory, setup))
    number = 1 if effort.quick else LIMITERS
    limiters = list[Limiter]()
    addresses = stand_ins.addresses.endpoints[:number]
    if not cell.direct:
        configs = _limiter_configs(cell, size, effort, stand_ins, number)
        limiters = await stack.enter_async_context(start_limiters(directory, configs))
        addresses = [limiter.address for limiter in limiters]
    clients = [HttpClient(address) for address in addresses]
    for client in clients:
        await client.open_connections(CONNECTIONS)
        stack.callback(client.close)
    load = Load(clients, cell, size, effort.seed)
    stack.callback(load.close)
    return _CellProcesses(stand_ins, limiters, load)


def _limiter_configs(
    cell: Cell, size: Size, effort: Effort, stand_ins: StandIns, number: int
) -> list[dict[str, Any]]:
    settings = limiter_settings(size, cell.rate, quotas=cell.quotas)
    known = make_endpoints(cell.servers, stand_ins.addresses.endpoints)
    return [
        limiter_config(
            index, settings, stand_ins.addresses, known, seed=effort.seed + index, with_counter=True
        )
        for index in range(number)
    ]


async def _run_window(processes: _CellProcesses, cell: Cell) -> Window:
    waited_before = processes.core_wait()
    started_at = time.monotonic()
    window = await guard(processes.load.run(cell.seconds), *processes.all)
    waited = processes.core_wait() - waited_before
    window.record_core_wait(waited / (time.monotonic() - started_at))
    return window


def _summarize(cell: Cell, windows: list[Window], counter_calls: int) -> CellResult:
    """Raise ``BrokenRunError`` if a run served no request, or if too many requests failed."""
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
    """Return the results of the cells by name."""

    async def measure_one(cell: Cell) -> CellResult:
        with TemporaryDirectory(prefix="latency-") as directory:
            return await measure(cell, size, effort, Path(directory))

    if effort.quick:  # at the same time, because figures of a quick run have no budget
        results = await asyncio.gather(*(measure_one(cell) for cell in cells))
        return {cell.name: result for cell, result in zip(cells, results, strict=True)}
    # One after the other, so that cells do not wait for the cores of others.
    return {cell.name: await measure_one(cell) for cell in cells}
