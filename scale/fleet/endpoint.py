"""A simulated endpoint: several cores that serve one queue.

The simulation computes the outcome and the end of an attempt as soon as it arrives.
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
    ENDPOINT_WARM_UP_SECONDS,
    INITIAL_CAPACITY_FRACTION,
    OVERLOAD_FACTOR,
    OVERLOAD_WINDOW_SECONDS,
)


class AttemptResult(NamedTuple):
    """The outcome of an attempt and the time of its end; an attempt that times out gets no response."""

    outcome: AttemptOutcome
    ended_at: float


class _Arrival(NamedTuple):
    at: float
    work: float  # seconds of one core


class SimulatedEndpoint:
    """Gains capacity linearly while it warms up after a start, and fails permanently if overloaded meanwhile.

    An overload is work that arrives within ``OVERLOAD_WINDOW_SECONDS`` and exceeds ``OVERLOAD_FACTOR`` times
    the present capacity. Attempts that were accepted before the failure still get their responses.

    ``restarts_at`` is the time of the restart; 0 means that the endpoint is warm from the beginning.
    """

    __slots__ = ("_arrivals", "_free_at", "_queue", "_recent_work", "_restarts_at", "_started_at", "failed")

    def __init__(self, restarts_at: float) -> None:
        """Start idle; ``restarts_at`` is in virtual seconds."""
        self._started_at = -math.inf
        self._restarts_at = restarts_at
        self.failed = False
        self._reset()

    def attempt(self, at: float, work: float, timeout: float) -> AttemptResult:
        """Serve an attempt that arrives at ``at``, which never decreases; ``work`` is seconds of one core."""
        if at >= self._restarts_at > 0 and self._started_at != self._restarts_at:
            self._started_at = self._restarts_at
            self._reset()
        if self.failed or self._fails_under(at, work):
            return AttemptResult(AttemptOutcome.UNREACHABLE, at)
        queue = self._queue
        while queue and queue[0] <= at:
            queue.popleft()
        if len(queue) >= ENDPOINT_QUEUE_LIMIT:
            return AttemptResult(AttemptOutcome.OVERLOADED, at)
        begin = max(at, self._free_at[0])
        if begin > at:
            queue.append(begin)
        if begin > at + timeout:  # the attempt times out in the queue and stays there until ``begin``
            return AttemptResult(AttemptOutcome.TIMED_OUT, begin)
        end = begin + work / self._capacity(begin)
        heapreplace(self._free_at, end)
        return AttemptResult(AttemptOutcome.OK, end)

    def _reset(self) -> None:
        self._free_at = [0.0] * ENDPOINT_CORES  # heap of the times at which the cores become free
        self._queue = deque[float]()  # start times of the waiting attempts
        self._arrivals = deque[_Arrival]()  # attempts within the overload window; unused after the warm-up
        self._recent_work = 0.0  # work of ``_arrivals``, in seconds of one core

    def _capacity(self, at: float) -> float:
        """Return the present capacity as a fraction of the full one."""
        age = at - self._started_at
        gained = (1 - INITIAL_CAPACITY_FRACTION) * age / ENDPOINT_WARM_UP_SECONDS
        return min(1.0, INITIAL_CAPACITY_FRACTION + gained)

    def _fails_under(self, at: float, work: float) -> bool:
        """Record an arriving attempt; return whether the endpoint is warming up and fails under its work."""
        capacity = self._capacity(at)
        if capacity >= 1:
            return False
        self._arrivals.append(_Arrival(at, work))
        self._recent_work += work
        while self._arrivals[0].at <= at - OVERLOAD_WINDOW_SECONDS:
            self._recent_work -= self._arrivals.popleft().work
        allowed = OVERLOAD_FACTOR * ENDPOINT_CORES * capacity * OVERLOAD_WINDOW_SECONDS
        self.failed = self._recent_work > allowed
        return self.failed
