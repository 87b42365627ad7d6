"""The figures: the time until a change is in force at the median limiter and at the last one."""

from __future__ import annotations

from collections import defaultdict
from statistics import median

from scale import regression
from scale.model import Budget, Effort, Figure, Origin, Result, ScaleTest, Size
from scale.propagation.cases import Case, Fault, make_cases
from scale.propagation.discovery_clients import (
    LIST_LENGTH,
    NOTIFY_TIMEOUT_SECONDS,
    Convergence,
    measure_groups,
)
from scale.propagation.real_limiters import RealLimiterTimes, measure_real_limiters

MIN_GROUPS_FOR_SLOPE = 3  # groups of different sizes
MILLISECONDS_PER_SECOND = 1e3


def run(size: Size, budget: Budget, effort: Effort) -> Result:
    """Measure real limiters, then groups of discovery clients."""
    result = Result()
    cases = make_cases(size, effort)
    _add_real_limiters(result, measure_real_limiters(size, effort), None if effort.quick else budget)
    runs = measure_groups(cases, effort)
    convergences = [[run.convergences[index] for run in runs] for index in range(len(cases))]
    for case, by_run in zip(cases, convergences, strict=True):
        limit = _budget(case, budget) if _budget_applies(case, size, budget, effort) else None
        _add_group(result, case, by_run, limit)
    _add_slopes(result, cases, convergences)
    max_loop_delay = max(run.max_loop_delay for run in runs)
    result.add_note(
        f"groups of limiters: real discovery clients, {LIST_LENGTH} servers on the list; all cases of a run "
        f"share one event loop, whose delay was {max_loop_delay * MILLISECONDS_PER_SECOND:.0f} ms at most; "
        f"{len(runs)} runs in parallel processes"
    )
    return result


def _add_real_limiters(result: Result, times: RealLimiterTimes, budget: Budget | None) -> None:
    _add_change(
        result,
        name="configuration",
        runs=times.config,
        servers=times.servers,
        how="from writing the first configuration file (a limiter gets a signal after its file is written) "
        "until responses show the change",
        limit=budget.config_in_force if budget else None,
    )
    _add_change(
        result,
        name="list",
        runs=times.endpoints,
        servers=times.servers,
        how="from discovery's write until the last request to a drained server; "
        "such requests are about 0.1 s apart",
        limit=budget.list_in_force if budget else None,
    )
    if times.unused:
        result.add_note(
            "real limiters that did not use the drained servers shortly before the drain: "
            f"{times.unused} in all runs"
        )


def _add_change(
    result: Result, name: str, runs: list[list[float]], servers: int, how: str, limit: float | None
) -> None:
    """Add the median and the last limiter's time for a kind of change; ``runs`` and ``limit`` in seconds."""
    last = [max(times) for times in runs]
    median_time = median(median(times) for times in runs)
    conditions = f"{len(runs[0])} real limiters, {servers} servers: {how}"
    spread = f"{min(last):.3f} to {max(last):.3f} s in {len(runs)} runs"
    measured = Origin.MEASURED
    result.add_figures(
        [
            Figure(f"{name} in force, median limiter", "s", median_time, measured, conditions),
            Figure(
                f"{name} in force, last limiter",
                "s",
                median(last),
                measured,
                f"{conditions}; {spread}",
                limit,
            ),
        ]
    )


def _budget(case: Case, budget: Budget) -> float:
    return budget.config_in_force if case.fault is Fault.MOVED else budget.list_in_force


def _budget_applies(case: Case, size: Size, budget: Budget, effort: Effort) -> bool:
    """Whether the budget applies to the case.

    It does not if discovery needs longer than the budget to serve all limiters.
    """
    is_achievable = case.min_serving_time < _budget(case, budget)
    return case.limiters == size.limiters and is_achievable and not effort.quick


def _add_group(result: Result, case: Case, runs: list[Convergence], limit: float | None) -> None:
    never = sum(run.never for run in runs)
    calls = median(run.calls for run in runs)
    last_times = [run.last for run in runs]
    how = f"{min(last_times):.2f} to {max(last_times):.2f} s in {len(runs)} runs, {calls:.0f} calls"
    if never:
        how += f", clients NEVER notified: {never} in all runs"
    if case.min_serving_time:
        how += f", discovery needs at least {case.min_serving_time:.1f} s to serve all"
    last = (
        case.min_serving_time + case.write_seconds + NOTIFY_TIMEOUT_SECONDS if never else median(last_times)
    )
    median_time = median(run.median for run in runs)
    name = f"{case.name}, {case.limiters} limiters"
    result.add_figures(
        [
            Figure(
                f"{name}: median", "s", median_time, Origin.MEASURED, f"discovery clients; {len(runs)} runs"
            ),
            Figure(f"{name}: last", "s", last, Origin.MEASURED, f"discovery clients; {how}", limit),
        ]
    )


def _add_slopes(result: Result, cases: list[Case], convergences: list[list[Convergence]]) -> None:
    by_name: dict[str, dict[float, list[float]]] = defaultdict(dict)
    for case, runs in zip(cases, convergences, strict=True):
        by_name[case.name][float(case.limiters)] = [run.last for run in runs]
    for name, points in by_name.items():
        if len(points) >= MIN_GROUPS_FOR_SLOPE:
            result.add_slope(regression.line(f"last limiter told: {name}", "s", "limiters", points))


TEST = ScaleTest(
    "in_force", "time until a change of list or configuration is in force at the last limiter", run
)
