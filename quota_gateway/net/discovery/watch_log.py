"""Counts of the watch's lines and failed requests, for a periodic log line."""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from enum import StrEnum

log = logging.getLogger(__name__)

MIN_LOG_INTERVAL_SECONDS = 10.0


class WatchOutcome(StrEnum):
    """Outcome of a line or request; the values are the words in the log line."""

    RECEIVED = "received"  # an event was received
    DROPPED = "dropped"  # a malformed line was dropped
    FAILED = "failed"  # a request failed, or the watch that it had started ended


class WatchLog:
    """Counts outcomes since the last log line."""

    __slots__ = ("_counts", "_logged_at")

    def __init__(self) -> None:
        """Start with no counts."""
        self._counts = Counter[WatchOutcome]()
        self._logged_at = 0.0  # seconds of the event loop's clock

    def record(self, outcome: WatchOutcome) -> None:
        """Count an outcome; log and reset the counts if the last log line is old enough."""
        self._counts[outcome] += 1
        now = asyncio.get_running_loop().time()
        if now - self._logged_at > MIN_LOG_INTERVAL_SECONDS:
            counts = ", ".join(f"{counted.value} {count}" for counted, count in sorted(self._counts.items()))
            log.info("discovery watch: %s", counts)
            self._counts.clear()
            self._logged_at = now
