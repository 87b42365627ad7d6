"""Least-squares lines through the medians of several runs, and a check of their fit."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from statistics import median

from scale.model import Slope

# Largest residual of a cost that counts as linear, as a fraction of the largest median.
MAX_RESIDUAL_FRACTION = 0.10
MIN_SIZES_FOR_LINE = 2  # fewer sizes do not determine a line
MIN_SIZES_FOR_FIT = 4  # with fewer sizes, the residual may be small although the cost is not linear


def line(name: str, unit: str, by: str, points: Mapping[float, Iterable[float]]) -> Slope:
    """Return the least-squares line through the medians of the runs at each size, with equal weights.

    ``points`` has the costs of the runs, in ``unit``, by size. Raise ``ValueError`` for fewer than two sizes
    or a size without a run.
    """
    # Imported here, because workers that measure their memory import this module, and numpy would add 25 MB.
    import numpy as np

    measured = tuple((float(size), tuple(map(float, runs))) for size, runs in sorted(points.items()))
    if len(measured) < MIN_SIZES_FOR_LINE or not all(runs for _, runs in measured):
        raise ValueError(f"{name}: a line needs at least two sizes, and a run at each size")
    sizes = np.array([size for size, _ in measured])
    medians = np.array([median(runs) for _, runs in measured])
    slope, intercept = (float(coefficient) for coefficient in np.polyfit(sizes, medians, 1))
    largest_median = float(np.max(np.abs(medians)))
    largest_distance = float(np.max(np.abs(medians - (slope * sizes + intercept))))
    return Slope(
        name=name,
        unit=unit,
        by=by,
        points=measured,
        slope=slope,
        intercept=intercept,
        residual=largest_distance / largest_median if largest_median > 0 else 0.0,
    )


def cost_at(slope: Slope, size: float) -> float:
    """Return the median of the runs at a size, or the value of the line if the size has no runs."""
    medians = (median(runs) for measured_size, runs in slope.points if measured_size == size)
    return next(medians, slope.slope * size + slope.intercept)


def warning(slope: Slope) -> str:
    """Return why the line is not reliable, or an empty string if it is."""
    if len(slope.points) < MIN_SIZES_FOR_FIT:
        return "few points"
    return "no line" if slope.residual > MAX_RESIDUAL_FRACTION else ""
