"""The command that simulates one fleet and prints the summary."""

from __future__ import annotations

import json
import math
from dataclasses import replace
from pathlib import Path
from typing import Any

import click

from scale.fleet.faults import FaultSchedule, Interval, Slowdown
from scale.fleet.parameters import COUNTER_CALLS_PER_SECOND, COUNTER_PARTITIONS
from scale.fleet.scale_test import SHORT_RUN_SECONDS, WARM_UP_SECONDS, fleets_sharing_counter
from scale.fleet.scenario import Scenario
from scale.fleet.simulation import simulate
from scale.fleet.summary import summarize
from scale.fleet.text_report import format_summary
from scale.model import RunFailedError, Size


@click.command()
@click.option("--limiters", default=42, show_default=True)
@click.option("--servers", default=340, show_default=True)
@click.option("--tenants", default=1500, show_default=True)
@click.option("--rate", default=3600.0, show_default=True, help="New requests a second of the whole fleet.")
@click.option(
    "--seconds",
    default=SHORT_RUN_SECONDS,
    show_default=True,
    help="Virtual seconds after the warm-up; with 108 the network partition lasts 60 s.",
)
@click.option("--warm-up", default=WARM_UP_SECONDS, show_default=True, help="Virtual seconds of warm-up.")
@click.option("--spread", default=3, show_default=True, help="Limiters that serve one tenant.")
@click.option("--seed", default=1, show_default=True)
@click.option("--processes", default=4, show_default=True)
@click.option(
    "--calls",
    default=COUNTER_CALLS_PER_SECOND,
    show_default=True,
    help="Capacity of the counter: calls a second, all partitions together.",
)
@click.option("--parts", default=COUNTER_PARTITIONS, show_default=True, help="Partitions of the counter.")
@click.option("--crowd", default=0, help="Fleets of this size that share the counter; 0: 420 / limiters.")
@click.option(
    "--lists",
    default=0.0,
    help="Calls a second that discovery serves; 0: no calls, discovery notifies an agent of each limiter.",
)
@click.option(
    "--silence",
    nargs=2,
    type=float,
    multiple=True,
    help="Begin and end of a counter outage in virtual seconds; the outage deletes the totals.",
)
@click.option(
    "--slow",
    nargs=3,
    type=float,
    multiple=True,
    help="Begin and end in virtual seconds of a counter slowdown, and the factor on the service time.",
)
@click.option("--package", default="", help="Directory of another checkout, whose decisions are simulated.")
@click.option("--progress", is_flag=True, help="Print a line to standard error every 10 virtual seconds.")
@click.option("--json", "path", type=click.Path(path_type=Path), help="Write the summary to this file, too.")
def main(
    limiters: int,
    servers: int,
    tenants: int,
    rate: float,
    spread: int,
    processes: int,
    path: Path | None,
    **options: Any,
) -> None:
    """Simulate one fleet and print the summary."""
    size = Size(limiters=limiters, servers=servers, tenants=tenants, rate=rate, spread=spread)
    scenario = _scenario(size, **options)
    try:
        result = simulate(scenario, min(processes, limiters))
    except RunFailedError as error:
        raise click.ClickException(str(error)) from None
    summary = summarize(scenario, result)
    click.echo(format_summary(summary))
    if path is not None:
        path.write_text(json.dumps(_without_infinity(summary), indent=1))


def _scenario(
    size: Size,
    *,
    seed: int,
    calls: float,
    parts: int,
    crowd: int,
    lists: float,
    package: str,
    progress: bool,
    **faults: Any,
) -> Scenario:
    """Return the scenario that the options describe."""
    return Scenario(
        size,
        _schedule(**faults),
        seed=seed,
        counter_capacity=calls,
        counter_partitions=parts,
        fleets_sharing_counter=crowd or fleets_sharing_counter(size, Size()),
        package=str(Path(package).resolve()) if package else "",
        discovery_capacity=lists,
        progress=progress,
    )


def _schedule(
    *,
    seconds: float,
    warm_up: float,
    silence: tuple[tuple[float, float], ...],
    slow: tuple[tuple[float, float, float], ...],
) -> FaultSchedule:
    """Return the fault schedule that the options describe."""
    return replace(
        FaultSchedule.for_run(seconds, warm_up),
        counter_outages=tuple(Interval(*outage) for outage in silence),
        counter_slowdowns=tuple(Slowdown(*slowdown) for slowdown in slow),
    )


def _without_infinity(value: Any) -> Any:
    """Replace infinity, which JSON cannot represent, by None."""
    if isinstance(value, dict):
        return {key: _without_infinity(inner) for key, inner in value.items()}
    return None if value == math.inf else value
