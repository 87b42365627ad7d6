"""The figures of the added latency, its parts and slopes."""

from __future__ import annotations

from typing import Any

import uvloop

from scale import regression
from scale.latency.cells import AS_IS, CONNECTING, DIRECT, NO_QUOTAS, REUSED, Cell, make_cells
from scale.latency.decisions import DecisionCost, measure_decisions
from scale.latency.measurement import BACKGROUND_FRACTION, COUNTER_CALLS_PER_SECOND, CellResult, measure_all
from scale.latency.percentiles import Percentile
from scale.model import Budget, Effort, Figure, Origin, Result, ScaleTest, Size

DECISION_SECONDS = 60.0  # virtual
QUICK_DECISION_SECONDS = 10.0
NEAR_COUNTER_ROUND_TRIP_SECONDS = 0.001  # cells with a longer one are not on a slope
MILLISECONDS_PER_SECOND = 1e3
REPORTED = (Percentile.P50, Percentile.P99)


def run(size: Size, budget: Budget, effort: Effort) -> Result:
    """Measure all cells, and derive the parts and the slopes."""
    cells = make_cells(size, effort)
    results = uvloop.run(measure_all(list(cells.values()), size, effort))
    base = cells[AS_IS]
    seconds = QUICK_DECISION_SECONDS if effort.quick else DECISION_SECONDS
    decision = measure_decisions(size, base.servers, base.rate, seconds, effort.seed)
    load = f"{base.servers} servers, {base.rate:.0f} requests/s a limiter"
    result = Result()
    _add_totals(result, results[AS_IS], load, None if effort.quick else budget.added_p99)
    for percentile in REPORTED:
        _add_parts(result, results, decision, load, percentile)
    _add_remaining(result, results[AS_IS], decision, load)
    if not effort.quick:
        _add_slopes(result, results, cells, size)
    result.add_notes([_describe(name, cell_result) for name, cell_result in results.items()])
    result.add_note(_conditions())
    return result


def _conditions() -> str:
    return (
        "simulated servers: all share one process and 16 ports of 127.0.0.1, and differ by name only; the "
        "first port closes connections idle for 0.3 s, the second takes 1.5 ms for a connection's first "
        "request, which counts as dialling; service 4 to 16 ms. "
        f"Counter {COUNTER_CALLS_PER_SECOND:.0f} calls/s, {BACKGROUND_FRACTION:.0%} of it used by the other "
        "limiters of the fleet (assumed). "
        "Limiters are not pinned to a core. A server that never starts is not simulated."
    )


def _describe(name: str, cell: CellResult) -> str:
    added = ", ".join(
        f"{percentile} {cell.median(percentile) * MILLISECONDS_PER_SECOND:.2f} ms ({cell.spread(percentile)})"
        for percentile in REPORTED
    )
    added += f", p99.9 {cell.pooled[Percentile.P99_9] * MILLISECONDS_PER_SECOND:.2f} ms"
    rejections = ""
    if cell.rejections:
        rejections = f", p99 of a refusal {cell.rejections[Percentile.P99] * MILLISECONDS_PER_SECOND:.2f} ms"
    return (
        f"{name}: added {added}; served {cell.served}, dialled for {cell.connected}, refused {cell.rejected} "
        f"(far under quota {cell.rejected_far}){rejections}, failed {cell.broken}, "
        f"counter calls {cell.counter_calls}, "
        f"client late p99 {cell.send_delay_p99 * MILLISECONDS_PER_SECOND:.2f} ms, waiting for a core "
        f"{min(cell.core_waits):.0%} to {max(cell.core_waits):.0%} of a run (all processes added up)"
    )


def _measured(name: str, seconds: float, how: str, budget: float | None = None) -> Figure:
    return Figure(name, "s", seconds, Origin.MEASURED, how, budget)


def _derived(name: str, seconds: float, how: str) -> Figure:
    return Figure(name, "s", seconds, Origin.DERIVED, how)


