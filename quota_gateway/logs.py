"""Logging to standard error, with a limit on the lines per second."""

from __future__ import annotations

import logging
import sys
import time

MAX_LINES_PER_SECOND = 20  # a fault that repeats with every request must not fill the disk
LINE_FORMAT = "%(asctime)s %(name)s: %(message)s"


class RateLimitFilter(logging.Filter):
    """Suppresses log records above a rate; the next record states how many were suppressed."""

    def __init__(self, max_per_second: int) -> None:
        """Pass at most ``max_per_second`` records in each second of the monotonic clock."""
        super().__init__()
        self._max_per_second = max_per_second
        self._current_second = 0
        self._records_in_second = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Whether the record is written; may append the number of records suppressed before it."""
        second = int(time.monotonic())
        if second != self._current_second:
            suppressed = self._records_in_second - self._max_per_second
            if suppressed > 0:
                record.msg = f"{record.msg} ({suppressed} log lines suppressed before)"
            self._current_second = second
            self._records_in_second = 0
        self._records_in_second += 1
        return self._records_in_second <= self._max_per_second


def configure_logging() -> None:
    """Write the log lines of all modules to standard error, rate limited."""
    handler = logging.StreamHandler(sys.stderr)
    handler.addFilter(RateLimitFilter(MAX_LINES_PER_SECOND))
    logging.basicConfig(level=logging.INFO, handlers=[handler], format=LINE_FORMAT)
