"""The command that simulates one fleet and prints what it found."""

from __future__ import annotations

import json
import math
from dataclasses import replace
from pathlib import Path
from typing import Any

import click

from scale.fleet.faults import FaultSchedule, Interval, Slowdown
from scale.fleet.parameters import COUNTER_CAPACITY, COUNTER_PARTITIONS
from scale.fleet.scale_test import SHORT_RUN, WARM_UP, like_fleets
from scale.fleet.scenario import Scenario
from scale.fleet.simulation import simulate
from scale.fleet.summary import summarize
from scale.fleet.text_report import format_summary
from scale.model import BrokenRunError, Size


@click.command()
@click.option("--limiters", default=42, show_default=True)
@click.option("--servers", default=340, show_default=True)
@click.option("--tenants", default=1500, show_default=True)
@click.option("--rate", default=3600.0, show_default=True, help="First tries a second of the whole fleet.")
@click.option(
    "--seconds",
    default=SHORT_RUN,
    show_default=True,
    help="Virtual, after the warm-up; at 108 the cut lasts a minute.",
)
@click.option("--warm-up", default=WARM_UP, show_default=True, help="Virtual seconds before these.")
@click.option("--spread", default=3, show_default=True, help="Limiters that serve one tenant.")
@click.option("--seed", default=1, show_default=True)
@click.option("--processes", default=4, show_default=True)
@click.option(
    "--calls", default=COUNTER_CAPACITY, show_default=True, help="Counter calls a second, all parts."
)
@click.option("--parts", default=COUNTER_PARTITIONS, show_default=True, help="Of the counter, by name.")
@click.option("--crowd", default=0, help="Fleets like this that share the counter; 0: 420 / limiters.")
@click.option("--lists", default=0.0, help="Calls a second that discovery serves; 0: it pushes to agents.")
@click.option(
    "--silence", nargs=2, type=float, multiple=True, help="Begin and end; the counter comes back empty."
)
@click.option(
    "--slow", nargs=3, type=float, multiple=True, help="Begin, end, and how many times slower it is."
)
@click.option("--package", default="", help="Another checkout whose decisions are played.")
@click.option("--progress", is_flag=True, help="Tell every 10 virtual seconds on standard error.")
@click.option("--json", "path", type=click.Path(path_type=Path), help="Write all figures there.")
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
    """Play one run of a fleet and print what it found."""
    size = Size(limiters=limiters, servers=servers, tenants=tenants, rate=rate, spread=spread)
    scenario = _scenario(size, **options)
    try:
        result = simulate(scenario, min(processes, limiters))
    except BrokenRunError as error:
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
    """The scenario that the options ask for."""
    return Scenario(
        size,
        _schedule(**faults),
        seed=seed,
        counter_capacity=calls,
        counter_partitions=parts,
        like_fleets=crowd or like_fleets(size, Size()),
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
    """The faults that the options ask for."""
    return replace(
        FaultSchedule.of(seconds, warm_up),
        counter_outages=tuple(Interval(*outage) for outage in silence),
        counter_slowdowns=tuple(Slowdown(*slowdown) for slowdown in slow),
    )


def _without_infinity(value: Any) -> Any:
    """JSON has no infinity: what did not happen is null there."""
    if isinstance(value, dict):
        return {key: _without_infinity(inner) for key, inner in value.items()}
    return None if value == math.inf else value
