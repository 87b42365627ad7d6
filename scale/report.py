"""What a run found, as tables on the terminal and as a JSON file."""

from __future__ import annotations

import json
import math
import os
import platform
import subprocess
import tempfile
from collections.abc import Sequence
from contextlib import suppress
from dataclasses import asdict, dataclass, field
from datetime import UTC, datetime
from enum import Enum
from pathlib import Path
from statistics import median
from typing import Any

import click

from scale import regression
from scale.input_checks import machine_memory
from scale.model import Budget, Effort, Figure, Result, Size, Slope
from scale.worker import ROOT

FIGURE_HEADER = ("figure", "value", "unit", "budget", "", "origin", "how")
SIGNIFICANT_DIGITS = 4  # of a number in a table
MAX_DECIMALS = 6
GIT_TIMEOUT = 10.0  # seconds
FILE_MODE = 0o644


@dataclass(slots=True)
class Outcome:
    """What all tests of a run gave, by name."""

    results: dict[str, Result] = field(default_factory=dict)
    broken: dict[str, str] = field(default_factory=dict)  # causes of the tests that broke

    @property
    def figures(self) -> list[Figure]:
        """The figures of all tests that did not break."""
        return [figure for result in self.results.values() for figure in result.figures]


def format_number(value: float) -> str:
    """Four digits, and thousands separated."""
    if value == 0 or abs(value) >= 10 ** (SIGNIFICANT_DIGITS - 1):
        return f"{value:,.0f}"
    decimals = max(0, SIGNIFICANT_DIGITS - 1 - math.floor(math.log10(abs(value))))
    return f"{value:.{min(decimals, MAX_DECIMALS)}f}"


def figure_rows(figures: Sequence[Figure]) -> list[tuple[str, ...]]:
    """The table of figures, its header first."""
    rows: list[tuple[str, ...]] = [FIGURE_HEADER]
    for figure in figures:
        budget = format_number(figure.budget) if figure.budget is not None else ""
        verdict = ("ok" if figure.passed else "OVER") if figure.budget is not None else ""
        value = format_number(figure.value)
        rows.append((figure.name, value, figure.unit, budget, verdict, figure.origin.value, figure.how))
    return rows


def align_columns(rows: Sequence[tuple[str, ...]]) -> list[str]:
    """Columns side by side; the last one has no fixed width."""
    widths = [max(len(row[column]) for row in rows) for column in range(len(rows[0]) - 1)]
    lines = []
    for row in rows:
        cells = [cell.ljust(width) for cell, width in zip(row, widths, strict=False)]
        lines.append("  ".join([*cells, row[-1]]).rstrip())
    return lines


def slope_lines(slope: Slope) -> list[str]:
    """A slope with the runs at each of its sizes, a line each."""
    warning = regression.warning(slope)
    lines = [
        f"{slope.name}: {slope.slope:.6g} {slope.unit} each of {slope.by}, {slope.intercept:.6g} at none, "
        f"residual {slope.residual:.1%}{f'  ** {warning} **' if warning else ''}"
    ]
    for size, runs in slope.points:
        spread = f"[{format_number(min(runs))}..{format_number(max(runs))}]"
        middle = format_number(median(runs))
        lines.append(f"    {format_number(size):>10} {slope.by}: {middle:>10} {spread}")
    return lines


def print_outcome(outcome: Outcome) -> None:
    """Tables on standard output; broken tests and passed budgets on standard error."""
    figures = outcome.figures
    if figures:
        click.echo("\n".join(align_columns(figure_rows(figures))) + "\n")
    for name, result in outcome.results.items():
        for slope in result.slopes:
            click.echo(f"{name}: " + "\n".join(slope_lines(slope)))
        for note in result.notes:
            click.echo(f"{name}: note: {note}")
    _print_broken(outcome)
    for figure in figures:
        if not figure.passed:
            click.echo(f"OVER: {figure.name}", err=True)


def _print_broken(outcome: Outcome) -> None:
    if not outcome.broken:
        return
    for name, cause in outcome.broken.items():
        click.echo(f"{name}: BROKEN: {cause}", err=True)
    remaining = f"those of {', '.join(outcome.results)} stay" if outcome.results else "there are no others"
    click.echo(f"no figure of {', '.join(outcome.broken)} counts; {remaining}", err=True)


def json_report(size: Size, budget: Budget, effort: Effort, outcome: Outcome) -> dict[str, Any]:
    """All of a run, as it is kept in a file."""
    return {
        "date": datetime.now(UTC).isoformat(timespec="seconds"),
        "commit": measured_commit(),
        "python": platform.python_version(),
        "machine": {"cores": os.cpu_count(), "memory": machine_memory(), "load": os.getloadavg()},
        "size": asdict(size),
        "budget": asdict(budget),
        "effort": asdict(effort),
        "tests": {name: _json_result(result) for name, result in outcome.results.items()},
        "broken": outcome.broken,
    }


def _json_result(result: Result) -> dict[str, Any]:
    fields: dict[str, Any] = _to_json(asdict(result))
    for row, figure in zip(fields["figures"], result.figures, strict=True):
        row["passed"] = figure.passed
    for row, slope in zip(fields["slopes"], result.slopes, strict=True):
        row["doubt"] = regression.warning(slope)
    return fields


def _to_json(value: Any) -> Any:
    """The value in types that JSON has."""
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, dict):
        return {key: _to_json(item) for key, item in value.items()}
    return [_to_json(item) for item in value] if isinstance(value, list | tuple) else value


def measured_commit() -> str | None:
    """The commit that was measured, with ``+`` where files differ from it; None outside a repository."""
    command = ["git", "describe", "--always", "--abbrev=40", "--dirty=+", "--exclude=*"]
    try:
        completed = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=GIT_TIMEOUT)
    except (OSError, subprocess.TimeoutExpired):
        return None
    return completed.stdout.strip() or None if completed.returncode == 0 else None


def write_json_atomically(path: Path, content: dict[str, Any]) -> None:
    """Write a temporary file beside ``path`` and move it there: nobody reads half of it.

    Raises ``OSError``, and ``ValueError`` for a number that JSON does not have.
    """
    text = json.dumps(content, indent=1, allow_nan=False) + "\n"
    descriptor, temporary = tempfile.mkstemp(dir=path.parent, prefix=f".{path.name}.")
    try:
        with os.fdopen(descriptor, "w", encoding="utf-8") as file:
            file.write(text)
            file.flush()
            os.fsync(file.fileno())
        os.chmod(temporary, FILE_MODE)
        os.replace(temporary, path)
    except BaseException:
        with suppress(OSError):
            os.unlink(temporary)
        raise
