"""A single limiter in virtual time: the real decisions with simulated endpoints, tenants and counter."""

from __future__ import annotations

import json
import math
import sys
from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import Any, ClassVar, NamedTuple

from quota_gateway import model
from quota_gateway.decisions.gateway import Gateway
from quota_gateway.net.discovery.watch_event import parse_watch_event
from quota_gateway.settings_parser import parse_settings
from scale.changing_list import ChangingEndpointList
from scale.event_costs import EventCosts
from scale.model import Size
from scale.simulated_counter import SimulatedCounter
from scale.synthetic_inputs import (
    BELOW_QUOTA_LOAD,
    CLASS_COUNT,
    CLIENT_TIMEOUT_SECONDS,
    NEAR_QUOTA_LOAD,
    OVER_QUOTA_LOAD,
    PLAN_NAME,
    USUAL_MIX,
    LoadMix,
    synthetic_settings,
)

MEDIAN_RESPONSE_SECONDS = 0.04
RESPONSE_TIME_SIGMA = 0.4  # standard deviation of the logarithm of the response time
REPLY_SECONDS = 0.005  # time until the counter replies or an endpoint responds to a health check
VIRTUAL_START_SECONDS = 1000.0


class _ScheduledEvent(NamedTuple):
    """An event with its virtual time; ``order`` keeps events of the same time in the order of scheduling."""

    at: float
    order: int
    event: model.Event | None  # None: the next request of the load


