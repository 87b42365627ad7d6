"""A straight line through the medians of several runs, and how far from it they lie."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from statistics import median

from scale.model import Slope

NO_LINE = 0.10  # residual above which the points are taken for a curve
ENOUGH = 4  # sizes: with fewer a curve passes for a line


def line(name: str, unit: str, by: str, points: Mapping[float, Iterable[float]]) -> Slope:
    """The least-squares line through the medians of the runs at each size; equal weights.

    ``unit`` is the cost's. Raises ``ValueError`` for fewer than two sizes or a size without a run.
    """
    # Workers import the modules that use this: numpy would be 25 MB of what they are there to measure.
    import numpy as np

    kept = tuple((float(at), tuple(float(cost) for cost in runs)) for at, runs in sorted(points.items()))
    if len(kept) < 2 or not all(runs for _, runs in kept):
        raise ValueError(f"{name}: a line needs runs at two sizes at least")
    sizes = np.array([at for at, _ in kept])
    medians = np.array([median(runs) for _, runs in kept])
    slope, intercept = (float(number) for number in np.polyfit(sizes, medians, 1))
    largest = float(np.max(np.abs(medians)))
    off = float(np.max(np.abs(medians - (slope * sizes + intercept))))
    return Slope(name, unit, by, kept, slope, intercept, off / largest if largest > 0 else 0.0)


def at(slope: Slope, size: float) -> float:
    """The cost at a size: the median measured there, or what the line says where nothing was."""
    measured = (median(runs) for place, runs in slope.points if place == size)
    return next(measured, slope.slope * size + slope.intercept)


def doubt(slope: Slope) -> str:
    """Why the line is not to be trusted; empty where it is."""
    if len(slope.points) < ENOUGH:
        return "few points"
    return "no line" if slope.residual > NO_LINE else ""
