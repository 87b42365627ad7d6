"""The whole fleet in virtual time: hollow limiters, stand-ins for all around them, and three troubles.

``python -m scale.fleet`` plays one run and prints it; ``TEST`` is what the shared command calls.
"""

from __future__ import annotations

import json
import math
from collections.abc import Iterable
from dataclasses import asdict, replace
from pathlib import Path
from typing import Any

import click

from scale import regression as fit
from scale.fleet import simulation as staging
from scale.fleet.simulation import Play, Played
from scale.fleet.tally import Tally
from scale.fleet.world import CORES, NOTICE, Timetable, World
from scale.model import BrokenRunError, Budget, Effort, Figure, Origin, Result, ScaleTest, Size

FULL, SHORT = 108.0, 30.0  # virtual seconds of a run: with a whole minute of the cut, and for a look
WARM_UP = 20.0  # virtual seconds before: service and counter calls of a fresh fleet are not those of the calm
A_SERVER, A_TENANT, A_PROCESS = 900.0, 1500.0, 60e6  # bytes, by the slopes of `state`
SHARES, QUICK_SHARES = (0.025, 0.05, 0.1, 1.0), (0.0125, 0.025, 0.05, 0.1)  # of the size
MOST_RUNS = 3  # of each reduced size; the whole is played once
BACK_WITHIN = 0.02  # of the calm service
CONTROL = ("tick", "list", "probed")  # what a limiter does whether or not requests come
EVENTS = (*CONTROL, "ask", "outcome", "counted")


def reduced(size: Size, share: float) -> Size:
    """The same fleet, smaller: as many requests, servers and tenants for each limiter."""
    limiters = max(size.spread, round(size.limiters * share))
    share = limiters / size.limiters
    return replace(
        size, limiters=limiters, servers=max(size.zones * 4, round(size.servers * share)),
        tenants=max(1, round(size.tenants * share)), rate=size.rate * share,
    )  # fmt: skip


def crowd(size: Size, whole: Size) -> int:
    """How many fleets of that size would share the counter of the whole one."""
    return max(1, round(whole.limiters / size.limiters))


def _finite(found: Any) -> Any:
    """JSON has no infinity: what did not happen is null there."""
    if isinstance(found, dict):
        return {key: _finite(value) for key, value in found.items()}
    return None if found == math.inf else found


def _share(part: float, whole: float) -> float:
    return part / whole if whole else 0.0


def percentile(waits: Iterable[tuple[int, int]], zeros: int, share: float) -> float:
    """Seconds that this share stays within: of waits in microseconds with their numbers, and zeros."""
    counted = sorted(waits)
    wanted = share * (zeros + sum(number for _, number in counted))
    seen = zeros
    for wait, number in counted:
        if seen >= wanted:
            break
        seen += number
        if seen >= wanted:
            return wait / 1e6
    return 0.0


def recovery(tally: Tally, table: Timetable, ended: float, until: float) -> float:
    """Seconds from a trouble's end until service is as in the calm for 3 s; infinite if not by ``until``."""
    calm = range(math.ceil(table.calm), int(table.zone_lost[0]))
    normal = _service(tally, calm)
    for second in range(math.ceil(ended), int(until) - 2):
        if _service(tally, range(second, second + 3)) >= normal - BACK_WITHIN:
            return max(0.0, second - ended)
    return math.inf


def _service(tally: Tally, seconds: Iterable[int]) -> float:
    counts = [tally.seconds[s] for s in seconds if s in tally.seconds]
    return _share(sum(c["served"] for c in counts), sum(c["asked"] for c in counts))


def warm_at(tally: Tally, table: Timetable) -> float:
    """Seconds from the zone's return until no limiter takes a server for cold; infinite if not by the cut.

    Only from when all have been told of the return: what is not known yet is not cold to anybody.
    """
    back = table.zone_lost[1]
    for second in range(math.ceil(back + NOTICE[1]), int(table.cut[0])):
        if not tally.seconds[second]["cold"]:
            return second + 1 - back
    return math.inf


