"""The known endpoints by name, the hash ring of those in use, and this gateway's subset of the ring."""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from quota_gateway import model
from quota_gateway.decisions.context import Context
from quota_gateway.decisions.controller import INTERVAL_SECONDS
from quota_gateway.model import CallStatus
from quota_gateway.state import EndpointState

# One of many gateways receives too few requests to learn the state of every endpoint, so it uses a subset.
MIN_SUBSET = 8  # least number of usable endpoints in the subset
SUBSET_MULTIPLE = 5  # the subset is at least this multiple of the gateway's even part of the ring
WORK_RATE_WEIGHT = 0.3  # weight of the newest interval in an endpoint's work rate
MAX_LIST_DELAY_SECONDS = 6.0  # longest assumed time from an endpoint's change to the list that announces it
HEALTH_CHECK_EJECTION_SECONDS = 1.5 * INTERVAL_SECONDS  # a health check keeps an endpoint ejected this long


@dataclass(slots=True, eq=False)
class EndpointSet:
    """All endpoints that are listed or still have work in flight. Only its own methods change its fields.

    Invariants: ``hash_ring`` holds the endpoints that are listed, healthy and not suspended; ``subset`` is
    the beginning of ``hash_ring``.
    """

    context: Context
    by_name: dict[str, EndpointState] = field(default_factory=dict)
    hash_ring: list[EndpointState] = field(default_factory=list)  # starts at this gateway's position
    subset: list[EndpointState] = field(default_factory=list)
    suspended: frozenset[str] = frozenset()  # names of the endpoints that operators have suspended
    has_list: bool = False  # whether an endpoint list has been received
    clock_lag: float = 0.0  # lower bound, in seconds, of the local wall clock's lag at the start

    def listed(self) -> list[EndpointState]:
        """Return the endpoints that the list names."""
        return [state for state in self.by_name.values() if not state.removed]

    def apply(self, now: float, update: model.EndpointUpdate) -> None:
        """Apply a complete endpoint list, or a change of some of its entries."""
        if update.complete:
            for state in self.by_name.values():
                state.remove()
        if not math.isfinite(update.seconds_since_contact):
            self._estimate_clock_lag(now, update.endpoints)
        for endpoint in update.endpoints:
            self._apply_endpoint(now, endpoint, update.seconds_since_contact)
        self.has_list = True
        self.rebuild_hash_ring(now)

    def _estimate_clock_lag(self, now: float, endpoints: Iterable[model.Endpoint]) -> None:
        """Update the clock lag: a start time in the future means that the local wall clock is behind."""
        last_start = max((endpoint.started_at for endpoint in endpoints), default=0.0)
        self.clock_lag = max(self.clock_lag, last_start - now)

    def _apply_endpoint(self, now: float, endpoint: model.Endpoint, seconds_since_contact: float) -> None:
        state = self.by_name.get(endpoint.name)
        is_listed_before = state is not None
        if state is None:
            state = self.by_name[endpoint.name] = EndpointState(endpoint)
        is_new_incarnation = state.update(endpoint)
        if not math.isfinite(seconds_since_contact):
            if state.confirmed_at is not None:
                seconds_since_contact = now - state.confirmed_at
            elif is_listed_before:
                # The endpoint has restarted since the configuration was written, perhaps just now.
                seconds_since_contact = 0.0
        age = self._age(now, endpoint, seconds_since_contact)
        is_young = age < self.context.settings.warm_up_time
        if state.available and is_new_incarnation and is_young:
            state.start_warming_up(now - age)
            state.allowance.reset(now)
            self.context.actions.append(model.Log(f"{state.label}: slow start"))
            state.end_ejection(now)

    def _age(self, now: float, endpoint: model.Endpoint, seconds_since_contact: float) -> float:
        """Return the seconds since the start of an incarnation that the list has just announced.

        Wall clocks may be wrong by an hour. A new incarnation cannot be much older than the last contact with
        discovery: if its start time says otherwise, a clock is wrong, and the age counts as 0.
        """
        age = now - endpoint.started_at
        if not math.isfinite(seconds_since_contact):
            return age + self.clock_lag
        max_delay = max(MAX_LIST_DELAY_SECONDS, self.context.settings.warm_up_time)
        max_age = seconds_since_contact + max_delay
        return age if 0 <= age <= max_age else 0.0

    def rebuild_hash_ring(self, now: float) -> None:
        """Rebuild the ring from the endpoints in use, and choose the subset.

        All gateways have the same ring and start at different positions, so their subsets cover it evenly.
        """
        ring = [s for name, s in self.by_name.items() if s.available and name not in self.suspended]
        ring.sort(key=lambda state: state.hash_position)
        start = self.context.settings.gateway_index * len(ring) // self.context.settings.gateway_count
        self.hash_ring = ring[start:] + ring[:start]
        self.choose_subset(now)

    def choose_subset(self, now: float) -> None:
        """Take endpoints from the ring until enough of them are neither ejected nor unresponsive."""
        settings = self.context.settings
        even_part = math.ceil(SUBSET_MULTIPLE * len(self.hash_ring) / settings.gateway_count)
        missing = max(MIN_SUBSET, even_part)
        self.subset = []
        for state in self.hash_ring:
            self.subset.append(state)
            if state.ejected_until <= now and not self._is_unresponsive(now, state):
                missing -= 1
            if missing <= 0:
                break

    def _is_unresponsive(self, now: float, state: EndpointState) -> bool:
        since = state.unresponsive_since
        return since is not None and now - since > self.context.unresponsive_timeout

    def unresponsive(self, now: float) -> list[EndpointState]:
        """Return the endpoints of the subset that are unresponsive."""
        # Repeats the condition of ``_is_unresponsive``: a call per endpoint would slow down every request.
        timeout = self.context.unresponsive_timeout
        return [
            state
            for state in self.subset
            if state.unresponsive_since is not None and now - state.unresponsive_since > timeout
        ]

    def is_known(self, name: str) -> bool:
        """Whether an endpoint is listed or suspended: a suspension outlives the entry in the list."""
        state = self.by_name.get(name)
        return name in self.suspended or (state is not None and not state.removed)

    def count_suspended_or_ejected(self, now: float, states: Iterable[EndpointState]) -> int:
        """Return how many of these endpoints are suspended or ejected."""
        return sum(state.endpoint.name in self.suspended or state.ejected_until > now for state in states)

    def set_suspended(self, now: float, name: str, *, suspended: bool) -> None:
        """Suspend or restore one endpoint."""
        names = self.suspended | {name} if suspended else self.suspended - {name}
        self._replace_suspended(now, names)

    def on_suspensions_changed(self, now: float, event: model.SuspensionsChanged) -> None:
        """Suspend exactly the endpoints that the processes of this limiter have recorded."""
        self._replace_suspended(now, event.endpoints)

    def _replace_suspended(self, now: float, names: frozenset[str]) -> None:
        """Suspend exactly these endpoints; those that are restored begin a slow start."""
        for name in self.suspended - names:
            if name in self.by_name:
                self.by_name[name].restore(now)
        self.suspended = names
        self.rebuild_hash_ring(now)

    def on_health_check(self, now: float, event: model.HealthChecked) -> None:
        """Return an unreachable endpoint to service when it passes its health check."""
        state = self.by_name.get(event.endpoint)
        if event.status is CallStatus.OK and state is not None and state.unreachable:
            state.pass_health_check(now)

    def close_interval(self, now: float, elapsed: float) -> None:
        """Update the work rates, and check the health of unreachable endpoints.

        A health check is cheaper than a request that fails, so an endpoint stays ejected while it is checked.
        """
        may_check = self.context.settings.may_check_health
        for name, state in self.by_name.items():
            state.close_interval(elapsed, WORK_RATE_WEIGHT)
            is_down = state.available and state.unreachable and state.half_open
            if is_down and may_check and name not in self.suspended:
                self.context.actions.append(model.CheckHealth(name))
                state.extend_ejection(now + HEALTH_CHECK_EJECTION_SECONDS)

    def forget_removed(self, in_flight: Iterable[EndpointState]) -> None:
        """Forget removed endpoints without work in flight: the table must not grow with every new name."""
        if any(state.removed for state in self.by_name.values()):
            busy = {state.endpoint.name for state in in_flight}
            self.by_name = {n: s for n, s in self.by_name.items() if not s.removed or n in busy}
