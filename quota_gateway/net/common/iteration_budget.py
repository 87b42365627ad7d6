"""Limits the time that one kind of work takes in one iteration of the event loop."""

from __future__ import annotations

import asyncio
import time


class IterationBudget:
    """The time for one kind of work, renewed in each iteration."""

    __slots__ = ("_end", "_loop", "_seconds")

    def __init__(self, seconds: float) -> None:
        """Allow ``seconds`` in each iteration of the running event loop."""
        self._loop = asyncio.get_running_loop()
        self._seconds = seconds
        self._end: float | None = None  # of the budget in this iteration; None before the first work

    def begin(self) -> float:
        """Return the time, by ``time.perf_counter``; the first call of an iteration starts its budget."""
        now = time.perf_counter()
        if self._end is None:
            self._end = now + self._seconds
            self._loop.call_soon(self._renew)
        return now

    def is_used_up(self) -> bool:
        """Whether the work has taken its time in this iteration."""
        return self._end is not None and time.perf_counter() >= self._end

    def _renew(self) -> None:
        self._end = None