def summary(play: Play, played: Played) -> dict[str, Any]:
    """All that one run found: by phase, and over the run; times in seconds, real ones named so."""
    tally, table, size = played.tally, play.timetable, play.size
    begins = [*table.phases(), ("end", table.seconds)]
    phases = dict[str, dict[str, Any]]()
    for (name, begin), (_, end), c in zip(begins, begins[1:], tally.phases, strict=False):
        lasted = max(1e-9, end - begin)
        refused = {k: v for k, v in sorted(c.items()) if k.startswith(("refused", "failed"))}
        phases[name] = {
            "seconds": lasted,
            "service": _share(c["served"], c["asked"]),
            "service basic": _share(c["served basic"], c["asked basic"]),
            "service volume": _share(c["served volume"], c["asked volume"]),
            "tries/s": c["tries"] / lasted,
            "attempts per try": _share(c["attempts"], c["tries"]),
            "beyond": _share(c["units beyond"], c["units sent"]),
            "beyond basic": _share(c["units beyond basic"], c["units sent basic"]),
            "beyond volume": _share(c["units beyond volume"], c["units sent volume"]),
            "with room": _share(c["with room"], c["tries"]),
            "with room by reason": {
                k.removeprefix("with room: "): _share(v, c["tries"])
                for k, v in sorted(c.items()) if k.startswith("with room: ")
            },
            "ended": {k: _share(v, c["tries"]) for k, v in refused.items()},
            "attempts": {
                k.removeprefix("attempts "): v for k, v in sorted(c.items()) if k.startswith("attempts ")
            },
            "held": _share(c["held"], c["tries"]),
            "calls/s": c["calls"] * play.crowd / lasted,
            "calls served/s": c["calls served"] * play.crowd / lasted,
            "calls timed out": _share(c["calls timed out"], c["calls"]),
            "calls per try": _share(c["calls"], c["tries"]),
            "units per call": _share(c["milliunits told"] / 1000, c["calls"]),
            "counter takes": _share(c["counter wait us"] / 1e6, c["calls served"]),
            "probes/s": c["probes"] / lasted,
            "busy": c["work us"] / 1e6 / lasted / (size.servers * CORES),
            "list calls": c["list calls"],
            "list calls in vain": c["list calls in vain"],
            "watch after": _share(c["watch wait ms"] / 1000, c["watches"]),
            "servers fallen": c["servers fallen"],
            "lost": c["lost"],
            "ceilings passed": c["ceilings passed"],
        }  # fmt: skip
    cost, limited = tally.cost, size.limiters * table.seconds
    tries = sum(c["tries"] for c in tally.phases)
    held = sum(tally.waits.values())
    sums = {k: sum(c[k] for c in tally.phases) for k in ("lost", "ceilings passed", "servers fallen")}
    next_trouble = table.restart, table.cut[0], table.seconds
    over = {
        "service": _share(sum(c["served"] for c in tally.phases), sum(c["asked"] for c in tally.phases)),
        "tries": tries,
        "work over the brief's": World(size, table, play.seed, play.parts, play.calls).work_scale,
        "beyond": _share(
            sum(c["units beyond"] for c in tally.phases), sum(c["units sent"] for c in tally.phases)
        ),
        "with room": _share(sum(c["with room"] for c in tally.phases), tries),
        "held p50": percentile(tally.waits.items(), 0, 0.5),
        "held p99": percentile(tally.waits.items(), 0, 0.99),
        "held p99.9": percentile(tally.waits.items(), 0, 0.999),
        "added p99": percentile(tally.waits.items(), max(0, tries - held), 0.99),
        "most calls in a second": max((c["calls made"] for c in tally.seconds.values()), default=0)
        * play.crowd,
        "events a limiter a second": sum(cost[f"{k}s"] for k in EVENTS) / limited,
        "real control share of a core": sum(cost[k] for k in CONTROL) / 1e9 / limited,
        "real decision share of a core": sum(cost[k] for k in EVENTS) / 1e9 / limited,
        "real us per event": {k: _share(cost[k] / 1e3, cost[f"{k}s"]) for k in EVENTS},
        "real CPU seconds per second": cost["process"] / 1e9 / table.seconds,
        "real seconds": played.real,
        "processes": played.processes,
        "rss": sum(tally.rss),
        "recovery": {
            "zone": recovery(tally, table, table.zone_lost[1], next_trouble[0]),
            "restart": recovery(tally, table, table.restart, next_trouble[1]),
            "cut": recovery(tally, table, table.cut[1], next_trouble[2]),
            "warm": warm_at(tally, table),
        },
        **sums,
    }  # fmt: skip
    seconds = {
        second: {
            "service": _service(tally, [second]), "calls/s": c["calls made"] * play.crowd, "cold": c["cold"],
        }
        for second, c in sorted(tally.seconds.items())
    }  # fmt: skip
    return {"play": asdict(play), "over all": over, "phases": phases, "seconds": seconds}


