"""Writes the results of a run as tables to the terminal and as a JSON file."""

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
SIGNIFICANT_DIGITS = 4  # significant digits of a number in a table
MAX_DECIMALS = 6
GIT_TIMEOUT_SECONDS = 10.0
FILE_MODE = 0o644


@dataclass(slots=True)
class Outcome:
    """The results and failures of the tests of a run, by the name of the test."""

    results: dict[str, Result] = field(default_factory=dict)
    failures: dict[str, str] = field(default_factory=dict)  # the cause, if a test has no result

    @property
    def figures(self) -> list[Figure]:
        """The figures of all tests with a result."""
        return [figure for result in self.results.values() for figure in result.figures]


def format_number(value: float) -> str:
    """Format a number with four significant digits and thousands separators."""
    if value == 0 or abs(value) >= 10 ** (SIGNIFICANT_DIGITS - 1):
        return f"{value:,.0f}"
    decimals = max(0, SIGNIFICANT_DIGITS - 1 - math.floor(math.log10(abs(value))))
    return f"{value:.{min(decimals, MAX_DECIMALS)}f}"


def figure_rows(figures: Sequence[Figure]) -> list[tuple[str, ...]]:
    """Return the rows of the table of figures; the first one is the header."""
    rows: list[tuple[str, ...]] = [FIGURE_HEADER]
    for figure in figures:
        budget = format_number(figure.budget) if figure.budget is not None else ""
        verdict = ("ok" if figure.passed else "OVER") if figure.budget is not None else ""
        value = format_number(figure.value)
        rows.append((figure.name, value, figure.unit, budget, verdict, figure.origin.value, figure.how))
    return rows


def align_columns(rows: Sequence[tuple[str, ...]]) -> list[str]:
    """Return lines with aligned columns; the last column is not padded."""
    widths = [max(len(row[column]) for row in rows) for column in range(len(rows[0]) - 1)]
    lines = []
    for row in rows:
        cells = [cell.ljust(width) for cell, width in zip(row, widths, strict=False)]
        lines.append("  ".join([*cells, row[-1]]).rstrip())
    return lines


def slope_lines(slope: Slope) -> list[str]:
    """Return the line of a slope and a line for the runs at each size."""
    warning = regression.warning(slope)
    lines = [
        f"{slope.name}: slope {slope.slope:.6g} {slope.unit} by {slope.by}, intercept {slope.intercept:.6g}, "
        f"residual {slope.residual:.1%}{f'  ** {warning} **' if warning else ''}"
    ]
    for size, runs in slope.points:
        value_range = f"[{format_number(min(runs))}..{format_number(max(runs))}]"
        centre = format_number(median(runs))
        lines.append(f"    {format_number(size):>10} {slope.by}: {centre:>10} {value_range}")
    return lines


def print_outcome(outcome: Outcome) -> None:
    """Print the tables to standard output, and failed tests and exceeded budgets to standard error."""
    figures = outcome.figures
    if figures:
        click.echo("\n".join(align_columns(figure_rows(figures))) + "\n")
    for name, result in outcome.results.items():
        for slope in result.slopes:
            click.echo(f"{name}: " + "\n".join(slope_lines(slope)))
        for note in result.notes:
            click.echo(f"{name}: note: {note}")
    _print_failures(outcome)
    for figure in figures:
        if not figure.passed:
            click.echo(f"OVER: {figure.name}", err=True)


def _print_failures(outcome: Outcome) -> None:
    if not outcome.failures:
        return
    for name, cause in outcome.failures.items():
        click.echo(f"{name}: BROKEN: {cause}", err=True)
    others = (
        f"those of {', '.join(outcome.results)} are valid" if outcome.results else "no other test has any"
    )
    click.echo(f"there are no valid figures of {', '.join(outcome.failures)}; {others}", err=True)


def json_report(size: Size, budget: Budget, effort: Effort, outcome: Outcome) -> dict[str, Any]:
    """Return the content of a run's JSON file."""
    return {
        "date": datetime.now(UTC).isoformat(timespec="seconds"),
        "commit": measured_commit(),
        "python": platform.python_version(),
        "machine": {"cores": os.cpu_count(), "memory": machine_memory(), "load": os.getloadavg()},
        "size": asdict(size),
        "budget": asdict(budget),
        "effort": asdict(effort),
        "tests": {name: _json_result(result) for name, result in outcome.results.items()},
        "broken": outcome.failures,
    }


def _json_result(result: Result) -> dict[str, Any]:
    fields: dict[str, Any] = _to_json(asdict(result))
    for row, figure in zip(fields["figures"], result.figures, strict=True):
        row["passed"] = figure.passed
    for row, slope in zip(fields["slopes"], result.slopes, strict=True):
        row["doubt"] = regression.warning(slope)
    return fields


def _to_json(value: Any) -> Any:
    """Replace enum members by their values and tuples by lists."""
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, dict):
        return {key: _to_json(item) for key, item in value.items()}
    return [_to_json(item) for item in value] if isinstance(value, list | tuple) else value


def measured_commit() -> str | None:
    """Return the measured commit, with ``+`` if the working tree differs; None outside a repository."""
    command = ["git", "describe", "--always", "--abbrev=40", "--dirty=+", "--exclude=*"]
    try:
        completed = subprocess.run(
            command, cwd=ROOT, capture_output=True, text=True, timeout=GIT_TIMEOUT_SECONDS, check=False
        )
    except (OSError, subprocess.TimeoutExpired):
        return None
    return completed.stdout.strip() or None if completed.returncode == 0 else None


def write_json_atomically(path: Path, content: dict[str, Any]) -> None:
    """Write a temporary file in the same directory and rename it, so that no reader sees a partial file.

    Raise ``OSError``, or ``ValueError`` for a number that JSON cannot represent.
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
