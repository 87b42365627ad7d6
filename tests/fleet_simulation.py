"""A simulation of many gateways and endpoints in one process, without sockets and on one simulated clock.

No gateway knows the other gateways or the capacity of an endpoint. A restarted endpoint warms up in
exactly the time that the settings state.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field, replace
from functools import partial
from itertools import accumulate
from random import Random
from typing import NamedTuple

from quota_gateway import model
from quota_gateway.decisions.gateway import Gateway
from tests.simulation import ZONES, make_settings

READ = model.RequestClass("read", 1.0, 1.0, model.Idempotency.INHERENT)
POST = model.RequestClass("post", 1.5, 2.0, model.Idempotency.NONE, deduplication_window=5.0)
READ_FRACTION = 0.7  # fraction of the requests that are reads; the others are posts
CORE_SECONDS = {"read": 0.1, "post": 0.05}  # service time on one core of a warm endpoint
MEAN_CORE_SECONDS = READ_FRACTION * CORE_SECONDS["read"] + 0.3 * CORE_SECONDS["post"]
CLIENT_TIMEOUT_SECONDS = 2.0
CUSTOMERS = 500
ROUND_TRIP_SECONDS = 0.004
MAX_QUEUED_REQUESTS = 40  # an endpoint with a longer queue rejects requests
TRAFFIC_SIGMA = 1.2  # sigma of the lognormal distribution of the load over the gateways
START_TIME = 100.0  # Unix time at which the simulation starts


class ReceivedRequest(NamedTuple):
    """A request that an endpoint received, and then executed or rejected."""

    received_at: float
    is_notified: bool  # whether the gateway had this incarnation in its endpoint list
    size: float  # its work divided by the mean work


@dataclass
class SimulatedEndpoint:
    """An endpoint with one queue per core, which warms up from ``warming_since`` on."""

    entry: model.Endpoint
    cores: int
    warming_since: float = 0.0
    down_until: float = 0.0
    core_free_at: list[float] = field(default_factory=list)  # time at which each core is idle again
    received: list[ReceivedRequest] = field(default_factory=list)  # requests in this incarnation

    def restart(self, started_at: float, *, is_listed: bool) -> None:
        """Begin a new incarnation, unreachable until it starts; with ``is_listed`` the list announces it."""
        self.down_until = started_at
        self.warming_since = started_at
        self.core_free_at = [started_at] * self.cores
        self.received = []
        if is_listed:
            self.entry = replace(self.entry, started_at=started_at)

    def drain(self) -> None:
        """Change the entry in the endpoint list to draining."""
        self.entry = replace(self.entry, health=model.EndpointHealth.DRAINING)


@dataclass
class ClientRequest:
    """A request and the number of its attempts so far."""

    request_class: str
    attempts: int = 0

    def start_attempt(self) -> int:
        """Count an attempt, and return its number."""
        self.attempts += 1
        return self.attempts - 1


@dataclass
class SimulatedGateway:
    """The decisions of one gateway; a restarted gateway has no state of its previous incarnation."""

    decisions: Gateway | None = None  # None: stopped
    incarnation: int = 0  # events for an earlier incarnation are dropped
    # Start times in the endpoint list that the gateway has received, by endpoint.
    notified: dict[str, float] = field(default_factory=dict)

    def start(self, decisions: Gateway) -> None:
        """Begin a new incarnation."""
        self.decisions = decisions
        self.incarnation += 1
        self.notified = {}

    def stop(self) -> None:
        """Stop the gateway and discard its state."""
        self.decisions = None


def fleet_settings(gateways: int) -> model.Settings:
    """Return the settings of all gateways; only their indices differ."""
    return make_settings(
        gateway_count=gateways,
        classes=(READ, POST),
        plans=(model.Plan("free"),),
        has_counter=False,
        initial_capacity=0.23,
        warm_up_time=5.0,
        overload_multiple=2.5,
        overload_window=1.0,
    )


class FleetSimulation:
    """Many gateways and endpoints; arrivals are Poisson and spread unevenly over the gateways."""

    def __init__(
        self,
        gateways: int,
        endpoints: int,
        load: float,
        seed: int,
        cores: int = 1,
        *,
        is_always_fast: bool = False,
    ) -> None:
        """Schedule the start; ``load`` is a fraction of the capacity of all endpoints when they are warm.

        With ``is_always_fast`` all endpoints respond like warm ones.
        """
        self.rng = Random(seed)
        self.now = START_TIME
        self.seed = seed
        self.cores = cores
        self.is_always_fast = is_always_fast
        self.settings = fleet_settings(gateways)
        self.scheduled: list[tuple[float, int, Callable[[], None]]] = []  # a heap by time and insertion order
        self.scheduled_count = 0
        self.endpoints: dict[str, SimulatedEndpoint] = {}
        for number in range(endpoints):
            self.add_endpoint(f"s{number}")
        weights = [self.rng.lognormvariate(0, TRAFFIC_SIGMA) for _ in range(gateways)]
        self.cumulative_weights = list(accumulate(weights))
        self.gateways = [SimulatedGateway() for _ in range(gateways)]
        self.requests: dict[int, ClientRequest] = {}
        self.rate = load * endpoints * cores / MEAN_CORE_SECONDS  # requests per second
        self._schedule_start()

    def _schedule_start(self) -> None:
        """Schedule the starts of the gateways within the first second, and the traffic after it."""
        for gateway in range(len(self.gateways)):
            self.schedule(START_TIME + self.rng.random(), partial(self.start_gateway, gateway))
        self.schedule(START_TIME + 1.0, self._receive_request)

    def schedule(self, time: float, step: Callable[[], None]) -> None:
        """Schedule a step; steps at the same time are executed in the order of scheduling."""
        self.scheduled_count += 1
        heapq.heappush(self.scheduled, (time, self.scheduled_count, step))

    def run(self, until: float) -> None:
        """Execute the scheduled steps until the given time."""
        while self.scheduled and self.scheduled[0][0] <= until:
            self.now, _, step = heapq.heappop(self.scheduled)
            step()
        self.now = until

    @contextmanager
    def scaled_load(self, factor: float) -> Iterator[None]:
        """Multiply the rate of requests by a factor within a ``with`` block."""
        self.rate *= factor
        yield
        self.rate /= factor

    def add_endpoint(self, name: str, started_at: float = 0.0) -> None:
        """Start an endpoint without notifying the gateways."""
        number = len(self.endpoints)
        entry = model.Endpoint(
            name=name,
            health=model.EndpointHealth.HEALTHY,
            zone=ZONES[number % 2],
            cell=number // 2,
            weight=1.0,
            started_at=started_at,
        )
        self.endpoints[name] = SimulatedEndpoint(
            entry=entry,
            cores=self.cores,
            warming_since=started_at,
            core_free_at=[0.0] * self.cores,
        )

    def warm_fraction(self, endpoint: SimulatedEndpoint, time: float) -> float:
        """Return the fraction of its full capacity that an endpoint has."""
        initial = self.settings.initial_capacity
        age = time - endpoint.warming_since
        fraction = initial + (1 - initial) * age / self.settings.warm_up_time
        return max(initial, min(1.0, fraction))

    def start_gateway(self, gateway: int) -> None:
        """Start or restart a gateway, and deliver the endpoint list to it."""
        settings = replace(self.settings, gateway_index=gateway)
        self.gateways[gateway].start(Gateway(settings, self.seed * 1000 + gateway, self.now))
        entries = tuple(endpoint.entry for endpoint in self.endpoints.values())
        self._feed(gateway, model.EndpointUpdate(entries, complete=True))

    def notify(self, gateway: int, names: Iterable[str]) -> None:
        """Deliver the current entries of these endpoints to a gateway."""
        entries = tuple(self.endpoints[name].entry for name in names)
        self._feed(gateway, model.EndpointUpdate(entries, complete=False))

    def _feed(self, gateway: int, event: model.Event) -> None:
        decisions = self.gateways[gateway].decisions
        if decisions is None:
            return
        if isinstance(event, model.EndpointUpdate):
            notified = self.gateways[gateway].notified
            notified.update({entry.name: entry.started_at for entry in event.endpoints})
        for action in decisions.handle(self.now, event):
            if isinstance(action, model.SetTimer):
                timer = model.TimerFired(action.token)
                self._feed_later(self.now + action.delay, gateway, timer)
            elif isinstance(action, model.Forward):
                self._forward(gateway, action)
            elif isinstance(action, model.CheckHealth):
                self._check_health(gateway, action)

    def _feed_later(self, time: float, gateway: int, event: model.Event) -> None:
        incarnation = self.gateways[gateway].incarnation
        self.schedule(time, partial(self._deliver, gateway, incarnation, event))

    def _deliver(self, gateway: int, incarnation: int, event: model.Event) -> None:
        if incarnation == self.gateways[gateway].incarnation:
            self._feed(gateway, event)

    def _receive_request(self) -> None:
        self.schedule(self.now + self.rng.expovariate(self.rate), self._receive_request)
        (gateway,) = self.rng.choices(range(len(self.gateways)), cum_weights=self.cumulative_weights)
        request_id = len(self.requests) + 1
        request_class = "read" if self.rng.random() < READ_FRACTION else "post"
        self.requests[request_id] = ClientRequest(request_class)
        account = f"{self.rng.randrange(CUSTOMERS):016x}"
        self._feed(gateway, model.Request(request_id, request_class, "free", CLIENT_TIMEOUT_SECONDS, account))

    def _check_health(self, gateway: int, action: model.CheckHealth) -> None:
        is_down = self.endpoints[action.endpoint].down_until > self.now
        status = model.CallStatus.UNREACHABLE if is_down else model.CallStatus.OK
        event = model.HealthChecked(action.endpoint, status, ROUND_TRIP_SECONDS, {})
        self._feed_later(self.now + ROUND_TRIP_SECONDS, gateway, event)

    def _forward(self, gateway: int, action: model.Forward) -> None:
        request = self.requests[action.request_id]
        attempt = request.start_attempt()
        times_out_at = self.now + action.timeout
        ends_at, status = self._execute(gateway, action.endpoint, request.request_class)
        if ends_at > times_out_at:
            ends_at = times_out_at
            status = model.CallStatus.TIMEOUT
        event = model.AttemptCompleted(
            request_id=action.request_id,
            attempt=attempt,
            endpoint=action.endpoint,
            status=status,
            elapsed=ends_at - self.now,
            request_finished=status is model.CallStatus.OK,
            load_report={},
        )
        self._feed_later(ends_at, gateway, event)

    def _execute(self, gateway: int, name: str, request_class: str) -> tuple[float, model.CallStatus]:
        """Let an endpoint receive an attempt now, and return when and how the attempt ends."""
        endpoint = self.endpoints[name]
        if endpoint.down_until > self.now:
            return self.now + ROUND_TRIP_SECONDS, model.CallStatus.UNREACHABLE
        is_notified = self.gateways[gateway].notified.get(name) == endpoint.entry.started_at
        size = CORE_SECONDS[request_class] / MEAN_CORE_SECONDS
        endpoint.received.append(ReceivedRequest(self.now, is_notified, size))
        core = min(range(endpoint.cores), key=lambda core: endpoint.core_free_at[core])
        starts_at = max(self.now, endpoint.core_free_at[core])
        speed = 1.0 if self.is_always_fast else self.warm_fraction(endpoint, starts_at)
        work = CORE_SECONDS[request_class] * self.rng.uniform(0.7, 1.3) / speed
        if (starts_at - self.now) * endpoint.cores > MAX_QUEUED_REQUESTS * work:
            return self.now + ROUND_TRIP_SECONDS, model.CallStatus.OVERLOADED
        endpoint.core_free_at[core] = starts_at + work
        return starts_at + work + ROUND_TRIP_SECONDS, model.CallStatus.OK
