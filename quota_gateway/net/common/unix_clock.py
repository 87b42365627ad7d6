"""A clock of Unix time that is not affected by steps of the wall clock."""

from __future__ import annotations

import time
from collections.abc import Callable


def unix_offset() -> float:
    """Return Unix time less the time of the monotonic clock, in seconds."""
    return time.time() - time.monotonic()


def unix_clock(offset: float | None = None) -> Callable[[], float]:
    """Return a clock of Unix time, in seconds, that is not affected by steps of the wall clock.

    Unix time is needed because endpoints report their start times in it. ``offset`` is a result of
    ``unix_offset``; the default is the current offset.
    """
    fixed_offset = unix_offset() if offset is None else offset
    return lambda: fixed_offset + time.monotonic()
