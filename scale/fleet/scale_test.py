"""The fleet simulation as a scale test: reduced fleets for slopes, then the full size."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import Any

from scale import regression
from scale.fleet.faults import FULL_LENGTH_SECONDS, FaultSchedule
from scale.fleet.scenario import Scenario
from scale.fleet.simulation import simulate
from scale.fleet.summary import summarize
from scale.model import Budget, Effort, Figure, Origin, Result, RunFailedError, ScaleTest, Size, Slope

SHORT_RUN_SECONDS = 30.0  # virtual, for a run of a reduced fleet
WARM_UP_SECONDS = 20.0  # virtual; afterwards, service and counter calls no longer depend on the start
SIZE_FRACTIONS = (0.025, 0.05, 0.1, 1.0)
QUICK_SIZE_FRACTIONS = (0.0125, 0.025, 0.05, 0.1)
MAX_RUNS = 3  # maximum of runs of each reduced size; the full size is simulated once
MIN_ENDPOINTS_PER_ZONE = 4
# Estimates from the slopes of the memory scale test.
_ENDPOINT_BYTES = 900.0  # per endpoint at each limiter
_TENANT_BYTES = 1500.0  # per tenant at each limiter of its set
_PROCESS_BYTES = 60e6
_ASSUMPTIONS = (
    "assumed: 8 to 10 ms one way between regions; at 15 ms, far counter calls would miss their 30 ms timeout",
    "endpoints have two cores, so that the work stays within the stated range at half of the capacity",
    "connections are not modelled: for 1 s after a machine fails, attempts hang; later ones fail to connect",
    "a rejection by an overloaded endpoint is up to 10 ms late, a counter reply in the same zone up to 5 ms",
    "a reduced fleet shares the counter with as many fleets of its size as make up the full size",
)


def reduced_size(size: Size, fraction: float) -> Size:
    """Return the size of a smaller fleet with the same requests, endpoints and tenants per limiter."""
    limiters = max(size.spread, round(size.limiters * fraction))
    fraction = limiters / size.limiters
    return replace(
        size,
        limiters=limiters,
        servers=max(size.zones * MIN_ENDPOINTS_PER_ZONE, round(size.servers * fraction)),
        tenants=max(1, round(size.tenants * fraction)),
        rate=size.rate * fraction,
    )


def fleets_sharing_counter(size: Size, full_size: Size) -> int:
    """Return the number of fleets of ``size`` that make up the full size and share its counter."""
    return max(1, round(full_size.limiters / size.limiters))


@dataclass(slots=True)
class _SlopePoints:
    """The costs in the runs of each size, from which the slopes are derived."""

    # Counter calls and memory by the number of limiters, control CPU by the number of endpoints.
    counter_calls: dict[float, tuple[float, ...]] = field(default_factory=dict)
    memory: dict[float, tuple[float, ...]] = field(default_factory=dict)
    control_cpu: dict[float, tuple[float, ...]] = field(default_factory=dict)

    def add(self, size: Size, fleets: int, summaries: list[dict[str, Any]]) -> None:
        """Add the runs of one size, in which ``fleets`` fleets shared the counter."""
        totals = [summary["over all"] for summary in summaries]
        self.counter_calls[size.limiters] = tuple(
            summary["phases"]["calm"]["calls/s"] / fleets for summary in summaries
        )
        self.memory[size.limiters] = tuple(total["rss"] for total in totals)
        self.control_cpu[size.servers] = tuple(total["real control share of a core"] for total in totals)

    def slopes(self) -> list[Slope]:
        """Return the slopes of the costs."""
        return [
            regression.line("counter calls, calm", "calls/s", "limiters", self.counter_calls),
            regression.line("memory of all processes", "bytes", "limiters", self.memory),
            regression.line("decisions: control", "of a core", "servers", self.control_cpu),
        ]


def run(size: Size, budget: Budget, effort: Effort) -> Result:
    """Simulate reduced sizes for the slopes, then the full size.

    Raise ``RunFailedError`` if the size is out of range, or if a worker fails or exits.
    """
    if min(size.limiters, size.servers, size.tenants) < 1 or size.rate <= 0:
        raise RunFailedError(
            f"a fleet needs at least 1 limiter, 1 endpoint, 1 tenant and a rate above 0: {size}"
        )
    points = _SlopePoints()
    for fraction in QUICK_SIZE_FRACTIONS if effort.quick else SIZE_FRACTIONS:
        scenarios = _scenarios(size, fraction, effort)
        summaries = [
            summarize(scenario, simulate(scenario, min(effort.processes, scenario.size.limiters)))
            for scenario in scenarios
        ]
        last = scenarios[-1]
        points.add(last.size, last.fleets_sharing_counter, summaries)
    source = (
        f"one run of {last.size.limiters} limiters over {last.schedule.end:g} virtual s, seed {last.seed}"
    )
    return Result(
        slopes=points.slopes(), figures=_figures(summaries[-1], budget, source), notes=list(_ASSUMPTIONS)
    )


def _scenarios(size: Size, fraction: float, effort: Effort) -> list[Scenario]:
    """Return the scenarios of the runs of one size; each run has a different seed."""
    is_full_size = fraction == 1.0
    runs = 1 if is_full_size or effort.quick else min(MAX_RUNS, effort.runs)
    schedule = FaultSchedule.for_run(
        FULL_LENGTH_SECONDS if is_full_size else SHORT_RUN_SECONDS, WARM_UP_SECONDS
    )
    fleet = reduced_size(size, fraction)
    fleets = fleets_sharing_counter(fleet, size)
    return [
        Scenario(fleet, schedule, seed, fleets_sharing_counter=fleets)
        for seed in range(effort.seed, effort.seed + runs)
    ]


def _figures(summary: dict[str, Any], budget: Budget, source: str) -> list[Figure]:
    """Return the figures of the full size."""
    total = summary["over all"]
    phases = summary["phases"]

    def figure(name: str, unit: str, value: float, limit: float | None = None) -> Figure:
        return Figure(name, unit, value, Origin.MEASURED, source, limit)

    highest_call_rate = max(phase["calls/s"] for phase in phases.values())
    control_cpu = total["real control share of a core"]
    added_p99 = total["added p99"]
    return [
        *(figure(f"service, {name}", "share", phase["service"]) for name, phase in phases.items()),
        figure("service, whole run", "share", total["service"]),
        figure("units beyond quotas", "share", total["beyond"]),
        figure("tries refused with room", "share", total["with room"]),
        figure("counter calls, highest phase", "calls/s", highest_call_rate, budget.counter_calls),
        figure("counter calls, highest second", "calls/s", total["most calls in a second"]),
        figure("held for the counter, p99 of held", "s", total["held p99"]),
        figure("held for the counter, p99 of all tries", "s", added_p99, budget.added_p99),
        figure("decisions: control", "of a core", control_cpu, budget.control_cpu),
        figure("decisions: with requests", "of a core", total["real decision share of a core"]),
        figure("requests lost", "requests", total["lost"], 0.0),
        figure("ceilings passed", "tries", total["ceilings passed"], 0.0),
        figure("cold servers fallen", "servers", total["servers fallen"], 0.0),
        *(figure(f"recovery, {name}", "s", value) for name, value in total["recovery"].items()),
        figure("memory of all processes", "bytes", total["rss"]),
        figure("real time", "s", total["real seconds"]),
    ]


def memory(size: Size, effort: Effort) -> dict[str, float]:
    """Return the estimated peak memory in bytes, by the option that causes it."""
    return {
        "servers": size.limiters * size.servers * _ENDPOINT_BYTES,
        "tenants": size.tenants * size.spread * _TENANT_BYTES,
        "processes": (effort.processes + 1) * _PROCESS_BYTES,
    }


TEST = ScaleTest(
    "fleet",
    "the whole fleet in virtual time with a zone lost, a mass restart and a region cut off",
    run,
    memory,
)