def show(found: dict[str, Any]) -> str:
    """The summary as text: a row for each figure, a column for each phase."""
    phases, over = found["phases"], found["over all"]
    rows = [f"{'':28}" + "".join(f"{name:>11}" for name in phases)]
    for key in next(iter(phases.values())):
        if isinstance(phases["calm"][key], dict):
            for what in sorted({w for p in phases.values() for w in p[key]}):
                cells = "".join(f"{p[key].get(what, 0):11.4g}" for p in phases.values())
                rows.append(f"  {(key + ' ' if key == 'with room by reason' else '') + what:26.26}" + cells)
        else:
            rows.append(f"{key:28}" + "".join(f"{p[key]:11.4g}" for p in phases.values()))
    for key, value in over.items():
        inner = value.items() if isinstance(value, dict) else [("", value)]
        rows += [f"{key + (': ' + name) * bool(name):34}{number:12.5g}" for name, number in inner]
    return "\n".join(rows)


def figures(found: dict[str, Any], budget: Budget, how: str) -> list[Figure]:
    """What the shared command checks and prints; of the whole size."""
    over, phases = found["over all"], found["phases"]
    measured = Origin.MEASURED

    def figure(name: str, unit: str, value: float, limit: float | None = None) -> Figure:
        return Figure(name, unit, value, measured, how, limit)

    rows = [figure(f"service, {name}", "share", p["service"]) for name, p in phases.items()]
    rows += [
        figure("service, whole run", "share", over["service"]),
        figure("units beyond quotas", "share", over["beyond"]),
        figure("tries refused with room", "share", over["with room"]),
        figure(
            "counter calls, highest phase", "calls/s", max(p["calls/s"] for p in phases.values()),
            budget.counter_calls,
        ),
        figure("counter calls, highest second", "calls/s", over["most calls in a second"]),
        figure("held for the counter, p99 of held", "s", over["held p99"]),
        figure("held for the counter, p99 of all tries", "s", over["added p99"], budget.added_p99),
        figure("decisions: control", "of a core", over["real control share of a core"], budget.control_cpu),
        figure("decisions: with requests", "of a core", over["real decision share of a core"]),
        figure("requests lost", "requests", over["lost"], 0.0),
        figure("ceilings passed", "tries", over["ceilings passed"], 0.0),
        figure("cold servers fallen", "servers", over["servers fallen"], 0.0),
        *(figure(f"recovery, {name}", "s", value) for name, value in over["recovery"].items()),
        figure("memory of all processes", "bytes", over["rss"]),
        figure("real time", "s", over["real seconds"]),
    ]  # fmt: skip
    return rows


def run(size: Size, budget: Budget, effort: Effort) -> Result:
    """Reduced sizes for slopes, then the whole; ``BrokenRunError`` where a worker fails or dies."""
    if min(size.limiters, size.servers, size.tenants) < 1 or size.rate <= 0:
        raise BrokenRunError("a fleet of nothing")
    result = Result()
    calls, memory, control = (list[tuple[float, tuple[float, ...]]]() for _ in range(3))
    for share in QUICK_SHARES if effort.quick else SHARES:
        small, whole = reduced(size, share), share == 1.0
        runs = 1 if whole or effort.quick else min(MOST_RUNS, effort.runs)
        found = list[dict[str, Any]]()
        for seed in range(effort.seed, effort.seed + runs):
            table = Timetable.of(FULL if whole else SHORT, WARM_UP)
            play = Play(small, table, seed, crowd=crowd(small, size))
            found.append(summary(play, staging.run(play, min(effort.processes, small.limiters))))
        over = [f["over all"] for f in found]
        calls.append(
            (small.limiters, tuple(f["phases"]["calm"]["calls/s"] / f["play"]["crowd"] for f in found))
        )
        memory.append((small.limiters, tuple(o["rss"] for o in over)))
        control.append((small.servers, tuple(o["real control share of a core"] for o in over)))
    result.slopes = [
        fit.line("counter calls, calm", "calls/s", "limiters", dict(calls)),
        fit.line("memory of all processes", "bytes", "limiters", dict(memory)),
        fit.line("decisions: control", "of a core", "servers", dict(control)),
    ]
    last = f"one run of {small.limiters} limiters over {table.seconds:g} virtual s, seed {seed}"
    result.figures = figures(found[-1], budget, last)
    result.notes = notes()
    return result


