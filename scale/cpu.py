"""The test ``cpu``: processor time of requests, ticks, lists and reloads, and control's share of a core.

The test measures the decisions of a simulated limiter, without sockets. Control is all work other than
requests: ticks, changes of the endpoint list, counter replies and reloads.
"""

from __future__ import annotations

import gc
import json
from collections import defaultdict
from collections.abc import Callable
from dataclasses import asdict, dataclass, replace
from enum import StrEnum
from functools import partial
from statistics import median
from time import process_time_ns
from typing import Any

from quota_gateway import model
from quota_gateway.decisions.account_table import IDLE_ACCOUNT_SECONDS
from quota_gateway.net.discovery.watch_event import parse_watch_event
from quota_gateway.settings_parser import check_reloaded_settings, parse_settings
from scale import load_profile, regression
from scale.model import Budget, Effort, Figure, Origin, Result, ScaleTest, Size
from scale.sample_sizes import sample_sizes
from scale.simulated_limiter import SimulatedLimiter
from scale.worker import Job, run_jobs

FILL_SECONDS = 20.0  # virtual time in which each tenant sends its first request
LOAD_SECONDS = 15.0  # virtual time in which requests, ticks and counter replies are measured
# Repetitions of an operation in one run; its cost is their median.
LIST_CHANGES = 60
COMPLETE_LISTS = 5
RELOADS = 5
# Priority weight of the first request class in the first reload; each further reload adds 1.
FIRST_PRIORITY_WEIGHT = 7.0
NANOSECONDS_PER_SECOND = 1e9
MICROSECONDS_PER_SECOND = 1e6
MICROSECONDS_PER_MILLISECOND = 1e3
MICROSECONDS_PER_PERCENT = 1e4  # 1 % of a second


class Operation(StrEnum):
    """The operations whose processor time is measured."""

    REQUEST = "request"
    COUNTER_REPLY = "counted"
    TICK = "tick"
    CHANGE = "change"
    PARSE_LIST = "parse"
    APPLY_LIST = "list"
    RELOAD = "reload"


# Names of the operations in the figures, in the order of the figures.
DESCRIPTIONS = {
    Operation.REQUEST: "a request with its outcome",
    Operation.COUNTER_REPLY: "an answer of the counter",
    Operation.TICK: "a tick",
    Operation.CHANGE: "a change of the list",
    Operation.PARSE_LIST: "reading a whole list",
    Operation.APPLY_LIST: "taking a whole list",
    Operation.RELOAD: "a reload",
}
Costs = dict[Operation, float]


def measure_costs(size: dict[str, Any], *, full_spread: bool, seed: int) -> Costs:
    """Return the processor seconds of each operation; runs as a job, in a process of its own.

    With ``full_spread`` all limiters serve each tenant. Without counter calls the result has no
    ``COUNTER_REPLY``.
    """
    limiter = SimulatedLimiter(Size(**size), full_spread=full_spread, seed=seed)
    limiter.start()
    gc.collect()
    gc.freeze()  # as the limiter does at the end of its startup
    limiter.visit_all_tenants(FILL_SECONDS)
    limiter.costs.clear()
    limiter.run(LOAD_SECONDS)
    costs = _event_costs(limiter)
    costs[Operation.CHANGE] = median(
        _processor_seconds(partial(_apply_list, limiter, limiter.next_list_change()))
        for _ in range(LIST_CHANGES)
    )
    text = limiter.complete_list()
    costs[Operation.PARSE_LIST] = median(
        _processor_seconds(partial(_parse_list, text)) for _ in range(COMPLETE_LISTS)
    )
    update = _parse_list(text)
    costs[Operation.APPLY_LIST] = median(
        _processor_seconds(partial(limiter.handle, update)) for _ in range(COMPLETE_LISTS)
    )
    texts = _changed_settings(limiter)
    costs[Operation.RELOAD] = median(
        _processor_seconds(partial(_reload, limiter, changed)) for changed in texts
    )
    return costs


