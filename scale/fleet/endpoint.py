"""A simulated endpoint: cores that serve one queue.

An attempt is complete when it arrives, so that the time of its response is known at once.
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
    """The outcome and the end of an attempt; one that times out gets no response."""

    outcome: AttemptOutcome
    ended_at: float


class _Arrival(NamedTuple):
    at: float
    work: float  # seconds of one core


class SimulatedEndpoint:
    """Warms up linearly after a start, and fails permanently under an overload while it warms up.

    An overload is work within the overload window that exceeds a multiple of the present capacity. Attempts
    that were accepted before the failure still get their responses.

    ``boots_at`` is the time of the restart; 0 means that the endpoint is warm from the beginning.
    """

    __slots__ = ("_arrivals", "_boots_at", "_free_at", "_queue", "_recent_work", "_started_at", "failed")

    def __init__(self, boots_at: float) -> None:
        """Start idle; ``boots_at`` is in virtual seconds."""
        self._started_at = -math.inf
        self._boots_at = boots_at
        self.failed = False
        self._reset()

    def attempt(self, at: float, work: float, timeout: float) -> AttemptResult:
        """Serve an attempt with its seconds of work; ``at`` never decreases from attempt to attempt."""
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
        if begin > at + timeout:  # it times out in the queue
            return AttemptResult(AttemptOutcome.TIMED_OUT, begin)
        end = begin + work / self._capacity(begin)
        heapreplace(self._free_at, end)
        return AttemptResult(AttemptOutcome.OK, end)

    def _reset(self) -> None:
        self._free_at = [0.0] * ENDPOINT_CORES  # heap: when each core becomes free
        self._queue = deque[float]()  # start times of the waiting attempts
        self._arrivals = deque[_Arrival]()  # within the overload window, while warming up
        self._recent_work = 0.0  # seconds of these arrivals

    def _capacity(self, at: float) -> float:
        """Return the present capacity as a fraction of the full one."""
        age = at - self._started_at
        gained = (1 - INITIAL_CAPACITY_FRACTION) * age / ENDPOINT_WARM_UP_SECONDS
        return min(1.0, INITIAL_CAPACITY_FRACTION + gained)

    def _overloaded_by(self, at: float, work: float) -> bool:
        """Return whether the endpoint is warming up and fails under this work."""
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
