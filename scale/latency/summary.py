"""The figures of the added latency, its parts and slopes."""

from __future__ import annotations

from typing import Any

import uvloop

from scale import regression
from scale.latency.cells import (
    AS_IS,
    NEW_CONNECTIONS,
    NO_QUOTAS,
    REUSED_CONNECTIONS,
    WITHOUT_LIMITER,
    Case,
    make_cases,
)
from scale.latency.decisions import DecisionCost, measure_decisions
from scale.latency.measurement import BACKGROUND_FRACTION, COUNTER_CALLS_PER_SECOND, CaseResult, measure_cases
from scale.latency.percentiles import Percentile
from scale.model import Budget, Effort, Figure, Origin, Result, ScaleTest, Size

DECISION_SECONDS = 60.0  # virtual
QUICK_DECISION_SECONDS = 10.0
# Cases with a round trip to the counter of this time or longer are left out of the slopes.
MAX_SLOPE_ROUND_TRIP_SECONDS = 0.001
MILLISECONDS_PER_SECOND = 1e3
REPORTED = (Percentile.P50, Percentile.P99)


def run(size: Size, budget: Budget, effort: Effort) -> Result:
    """Measure all cases, and derive the parts and the slopes."""
    cases = make_cases(size, effort)
    results = uvloop.run(measure_cases(list(cases.values()), size, effort))
    base = cases[AS_IS]
    seconds = QUICK_DECISION_SECONDS if effort.quick else DECISION_SECONDS
    decision = measure_decisions(size, base.servers, base.rate, seconds, effort.seed)
    load = f"{base.servers} servers, {base.rate:.0f} requests/s a limiter"
    result = Result()
    _add_totals(result, results[AS_IS], load, None if effort.quick else budget.added_p99)
    for percentile in REPORTED:
        _add_parts(result, results, decision, load, percentile)
    _add_tick_and_client(result, results[AS_IS], decision, load)
    if not effort.quick:
        _add_slopes(result, results, cases, size)
    result.add_notes([_describe(name, case_result) for name, case_result in results.items()])
    result.add_note(_conditions())
    return result


def _conditions() -> str:
    return (
        "simulated servers: all share one process and 16 ports of 127.0.0.1, and differ by name only; the "
        "first port closes connections idle for 0.3 s, the second needs 1.5 ms more for the first request "
        "of a connection, which counts as dialling; service time 4 to 16 ms. "
        f"Counter {COUNTER_CALLS_PER_SECOND:.0f} calls/s, {BACKGROUND_FRACTION:.0%} of it used by the other "
        "limiters of the fleet (assumed). "
        "Limiters are not pinned to a core. A server that never starts is not simulated."
    )


def _describe(name: str, case: CaseResult) -> str:
    added = ", ".join(
        f"{percentile} {case.median(percentile) * MILLISECONDS_PER_SECOND:.2f} ms "
        f"({case.range_text(percentile)})"
        for percentile in REPORTED
    )
    added += f", p99.9 {case.pooled[Percentile.P99_9] * MILLISECONDS_PER_SECOND:.2f} ms"
    rejections = ""
    if case.rejections:
        rejections = (
            f", p99 of a rejection {case.rejections[Percentile.P99] * MILLISECONDS_PER_SECOND:.2f} ms"
        )
    return (
        f"{name}: added {added}; served {case.served}, on new connections {case.served_on_new_connection}, "
        f"rejected {case.rejected} (far below quota {case.rejected_far_below_quota}){rejections}, "
        f"failed {case.failed}, "
        f"counter calls {case.counter_calls}, "
        f"client late p99 {case.send_delay_p99 * MILLISECONDS_PER_SECOND:.2f} ms, waiting for a core "
        f"{min(case.core_waits):.0%} to {max(case.core_waits):.0%} of a run (sum of all processes)"
    )


def _measured(name: str, seconds: float, how: str, budget: float | None = None) -> Figure:
    return Figure(name, "s", seconds, Origin.MEASURED, how, budget)


def _derived(name: str, seconds: float, how: str) -> Figure:
    return Figure(name, "s", seconds, Origin.DERIVED, how)


