"""The simulated counter: behaves as its protocol says, with the capacity that the operators state.

The simulation computes the time of the reply as soon as a call arrives.
"""

from __future__ import annotations

from heapq import heappop, heappush
from random import Random
from typing import NamedTuple

from scale.fleet.faults import Interval, Slowdown

MAX_LIFETIME_SECONDS = 60.0  # longest lifetime of a total
# Assumed: another fleet's call follows a call of the simulated fleet after a uniformly distributed time, at
# most this long.
OTHER_FLEET_CALL_SPREAD_SECONDS = 0.25
SERVICE_TIME_FACTORS = (0.4, 1.6)  # range of a call's service time divided by the mean, uniform


class CounterReply(NamedTuple):
    """The time of a reply, and the total, which includes the call's amount."""

    replied_at: float
    total: float


class _Total(NamedTuple):
    """The total of one counter and the time at which it expires."""

    units: float
    expires_at: float


class SimulatedCounter:
    """Serves calls in the order of arrival, one at a time in each partition.

    Every call that arrives is added to its total, even if the limiter no longer waits for the reply. Only
    calls that arrive or are served during an outage are not added and get no reply. An outage deletes all
    totals. ``capacity`` is in calls a second, all partitions together.

    ``fleets_sharing_counter`` fleets of the same size, this one included, share the counter. Without the
    others, the calls of a reduced fleet would wait less than those of the full one. After each call of this
    fleet, every other fleet makes one call within ``OTHER_FLEET_CALL_SPREAD_SECONDS``. That call only uses
    service time.
    """

    def __init__(
        self,
        partitions: int,
        capacity: float,
        seed: int,
        *,
        outages: tuple[Interval, ...] = (),
        slowdowns: tuple[Slowdown, ...] = (),
        fleets_sharing_counter: int = 1,
    ) -> None:
        """Create an empty counter; the service times are drawn with the seed."""
        self._fleets_sharing_counter = fleets_sharing_counter
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
        """Serve a call that arrives at ``at``, which never decreases. Return None if it gets no reply."""
        if self._is_out(at):
            return None
        self._serve_other_fleets(at)
        begin, replied_at = self._serve(at, counter_id % len(self._free_at))
        if any(outage.begin <= replied_at and begin < outage.end for outage in self._outages):
            return None  # the outage starts before the call has been served
        units, expires_at = self._totals.get(counter_id, (0.0, 0.0))
        if replied_at >= expires_at:
            units = 0.0
            expires_at = replied_at + min(MAX_LIFETIME_SECONDS, lifetime)
        units += amount
        self._totals[counter_id] = _Total(units, expires_at)
        self.served += 1
        return CounterReply(replied_at, units)

    def _is_out(self, at: float) -> bool:
        """Return whether there is an outage; delete the totals if one has ended since the last call."""
        for begin, end in self._outages:
            if begin <= at < end:
                return True
            if self._emptied_at < end <= at:
                self._totals = {}
                self._emptied_at = end
        return False

    def _serve_other_fleets(self, at: float) -> None:
        """Serve the other fleets' calls that have arrived, and schedule those that follow this call."""
        while self._other_calls and self._other_calls[0] <= at:
            other = heappop(self._other_calls)
            self._serve(other, self._other_rng.randrange(len(self._free_at)))
        for _ in range(self._fleets_sharing_counter - 1):
            heappush(self._other_calls, at + OTHER_FLEET_CALL_SPREAD_SECONDS * self._other_rng.random())

    def _serve(self, at: float, partition: int) -> Interval:
        """Add a call to the queue of its partition; return the begin and end of its service."""
        service_time = self._mean_service_time * self._rngs[partition].uniform(*SERVICE_TIME_FACTORS)
        for slowdown_begin, slowdown_end, factor in self._slowdowns:
            service_time *= factor if slowdown_begin <= at < slowdown_end else 1.0
        begin = max(at, self._free_at[partition])
        end = begin + service_time
        self._free_at[partition] = end
        return Interval(begin, end)