class SimulatedLimiter:
    """One limiter of the fleet under its share of the load.

    With ``full_spread`` all limiters serve each tenant, otherwise ``size.spread`` of them. Clients do not
    retry, endpoints respond quickly, and the counter replies to each call after ``REPLY_SECONDS``.
    """

    def __init__(self, size: Size, *, full_spread: bool, seed: int, mix: LoadMix = USUAL_MIX) -> None:
        """Create the limiter, without endpoints and requests."""
        self.size = size
        self.spread = size.limiters if full_spread else min(size.spread, size.limiters)
        self.tenants = max(1, round(size.tenants * self.spread / size.limiters))
        self.rate = size.rate / size.limiters  # requests a second
        quota = size.rate / size.tenants / mix.demand  # units a second, of each tenant
        self.settings = synthetic_settings(size.limiters, quota)
        self.costs = EventCosts()
        self.counter_calls = 0
        self.health_checks = 0
        self.requests = 0
        self.rejections = 0
        self._now = VIRTUAL_START_SECONDS
        self._gateway = Gateway(parse_settings(self.settings), seed, self._now)
        self._mix = mix
        self._random = Random(seed)
        self._counter = SimulatedCounter(quota=quota, spread=self.spread, mix=mix)
        self._endpoint_list = ChangingEndpointList(size)
        self._events = list[_ScheduledEvent]()  # heap
        self._order = count()
        self._last_request_id = 0
        self._attempts = dict[int, int]()  # number of attempts started so far, by request id
        self._first_tenant = 0

    def start(self) -> None:
        """Apply the complete list, and schedule the first request."""
        self.handle(parse_watch_event(json.loads(self.complete_list())).update)
        self._schedule(0.0, None)

    def visit_all_tenants(self, seconds: float) -> None:
        """Run for ``seconds``, in which each tenant sends one request in addition to the load."""
        for number in range(self.tenants):
            self._schedule(seconds * number / self.tenants, self._make_request(self._first_tenant + number))
        self.run(seconds)

    def run(self, seconds: float) -> None:
        """Handle the events of the next ``seconds`` of virtual time."""
        until = self._now + seconds
        while self._events and self._events[0].at <= until:
            self._now, _, event = heappop(self._events)
            if event is None:
                event = self._make_request(self._draw_tenant())
                self._schedule(self._random.expovariate(self.rate), None)
            self.handle(event)
        self._now = until

    def handle(self, event: model.Event) -> None:
        """Let the decisions handle an event at the present time, and execute their actions."""
        actions = self.costs.measure(self._gateway, self._now, event)
        if isinstance(event, model.Request):
            self.requests += 1
        elif isinstance(event, model.AttemptCompleted) and event.request_finished:
            self._attempts.pop(event.request_id, None)
        for action in actions:
            handler = self._ACTION_HANDLERS.get(type(action))
            if handler is not None:
                handler(self, action)

    def reset_counts(self) -> None:
        """Count requests, rejections, counter calls and health checks from 0 again."""
        self.counter_calls = 0
        self.health_checks = 0
        self.requests = 0
        self.rejections = 0

    def replace_tenants(self, tenants: int) -> None:
        """Replace the ``tenants`` oldest tenants by new ones."""
        self._first_tenant += tenants
        # The limiter reports the usage of replaced tenants for another minute. After that, their counters
        # would only add to the memory of the simulation.
        self._counter.delete_tenants_before(self._first_tenant - 2 * tenants)

    def expected_tenants(self, seconds: float) -> int:
        """Return the expected number of tenants that send at least one request within ``seconds``."""
        requests_at_quota = self.rate * seconds / self.tenants / self._mix.demand
        below_quota = 1 - self._mix.near - self._mix.over
        loads = (
            (below_quota, BELOW_QUOTA_LOAD),
            (self._mix.near, NEAR_QUOTA_LOAD),
            (self._mix.over, OVER_QUOTA_LOAD),
        )
        active = sum(fraction * -math.expm1(-requests_at_quota * demand) for fraction, demand in loads)
        return round(self.tenants * active)

    def known_tenants(self) -> int:
        """Return the number of tenants that have an account at the gateway."""
        return len(self._gateway.account_table.accounts)

    def complete_list(self) -> str:
        """Return the watch event with the present complete list."""
        return self._endpoint_list.complete_text()

    def next_list_change(self) -> str:
        """Return the watch event with the next change of the list."""
        return self._endpoint_list.next_change_text(self._now)

    def harness_bytes(self) -> int:
        """Return the bytes of the simulation's own tables, which a real limiter does not have."""
        return self._counter.table_bytes() + sys.getsizeof(self._events)

    def _schedule(self, delay: float, event: model.Event | None) -> None:
        heappush(self._events, _ScheduledEvent(self._now + delay, next(self._order), event))

    def _draw_tenant(self) -> int:
        """Draw a tenant with a probability proportional to its demand.

        Rejection sampling needs no table of weights, whose memory would count as the limiter's.
        """
        while True:
            tenant = self._first_tenant + self._random.randrange(self.tenants)
            if self._random.random() * OVER_QUOTA_LOAD < self._mix.demand_of(tenant):
                return tenant

    def _make_request(self, tenant: int) -> model.Request:
        self._last_request_id += 1
        request = model.Request(
            self._last_request_id,
            request_class=f"class-{self._last_request_id % CLASS_COUNT}",
            plan=PLAN_NAME,
            timeout=CLIENT_TIMEOUT_SECONDS,
            account=f"{tenant:016x}",
            serving_gateways=self.spread,
        )
        self._counter.register(tenant, request.account)
        return request

    def _forward(self, action: model.Forward) -> None:
        attempt = self._attempts.get(action.request_id, 0)
        self._attempts[action.request_id] = attempt + 1
        elapsed = self._random.lognormvariate(math.log(MEDIAN_RESPONSE_SECONDS), RESPONSE_TIME_SIGMA)
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
        total = self._counter.increment(self._now, action)
        self._schedule(REPLY_SECONDS, model.CounterReplied(action.counter_id, model.CallStatus.OK, total))

    def _check_health(self, action: model.CheckHealth) -> None:
        self.health_checks += 1
        event = model.HealthChecked(action.endpoint, model.CallStatus.OK, REPLY_SECONDS, {})
        self._schedule(REPLY_SECONDS, event)

    def _set_timer(self, action: model.SetTimer) -> None:
        self._schedule(action.delay, model.TimerFired(action.token))

    _ACTION_HANDLERS: ClassVar[dict[type[model.Action], Callable[[SimulatedLimiter, Any], None]]] = {
        model.Forward: _forward,
        model.Reject: _end_request,
        model.Fail: _end_request,
        model.IncrementCounter: _increment_counter,
        model.CheckHealth: _check_health,
        model.SetTimer: _set_timer,
    }