def _event_costs(limiter: SimulatedLimiter) -> Costs:
    """Return the mean costs of the requests, ticks and counter replies since the counts were cleared."""
    costs = {
        Operation.REQUEST: limiter.costs.mean_seconds(model.Request, model.AttemptCompleted),
        Operation.TICK: limiter.costs.mean_seconds(model.TimerFired),
    }
    if limiter.costs.count(model.CounterReplied):
        costs[Operation.COUNTER_REPLY] = limiter.costs.mean_seconds(model.CounterReplied)
    return costs


def _parse_list(text: str) -> model.EndpointUpdate:
    return parse_watch_event(json.loads(text)).update


def _apply_list(limiter: SimulatedLimiter, text: str) -> None:
    limiter.handle(_parse_list(text))


def _changed_settings(limiter: SimulatedLimiter) -> list[str]:
    texts = []
    for number in range(RELOADS):
        limiter.settings["classes"][0]["worth"] = FIRST_PRIORITY_WEIGHT + number
        texts.append(json.dumps(limiter.settings))
    return texts


def _reload(limiter: SimulatedLimiter, text: str) -> None:
    raw = json.loads(text)
    check_reloaded_settings(raw, limiter.settings)
    limiter.handle(parse_settings(raw))


def _processor_seconds(work: Callable[[], object]) -> float:
    """Return the processor seconds of a call."""
    started = process_time_ns()
    work()
    return (process_time_ns() - started) / NANOSECONDS_PER_SECOND


@dataclass(frozen=True, slots=True)
class Point:
    """A size at which the costs are measured."""

    by: str  # "servers" or "customers"
    count: int
    size: Size

    @property
    def full_spread(self) -> bool:
        """Whether all limiters serve each customer."""
        return self.by == "customers"


def make_points(size: Size, effort: Effort) -> list[Point]:
    """Return the points by servers, then the points by customers.

    Points by servers have the spread of ``size``; points by customers have the largest number of servers.
    """
    by_servers = [
        Point("servers", count, replace(size, servers=count)) for count in sample_sizes(size.servers, effort)
    ]
    largest = by_servers[-1].size
    by_customers = [
        Point("customers", count, replace(largest, tenants=count))
        for count in sample_sizes(size.tenants, effort)
    ]
    return by_servers + by_customers


def run(size: Size, budget: Budget, effort: Effort) -> Result:
    """Measure the slopes by servers and by customers, and derive the share of a core."""
    result = Result()
    points = make_points(size, effort)
    largest = next(point.size for point in reversed(points) if point.by == "servers")
    _add_slopes(result, points, effort)
    result.add_notes(_notes(SimulatedLimiter(largest, full_spread=False, seed=1)))
    if not effort.quick:
        _add_figures(size, budget, result)
    return result


def _add_slopes(result: Result, points: list[Point], effort: Effort) -> None:
    runs = [(point, run) for point in points for run in range(effort.runs)]
    jobs = [
        Job(
            "scale.cpu:measure_costs",
            {"size": asdict(point.size), "full_spread": point.full_spread, "seed": effort.seed + run},
        )
        for point, run in runs
    ]
    by_slope: dict[tuple[str, Operation], dict[float, list[float]]] = defaultdict(lambda: defaultdict(list))
    for (point, _), costs in zip(runs, run_jobs(jobs, effort.processes), strict=True):
        for operation, seconds in costs.items():
            by_slope[point.by, Operation(operation)][point.count].append(seconds * MICROSECONDS_PER_SECOND)
    for by in ("servers", "customers"):
        for operation in DESCRIPTIONS:
            by_count = by_slope[by, operation]
            if len(by_count) > 1:
                result.add_slope(regression.line(_slope_name(operation, by), "us", by, by_count))


def _slope_name(operation: Operation, by: str) -> str:
    return f"{DESCRIPTIONS[operation]}, by {by}"


def _notes(limiter: SimulatedLimiter) -> list[str]:
    return [
        f"slopes by servers: the limiter serves {limiter.tenants} customers; slopes by customers: the list "
        f"has {limiter.size.servers} servers, and the limiter serves every customer; at every point its load "
        f"is {limiter.rate:.0f} requests a second; process time, with garbage collection as in the program",
        "not included: socket operations of requests, counter calls and list changes; sweeps of connections",
    ]


