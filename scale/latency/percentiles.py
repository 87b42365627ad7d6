"""Percentiles of times."""

from __future__ import annotations

from collections.abc import Iterable
from enum import StrEnum

from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

LONGEST_US = 60_000_000
SIGNIFICANT_DIGITS = 3
MICROSECONDS = 1e6  # in a second


class Percentile(StrEnum):
    """Those that are reported, as the figures name them."""

    P50 = "p50"
    P99 = "p99"
    P99_9 = "p99.9"

    @property
    def percent(self) -> float:
        """Percent of the values that do not exceed it."""
        return float(self.value.removeprefix("p"))


Percentiles = dict[Percentile, float]


def percentiles(seconds: Iterable[float]) -> Percentiles:
    """Each percentile in seconds, to three digits; empty without values."""
    histogram = HdrHistogram(1, LONGEST_US, SIGNIFICANT_DIGITS)
    for value in seconds:
        histogram.record_value(max(1, round(value * MICROSECONDS)))
    if not histogram.get_total_count():
        return {}
    return {
        percentile: histogram.get_value_at_percentile(percentile.percent) / MICROSECONDS
        for percentile in Percentile
    }
