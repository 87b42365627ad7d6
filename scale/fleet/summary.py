"""Summarizes one run by phase, by second and in total, under the names of a run's JSON file."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable
from itertools import pairwise
from typing import Any

from scale.fleet.faults import FaultSchedule
from scale.fleet.parameters import ENDPOINT_CORES, NOTIFICATION_DELAY_SECONDS
from scale.fleet.scenario import Scenario, World
from scale.fleet.simulation import SimulationResult
from scale.fleet.tally import ALL_EVENTS, CONTROL_EVENTS, Tally

# The service counts as recovered if it is at most this much below its value without faults.
RECOVERY_TOLERANCE = 0.02
RECOVERY_SECONDS = 3  # time for which the service has to stay recovered
_MICROSECONDS_PER_SECOND = 1e6
_NANOSECONDS_PER_SECOND = 1e9
_MIN_PHASE_SECONDS = 1e-9  # avoids a division by zero


def summarize(scenario: Scenario, result: SimulationResult) -> dict[str, Any]:
    """Return the summary of one run; times are virtual seconds unless the name says "real"."""
    tally = result.tally
    begins = [phase.begin for phase in scenario.schedule.phases()]
    names = [phase.name for phase in scenario.schedule.phases()]
    ends = pairwise([*begins, scenario.schedule.end])
    return {
        "play": scenario.as_json(),
        "over all": _run_totals(scenario, result),
        "phases": {
            name: _phase_figures(counts, max(_MIN_PHASE_SECONDS, end - begin), scenario)
            for name, (begin, end), counts in zip(names, ends, tally.phases, strict=True)
        },
        "seconds": {
            second: {
                "service": _service(tally, [second]),
                "calls/s": counts["counter calls"] * scenario.fleets_sharing_counter,
                "cold": counts["endpoints warming up"],
            }
            for second, counts in sorted(tally.seconds.items())
        },
    }


def percentile(waits: Iterable[tuple[int, int]], without_wait: int, fraction: float) -> float:
    """Return a percentile of the waiting times in seconds; ``fraction`` is 0.99 for the 99th.

    ``waits`` are pairs (microseconds, number of requests); ``without_wait`` more requests did not wait.
    """
    sorted_waits = sorted(waits)
    rank = fraction * (without_wait + sum(number for _, number in sorted_waits))
    cumulative = without_wait
    for wait, number in sorted_waits:
        if cumulative >= rank:
            break
        cumulative += number
        if cumulative >= rank:
            return wait / _MICROSECONDS_PER_SECOND
    return 0.0


def _ratio(part: float, total: float) -> float:
    return part / total if total else 0.0


def _phase_figures(counts: Counter[str], seconds: float, scenario: Scenario) -> dict[str, Any]:
    """Return the figures of one phase."""
    return {
        "seconds": seconds,
        **_phase_service(counts, seconds),
        **_phase_outcomes(counts),
        **_phase_counter_calls(counts, seconds, scenario.fleets_sharing_counter),
        "probes/s": counts["health checks"] / seconds,
        "busy": counts["work us"]
        / _MICROSECONDS_PER_SECOND
        / seconds
        / (scenario.size.servers * ENDPOINT_CORES),
        "list calls": counts["discovery calls"],
        "list calls in vain": counts["discovery calls timed out"],
        "watch after": _ratio(counts["watch delay ms"] / 1000, counts["watches"]),
        "servers fallen": counts["endpoints failed"],
        "lost": counts["lost"],
        "ceilings passed": counts["ceilings exceeded"],
    }


def _phase_service(counts: Counter[str], seconds: float) -> dict[str, Any]:
    """Return the served fraction of the value within the quotas, and the usage beyond the quotas."""
    return {
        "service": _ratio(counts["served value"], counts["offered value"]),
        "service basic": _ratio(counts["served value basic"], counts["offered value basic"]),
        "service volume": _ratio(counts["served value volume"], counts["offered value volume"]),
        "tries/s": counts["requests"] / seconds,
        "attempts per try": _ratio(counts["attempts"], counts["requests"]),
        "beyond": _ratio(counts["units over quota"], counts["units sent"]),
        "beyond basic": _ratio(counts["units over quota basic"], counts["units sent basic"]),
        "beyond volume": _ratio(counts["units over quota volume"], counts["units sent volume"]),
    }


def _phase_outcomes(counts: Counter[str]) -> dict[str, Any]:
    """Return the outcomes of requests and attempts."""
    requests = counts["requests"]
    by_reason = _with_prefix(counts, "rejected within quota: ")
    ended = {key: counts[key] for key in sorted(counts) if key.startswith(("refused", "failed"))}
    return {
        "with room": _ratio(counts["rejected within quota"], requests),
        "with room by reason": {reason: _ratio(count, requests) for reason, count in by_reason.items()},
        "ended": {end: _ratio(count, requests) for end, count in ended.items()},
        "attempts": _with_prefix(counts, "attempts "),
        "held": _ratio(counts["waited for counter"], requests),
    }


def _phase_counter_calls(counts: Counter[str], seconds: float, fleets_sharing_counter: int) -> dict[str, Any]:
    """Return the figures of the calls to the counter."""
    calls = counts["counter calls"]
    served = counts["counter calls served"]
    return {
        "calls/s": calls * fleets_sharing_counter / seconds,
        "calls served/s": served * fleets_sharing_counter / seconds,
        "calls timed out": _ratio(counts["counter calls timed out"], calls),
        "calls per try": _ratio(calls, counts["requests"]),
        "units per call": _ratio(counts["counter milliunits"] / 1000, calls),
        "counter takes": _ratio(counts["counter latency us"] / _MICROSECONDS_PER_SECOND, served),
    }


def _with_prefix(counts: Counter[str], prefix: str) -> dict[str, int]:
    """Return the counts whose names begin with a prefix, by the rest of their names."""
    return {name.removeprefix(prefix): counts[name] for name in sorted(counts) if name.startswith(prefix)}


def _run_totals(scenario: Scenario, result: SimulationResult) -> dict[str, Any]:
    """Return the figures of the whole run."""
    tally = result.tally
    total = Counter[str]()
    for counts in tally.phases:
        total.update(counts)
    busiest_second = max((counts["counter calls"] for counts in tally.seconds.values()), default=0)
    return {
        "service": _ratio(total["served value"], total["offered value"]),
        "tries": total["requests"],
        "work over the brief's": World(scenario).work_scale,
        "beyond": _ratio(total["units over quota"], total["units sent"]),
        "with room": _ratio(total["rejected within quota"], total["requests"]),
        **_counter_waits(tally, total["requests"]),
        "most calls in a second": busiest_second * scenario.fleets_sharing_counter,
        **_costs(tally, scenario.size.limiters, scenario.schedule.end),
        "real seconds": result.elapsed,
        "processes": result.processes,
        "rss": sum(tally.peak_memory),
        "recovery": _recoveries(tally, scenario.schedule),
        "lost": total["lost"],
        "ceilings passed": total["ceilings exceeded"],
        "servers fallen": total["endpoints failed"],
    }


def _counter_waits(tally: Tally, requests: int) -> dict[str, float]:
    """Return percentiles of the wait for the counter, over the requests that waited and over all requests."""
    waited = sum(tally.waits.values())
    return {
        "held p50": percentile(tally.waits.items(), 0, 0.5),
        "held p99": percentile(tally.waits.items(), 0, 0.99),
        "held p99.9": percentile(tally.waits.items(), 0, 0.999),
        "added p99": percentile(tally.waits.items(), max(0, requests - waited), 0.99),
    }


def _costs(tally: Tally, limiters: int, seconds: float) -> dict[str, Any]:
    """Return the real processor time of the decisions and of the whole simulation."""
    cost = tally.cost
    limiter_seconds = limiters * seconds
    control = sum(cost[event] for event in CONTROL_EVENTS)
    decisions = sum(cost[event] for event in ALL_EVENTS)
    return {
        "events a limiter a second": sum(cost[f"{event}s"] for event in ALL_EVENTS) / limiter_seconds,
        "real control share of a core": control / _NANOSECONDS_PER_SECOND / limiter_seconds,
        "real decision share of a core": decisions / _NANOSECONDS_PER_SECOND / limiter_seconds,
        "real us per event": {event: _ratio(cost[event] / 1e3, cost[f"{event}s"]) for event in ALL_EVENTS},
        "real CPU seconds per second": cost["process"] / _NANOSECONDS_PER_SECOND / seconds,
    }


def _recoveries(tally: Tally, schedule: FaultSchedule) -> dict[str, float]:
    """Return the recovery time of each fault in seconds."""
    return {
        "zone": _recovery(tally, schedule, schedule.zone_outage.end, schedule.restart_at),
        "restart": _recovery(tally, schedule, schedule.restart_at, schedule.partition.begin),
        "cut": _recovery(tally, schedule, schedule.partition.end, schedule.end),
        "warm": _warm_up(tally, schedule),
    }


def _recovery(tally: Tally, schedule: FaultSchedule, fault_end: float, until: float) -> float:
    """Return the seconds from a fault's end to the recovery of service; infinity if it is after ``until``."""
    fault_free = range(math.ceil(schedule.fault_free_from), int(schedule.zone_outage.begin))
    fault_free_service = _service(tally, fault_free)
    for second in range(math.ceil(fault_end), int(until) - RECOVERY_SECONDS + 1):
        service = _service(tally, range(second, second + RECOVERY_SECONDS))
        if service >= fault_free_service - RECOVERY_TOLERANCE:
            return max(0.0, second - fault_end)
    return math.inf


def _warm_up(tally: Tally, schedule: FaultSchedule) -> float:
    """Return the seconds from the zone's return until no limiter has endpoints that are warming up.

    Return infinity if that does not happen before the partition. The search starts when all limiters have
    been notified of the return.
    """
    returned_at = schedule.zone_outage.end
    for second in range(
        math.ceil(returned_at + NOTIFICATION_DELAY_SECONDS[1]), int(schedule.partition.begin)
    ):
        if not tally.seconds[second]["endpoints warming up"]:
            return second + 1 - returned_at
    return math.inf


def _service(tally: Tally, seconds: Iterable[int]) -> float:
    """Return the served fraction of the value offered in these seconds of the run."""
    counts = [tally.seconds[second] for second in seconds if second in tally.seconds]
    served = sum(count["served value"] for count in counts)
    return _ratio(served, sum(count["offered value"] for count in counts))