def notes() -> list[str]:
    """What the figures rest on."""
    return [
        "8 to 10 ms one way between regions is assumed: at 15 the far one could not use the counter in 30 ms",
        "servers have two cores, so that the work stays in the brief's range at half of the capacity",
        "connections are not modelled: for 1 s after a machine falls silent attempts hang, then dials fail",
        "a full server's answer is late by up to 10 ms, one of the counter from the same zone by up to 5 ms",
        "a reduced fleet shares its counter with as many like fleets as make up the whole",
    ]


@click.command()
@click.option("--limiters", default=42, show_default=True)
@click.option("--servers", default=340, show_default=True)
@click.option("--tenants", default=1500, show_default=True)
@click.option("--rate", default=3600.0, show_default=True, help="First tries a second of the whole fleet.")
@click.option(
    "--seconds",
    default=SHORT,
    show_default=True,
    help="Virtual, after the warm-up; at 108 the cut lasts a minute.",
)
@click.option("--warm-up", default=WARM_UP, show_default=True, help="Virtual seconds before these.")
@click.option("--spread", default=3, show_default=True, help="Limiters that serve one tenant.")
@click.option("--seed", default=1, show_default=True)
@click.option("--processes", default=4, show_default=True)
@click.option(
    "--calls", default=staging.CAPACITY, show_default=True, help="Counter calls a second, all parts."
)
@click.option("--parts", default=staging.PARTS, show_default=True, help="Of the counter, by name.")
@click.option(
    "--crowd", "like", default=0, help="Fleets like this that share the counter; 0: 420 / limiters."
)
@click.option("--lists", default=0.0, help="Calls a second that discovery serves; 0: it pushes to agents.")
@click.option(
    "--silence", nargs=2, type=float, multiple=True, help="Begin and end; the counter comes back empty."
)
@click.option(
    "--slow", nargs=3, type=float, multiple=True, help="Begin, end, and how many times slower it is."
)
@click.option("--package", default="", help="Another checkout whose decisions are played.")
@click.option("--progress", is_flag=True, help="Tell every 10 virtual seconds on standard error.")
@click.option("--json", "file", type=click.Path(path_type=Path), help="Write all figures there.")
def main(
    limiters: int, servers: int, tenants: int, rate: float, seconds: float, warm_up: float, spread: int,
    seed: int, processes: int, calls: float, parts: int, like: int, lists: float, package: str,
    silence: tuple[tuple[float, float], ...], slow: tuple[tuple[float, float, float], ...], file: Path | None,
    progress: bool,
) -> None:  # fmt: skip
    """Play one run of a fleet and print what it found."""
    size = Size(limiters=limiters, servers=servers, tenants=tenants, rate=rate, spread=spread)
    shared = like or crowd(size, Size())
    package = str(Path(package).resolve()) if package else ""
    table = replace(Timetable.of(seconds, warm_up), silences=silence, slow=slow)
    play = Play(size, table, seed, calls, parts, shared, package, lists, progress)
    try:
        found = summary(play, staging.run(play, min(processes, limiters)))
    except BrokenRunError as error:
        raise click.ClickException(str(error)) from None
    click.echo(show(found))
    if file is not None:
        file.write_text(json.dumps(_finite(found), indent=1))


def held(size: Size, effort: Effort) -> dict[str, float]:
    """Bytes at once, by the option that asks for them: each limiter knows every server and its tenants."""
    return {
        "servers": size.limiters * size.servers * A_SERVER,
        "tenants": size.tenants * size.spread * A_TENANT,
        "processes": (effort.processes + 1) * A_PROCESS,
    }


TEST = ScaleTest(
    "fleet",
    "the whole fleet in virtual time with a zone lost, a mass restart and a region cut off",
    run,
    held,
)
