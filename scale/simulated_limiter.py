"""A single limiter in virtual time: the real decisions with simulated endpoints, tenants and counter."""

from __future__ import annotations

import json
import math
import sys
from collections.abc import Callable
from dataclasses import dataclass
from heapq import heappop, heappush
from itertools import count
from random import Random
from time import process_time_ns
from typing import Any, NamedTuple

from quota_gateway import model
from quota_gateway.decisions.gateway import Gateway
from quota_gateway.net.discovery.watch_event import parse_watch_event
from quota_gateway.settings_parser import parse_settings
from quota_gateway.state import Account
from scale.model import Size
from scale.synthetic_inputs import (
    BELOW_QUOTA_LOAD,
    CLASS_COUNT,
    CLIENT_TIMEOUT,
    NEAR_QUOTA_LOAD,
    OVER_QUOTA_LOAD,
    PLAN_NAME,
    USUAL_MIX,
    LoadMix,
    complete_list_text,
    endpoint_row,
    synthetic_settings,
    watch_event_text,
)

RESPONSE_TIME = 0.04  # seconds, median
RESPONSE_TIME_SIGMA = 0.4  # of its logarithm
REPLY_TIME = 0.005  # seconds until the counter replies, or an endpoint answers a health check
START_TIME = 1000.0  # virtual seconds
_REPLACEMENT_STRIDE = 7  # between the places of two endpoints that are replaced
# How the bytes of the simulation's own tables are reckoned: an int, a float, and a tuple of three.
_INT_BYTES = 32
_FLOAT_BYTES = 24
_TUPLE_BYTES = 64


@dataclass(slots=True)
class EventCost:
    """Processor time that the decisions spent on one type of event."""

    nanoseconds: int = 0
    events: int = 0


class _CounterTotal(NamedTuple):
    """What the counter holds under a name."""

    units: float
    updated_at: float
    begun_at: float


