"""The slopes and figures of memory."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Sequence
from dataclasses import asdict, dataclass, field
from statistics import median
from typing import Any

from scale import load_profile, regression
from scale.memory.allocation import MemoryUse
from scale.memory.process import MAX_CONNECTIONS, TURNOVER, ProcessMemory
from scale.model import Budget, Effort, Figure, Origin, Result, ScaleTest, Size, Slope
from scale.sample_sizes import sample_sizes
from scale.simulated_limiter import SimulatedLimiter
from scale.worker import Job, run_jobs

IN_FLIGHT = 2000  # counter calls without a reply: far beyond any second's calls, for a slope that shows
CLASSES = 400
LOAD_SECONDS = 180.0  # emulated
CHURN_SECONDS = 3600.0  # emulated, after the load
MAX_PROCESS_RUNS = 3  # of the whole process: each is two hours' worth of ticks
MEGABYTE = 1e6


@dataclass(frozen=True, slots=True)
class Series:
    """One thing whose memory is measured at several counts."""

    name: str
    by: str  # what is counted
    each: str  # one of it, in words
    job: str
    full: int  # the largest count
    size_count: int | None  # how many there are at the size; None: no figure of all of them
    arguments: dict[str, Any] = field(default_factory=dict)


def make_series(size: Size) -> list[Series]:
    """All things that are measured one by one."""
    return [*_list_series(size), *_connection_series(), *_other_series(size)]


def _list_series(size: Size) -> list[Series]:
    given = {"size": asdict(size)}
    return [
        Series(
            name="state of the servers",
            by="servers",
            each="a server",
            job="scale.memory.decisions:memory_of_endpoints",
            full=size.servers,
            size_count=size.servers,
            arguments=given,
        ),
        Series(
            name="state of the customers",
            by="customers",
            each="a customer",
            job="scale.memory.decisions:memory_of_tenants",
            full=size.tenants,
            size_count=size.tenants,
            arguments=given,
        ),
    ]


def _connection_series() -> list[Series]:
    return [
        Series(
            name="clients' connections",
            by="connections",
            each="a client's connection",
            job="scale.memory.connections:memory_of_client_connections",
            full=MAX_CONNECTIONS,
            size_count=MAX_CONNECTIONS,
        ),
        Series(
            name="connections to servers",
            by="connections",
            each="a connection to a server",
            job="scale.memory.connections:memory_of_endpoint_connections",
            full=MAX_CONNECTIONS,
            size_count=MAX_CONNECTIONS,
        ),
    ]


def _other_series(size: Size) -> list[Series]:
    return [
        Series(
            name="counts in flight",
            by="counts",
            each="a count in flight",
            job="scale.memory.decisions:memory_of_counter_calls",
            full=IN_FLIGHT,
            size_count=None,
        ),
        Series(
            name="classes of the settings",
            by="classes",
            each="a class, for a route",
            job="scale.memory.decisions:memory_of_classes",
            full=CLASSES,
            size_count=size.routes,
        ),
    ]


def run(size: Size, budget: Budget, effort: Effort) -> Result:
    """Slopes of memory, and the whole process at both ends of the spread of customers."""
    result = Result()
    all_series = make_series(size)
    slopes = [measure_slopes(series, effort) for series in all_series]
    for found in slopes:
        result.slopes += found
    result.notes += _notes(size)
    if effort.quick:
        return result
    for series, (slope, *_) in zip(all_series, slopes, strict=True):
        _add_figures(result, series, slope)
    _add_processes(size, budget, effort, result)
    return result


def _notes(size: Size) -> list[str]:
    return [
        "missing: routes and services have no place in the settings; a class is the nearest thing, and what "
        f"{size.routes} routes would come to is reckoned as if each were one",
        "bytes are what tracemalloc counts in a fresh process; 'of the process' is its resident memory, "
        "tracemalloc's own included",
    ]


def measure_slopes(series: Series, effort: Effort) -> list[Slope]:
    """The allocated bytes by count; a second slope where the job measures the resident bytes as well."""
    counts = [count for count in sample_sizes(series.full, effort) for _ in range(effort.runs)]
    jobs = [Job(series.job, {"count": count, **series.arguments}) for count in counts]
    allocated: dict[float, list[float]] = defaultdict(list)
    resident: dict[float, list[float]] = defaultdict(list)
    for count, found in zip(counts, run_jobs(jobs, effort.processes), strict=True):
        memory = MemoryUse(**found)
        allocated[count].append(memory.allocated)
        if memory.resident is not None:
            resident[count].append(memory.resident)
    slopes = [regression.line(series.name, "bytes", series.by, allocated)]
    if resident:
        slopes.append(regression.line(f"{series.name}, of the process", "bytes in use", series.by, resident))
    return slopes


def _add_figures(result: Result, series: Series, slope: Slope) -> None:
    """One of a series, and all that there are at the size."""
    how = f"slope of '{series.name}'"
    result.figures.append(Figure(f"bytes of {series.each}", "B", slope.slope, Origin.MEASURED, how))
    count = series.size_count
    if count is not None:
        megabytes = slope.slope * count / MEGABYTE
        result.figures.append(
            Figure(f"{series.name}, {count}", "MB", megabytes, Origin.DERIVED, f"{how} x {count}")
        )


def _add_processes(size: Size, budget: Budget, effort: Effort, result: Result) -> None:
    """The whole process where few tenants meet at a limiter, and where all do."""
    runs = min(effort.runs, MAX_PROCESS_RUNS)
    # The longer ones first: they are what the run waits for.
    jobs = [
        _process_job(size, full_spread=full_spread, seed=effort.seed + run)
        for full_spread in (True, False)
        for run in range(runs)
    ]
    found = [ProcessMemory(**memory) for memory in run_jobs(jobs, effort.processes)]
    for full_spread, memories in ((False, found[runs:]), (True, found[:runs])):
        tenants = SimulatedLimiter(size, full_spread=full_spread, seed=effort.seed).tenants
        _add_process(result, f"{tenants} customers at a limiter", memories, budget.control_memory)
    result.notes.append(
        f"the hour of churn: the day's {load_profile.RESTARTS_PER_DAY} restarts and "
        f"{load_profile.FAILURES_PER_DAY} failures all come in it, a whole list once, and {TURNOVER:.0%} of "
        "the customers a minute go for good while as many come; the "
        f"load is {size.rate / size.limiters:.0f} requests a second, {LOAD_SECONDS:.0f} s of it "
        "before the hour"
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


def _add_process(result: Result, end: str, memories: Sequence[ProcessMemory], budget: float) -> None:
    """The figures of the runs at one end of the spread; ``budget`` in bytes."""
    stages = (
        ("before the list", [memory.at_start for memory in memories], None),
        ("with the list", [memory.with_list for memory in memories], None),
        (f"after {LOAD_SECONDS:.0f} s of load", [memory.after_load for memory in memories], budget),
        ("after an hour of churn", [memory.after_churn for memory in memories], budget),
    )
    for when, resident, limit in stages:
        megabytes = [value / MEGABYTE for value in resident]
        how = f"RSS, median of {len(memories)} runs [{min(megabytes):.1f}..{max(megabytes):.1f}]"
        name = f"whole process, {end}, {when}"
        limit_megabytes = limit / MEGABYTE if limit is not None else None
        result.figures.append(Figure(name, "MB", median(megabytes), Origin.MEASURED, how, limit_megabytes))
    harness = median(memory.harness for memory in memories) / MEGABYTE
    after_load = round(median(memory.tenants_after_load for memory in memories))
    after_churn = round(median(memory.tenants_after_churn for memory in memories))
    result.notes.append(
        f"whole process, {end}: {harness:.1f} MB of it are tables of the made customers and counter, not "
        "the limiter's (what they weigh by sys.getsizeof); open connections are not in it; after the "
        f"load it knew {after_load} customers, after the hour {after_churn}: who stays away for 60 s is "
        "forgotten"
    )


TEST = ScaleTest("state", "bytes of a server, customer, connection, count and class; the whole process", run)
