"""The endpoints by name, the hash ring of those in use, and the subset of it that this gateway keeps to."""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from math import ceil

from quota_gateway import model
from quota_gateway.arithmetic import moving_average
from quota_gateway.decisions.context import Context
from quota_gateway.decisions.controller import INTERVAL
from quota_gateway.model import CallStatus
from quota_gateway.state import EndpointState

MIN_SUBSET = 8  # a sparse gateway keeps to few: one of hundreds meets each once a minute
SUBSET_MULTIPLE = 5  # times its even part of the ring
RATE_WEIGHT = 0.3  # of the newest interval in an endpoint's work rate
MAX_LIST_DELAY = 6.0  # seconds from a change to its news, at most
CHECK_TIME = 1.5 * INTERVAL  # seconds for which an endpoint stays ejected while its health is checked


@dataclass(slots=True, eq=False)
class EndpointSet:
    """All endpoints that were listed or still have work in flight."""

    context: Context
    by_name: dict[str, EndpointState] = field(default_factory=dict)
    hash_ring: list[EndpointState] = field(default_factory=list)  # those in use, in this gateway's order
    subset: list[EndpointState] = field(default_factory=list)
    suspended: frozenset[str] = frozenset()  # by operators
    has_list: bool = False  # whether a list has come
    clock_lag: float = 0.0  # seconds that this machine's wall clock was behind at the start, at least

    def listed(self) -> list[EndpointState]:
        """Endpoints that the list names."""
        return [state for state in self.by_name.values() if not state.removed]

    def apply(self, now: float, update: model.EndpointUpdate) -> None:
        """Take in the endpoint list, or a part of it."""
        if update.complete:
            for state in self.by_name.values():
                state.available = False
                state.removed = True
        if not math.isfinite(update.seconds_since_contact):
            self._estimate_clock_lag(now, update.endpoints)
        for endpoint in update.endpoints:
            self._apply_endpoint(now, endpoint, update.seconds_since_contact)
        self.has_list = True
        self.rebuild_hash_ring(now)

    def _estimate_clock_lag(self, now: float, endpoints: Iterable[model.Endpoint]) -> None:
        """What has started already has not started in the future: then this machine's clock is behind."""
        last_start = max((endpoint.started_at for endpoint in endpoints), default=0.0)
        self.clock_lag = max(self.clock_lag, last_start - now)

    def _age(self, now: float, endpoint: model.Endpoint, seconds_since_contact: float) -> float:
        """Seconds since the start of an incarnation that is met now, by whichever clock can be trusted.

        Wall clocks may be off by an hour. An incarnation that is news is not much older than the time since
        discovery was last heard of: a start that disagrees is of a clock that is off, and counts as just now.
        """
        age = now - endpoint.started_at
        if not math.isfinite(seconds_since_contact):
            return age + self.clock_lag
        most = seconds_since_contact + max(MAX_LIST_DELAY, self.context.settings.warm_up_time)
        return age if 0 <= age <= most else 0.0

    def _apply_endpoint(self, now: float, endpoint: model.Endpoint, seconds_since_contact: float) -> None:
        state = self.by_name.get(endpoint.name)
        if state is None:
            state = self.by_name[endpoint.name] = EndpointState(endpoint)
        is_restart = state.update(endpoint)
        age = self._age(now, endpoint, seconds_since_contact)
        is_young = age < self.context.settings.warm_up_time
        if state.available and is_restart and is_young:
            state.start_warming_up(now - age)
            state.start_allowance(now)
            self.context.actions.append(model.Log(f"{state.label}: slow start"))
            state.ejected_until = min(state.ejected_until, now)

    def rebuild_hash_ring(self, now: float) -> None:
        """All gateways see one ring, each from a place of its own: their subsets add up evenly."""
        ring = [s for name, s in self.by_name.items() if s.available and name not in self.suspended]
        ring.sort(key=lambda state: state.hash_position)
        start = self.context.settings.gateway_index * len(ring) // self.context.settings.gateway_count
        self.hash_ring = ring[start:] + ring[:start]
        self.choose_subset(now)

    def choose_subset(self, now: float) -> None:
        """Take endpoints from the ring until enough of them are neither ejected nor unresponsive."""
        even_part = ceil(SUBSET_MULTIPLE * len(self.hash_ring) / self.context.settings.gateway_count)
        wanted = max(MIN_SUBSET, even_part)
        self.subset = []
        for state in self.hash_ring:
            since = state.unresponsive_since
            is_responsive = since is None or now - since <= self.context.unresponsive_timeout
            wanted -= state.ejected_until <= now and is_responsive
            self.subset.append(state)
            if wanted <= 0:
                break

    def set_suspended(self, now: float, names: frozenset[str]) -> None:
        """Suspended endpoints leave the ring, whatever the list says; restored ones come back warming up."""
        for name in self.suspended - names:
            if name in self.by_name:
                self.by_name[name].restore(now)
        self.suspended = names
        self.rebuild_hash_ring(now)

    def on_health_check(self, now: float, event: model.HealthChecked) -> None:
        """An unreachable endpoint that passes its check comes back at once, as a new incarnation."""
        state = self.by_name.get(event.endpoint)
        if event.status is CallStatus.OK and state is not None and state.unreachable:
            state.pass_health_check(now)

    def end_interval(self, now: float, elapsed: float) -> None:
        """Update the work rates, and check those that are down: a check costs less than a request in vain."""
        may_check = self.context.settings.may_check_health
        for name, state in self.by_name.items():
            state.work_rate = moving_average(state.work_rate, state.work_completed / elapsed, RATE_WEIGHT)
            state.work_completed = 0.0
            is_down = state.available and state.unreachable and state.half_open
            if is_down and may_check and name not in self.suspended:
                self.context.actions.append(model.CheckHealth(name))
                state.ejected_until = max(state.ejected_until, now + CHECK_TIME)

    def forget_removed(self, in_flight: Iterable[EndpointState]) -> None:
        """Forget endpoints that are gone once they have no work: names are ever new, the table would grow."""
        if any(state.removed for state in self.by_name.values()):
            busy = {state.endpoint.name for state in in_flight}
            self.by_name = {n: s for n, s in self.by_name.items() if not s.removed or n in busy}
