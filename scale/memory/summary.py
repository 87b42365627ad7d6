"""The slopes and figures of the memory."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Sequence
from dataclasses import asdict, dataclass, field
from statistics import median
from typing import Any

from scale import load_profile, regression
from scale.memory.allocation import MemoryUse
from scale.memory.process import MAX_CONNECTIONS, TURNOVER_FRACTION, ProcessMemory
from scale.model import Budget, Effort, Figure, Origin, Result, ScaleTest, Size, Slope
from scale.sample_sizes import sample_sizes
from scale.simulated_limiter import SimulatedLimiter
from scale.worker import Job, run_jobs

IN_FLIGHT_CALLS = 2000  # counter calls; far more than in operation, for a significant slope
CLASSES = 400
LOAD_SECONDS = 180.0  # virtual
CHURN_SECONDS = 3600.0  # virtual, after the load
MAX_PROCESS_RUNS = 3  # maximum of runs of the whole-process job, which takes long
BYTES_PER_MEGABYTE = 1e6


@dataclass(frozen=True, slots=True)
class Series:
    """A kind of object whose memory is measured at several counts."""

    name: str
    by: str  # name of the count
    object_name: str  # one object, as the figures name it
    job: str
    max_count: int  # largest measured count
    size_count: int | None  # number of objects at the size; None: no figure of their total memory
    arguments: dict[str, Any] = field(default_factory=dict)


def make_series(size: Size) -> list[Series]:
    """Return all kinds of objects."""
    return [*_list_series(size), *_connection_series(), *_other_series(size)]


def _list_series(size: Size) -> list[Series]:
    arguments = {"size": asdict(size)}
    return [
        Series(
            name="state of the servers",
            by="servers",
            object_name="a server",
            job="scale.memory.decisions:memory_of_endpoints",
            max_count=size.servers,
            size_count=size.servers,
            arguments=arguments,
        ),
        Series(
            name="state of the customers",
            by="customers",
            object_name="a customer",
            job="scale.memory.decisions:memory_of_tenants",
            max_count=size.tenants,
            size_count=size.tenants,
            arguments=arguments,
        ),
    ]


def _connection_series() -> list[Series]:
    return [
        Series(
            name="clients' connections",
            by="connections",
            object_name="a client's connection",
            job="scale.memory.connections:memory_of_client_connections",
            max_count=MAX_CONNECTIONS,
            size_count=MAX_CONNECTIONS,
        ),
        Series(
            name="connections to servers",
            by="connections",
            object_name="a connection to a server",
            job="scale.memory.connections:memory_of_endpoint_connections",
            max_count=MAX_CONNECTIONS,
            size_count=MAX_CONNECTIONS,
        ),
    ]


def _other_series(size: Size) -> list[Series]:
    return [
        Series(
            name="counts in flight",
            by="counts",
            object_name="a count in flight",
            job="scale.memory.decisions:memory_of_counter_calls",
            max_count=IN_FLIGHT_CALLS,
            size_count=None,
        ),
        Series(
            name="classes of the settings",
            by="classes",
            object_name="a class, for a route",
            job="scale.memory.decisions:memory_of_classes",
            max_count=CLASSES,
            size_count=size.routes,
        ),
    ]


def run(size: Size, budget: Budget, effort: Effort) -> Result:
    """Measure the slopes of the memory, and the whole process with the smallest and the full spread."""
    result = Result()
    all_series = make_series(size)
    slopes = [measure_slopes(series, effort) for series in all_series]
    for series_slopes in slopes:
        result.add_slopes(series_slopes)
    result.add_notes(_notes(size))
    if effort.quick:
        return result
    for series, (slope, *_) in zip(all_series, slopes, strict=True):
        _add_figures(result, series, slope)
    _add_processes(size, budget, effort, result)
    return result


def _notes(size: Size) -> list[str]:
    return [
        "not measured: routes and services, which the settings do not have. The memory of "
        f"{size.routes} routes is estimated as that of as many request classes",
        "bytes are counted by tracemalloc in a new process; slopes 'of the process' are of its resident "
        "memory, which includes that of tracemalloc",
    ]


def measure_slopes(series: Series, effort: Effort) -> list[Slope]:
    """Measure the allocated bytes by count, and the resident bytes if the job returns them."""
    counts = [count for count in sample_sizes(series.max_count, effort) for _ in range(effort.runs)]
    jobs = [Job(series.job, {"count": count, **series.arguments}) for count in counts]
    allocated: dict[float, list[float]] = defaultdict(list)
    resident: dict[float, list[float]] = defaultdict(list)
    for count, result in zip(counts, run_jobs(jobs, effort.processes), strict=True):
        memory = MemoryUse(**result)
        allocated[count].append(memory.allocated)
        if memory.resident is not None:
            resident[count].append(memory.resident)
    slopes = [regression.line(series.name, "bytes", series.by, allocated)]
    if resident:
        slopes.append(regression.line(f"{series.name}, of the process", "bytes in use", series.by, resident))
    return slopes


def _add_figures(result: Result, series: Series, slope: Slope) -> None:
    """Add the memory of one object, and of all objects at the size."""
    how = f"slope of '{series.name}'"
    result.add_figure(Figure(f"bytes of {series.object_name}", "B", slope.slope, Origin.MEASURED, how))
    count = series.size_count
    if count is not None:
        megabytes = slope.slope * count / BYTES_PER_MEGABYTE
        result.add_figure(
            Figure(f"{series.name}, {count}", "MB", megabytes, Origin.DERIVED, f"{how} x {count}")
        )


def _add_processes(size: Size, budget: Budget, effort: Effort, result: Result) -> None:
    """Add the whole process with the size's spread, and with each limiter serving all tenants."""
    runs = min(effort.runs, MAX_PROCESS_RUNS)
    # The longer jobs start first, so that they do not run alone at the end.
    jobs = [
        _process_job(size, full_spread=full_spread, seed=effort.seed + run)
        for full_spread in (True, False)
        for run in range(runs)
    ]
    results = [ProcessMemory(**memory) for memory in run_jobs(jobs, effort.processes)]
    for full_spread, memories in ((False, results[runs:]), (True, results[:runs])):
        tenants = SimulatedLimiter(size, full_spread=full_spread, seed=effort.seed).tenants
        _add_process(result, f"{tenants} customers at a limiter", memories, budget.control_memory)
    result.add_note(
        f"the hour of churn has the {load_profile.RESTARTS_PER_DAY} endpoint restarts and "
        f"{load_profile.FAILURES_PER_DAY} endpoint failures of a whole day, one complete endpoint list, and "
        f"each minute new customers in place of {TURNOVER_FRACTION:.0%} of the customers. The "
        f"load is {size.rate / size.limiters:.0f} requests a second, also in the {LOAD_SECONDS:.0f} s "
        "before that hour"
    )


