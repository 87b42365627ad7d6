"""A straight line through the medians of several runs, and its fit."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from statistics import median

from scale.model import Slope

MAX_RESIDUAL_FRACTION = 0.10  # of the largest median; above it the points are not linear
LINE_POINTS = 2  # fewer sizes do not determine a line
MIN_SIZES = 4  # fewer sizes do not reveal a curve


def line(name: str, unit: str, by: str, points: Mapping[float, Iterable[float]]) -> Slope:
    """Return the least-squares line through the medians of the runs at each size, with equal weights.

    ``points`` has the costs of the runs, in ``unit``, by size. Raise ``ValueError`` for fewer than two sizes
    or a size without a run.
    """
    # Workers import the callers of this module, and measure memory: numpy would add 25 MB.
    import numpy as np

    measured = tuple((float(size), tuple(map(float, runs))) for size, runs in sorted(points.items()))
    if len(measured) < LINE_POINTS or not all(runs for _, runs in measured):
        raise ValueError(f"{name}: a line needs runs at two sizes at least")
    sizes = np.array([size for size, _ in measured])
    medians = np.array([median(runs) for _, runs in measured])
    slope, intercept = (float(coefficient) for coefficient in np.polyfit(sizes, medians, 1))
    largest = float(np.max(np.abs(medians)))
    distance = float(np.max(np.abs(medians - (slope * sizes + intercept))))
    return Slope(
        name=name,
        unit=unit,
        by=by,
        points=measured,
        slope=slope,
        intercept=intercept,
        residual=distance / largest if largest > 0 else 0.0,
    )


def cost_at(slope: Slope, size: float) -> float:
    """Return the cost at a size: the median of its runs, or the line's value without runs."""
    medians = (median(runs) for measured_size, runs in slope.points if measured_size == size)
    return next(medians, slope.slope * size + slope.intercept)


def warning(slope: Slope) -> str:
    """Return the reason not to trust the line; empty if there is none."""
    if len(slope.points) < MIN_SIZES:
        return "few points"
    return "no line" if slope.residual > MAX_RESIDUAL_FRACTION else ""
