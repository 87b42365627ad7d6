"""A stand-in for an endpoint: cores that serve one queue.

It knows the whole of an attempt when it arrives, so it answers at once with the time at which it would.
"""

from __future__ import annotations

import math
from collections import deque
from heapq import heapreplace
from typing import NamedTuple

from scale.fleet.messages import AttemptOutcome
from scale.fleet.parameters import (
    ENDPOINT_CORES,
    ENDPOINT_QUEUE_LIMIT,
    INITIAL_CAPACITY,
    OVERLOAD_MULTIPLE,
    OVERLOAD_WINDOW,
    WARM_UP_TIME,
)


class AttemptResult(NamedTuple):
    """How an attempt ends and when; one that times out is never answered."""

    outcome: AttemptOutcome
    ended_at: float


class _Arrival(NamedTuple):
    at: float
    work: float  # seconds of one core


class SimulatedEndpoint:
    """It starts slowly, warms up in line with time, and fails for good where too much work comes meanwhile.

    Too much: work that arrived within the window is more than the multiple of what it can do at that moment.
    Attempts that run at that moment are still answered: their answers are known when they arrive.

    ``boots_at``: when it starts anew; 0: it is warm from the beginning.
    """

    __slots__ = ("_arrivals", "_boots_at", "_free_at", "_queue", "_recent_work", "_started_at", "failed")

    def __init__(self, boots_at: float) -> None:
        """Idle; ``boots_at`` in virtual seconds."""
        self._started_at = -math.inf
        self._boots_at = boots_at
        self.failed = False
        self._reset()

    def attempt(self, at: float, work: float, timeout: float) -> AttemptResult:
        """Serve an attempt of so many seconds of work; ``at`` never falls from attempt to attempt."""
        if at >= self._boots_at > 0 and self._started_at != self._boots_at:
            self._started_at = self._boots_at
            self._reset()
        if self.failed or self._overloaded_by(at, work):
            return AttemptResult(AttemptOutcome.UNREACHABLE, at)
        queue = self._queue
        while queue and queue[0] <= at:
            queue.popleft()
        if len(queue) >= ENDPOINT_QUEUE_LIMIT:
            return AttemptResult(AttemptOutcome.OVERLOADED, at)
        begin = max(at, self._free_at[0])
        if begin > at:
            queue.append(begin)
        if begin > at + timeout:  # its time is over before its turn: it is not begun
            return AttemptResult(AttemptOutcome.TIMED_OUT, begin)
        end = begin + work / self._capacity(begin)
        heapreplace(self._free_at, end)
        return AttemptResult(AttemptOutcome.OK, end)

    def _reset(self) -> None:
        self._free_at = [0.0] * ENDPOINT_CORES  # heap: when each core is free
        self._queue = deque[float]()  # when each of the waiting attempts begins
        self._arrivals = deque[_Arrival]()  # within the overload window, while it warms up
        self._recent_work = 0.0  # seconds, of these

    def _capacity(self, at: float) -> float:
        """Share of its full capacity that the endpoint has."""
        return min(1.0, INITIAL_CAPACITY + (1 - INITIAL_CAPACITY) * (at - self._started_at) / WARM_UP_TIME)

    def _overloaded_by(self, at: float, work: float) -> bool:
        """Whether the endpoint warms up and fails under this work."""
        capacity = self._capacity(at)
        if capacity >= 1:
            return False
        self._arrivals.append(_Arrival(at, work))
        self._recent_work += work
        while self._arrivals[0].at <= at - OVERLOAD_WINDOW:
            self._recent_work -= self._arrivals.popleft().work
        bearable = OVERLOAD_MULTIPLE * ENDPOINT_CORES * capacity * OVERLOAD_WINDOW
        self.failed = self._recent_work > bearable
        return self.failed
