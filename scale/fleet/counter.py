"""A stand-in for the shared counter, written from its protocol and the operators' figures.

It knows the whole of a call when it arrives, so it answers at once with the time at which it would.
"""

from __future__ import annotations

from heapq import heappop, heappush
from random import Random
from typing import NamedTuple

from scale.fleet.faults import Interval, Slowdown

MAX_LIFETIME = 60.0  # seconds that the counter keeps a name at most
LIKE_FLEET_SPREAD = 0.25  # seconds over which the calls of like fleets are spread (assumed)
SERVICE_TIME_VARIATION = (0.4, 1.6)  # of the mean time of a call, each as likely


class CounterReply(NamedTuple):
    """When the counter answers, and the total with the call's amount."""

    answered_at: float
    total: float


class _Total(NamedTuple):
    """What a name counts, and until when it is kept."""

    units: float
    expires_at: float


class SimulatedCounter:
    """Adds in the order of arrival, one call at a time in each partition; every call that arrives is added.

    ``capacity`` is that of all partitions together, in calls a second (930 to 1,300 by the operators). Calls
    during an outage are not added and never answered, and the counter comes back empty.

    ``like_fleets``: so many fleets like the simulated one share the counter, so that a small one meets the
    queue of a full-sized one. Each of its calls stands for one of each other's in the next
    ``LIKE_FLEET_SPREAD`` seconds.
    """

    def __init__(
        self,
        partitions: int,
        capacity: float,
        seed: int,
        *,
        outages: tuple[Interval, ...] = (),
        slowdowns: tuple[Slowdown, ...] = (),
        like_fleets: int = 1,
    ) -> None:
        """An empty counter whose service times are drawn from the seed."""
        self._like_fleets = like_fleets
        self._other_calls = list[float]()  # heap of the times at which calls of other fleets arrive
        self._other_rng = Random(f"{seed} crowd")
        self._mean_service_time = partitions / capacity
        self._free_at = [0.0] * partitions
        self._rngs = [Random(f"{seed} counter {number}") for number in range(partitions)]
        self._totals = dict[int, _Total]()
        self._outages = outages
        self._slowdowns = slowdowns
        self._emptied_at = 0.0
        self.served = 0

    def call(self, at: float, counter_id: int, amount: float, lifetime: float) -> CounterReply | None:
        """The reply; None where none ever comes. ``at`` never falls from call to call."""
        if self._is_out(at):
            return None
        self._serve_other_fleets(at)
        begin, answered_at = self._serve(at, counter_id % len(self._free_at))
        if any(outage.begin <= answered_at and begin < outage.end for outage in self._outages):
            return None  # it goes down before the call's turn has ended
        units, expires_at = self._totals.get(counter_id, (0.0, 0.0))
        if answered_at >= expires_at:
            units = 0.0
            expires_at = answered_at + min(MAX_LIFETIME, lifetime)
        units += amount
        self._totals[counter_id] = _Total(units, expires_at)
        self.served += 1
        return CounterReply(answered_at, units)

    def _is_out(self, at: float) -> bool:
        """Whether it is down; once an outage is over its totals are gone."""
        for begin, end in self._outages:
            if begin <= at < end:
                return True
            if self._emptied_at < end <= at:
                self._totals = {}
                self._emptied_at = end
        return False

    def _serve_other_fleets(self, at: float) -> None:
        """Serve the other fleets' calls so far, and draw those that this call stands for."""
        while self._other_calls and self._other_calls[0] <= at:
            other = heappop(self._other_calls)
            self._serve(other, self._other_rng.randrange(len(self._free_at)))
        for _ in range(self._like_fleets - 1):
            heappush(self._other_calls, at + LIKE_FLEET_SPREAD * self._other_rng.random())

    def _serve(self, at: float, partition: int) -> tuple[float, float]:
        """When a call begins and ends, behind those that came before."""
        service_time = self._mean_service_time * self._rngs[partition].uniform(*SERVICE_TIME_VARIATION)
        for slowdown_begin, slowdown_end, factor in self._slowdowns:
            service_time *= factor if slowdown_begin <= at < slowdown_end else 1.0
        begin = max(at, self._free_at[partition])
        end = begin + service_time
        self._free_at[partition] = end
        return begin, end
