"""Shares the time of the event loop among connections that have more input than is parsed at once."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Callable

from quota_gateway.net.common.iteration_budget import IterationBudget

# Limits of the time for parsing: of one connection when its input is read, of all connections whose input is
# read in one iteration of the event loop, and of the backlogs in one iteration.
MAX_BURST_SECONDS = 0.001
MAX_READ_SECONDS = 0.005
MAX_BACKLOG_SECONDS = 0.005


# Processes a part of the input of one connection, and more until ``time.perf_counter`` returns the argument.
InputTask = Callable[[float], None]


class InputScheduler:
    """Lets the connections with waiting input process it in turn, for a limited time in each iteration."""

    __slots__ = ("_is_scheduled", "_loop", "_reads", "_tasks")

    def __init__(self) -> None:
        """Begin with no tasks, in a running event loop."""
        self._loop = asyncio.get_running_loop()
        self._tasks = deque[InputTask]()
        self._is_scheduled = False
        self._reads = IterationBudget(MAX_READ_SECONDS)

    def burst_end(self) -> float | None:
        """Return until when a connection may parse the input that was just read; None if it has to wait."""
        now = self._reads.begin()
        return None if self._reads.is_used_up() else now + MAX_BURST_SECONDS

    def add(self, task: InputTask) -> None:
        """Let a connection, which is not waiting for its turn, continue in a later iteration."""
        self._tasks.append(task)
        self._schedule()

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            self._loop.call_soon(self._run_round)

    def _run_round(self) -> None:
        self._is_scheduled = False
        now = time.perf_counter()
        round_end = now + MAX_BACKLOG_SECONDS
        # A task that is added meanwhile has its next turn in a later iteration.
        for _ in range(len(self._tasks)):
            self._tasks.popleft()(now)
            now = time.perf_counter()
            if now >= round_end:
                break
        if self._tasks:
            self._schedule()