def _add_totals(result: Result, cell: CellResult, load: str, budget: float | None) -> None:
    """Add the latency of ``AS_IS``; ``budget`` in seconds applies to the 99th percentile."""
    how = f"{load}: client's time from the schedule less the server's, "
    quietest = cell.quietest_run
    p50 = Percentile.P50
    p99 = Percentile.P99
    result.add_figures(
        [
            _measured("added p50", cell.median(p50), f"{how}median of runs ({cell.spread(p50)})"),
            _measured("added p99", cell.median(p99), f"{how}median of runs ({cell.spread(p99)})", budget),
            _measured("added p99.9", cell.pooled[Percentile.P99_9], f"{how}all {cell.served}"),
            _measured(
                "added p99 of the quietest run",
                cell.runs[quietest][p99],
                f"{how}the run that waited least for cores ({cell.core_waits[quietest]:.0%} of it)",
            ),
        ]
    )


def _add_parts(
    result: Result,
    results: dict[str, CellResult],
    decision: DecisionCost,
    load: str,
    percentile: Percentile,
) -> None:
    """Add the parts of the latency: decision, counter, connecting and sockets."""
    added = {name: cell.median(percentile) for name, cell in results.items()}
    deciding = decision.request[percentile]
    result.add_figures(
        [
            _measured(f"decision {percentile}", deciding, f"{load}: Gateway.handle alone, by request"),
            _derived(
                f"waiting for the counter {percentile}",
                added[AS_IS] - added[NO_QUOTAS],
                "added as is less added without quotas",
            ),
            _derived(
                f"dialling {percentile}",
                added[CONNECTING] - added[REUSED],
                "added where each request dials less added where none does",
            ),
            _derived(
                f"sockets {percentile}",
                added[REUSED] - added[DIRECT] - deciding,
                "added over kept connections without quotas, less direct, less decision",
            ),
            _measured(f"client and loopback {percentile}", added[DIRECT], "the same load without a limiter"),
        ]
    )
    _add_by_connection(result, results[AS_IS], percentile)


def _add_by_connection(result: Result, as_is: CellResult, percentile: Percentile) -> None:
    """Add the latency over new and over reused connections to the endpoint."""
    how = "as is, by what the server saw"
    if percentile in as_is.added_on_new:
        result.add_figure(
            _measured(f"added with a new dial {percentile}", as_is.added_on_new[percentile], how)
        )
    result.add_figure(
        _measured(f"added over a kept connection {percentile}", as_is.added_on_reused[percentile], how)
    )


def _add_remaining(result: Result, as_is: CellResult, decision: DecisionCost, load: str) -> None:
    tick = decision.tick[Percentile.P50]
    result.add_figures(
        [
            _measured("tick p50", tick, f"{load}: once a second, and requests wait meanwhile"),
            _measured("decision cpu", decision.cpu, f"{load}: a request, ticks included"),
            _measured(
                "client late p99",
                as_is.send_delay_p99,
                "the client of the test, included in the added latency",
            ),
        ]
    )


def _add_slopes(result: Result, results: dict[str, CellResult], cells: dict[str, Cell], size: Size) -> None:
    """Add the slopes by endpoints and by rate, from cells that do not differ otherwise."""
    rate = size.rate / size.limiters
    servers = cells[AS_IS].servers
    comparable = [
        cell
        for cell in cells.values()
        if cell.quotas and cell.counter_round_trip < NEAR_COUNTER_ROUND_TRIP_SECONDS
    ]
    by_servers = {cell.servers: results[cell.name] for cell in comparable if cell.rate == rate}
    by_rate = {cell.rate: results[cell.name] for cell in comparable if cell.servers == servers}
    for percentile in REPORTED:
        series: tuple[tuple[str, dict[Any, CellResult]], ...] = (
            ("servers", by_servers),
            ("requests/s", by_rate),
        )
        for unit, by_size in series:
            if len(by_size) > 1:
                runs = {at: [run[percentile] for run in cell.runs] for at, cell in by_size.items()}
                result.add_slope(regression.line(f"added {percentile}", "s", unit, runs))


TEST = ScaleTest("latency", "what is added to a request, and by which part", run)
