"""A run's summary as text."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Any

_LABEL_WIDTH = 28
_REASONS = "with room by reason"  # the only table whose row labels begin with its name


def format_summary(summary: dict[str, Any]) -> str:
    """Return a row for each figure with a column for each phase, then the totals of the run."""
    phases: dict[str, dict[str, Any]] = summary["phases"]
    rows = [f"{'':{_LABEL_WIDTH}}" + "".join(f"{name:>11}" for name in phases)]
    for figure in phases["calm"]:
        if isinstance(phases["calm"][figure], dict):
            rows += _table_rows(phases, figure)
        else:
            rows.append(f"{figure:{_LABEL_WIDTH}}" + _cells(phase[figure] for phase in phases.values()))
    for figure, value in summary["over all"].items():
        named_numbers = value.items() if isinstance(value, dict) else [("", value)]
        for name, number in named_numbers:
            label = f"{figure}: {name}" if name else figure
            rows.append(f"{label:34}{number:12.5g}")
    return "\n".join(rows)


def _table_rows(phases: dict[str, dict[str, Any]], figure: str) -> Iterator[str]:
    """Yield the rows of a figure that is a table in each phase."""
    prefix = f"{figure} " if figure == _REASONS else ""
    for name in sorted({name for phase in phases.values() for name in phase[figure]}):
        cells = _cells(phase[figure].get(name, 0) for phase in phases.values())
        yield f"  {prefix + name:26.26}" + cells


def _cells(values: Iterable[float]) -> str:
    return "".join(f"{value:11.4g}" for value in values)