class SimulatedLimiter:
    """One limiter of the fleet under its part of the load.

    ``wide``: all limiters serve each tenant, else ``size.spread`` of them. Clients do not retry, endpoints
    answer quickly, and the counter replies to each call after ``REPLY_TIME``.
    """

    def __init__(self, size: Size, wide: bool, seed: int, mix: LoadMix = USUAL_MIX) -> None:
        """Start the decisions, with no endpoint and no request yet."""
        self.size = size
        self.mix = mix
        self.spread = size.limiters if wide else min(size.spread, size.limiters)
        self.tenants = max(1, round(size.tenants * self.spread / size.limiters))
        self.rate = size.rate / size.limiters  # requests a second
        self.quota = size.rate / size.tenants / mix.demand  # units a second, of each tenant
        self.settings = synthetic_settings(size.limiters, self.quota)
        self.now = START_TIME
        self.gateway = Gateway(parse_settings(self.settings), seed, self.now)
        self.costs = dict[str, EventCost]()  # by the name of the event's type
        self.counter_calls = 0
        self.health_checks = 0
        self.requests = 0
        self.rejections = 0
        self._rng = Random(seed)
        # Heap; None stands for the next request of the load.
        self._events = list[tuple[float, int, model.Event | None]]()
        self._order = count()  # of events that come at the same time
        self._last_request_id = 0
        self._attempts = dict[int, int]()  # made so far, by request
        self._first_tenant = 0
        self._tenant_by_counter = dict[int, int]()
        self._totals = dict[int, _CounterTotal]()
        self._list_sequence = 1
        self._endpoints = [*range(size.servers)]  # the number of the one at each place
        self._list_changes = 0
        self._replaced_place = 0

    def start(self) -> None:
        """Take the complete list, and schedule the first request."""
        self.handle(parse_watch_event(json.loads(complete_list_text(self.size))).update)
        self._schedule(0.0, None)

    def visit_all_tenants(self, seconds: float) -> None:
        """Have each tenant send one request within this time, on top of the load."""
        for number in range(self.tenants):
            self._schedule(seconds * number / self.tenants, self._make_request(self._first_tenant + number))
        self.run(seconds)

    def run(self, seconds: float) -> None:
        """Let so much virtual time pass."""
        until = self.now + seconds
        while self._events and self._events[0][0] <= until:
            self.now, _, event = heappop(self._events)
            if event is None:
                event = self._make_request(self._draw_tenant())
                self._schedule(self._rng.expovariate(self.rate), None)
            self.handle(event)
        self.now = until

    def handle(self, event: model.Event) -> None:
        """Have the decisions handle an event now, and carry out their actions."""
        began = process_time_ns()
        actions = self.gateway.handle(self.now, event)
        spent = process_time_ns() - began
        cost = self.costs.setdefault(type(event).__name__, EventCost())
        cost.nanoseconds += spent
        cost.events += 1
        if isinstance(event, model.Request):
            self.requests += 1
        elif isinstance(event, model.AttemptCompleted) and event.request_finished:
            self._attempts.pop(event.request_id, None)
        for action in actions:
            handler = _ACTION_HANDLERS.get(type(action))
            if handler is not None:
                handler(self, action)

    def replace_tenants(self, tenants: int) -> None:
        """So many tenants go for good, and as many new ones come."""
        self._first_tenant += tenants
        # Units of those that went are reported for a minute yet; longer, the simulation's tables would pass
        # for the limiter's.
        oldest = self._first_tenant - 2 * tenants
        remembered = {name: tenant for name, tenant in self._tenant_by_counter.items() if tenant >= oldest}
        self._tenant_by_counter = remembered
        self._totals = {name: total for name, total in self._totals.items() if name in remembered}

    def expected_tenants(self, seconds: float) -> int:
        """Tenants that send one request at least in so many seconds, on average."""
        requests_each = self.rate * seconds / self.tenants / self.mix.demand
        below = 1 - self.mix.near - self.mix.over
        loads = (
            (below, BELOW_QUOTA_LOAD),
            (self.mix.near, NEAR_QUOTA_LOAD),
            (self.mix.over, OVER_QUOTA_LOAD),
        )
        shares = sum(share * -math.expm1(-requests_each * demand) for share, demand in loads)
        return round(self.tenants * shares)

    def known_tenants(self) -> int:
        """Tenants that the decisions have a state of."""
        return len(self.gateway.accounts.accounts)

    def complete_list(self) -> str:
        """The watch event with the complete list as it stands now."""
        rows = (endpoint_row(number, self.size) for number in self._endpoints)
        return watch_event_text(rows, self._list_sequence, complete=True)

    def next_list_change(self) -> str:
        """The next watch event on an endpoint that is replaced: it drains, goes, and another one comes."""
        step = self._list_changes % 3
        self._list_sequence += 1
        self._list_changes += 1
        if step == 0:
            replaced = self._list_changes // 3
            self._replaced_place = replaced * _REPLACEMENT_STRIDE % len(self._endpoints)
        place = self._replaced_place
        is_new = step == 2
        if is_new:
            self._endpoints[place] += self.size.servers
        health = ("draining", "gone", "ready")[step]
        born_ms = round(self.now * 1000) if is_new else 0
        row = endpoint_row(self._endpoints[place], self.size, health, born_ms)
        return watch_event_text([row], self._list_sequence, complete=False)

    def harness_bytes(self) -> int:
        """Bytes that are the simulation's and no part of a limiter: tenants by counter, and the totals."""
        tables = (self._tenant_by_counter, self._totals, self._events)
        tenant_bytes = 2 * _INT_BYTES
        total_bytes = 3 * _FLOAT_BYTES + _TUPLE_BYTES + _INT_BYTES
        return (
            sum(sys.getsizeof(table) for table in tables)
            + tenant_bytes * len(self._tenant_by_counter)
            + total_bytes * len(self._totals)
        )

    def mean_cost(self, first: str, *caused: str) -> float:
        """Seconds of processor time of an event of the first type, with the others that it caused."""
        nanoseconds = sum(self.costs.get(name, EventCost()).nanoseconds for name in (first, *caused))
        return nanoseconds / max(1, self.costs[first].events) / 1e9

    def _schedule(self, delay: float, event: model.Event | None) -> None:
        heappush(self._events, (self.now + delay, next(self._order), event))

    def _draw_tenant(self) -> int:
        """A tenant by its demand: by rejection, for lists of them would count as the limiter's memory."""
        while True:
            tenant = self._first_tenant + self._rng.randrange(self.tenants)
            if self._rng.random() * OVER_QUOTA_LOAD < self.mix.demand_of(tenant):
                return tenant

    def _make_request(self, tenant: int) -> model.Request:
        self._last_request_id += 1
        request = model.Request(
            self._last_request_id,
            request_class=f"class-{self._last_request_id % CLASS_COUNT}",
            plan=PLAN_NAME,
            timeout=CLIENT_TIMEOUT,
            account=f"{tenant:016x}",
            serving_gateways=self.spread,
        )
        # The counter must know whose units it is told, and its id is the decisions' own hash.
        counter_id = Account(0.0, model.Plan(PLAN_NAME), request.account).counter_id
        self._tenant_by_counter.setdefault(counter_id, tenant)
        return request

    def _forward(self, action: model.Forward) -> None:
        attempt = self._attempts.get(action.request_id, 0)
        self._attempts[action.request_id] = attempt + 1
        elapsed = self._rng.lognormvariate(math.log(RESPONSE_TIME), RESPONSE_TIME_SIGMA)
        served = elapsed <= action.timeout
        status = model.CallStatus.OK if served else model.CallStatus.TIMEOUT
        elapsed = min(elapsed, action.timeout)
        event = model.AttemptCompleted(
            action.request_id,
            attempt=attempt,
            endpoint=action.endpoint,
            status=status,
            elapsed=elapsed,
            request_finished=served,
            load_report={},
        )
        self._schedule(elapsed, event)

    def _end_request(self, action: model.Reject | model.Fail) -> None:
        self.rejections += 1
        self._attempts.pop(action.request_id, None)

    def _increment_counter(self, action: model.IncrementCounter) -> None:
        self.counter_calls += 1
        total = self._add_to_total(action)
        self._schedule(REPLY_TIME, model.CounterReplied(action.counter_id, model.CallStatus.OK, total))

    def _check_health(self, action: model.CheckHealth) -> None:
        self.health_checks += 1
        event = model.HealthChecked(action.endpoint, model.CallStatus.OK, REPLY_TIME, {})
        self._schedule(REPLY_TIME, event)

    def _set_timer(self, action: model.SetTimer) -> None:
        self._schedule(action.delay, model.TimerFired(action.token))

    def _add_to_total(self, action: model.IncrementCounter) -> float:
        """What the counter holds: this limiter's units, and the even use of the others up to the quota."""
        # Of those that are gone what is owed is still reported: by the mean, for nobody sends for them now.
        tenant = self._tenant_by_counter.get(action.counter_id)
        demand = min(1.0, self.mix.demand if tenant is None else self.mix.demand_of(tenant))
        other_use = self.quota * demand * (self.spread - 1) / self.spread  # units a second
        fresh = _CounterTotal(0.0, self.now, self.now)
        total = self._totals.get(action.counter_id, fresh)
        if self.now - total.begun_at > action.lifetime:
            total = fresh
        units = total.units + (other_use * (self.now - total.updated_at) + action.amount)
        self._totals[action.counter_id] = _CounterTotal(units, self.now, total.begun_at)
        return units


_ACTION_HANDLERS: dict[type[model.Action], Callable[[SimulatedLimiter, Any], None]] = {
    model.Forward: SimulatedLimiter._forward,
    model.Reject: SimulatedLimiter._end_request,
    model.Fail: SimulatedLimiter._end_request,
    model.IncrementCounter: SimulatedLimiter._increment_counter,
    model.CheckHealth: SimulatedLimiter._check_health,
    model.SetTimer: SimulatedLimiter._set_timer,
}
