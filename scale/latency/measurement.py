"""The runs of a case on real limiters, and their results."""

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
from scale.latency.cells import Case
from scale.latency.load import LoadGenerator, RunMeasurements
from scale.latency.percentiles import Percentile, Percentiles, percentiles
from scale.latency.workload import limiter_settings
from scale.model import Effort, RunFailedError, Size
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

LIMITERS = 3  # as many as serve one tenant (``Size.spread``)
COUNTER_CALLS_PER_SECOND = 1100.0  # capacity of the counter; operators report 930 to 1,300
BACKGROUND_FRACTION = 0.7  # fraction of the counter's capacity that other limiters use (assumed)
CONNECTIONS_PER_LIMITER = 24  # opened by a client before the load starts
WARM_UP_SECONDS = 1.5  # duration of the load before the first run
QUICK_WARM_UP_SECONDS = WARM_UP_SECONDS / 3
MILLISECONDS_PER_SECOND = 1e3
MAX_FAILED_FRACTION = 0.02  # failed requests divided by served requests


@dataclass(slots=True)
class CaseResult:
    """The results of a case's runs, in seconds."""

    runs: list[Percentiles]  # added latency in each run
    pooled: Percentiles  # added latency over the requests of all runs
    added_on_new: Percentiles  # added latency on new connections to endpoints
    added_on_reused: Percentiles  # added latency on reused connections to endpoints
    rejections: Percentiles  # time from the schedule to the rejection
    core_waits: list[float]  # ``RunMeasurements.core_wait`` of each run
    send_delay_p99: float  # time from the schedule to the sending
    served: int
    rejected: int
    rejected_far_below_quota: int  # rejected requests of tenants far below their quota
    failed: int
    served_on_new_connection: int  # served requests for which a limiter opened a connection
    counter_calls: int

    def median(self, percentile: Percentile) -> float:
        """Return the median of a percentile over the runs."""
        return median(run[percentile] for run in self.runs)

    @property
    def quietest_run(self) -> int:
        """The index of the run in which the processes waited least for a core."""
        return self.core_waits.index(min(self.core_waits))

    def range_text(self, percentile: Percentile) -> str:
        """Return the range of a percentile over the runs as text."""
        values = [run[percentile] * MILLISECONDS_PER_SECOND for run in self.runs]
        return f"{min(values):.2f} to {max(values):.2f} ms in {len(values)} runs"


@dataclass(frozen=True, slots=True)
class _CaseProcesses:
    """The processes of a case, and the generator of their load."""

    stand_ins: StandIns
    limiters: list[Limiter]
    load: LoadGenerator

    @property
    def all(self) -> list[ChildProcess]:
        """The stand-ins and the limiters."""
        return [self.stand_ins, *self.limiters]

    def core_wait(self) -> float:
        """Return the total seconds that all processes, including this one, have waited for a core so far."""
        return run_queue_seconds(os.getpid()) + sum(process.run_queue_seconds() for process in self.all)

    async def counter_calls(self) -> int:
        """Return the number of calls that the counter has served so far."""
        return (await self.stand_ins.stats()).counter.calls


async def measure_case(case: Case, size: Size, effort: Effort, directory: Path) -> CaseResult:
    """Start limiters and stand-ins for a case, and measure its runs."""
    async with AsyncExitStack() as stack:
        processes = await _set_up(stack, case, size, effort, directory)
        warm_up = QUICK_WARM_UP_SECONDS if effort.quick else WARM_UP_SECONDS
        await guard(processes.load.run(warm_up), *processes.all)
        calls_before = await processes.counter_calls()
        gc.collect()
        gc.disable()  # a collection in this process would count as added latency
        try:
            runs = [await _measure_run(processes, case) for _ in range(effort.runs)]
        finally:
            gc.enable()
        calls = await processes.counter_calls() - calls_before
    return _summarize(case, runs, calls)