def _process_job(size: Size, *, full_spread: bool, seed: int) -> Job:
    return Job(
        "scale.memory.process:measure_process",
        {
            "size": asdict(size),
            "full_spread": full_spread,
            "seed": seed,
            "load": LOAD_SECONDS,
            "churn": CHURN_SECONDS,
        },
    )


def _add_process(result: Result, condition: str, memories: Sequence[ProcessMemory], budget: float) -> None:
    """Add the figures of the runs with one spread; ``budget`` is in bytes."""
    stages = (
        ("before the list", [memory.at_start for memory in memories], None),
        ("with the list", [memory.with_list for memory in memories], None),
        (f"after {LOAD_SECONDS:.0f} s of load", [memory.after_load for memory in memories], budget),
        ("after an hour of churn", [memory.after_churn for memory in memories], budget),
    )
    for when, resident, limit in stages:
        megabytes = [value / BYTES_PER_MEGABYTE for value in resident]
        how = f"RSS, median of {len(memories)} runs [{min(megabytes):.1f}..{max(megabytes):.1f}]"
        name = f"whole process, {condition}, {when}"
        limit_megabytes = limit / BYTES_PER_MEGABYTE if limit is not None else None
        result.add_figure(Figure(name, "MB", median(megabytes), Origin.MEASURED, how, limit_megabytes))
    harness = median(memory.harness for memory in memories) / BYTES_PER_MEGABYTE
    after_load = round(median(memory.tenants_after_load for memory in memories))
    after_churn = round(median(memory.tenants_after_churn for memory in memories))
    result.add_note(
        f"whole process, {condition}: {harness:.1f} MB of it belong to the simulated customers and counter, "
        "not to the limiter (by sys.getsizeof). Open connections are not included. After the "
        f"load the limiter had {after_load} customers in memory, after the churn {after_churn}: it removes "
        "a customer after 60 s without requests"
    )


TEST = ScaleTest("state", "bytes of a server, customer, connection, count and class; the whole process", run)
