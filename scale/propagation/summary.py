"""The figures of how long a change takes to the median and the last limiter."""

from __future__ import annotations

from collections import defaultdict
from statistics import median

from scale import regression
from scale.model import Budget, Effort, Figure, Origin, Result, ScaleTest, Size
from scale.propagation.cases import Case, Fault, make_cases
from scale.propagation.discovery_clients import LIST_LENGTH, NOTIFY_TIMEOUT, Convergence, measure_groups
from scale.propagation.real_limiters import RealTimes, measure_real_limiters

MIN_GROUPS = 3  # of different sizes, for a slope


def run(size: Size, budget: Budget, effort: Effort) -> Result:
    """Real limiters, then groups of hollow ones; ``BrokenRunError`` as ``ScaleTest`` says."""
    result = Result()
    cases = make_cases(size, effort)
    _add_real_limiters(result, measure_real_limiters(size, effort), None if effort.quick else budget)
    runs = measure_groups(cases, effort)
    convergences = [[run.cases[index] for run in runs] for index in range(len(cases))]
    for case, by_run in zip(cases, convergences, strict=True):
        limit = _budget(case, budget) if _counts(case, size, budget, effort) else None
        _add_group(result, case, by_run, limit)
    _add_slopes(result, cases, convergences)
    lateness = max(run.lateness for run in runs)
    result.notes.append(
        f"hollow limiters: real discovery clients, {LIST_LENGTH} servers on the list, all cases of a run in "
        f"one loop, which was late by {lateness * 1e3:.0f} ms at most; {len(runs)} runs in processes "
        "side by side"
    )
    return result


def _add_real_limiters(result: Result, times: RealTimes, budget: Budget | None) -> None:
    _add_change(
        result,
        name="configuration",
        runs=times.config,
        servers=times.servers,
        how="from the first file written (then a signal each) until requests go by it",
        limit=budget.config_in_force if budget else None,
    )
    _add_change(
        result,
        name="list",
        runs=times.endpoints,
        servers=times.servers,
        how="from discovery's write until the last request to a drained server; they are some 0.1 s apart",
        limit=budget.list_in_force if budget else None,
    )
    if times.unused:
        result.notes.append(
            f"real limiters that sent nothing to the drained servers just before: {times.unused} in all runs"
        )


def _add_change(
    result: Result, name: str, runs: list[list[float]], servers: int, how: str, limit: float | None
) -> None:
    """Median and last limiter of a kind of change; ``runs`` and ``limit`` in seconds."""
    last = [max(times) for times in runs]
    middle = median(median(times) for times in runs)
    conditions = f"{len(runs[0])} real limiters, {servers} servers: {how}"
    spread = f"{min(last):.3f} to {max(last):.3f} s in {len(runs)} runs"
    measured = Origin.MEASURED
    result.figures += [
        Figure(f"{name} in force, median limiter", "s", middle, measured, conditions),
        Figure(
            f"{name} in force, last limiter", "s", median(last), measured, f"{conditions}; {spread}", limit
        ),
    ]


def _budget(case: Case, budget: Budget) -> float:
    return budget.config_in_force if case.fault is Fault.MOVED else budget.list_in_force


def _counts(case: Case, size: Size, budget: Budget, effort: Effort) -> bool:
    """Whether the case has a budget to keep.

    No limiter's choice of when to call makes the serving of all calls shorter than it takes.
    """
    is_achievable = case.min_serving_time < _budget(case, budget)
    return case.limiters == size.limiters and is_achievable and not effort.quick


def _add_group(result: Result, case: Case, runs: list[Convergence], limit: float | None) -> None:
    never = sum(run.never for run in runs)
    calls = median(run.calls for run in runs)
    lasts = [run.last for run in runs]
    how = f"{min(lasts):.2f} to {max(lasts):.2f} s in {len(runs)} runs, {calls:.0f} calls"
    if never:
        how += f", NEVER told {never} in all runs"
    if case.min_serving_time:
        how += f", line of {case.min_serving_time:.1f} s at least"
    last = case.min_serving_time + case.write_seconds + NOTIFY_TIMEOUT if never else median(lasts)
    middle = median(run.median for run in runs)
    name = f"{case.name}, {case.limiters} limiters"
    result.figures += [
        Figure(f"{name}: median", "s", middle, Origin.MEASURED, f"hollow; {len(runs)} runs"),
        Figure(f"{name}: last", "s", last, Origin.MEASURED, f"hollow; {how}", limit),
    ]


def _add_slopes(result: Result, cases: list[Case], convergences: list[list[Convergence]]) -> None:
    by_name: dict[str, dict[float, list[float]]] = defaultdict(dict)
    for case, runs in zip(cases, convergences, strict=True):
        by_name[case.name][float(case.limiters)] = [run.last for run in runs]
    for name, points in by_name.items():
        if len(points) >= MIN_GROUPS:
            result.slopes.append(regression.line(f"last limiter told: {name}", "s", "limiters", points))


TEST = ScaleTest("in_force", "how long a change of list or configuration takes to the last limiter", run)