def _add_figures(size: Size, budget: Budget, result: Result) -> None:
    """Add the costs at the full size, and control's share of a core."""
    recent_tenants = SimulatedLimiter(size, full_spread=True, seed=1).expected_tenants(IDLE_ACCOUNT_SECONDS)
    result.add_note(
        f"at {size.rate / size.limiters:.0f} requests a second, if each limiter serves every customer, "
        f"{recent_tenants} of {size.tenants} customers send a request within {IDLE_ACCOUNT_SECONDS:.0f} s, "
        "the time after which an idle account is removed: the second share of a core is that of a limiter "
        "with an account of every customer, the third is the slopes' value at the smaller number of customers"
    )
    served_tenants = SimulatedLimiter(size, full_spread=False, seed=1).tenants
    for costs, customers in (
        (_costs_at(result, "servers", size.servers), served_tenants),
        (_costs_at(result, "customers", size.tenants), size.tenants),
    ):
        customers_text = f"{customers} customers at the limiter"
        _add_costs(
            result, costs, customers_text, f"median at {size.servers} servers and {customers} customers"
        )
        _add_shares(result, costs, customers_text, size, budget)
        _add_list_time(result, costs, customers_text)
    # No run measured this number of customers: the slopes give a share of a core, but no measured costs.
    costs = _costs_at(result, "customers", recent_tenants)
    _add_shares(result, costs, f"{recent_tenants} customers at the limiter", size, budget)


def _costs_at(result: Result, by: str, count: int) -> Costs:
    """Return the microseconds of each operation at a number of servers or customers."""
    slopes = {slope.name: slope for slope in result.slopes}
    names = {operation: _slope_name(operation, by) for operation in DESCRIPTIONS}
    return {
        operation: regression.cost_at(slopes[name], count)
        for operation, name in names.items()
        if name in slopes
    }


def _add_costs(result: Result, costs: Costs, customers_text: str, how: str) -> None:
    for operation, microseconds in costs.items():
        name = f"{DESCRIPTIONS[operation]}, {customers_text}"
        result.add_figure(Figure(name, "us", microseconds, Origin.MEASURED, how))


def _add_shares(result: Result, costs: Costs, customers_text: str, size: Size, budget: Budget) -> None:
    """Add control's share of a core on an ordinary day and in a rolling restart of the fleet."""
    # Each limiter has an even share of the calls that the counter guarantees. A small fleet makes fewer,
    # about one call per request.
    reply_rate = min(budget.counter_calls, size.rate) / size.limiters
    reload_rate = load_profile.reload_rate(size)
    for rolling_restart in (False, True):
        change_rate = load_profile.list_change_rate(rolling_restart=rolling_restart)
        parts = {
            "ticks": costs[Operation.TICK],
            "changes": change_rate * costs[Operation.CHANGE],
            "counter": reply_rate * costs.get(Operation.COUNTER_REPLY, 0.0),
            "reloads": reload_rate * costs[Operation.RELOAD],
        }
        share = sum(parts.values()) / MICROSECONDS_PER_SECOND
        how = ", ".join(f"{name} {part / MICROSECONDS_PER_PERCENT:.2f}%" for name, part in parts.items())
        how += f"; per second: 1 tick, {change_rate:.3f} list changes, {reply_rate:.2f} counter replies, "
        how += f"{reload_rate:.4f} reloads"
        name = (
            f"control's share of a core, {customers_text}, "
            f"{load_profile.describe(rolling_restart=rolling_restart)}"
        )
        budget_percent = 100 * budget.control_cpu
        result.add_figure(Figure(name, "%", 100 * share, Origin.DERIVED, how, budget_percent))


def _add_list_time(result: Result, costs: Costs, customers_text: str) -> None:
    milliseconds = (costs[Operation.PARSE_LIST] + costs[Operation.APPLY_LIST]) / MICROSECONDS_PER_MILLISECOND
    how = "parsing and applying it; the event loop is blocked meanwhile"
    result.add_figure(
        Figure(f"a whole list at once, {customers_text}", "ms", milliseconds, Origin.DERIVED, how)
    )


TEST = ScaleTest(
    "cpu", "processor time of requests, ticks, lists and reloads; control's share of a core", run
)