async def _set_up(
    stack: AsyncExitStack, case: Case, size: Size, effort: Effort, directory: Path
) -> _CaseProcesses:
    counter = CounterSpec(
        rate=COUNTER_CALLS_PER_SECOND,
        round_trip=case.counter_round_trip,
        background_rate=COUNTER_CALLS_PER_SECOND * BACKGROUND_FRACTION,
    )
    setup = Setup(case.servers, case.endpoints, counter, effort.seed)
    stand_ins = await stack.enter_async_context(start_stand_ins(directory, setup))
    number = 1 if effort.quick else LIMITERS
    limiters = list[Limiter]()
    addresses = stand_ins.addresses.endpoints[:number]
    if not case.direct:
        configs = _limiter_configs(case, size, effort, stand_ins, number)
        limiters = await stack.enter_async_context(start_limiters(directory, configs))
        addresses = [limiter.address for limiter in limiters]
    clients = [HttpClient(address) for address in addresses]
    for client in clients:
        await client.open_connections(CONNECTIONS_PER_LIMITER)
        stack.callback(client.close)
    load = LoadGenerator(clients, case, size, effort.seed)
    stack.callback(load.close)
    return _CaseProcesses(stand_ins, limiters, load)


def _limiter_configs(
    case: Case, size: Size, effort: Effort, stand_ins: StandIns, number: int
) -> list[dict[str, Any]]:
    settings = limiter_settings(size, case.rate, quotas=case.quotas)
    known = make_endpoints(case.servers, stand_ins.addresses.endpoints)
    return [
        limiter_config(
            index, settings, stand_ins.addresses, known, seed=effort.seed + index, with_counter=True
        )
        for index in range(number)
    ]


async def _measure_run(processes: _CaseProcesses, case: Case) -> RunMeasurements:
    waited_before = processes.core_wait()
    started_at = time.monotonic()
    measurements = await guard(processes.load.run(case.run_seconds), *processes.all)
    waited = processes.core_wait() - waited_before
    measurements.record_core_wait(waited / (time.monotonic() - started_at))
    return measurements


def _summarize(case: Case, runs: list[RunMeasurements], counter_calls: int) -> CaseResult:
    """Raise ``RunFailedError`` if a run served no request, or if too many requests failed."""
    if any(not run.added for run in runs):
        raise RunFailedError(f"{case.name}: no request was served in one of the runs")
    failed = sum(run.failed for run in runs)
    served = sum(len(run.added) for run in runs)
    if failed > MAX_FAILED_FRACTION * served:
        raise RunFailedError(
            f"{case.name}: {failed} requests failed and {served} were served; too many failed"
        )
    send_delays = percentiles(value for run in runs for value in run.send_delays)
    return CaseResult(
        runs=[percentiles(run.added) for run in runs],
        pooled=percentiles(value for run in runs for value in run.added),
        added_on_new=percentiles(value for run in runs for value in run.added_on_new),
        added_on_reused=percentiles(value for run in runs for value in run.added_on_reused),
        rejections=percentiles(value for run in runs for value in run.rejections),
        core_waits=[run.core_wait for run in runs],
        send_delay_p99=send_delays[Percentile.P99],
        served=served,
        rejected=sum(len(run.rejections) for run in runs),
        rejected_far_below_quota=sum(run.rejected_by_plan["far"] for run in runs),
        failed=failed,
        served_on_new_connection=sum(len(run.added_on_new) for run in runs),
        counter_calls=counter_calls,
    )


async def measure_cases(cases: Sequence[Case], size: Size, effort: Effort) -> dict[str, CaseResult]:
    """Return the results of the cases by name."""

    async def measure_one(case: Case) -> CaseResult:
        with TemporaryDirectory(prefix="latency-") as directory:
            return await measure_case(case, size, effort, Path(directory))

    if effort.quick:  # in parallel, because figures of a quick run have no budget
        results = await asyncio.gather(*(measure_one(case) for case in cases))
        return {case.name: result for case, result in zip(cases, results, strict=True)}
    # Sequentially, because parallel cases would compete for the cores.
    return {case.name: await measure_one(case) for case in cases}
