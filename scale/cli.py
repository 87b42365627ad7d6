"""The command: options and their checks, the tables, the file of results and the exit code."""

from __future__ import annotations

import json
import math
import os
import platform
import subprocess
import tempfile
from collections.abc import Sequence
from contextlib import suppress
from dataclasses import asdict
from datetime import UTC, datetime
from enum import Enum
from pathlib import Path
from statistics import median
from typing import Any, NoReturn

import click

from scale import regression
from scale.model import BrokenRunError, Budget, Effort, Figure, Result, ScaleTest, Size, Slope
from scale.registry import TESTS
from scale.worker import ROOT

WITHIN, PASSED, BAD_INPUT, BROKEN, INTERRUPTED = 0, 1, 2, 3, 130  # exit codes
# What is built by a test that does not say: a process with its tables for each, by `state`'s own slopes, and
# as much again while a whole list is read.
A_PROCESS, A_SERVER, A_TENANT, A_ROUTE = 60e6, 2000.0, 1500.0, 1500.0
MEMORY_SHARE = 0.5  # of the machine's memory that a run may hold
A_LIMITER = 2000.0  # requests a second: its decisions alone take a quarter of a core for them
MOST = {"limiters": 100_000, "servers": 1_000_000, "services": 1_000_000, "routes": 10_000_000,
        "tenants": 100_000_000, "rate": 1e9, "spread": 100_000, "regions": 1000, "zones": 10_000}  # fmt: skip


def bad(option: str, why: str) -> NoReturn:
    raise click.BadParameter(why, param_hint=f"'--{option}'")


def checked(size: Size, effort: Effort, tests: Sequence[ScaleTest], memory: float) -> None:
    """``BadParameter`` names the option whose size cannot be: by itself, by another one, or in ``memory``."""
    for name, most in MOST.items():
        value = getattr(size, name)
        if not math.isfinite(value) or value <= 0:
            bad(name, f"{value} is not above 0")
        if value > most:
            bad(name, f"{value} is more than any fleet has ({most:.0f} at most)")
    if size.rate / size.limiters > A_LIMITER:
        bad("rate", f"{size.rate / size.limiters:.0f} a limiter is more than one bears ({A_LIMITER:.0f})")
    for option, most_of in (("spread", "limiters"), ("services", "servers"), ("regions", "zones"),
                            ("zones", "servers")):  # fmt: skip
        if getattr(size, option) > getattr(size, most_of):
            bad(option, f"{getattr(size, option)} is more than --{most_of} {getattr(size, most_of)}")
    for test in tests:
        parts = test.memory(size, effort) if test.memory is not None else built(size, effort)
        if (need := sum(parts.values())) > MEMORY_SHARE * memory:
            largest = max(parts, key=lambda name: parts[name])
            bad(
                largest,
                f"{test.name} would hold {need / 1e9:.1f} GB, {parts[largest] / 1e9:.1f} of them for this; "
                f"half of this machine's memory is {MEMORY_SHARE * memory / 1e9:.1f} GB",
            )


def built(size: Size, effort: Effort) -> dict[str, float]:
    """Bytes that a run holds at once, by the option that asks for them."""
    each = {"servers": size.servers * A_SERVER, "tenants": size.tenants * A_TENANT,
            "routes": size.routes * A_ROUTE}  # fmt: skip
    # More processes than machines have are refused where they are asked for.
    held = {name: count * effort.processes for name, count in each.items()}
    return held | {"processes": A_PROCESS * effort.processes}


