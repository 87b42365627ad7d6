"""Logging of the program: to standard error, with a bound on the lines per second."""

from __future__ import annotations

import logging
import sys
import time

MAX_LINES_PER_SECOND = 20  # log lines: a fault that repeats with every request must not fill the disk
LINE_FORMAT = "%(asctime)s %(name)s: %(message)s"


class RateLimitFilter(logging.Filter):
    """Suppresses log records beyond a number per second; the next second's first record says how many."""

    def __init__(self, max_per_second: int) -> None:
        """Let ``max_per_second`` records of each second of the monotonic clock pass."""
        super().__init__()
        self._max_per_second = max_per_second
        self._current_second = 0
        self._records_in_second = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Whether the record is written; it may get the number of those suppressed before it."""
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
    """Send the log lines of all modules to standard error, rate limited."""
    handler = logging.StreamHandler(sys.stderr)
    handler.addFilter(RateLimitFilter(MAX_LINES_PER_SECOND))
    logging.basicConfig(level=logging.INFO, handlers=[handler], format=LINE_FORMAT)
