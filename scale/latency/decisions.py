"""The cost of the decisions alone, without sockets and in virtual time."""

from __future__ import annotations

import time
from collections import defaultdict
from dataclasses import dataclass
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import NamedTuple

from quota_gateway import model
from quota_gateway.decisions.gateway import Gateway
from quota_gateway.settings_parser import parse_settings
from scale.latency.percentiles import Percentiles, percentiles
from scale.latency.workload import (
    CLIENT_TIMEOUT_SECONDS,
    limiter_settings,
    plan_of,
    poisson_schedule,
    tenants_per_limiter,
)
from scale.model import Size
from scale.stand_ins.discovery import make_endpoints

MIN_SERVICE_SECONDS = 0.004
MAX_SERVICE_SECONDS = 0.016
COUNTER_REPLY_SECONDS = 0.001
NO_REQUEST = -1  # request number of a timer event


@dataclass(frozen=True, slots=True)
class DecisionCost:
    """The duration of ``Gateway.handle``."""

    request: Percentiles  # seconds, summed over the events of a request
    tick: Percentiles  # seconds of the tick that runs once a second
    cpu: float  # CPU seconds per request, ticks included


class _ScheduledEvent(NamedTuple):
    """An event with its virtual time; ``order`` breaks ties: events scheduled first are handled first."""

    at: float
    order: int
    event: model.Event
    request: int


class _TimedGateway:
    """Measures a gateway on queued events; replies of simulated endpoints and a counter join the queue."""

    def __init__(self, gateway: Gateway, rng: Random) -> None:
        self._gateway = gateway
        self._rng = rng
        self._queue = list[_ScheduledEvent]()  # heap
        self._order = count()
        self.request_seconds = defaultdict[int, float](float)
        self.tick_seconds = list[float]()

    def schedule(self, when: float, event: model.Event, request: int) -> None:
        """Queue an event of a request for a virtual time."""
        heappush(self._queue, _ScheduledEvent(when, next(self._order), event, request))

    def run(self, until: float) -> None:
        """Handle all events before ``until``, including those that are scheduled meanwhile."""
        while self._queue and self._queue[0].at < until:
            now, _, event, request = heappop(self._queue)
            started = time.perf_counter()
            actions = self._gateway.handle(now, event)
            elapsed = time.perf_counter() - started
            if isinstance(event, model.TimerFired):
                self.tick_seconds.append(elapsed)
            else:
                self.request_seconds[request] += elapsed
            for action in actions:
                self._execute(now, action, request)

    def _execute(self, now: float, action: model.Action, request: int) -> None:
        ok = model.CallStatus.OK
        if isinstance(action, model.Forward):
            service_seconds = self._rng.uniform(MIN_SERVICE_SECONDS, MAX_SERVICE_SECONDS)
            completed = model.AttemptCompleted(
                request_id=action.request_id,
                attempt=0,
                endpoint=action.endpoint,
                status=ok,
                elapsed=service_seconds,
                request_finished=True,
                load_report={},
            )
            self.schedule(now + service_seconds, completed, action.request_id)
        elif isinstance(action, model.IncrementCounter):
            replied = model.CounterReplied(action.counter_id, ok, action.amount)
            self.schedule(now + COUNTER_REPLY_SECONDS, replied, request)
        elif isinstance(action, model.SetTimer):
            self.schedule(now + action.delay, model.TimerFired(action.token), NO_REQUEST)


def measure_decisions(size: Size, servers: int, rate: float, seconds: float, seed: int) -> DecisionCost:
    """Measure ``Gateway.handle`` under the load of one limiter for a number of virtual seconds."""
    rng = Random(seed)
    gateway = Gateway(parse_settings(limiter_settings(size, rate, quotas=True)), seed, 0.0)
    endpoints = tuple(
        model.Endpoint(endpoint.name, model.EndpointHealth.HEALTHY, endpoint.zone)
        for endpoint in make_endpoints(servers, ["127.0.0.1:1"])
    )
    gateway.handle(0.0, model.EndpointUpdate(endpoints, complete=True))
    timed = _TimedGateway(gateway, rng)
    tenants = tenants_per_limiter(size)
    for number, arrival in enumerate(poisson_schedule(rng, rate, seconds, tenants)):
        timed.schedule(arrival.at, _request(number, arrival.tenant, tenants, size.spread), number)
    timed.schedule(0.0, model.TimerFired(0), NO_REQUEST)
    started = time.process_time()
    timed.run(seconds)
    cpu = time.process_time() - started
    return DecisionCost(
        request=percentiles(timed.request_seconds.values()),
        tick=percentiles(timed.tick_seconds),
        cpu=cpu / max(1, len(timed.request_seconds)),
    )


def _request(number: int, tenant: int, tenants: int, serving_gateways: int) -> model.Request:
    plan = plan_of(tenant, tenants)
    account = f"{tenant:016x}"
    return model.Request(
        number, "read", plan, CLIENT_TIMEOUT_SECONDS, account, serving_gateways=serving_gateways
    )
