"""Processor time: a request with its outcome, a change of the list, a whole list, a tick, a reload."""

from __future__ import annotations

import gc
import json
from collections.abc import Callable
from dataclasses import asdict, replace
from functools import partial
from statistics import median
from time import process_time_ns
from typing import Any

from quota_gateway.decisions.gateway import FORGET
from quota_gateway.net.watch_event import parse_watch_event
from quota_gateway.settings import check_retuned, settings_from
from scale import load_profile, regression
from scale.hollow import Hollow
from scale.model import Budget, Effort, Figure, Origin, Result, ScaleTest, Size
from scale.sample_sizes import sample_sizes
from scale.worker import Job, call_all

FILL, LOAD = 20.0, 15.0  # emulated seconds in which all customers come, and of the load that is measured
CHANGES, WHOLE, RELOADS = 60, 5, 5  # of each in a run; the median counts
COSTS = {
    "request": "a request with its outcome",
    "counted": "an answer of the counter",
    "tick": "a tick",
    "change": "a change of the list",
    "parse": "reading a whole list",
    "list": "taking a whole list",
    "reload": "a reload",
}


def costs(size: dict[str, Any], wide: bool, seed: int) -> dict[str, float]:
    """Seconds of processor time of each, in a fresh process; a job."""
    limiter = Hollow(Size(**size), wide, seed)
    limiter.begin()
    gc.collect()
    gc.freeze()  # as the program does once it is ready
    limiter.fill(FILL)
    limiter.spent.clear()
    limiter.run(LOAD)
    found = {"request": limiter.mean("Request", "AttemptCompleted"), "tick": limiter.mean("TimerFired")}
    if "CounterReplied" in limiter.spent:
        found["counted"] = limiter.mean("CounterReplied")

    def change(line: str) -> None:
        limiter.feed(parse_watch_event(json.loads(line)).update)

    found["change"] = median(timed(partial(change, limiter.change())) for _ in range(CHANGES))
    whole = limiter.whole()
    found["parse"] = median(timed(lambda: parse_watch_event(json.loads(whole))) for _ in range(WHOLE))
    listing = parse_watch_event(json.loads(whole))
    found["list"] = median(timed(lambda: limiter.feed(listing.update)) for _ in range(WHOLE))
    texts = []
    for i in range(RELOADS):
        limiter.settings["classes"][0]["worth"] = 7.0 + i
        texts.append(json.dumps(limiter.settings))

    def reload(text: str) -> None:
        raw = json.loads(text)
        check_retuned(raw, limiter.settings)
        limiter.feed(settings_from(raw))

    found["reload"] = median(timed(partial(reload, text)) for text in texts)
    return found


def timed(work: Callable[[], object]) -> float:
    begun = process_time_ns()
    work()
    return (process_time_ns() - begun) / 1e9


def run(size: Size, budget: Budget, effort: Effort) -> Result:
    """Slopes by servers (customers as the spread has them) and by customers (all servers), and the share."""
    result = Result()
    by_servers = [(n, replace(size, servers=n), False) for n in sample_sizes(size.servers, effort)]
    top = by_servers[-1][1]
    by_customers = [(n, replace(top, tenants=n), True) for n in sample_sizes(size.tenants, effort)]
    at = [(*point, run) for point in (*by_servers, *by_customers) for run in range(effort.runs)]
    jobs: list[Job] = [
        ("scale.cpu:costs", {"size": asdict(one), "wide": wide, "seed": effort.seed + run})
        for _, one, wide, run in at
    ]
    found = list(zip(at, call_all(jobs, effort.processes), strict=True))
    for wide, by in ((False, "servers"), (True, "customers")):
        for key, name in COSTS.items():
            runs: dict[float, list[float]] = {}
            for (count, _, here, _), one in found:
                if here is wide and key in one:
                    runs.setdefault(count, []).append(one[key] * 1e6)
            if len(runs) > 1:
                result.slopes.append(regression.line(f"{name}, by {by}", "us", by, runs))
    spread = Hollow(top, False, 1)
    result.notes.append(
        f"by servers: {spread.tenants} customers at the limiter; by customers: {top.servers} servers, and "
        "every customer at the limiter; its load "
        f"is {spread.rate:.0f} requests a second at every point; process time, the program's own collector"
    )
    result.notes.append(
        "the sockets' part of a request, a call and a change, and the sweeps of connections, are not in it"
    )
    if not effort.quick:
        shares(size, budget, result)
    return result


def shares(size: Size, budget: Budget, result: Result) -> None:
    """The costs at the size, and the share of a core that control takes of them."""
    by_name = {one.name: one for one in result.slopes}
    steady = Hollow(size, True, 1).coming(FORGET)
    ends = (
        ("servers", size.servers, Hollow(size, False, 1).tenants, True),
        ("customers", size.tenants, size.tenants, True),
        ("customers", steady, steady, False),  # between the points: only a share is made of it
    )
    result.notes.append(
        f"at {size.rate / size.limiters:.0f} requests a second, with every customer at every limiter, "
        f"{steady} of {size.tenants} come within the {FORGET:.0f} s after which one is forgotten: "
        "the third share is the lines' at that number, the second that of a limiter that knows all"
    )
    for by, count, customers, measured in ends:
        cost = {
            key: regression.at(by_name[f"{name}, by {by}"], count)
            for key, name in COSTS.items()
            if f"{name}, by {by}" in by_name
        }
        end = f"{customers} customers at the limiter"
        for key, micros in cost.items() if measured else ():
            how = f"median at {size.servers} servers and {customers} customers"
            result.figures.append(Figure(f"{COSTS[key]}, {end}", "us", micros, Origin.MEASURED, how))
        # What the counter bears at least, shared evenly; a small fleet wants less, about one a request.
        counted = min(budget.counter_calls, size.rate) / size.limiters
        for roll in (False, True):
            changes, reloads = load_profile.list_changes(roll), load_profile.reloads(size)
            parts = {
                "ticks": cost["tick"],
                "changes": changes * cost["change"],
                "counter": counted * cost.get("counted", 0.0),
                "reloads": reloads * cost["reload"],
            }
            share = sum(parts.values()) / 1e6
            when = load_profile.when(roll)
            how = ", ".join(f"{name} {part / 1e4:.2f}%" for name, part in parts.items())
            how += f"; a second: 1 tick, {changes:.3f} changes, {counted:.2f} counter answers, "
            how += f"{reloads:.4f} reloads"
            name = f"control's share of a core, {end}, {when}"
            result.figures.append(
                Figure(name, "%", 100 * share, Origin.DERIVED, how, 100 * budget.control_cpu)
            )
        if not measured:
            continue
        whole = (cost["parse"] + cost["list"]) / 1e3
        how = "reading and taking it; the loop does nothing else meanwhile"
        result.figures.append(Figure(f"a whole list at once, {end}", "ms", whole, Origin.DERIVED, how))


TEST = ScaleTest(
    "cpu", "processor time of requests, ticks, lists and reloads; control's share of a core", run
)