def machine_memory() -> float:
    return float(os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES"))


def number(value: float) -> str:
    """Four digits, and thousands parted."""
    if value == 0 or abs(value) >= 1000:
        return f"{value:,.0f}"
    digits = max(0, 3 - math.floor(math.log10(abs(value))))
    return f"{value:.{min(digits, 6)}f}"


def figure_rows(figures: Sequence[Figure]) -> list[tuple[str, ...]]:
    rows: list[tuple[str, ...]] = [("figure", "value", "unit", "budget", "", "origin", "how")]
    for one in figures:
        budget = number(one.budget) if one.budget is not None else ""
        verdict = ("ok" if one.passed else "OVER") if one.budget is not None else ""
        rows.append((one.name, number(one.value), one.unit, budget, verdict, one.origin.value, one.how))
    return rows


def slope_lines(slope: Slope) -> list[str]:
    doubt = regression.doubt(slope)
    lines = [
        f"{slope.name}: {slope.slope:.6g} {slope.unit} each of {slope.by}, {slope.intercept:.6g} at none, "
        f"residual {slope.residual:.1%}{f'  ** {doubt} **' * bool(doubt)}"
    ]
    for size, runs in slope.points:
        spread = f"[{number(min(runs))}..{number(max(runs))}]"
        lines.append(f"    {number(size):>10} {slope.by}: {number(median(runs)):>10} {spread}")
    return lines


def table(rows: Sequence[tuple[str, ...]]) -> list[str]:
    """Columns side by side; the last one is free."""
    widths = [max(len(row[i]) for row in rows) for i in range(len(rows[0]) - 1)]
    return [
        "  ".join([*(cell.ljust(width) for cell, width in zip(row, widths, strict=False)), row[-1]]).rstrip()
        for row in rows
    ]


def plain(value: Any) -> Any:
    """What JSON takes."""
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, dict):
        return {key: plain(one) for key, one in value.items()}
    return [plain(one) for one in value] if isinstance(value, list | tuple) else value


def commit() -> str | None:
    """The commit that was measured, with ``+`` where files differ from it."""
    try:
        told = ("describe", "--always", "--abbrev=40", "--dirty=+", "--exclude=*")
        done = subprocess.run(["git", *told], cwd=ROOT, capture_output=True, text=True, timeout=10)
    except (OSError, subprocess.TimeoutExpired):
        return None
    return done.stdout.strip() or None if done.returncode == 0 else None


def report(
    size: Size, budget: Budget, effort: Effort, results: dict[str, Result], broken: dict[str, str]
) -> dict[str, Any]:
    """All of a run, as it is kept."""
    tests = {}
    for name, result in results.items():
        tests[name] = plain(asdict(result))
        for row, figure in zip(tests[name]["figures"], result.figures, strict=True):
            row["passed"] = figure.passed
        for row, slope in zip(tests[name]["slopes"], result.slopes, strict=True):
            row["doubt"] = regression.doubt(slope)
    return {
        "date": datetime.now(UTC).isoformat(timespec="seconds"), "commit": commit(),
        "python": platform.python_version(),
        "machine": {"cores": os.cpu_count(), "memory": machine_memory(), "load": os.getloadavg()},
        "size": asdict(size), "budget": asdict(budget),
        "effort": asdict(effort), "tests": tests, "broken": broken,
    }  # fmt: skip


def write_whole(path: Path, content: dict[str, Any]) -> None:
    """Written beside the file and moved over it: nobody reads half of it. ``OSError``, ``ValueError``."""
    text = json.dumps(content, indent=1, allow_nan=False) + "\n"
    handle, beside = tempfile.mkstemp(dir=path.parent, prefix=f".{path.name}.")
    try:
        with os.fdopen(handle, "w", encoding="utf-8") as file:
            file.write(text)
            file.flush()
            os.fsync(file.fileno())
        os.chmod(beside, 0o644)
        os.replace(beside, path)
    except BaseException:
        with suppress(OSError):
            os.unlink(beside)
        raise


def show(results: dict[str, Result], broken: dict[str, str]) -> None:
    figures = [figure for result in results.values() for figure in result.figures]
    if figures:
        click.echo("\n".join(table(figure_rows(figures))) + "\n")
    for name, result in results.items():
        for slope in result.slopes:
            click.echo("\n".join(f"{name}: {line}" if not i else line
                                 for i, line in enumerate(slope_lines(slope))))  # fmt: skip
        for note in result.notes:
            click.echo(f"{name}: note: {note}")
    if broken:
        for name, cause in broken.items():
            click.echo(f"{name}: BROKEN: {cause}", err=True)
        click.echo(f"no figure of {', '.join(broken)} counts; "
                   f"{'those of ' + ', '.join(results) + ' stay' if results else 'there are no others'}",
                   err=True)  # fmt: skip
    over = [figure.name for figure in figures if not figure.passed]
    for line in over:
        click.echo(f"OVER: {line}", err=True)