def _add_totals(result: Result, case: CaseResult, load: str, budget: float | None) -> None:
    """Add the latency of ``AS_IS``; ``budget``, in seconds, applies to the 99th percentile."""
    how = f"{load}: client's time since the scheduled moment minus the service time, "
    quietest = case.quietest_run
    p50 = Percentile.P50
    p99 = Percentile.P99
    result.add_figures(
        [
            _measured("added p50", case.median(p50), f"{how}median of runs ({case.range_text(p50)})"),
            _measured("added p99", case.median(p99), f"{how}median of runs ({case.range_text(p99)})", budget),
            _measured(
                "added p99.9", case.pooled[Percentile.P99_9], f"{how}all {case.served} served requests"
            ),
            _measured(
                "added p99 of the quietest run",
                case.runs[quietest][p99],
                f"{how}the run with the shortest wait for a core ({case.core_waits[quietest]:.0%} of it)",
            ),
        ]
    )


def _add_parts(
    result: Result,
    results: dict[str, CaseResult],
    decision: DecisionCost,
    load: str,
    percentile: Percentile,
) -> None:
    """Add the parts of the latency: decision, counter, connecting and sockets."""
    added = {name: case.median(percentile) for name, case in results.items()}
    deciding = decision.request[percentile]
    result.add_figures(
        [
            _measured(
                f"decision {percentile}",
                deciding,
                f"{load}: Gateway.handle alone, sum over the events of a request",
            ),
            _derived(
                f"waiting for the counter {percentile}",
                added[AS_IS] - added[NO_QUOTAS],
                "added latency of case 'as is' minus that of 'no quotas'",
            ),
            _derived(
                f"dialling {percentile}",
                added[NEW_CONNECTIONS] - added[REUSED_CONNECTIONS],
                "added latency of case 'dialled' minus that of 'kept'",
            ),
            _derived(
                f"sockets {percentile}",
                added[REUSED_CONNECTIONS] - added[WITHOUT_LIMITER] - deciding,
                "added latency of case 'kept' minus that of 'direct' and the decision",
            ),
            _measured(
                f"client and loopback {percentile}", added[WITHOUT_LIMITER], "the same load without a limiter"
            ),
        ]
    )
    _add_by_connection(result, results[AS_IS], percentile)


def _add_by_connection(result: Result, as_is: CaseResult, percentile: Percentile) -> None:
    """Add the latency over new and over reused connections to the endpoint."""
    how = "case 'as is', by whether the server received the request on a new connection"
    if percentile in as_is.added_on_new:
        result.add_figure(
            _measured(f"added with a new dial {percentile}", as_is.added_on_new[percentile], how)
        )
    result.add_figure(
        _measured(f"added over a kept connection {percentile}", as_is.added_on_reused[percentile], how)
    )


def _add_tick_and_client(result: Result, as_is: CaseResult, decision: DecisionCost, load: str) -> None:
    tick = decision.tick[Percentile.P50]
    result.add_figures(
        [
            _measured("tick p50", tick, f"{load}: once a second; requests wait while it runs"),
            _measured("decision cpu", decision.cpu, f"{load}: per request, ticks included"),
            _measured(
                "client late p99",
                as_is.send_delay_p99,
                "delay of the test's client after the scheduled time, included in the added latency",
            ),
        ]
    )


def _add_slopes(result: Result, results: dict[str, CaseResult], cases: dict[str, Case], size: Size) -> None:
    """Add the slopes by endpoints and by rate, each from cases that differ in nothing else."""
    rate = size.rate / size.limiters
    servers = cases[AS_IS].servers
    comparable = [
        case
        for case in cases.values()
        if case.quotas and case.counter_round_trip < MAX_SLOPE_ROUND_TRIP_SECONDS
    ]
    by_servers = {case.servers: results[case.name] for case in comparable if case.rate == rate}
    by_rate = {case.rate: results[case.name] for case in comparable if case.servers == servers}
    for percentile in REPORTED:
        series: tuple[tuple[str, dict[Any, CaseResult]], ...] = (
            ("servers", by_servers),
            ("requests/s", by_rate),
        )
        for unit, by_size in series:
            if len(by_size) > 1:
                runs = {
                    at: [run[percentile] for run in case_result.runs] for at, case_result in by_size.items()
                }
                result.add_slope(regression.line(f"added {percentile}", "s", unit, runs))


TEST = ScaleTest("latency", "latency that the limiter adds to a request, and its parts", run)
