"""Percentiles of durations."""

from __future__ import annotations

from collections.abc import Iterable
from enum import StrEnum

from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

MAX_MICROSECONDS = 60_000_000
SIGNIFICANT_DIGITS = 3
MICROSECONDS_PER_SECOND = 1e6


class Percentile(StrEnum):
    """The reported percentiles by their names in the figures."""

    P50 = "p50"
    P99 = "p99"
    P99_9 = "p99.9"

    @property
    def percent(self) -> float:
        """The percentage of the values that do not exceed the percentile."""
        return float(self.value.removeprefix("p"))


Percentiles = dict[Percentile, float]


def percentiles(seconds: Iterable[float]) -> Percentiles:
    """Return the percentiles in seconds, to three significant digits; empty if there are no values."""
    histogram = HdrHistogram(1, MAX_MICROSECONDS, SIGNIFICANT_DIGITS)
    for value in seconds:
        histogram.record_value(max(1, round(value * MICROSECONDS_PER_SECOND)))
    if not histogram.get_total_count():
        return {}
    return {
        percentile: histogram.get_value_at_percentile(percentile.percent) / MICROSECONDS_PER_SECOND
        for percentile in Percentile
    }