def measure(
    tests: Sequence[ScaleTest], size: Size, budget: Budget, effort: Effort
) -> tuple[dict[str, Result], dict[str, str]]:
    """The results by test, and the causes of those that broke."""
    results, broken = dict[str, Result](), dict[str, str]()
    for test in tests:
        click.echo(f"{test.name}: {test.about}", err=True)
        try:
            result = test.run(size, budget, effort)
        except BrokenRunError as error:
            broken[test.name] = str(error)
            continue
        except KeyboardInterrupt:
            raise click.exceptions.Exit(INTERRUPTED) from None
        except Exception as error:  # left to Python it would end with 1, which says that a budget is passed
            broken[test.name] = f"the test itself failed: {error!r}"
            continue
        odd = [one.name for one in result.figures if not math.isfinite(one.value)]
        if odd:
            broken[test.name] = f"no number came of {odd[0]}"
        else:
            results[test.name] = result
    return results, broken


DEFAULT = Size()


@click.command(context_settings={"help_option_names": ["-h", "--help"]})
@click.argument("names", metavar="[TEST]...", nargs=-1)
@click.option("--limiters", type=int, default=DEFAULT.limiters, show_default=True)
@click.option("--servers", type=int, default=DEFAULT.servers, show_default=True)
@click.option("--services", type=int, default=DEFAULT.services, show_default=True)
@click.option("--routes", type=int, default=DEFAULT.routes, show_default=True)
@click.option("--tenants", type=int, default=DEFAULT.tenants, show_default=True)
@click.option("--rate", type=float, default=DEFAULT.rate, show_default=True, help="Requests/s of the fleet.")
@click.option("--spread", type=int, default=DEFAULT.spread, show_default=True, help="Limiters a tenant.")
@click.option("--regions", type=int, default=DEFAULT.regions, show_default=True)
@click.option("--zones", type=int, default=DEFAULT.zones, show_default=True)
@click.option("--runs", type=click.IntRange(1, 1000), default=5, show_default=True, help="Of each point.")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--processes", type=click.IntRange(1, 256), default=4, show_default=True, help="At a time.")
@click.option("--quick", is_flag=True, help="A tenth of each size: slopes only, no figures of the size.")
@click.option("--json", "path", type=click.Path(dir_okay=False, path_type=Path), help="Keep the results.")
@click.option("--list", "listed", is_flag=True, help="Name the tests and end.")
def main(
    names: tuple[str, ...], runs: int, seed: int, processes: int, quick: bool,
    path: Path | None, listed: bool, **sizes: Any,
) -> None:  # fmt: skip
    """What the limiter costs at a size: slopes, and what they come to beside the budget.

    Ends with 0: all within the budget; 1: a budget is passed; 2: bad input; 3: a run broke.
    """
    context = click.get_current_context()
    if listed:
        for test in TESTS:
            click.echo(f"{test.name}: {test.about}")
        return
    known = {test.name: test for test in TESTS}
    for name in names:
        if name not in known:
            raise click.BadParameter(f"no test {name!r}; there are {', '.join(known)}", param_hint="'TEST'")
    tests = [known[name] for name in dict.fromkeys(names)] or list(TESTS)
    size, effort = Size(**sizes), Effort(runs, seed, processes, quick)
    checked(size, effort, tests, machine_memory())
    if path is not None and not (path.parent.is_dir() and os.access(path.parent, os.W_OK)):
        bad("json", f"the folder of {path} cannot be written to")
    budget = Budget()
    results, broken = measure(tests, size, budget, effort)
    show(results, broken)
    if path is not None:
        try:
            write_whole(path, report(size, budget, effort, results, broken))
        except (OSError, ValueError) as error:
            click.echo(f"{path} was not written: {error}", err=True)
            context.exit(BROKEN)
    passed = all(figure.passed for result in results.values() for figure in result.figures)
    context.exit(BROKEN if broken else WITHIN if passed else PASSED)
