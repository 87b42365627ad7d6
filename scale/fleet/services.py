"""The stand-ins as a worker runs them: they take what has arrived and send their answers to the limiters.

Each worker has a copy of the counter and of discovery, which see the calls of all limiters, and answers its
own limiters from them. Of the endpoints it has some.
"""

from __future__ import annotations

from collections import Counter
from heapq import heappop, heappush

from quota_gateway import model
from scale.fleet.counter import SimulatedCounter
from scale.fleet.discovery import EndpointHistory, SimulatedDiscovery
from scale.fleet.endpoint import SimulatedEndpoint
from scale.fleet.messages import (
    Attempt,
    AttemptEnded,
    AttemptOutcome,
    CounterAnswered,
    CounterCall,
    CounterOutcome,
    DiscoveryCall,
    EndpointFailed,
    Envelope,
    HealthCheck,
    HealthChecked,
    LimiterEvent,
    SourceNumbers,
    WatchOpened,
)
from scale.fleet.parameters import NOTIFICATION_DELAY
from scale.fleet.router import Router
from scale.fleet.scenario import World
from scale.fleet.tally import Tally
from scale.fleet.topology import COORDINATION_ZONE, pair_draw

_ANY_DISCOVERY_CAPACITY = 1.0  # calls a second where none is ever called


class CounterService:
    """A worker's copy of the counter."""

    def __init__(self, world: World, router: Router, events: list[Envelope], tally: Tally | None) -> None:
        """``events``: the heap of the worker's limiters; ``tally``: None for all copies but one."""
        scenario = world.scenario
        self.inbox = list[Envelope]()
        self._world = world
        self._router = router
        self._events = events
        self._tally = tally
        self._source = SourceNumbers(world.size).counter
        self._counter = SimulatedCounter(
            scenario.counter_partitions,
            scenario.counter_capacity,
            scenario.seed,
            outages=scenario.schedule.counter_outages,
            slowdowns=scenario.schedule.counter_slowdowns,
            like_fleets=scenario.like_fleets,
        )

    def serve_until(self, start: float) -> None:
        """Take what has arrived before the window that starts then."""
        inbox = self.inbox
        while inbox and inbox[0].time < start:
            envelope = heappop(inbox)
            call = envelope.event
            assert isinstance(call, CounterCall)
            self._serve(envelope.time, start, envelope.source, call)

    def _serve(self, arrived_at: float, start: float, limiter: int, call: CounterCall) -> None:
        reply = self._counter.call(arrived_at, call.counter_id, call.amount, call.lifetime)
        if reply is None:
            return
        answered_at = reply.answered_at
        if self._tally is not None:
            counts = self._tally.at(answered_at)
            counts["counter calls served"] += 1
            counts["counter latency us"] += round((answered_at - arrived_at) * 1e6)
        if not self._router.owns_limiter(limiter):
            return
        topology = self._world.topology
        zone = topology.zone(limiter)
        if self._world.faults.partitioned(zone, COORDINATION_ZONE, answered_at):
            return
        delay = topology.delay(zone, COORDINATION_ZONE, pair_draw(limiter, COORDINATION_ZONE))
        back_at = answered_at + delay
        event = CounterAnswered(call.incarnation, call.call_id, CounterOutcome.OK, reply.total, back_at)
        sequence = self._counter.served
        heappush(self._events, Envelope(max(start, back_at), self._source, sequence, limiter, event))


class DiscoveryService:
    """A worker's copy of discovery."""

    def __init__(
        self, world: World, router: Router, events: list[Envelope], history: EndpointHistory
    ) -> None:
        """``events``: the heap of the worker's limiters."""
        self.inbox = list[Envelope]()
        self._world = world
        self._router = router
        self._events = events
        self._history = history
        self._source = SourceNumbers(world.size).discovery
        self._discovery = SimulatedDiscovery(world.scenario.discovery_capacity or _ANY_DISCOVERY_CAPACITY)

    def serve_until(self, start: float) -> None:
        """Take what has arrived before the window that starts then."""
        inbox = self.inbox
        while inbox and inbox[0].time < start:
            envelope = heappop(inbox)
            call = envelope.event
            assert isinstance(call, DiscoveryCall)
            self._serve(envelope.time, start, envelope.source, call)

    def _serve(self, arrived_at: float, start: float, limiter: int, call: DiscoveryCall) -> None:
        answered_at = self._discovery.call(arrived_at)
        if not self._router.owns_limiter(limiter):
            return
        topology = self._world.topology
        zone = topology.zone(limiter)
        if self._world.faults.partitioned(zone, COORDINATION_ZONE, answered_at):
            return
        learning_time = NOTIFICATION_DELAY[0]
        known_changes = sum(change.at + learning_time <= answered_at for change in self._history.changes)
        delay = topology.delay(zone, COORDINATION_ZONE, pair_draw(limiter, COORDINATION_ZONE))
        event = WatchOpened(call.incarnation, call.call_id, known_changes)
        back_at = max(start, answered_at + delay)
        heappush(self._events, Envelope(back_at, self._source, call.call_id, limiter, event))


class EndpointService:
    """A worker's endpoints."""

    def __init__(self, world: World, router: Router, history: EndpointHistory, tally: Tally) -> None:
        """The endpoints that the router gives to this worker."""
        self.inbox = list[Envelope]()
        self._world = world
        self._faults = world.faults
        self._topology = world.topology
        self._router = router
        self._history = history
        self._tally = tally
        self._first_source = SourceNumbers(world.size).first_endpoint
        self._sequences = Counter[int]()  # of what each endpoint sent
        self._endpoints = {
            index: SimulatedEndpoint(world.faults.boots_at(index))
            for index in range(world.size.servers)
            if router.owns_endpoint(index)
        }

    def serve_until(self, start: float, end: float) -> None:
        """Take what has arrived before the window; answers arrive after its end."""
        inbox = self.inbox
        while inbox and inbox[0].time < start:
            envelope = heappop(inbox)
            index = envelope.recipient
            if self._faults.endpoint_down(index, envelope.time):
                continue
            if isinstance(envelope.event, HealthCheck):
                self._check_health(index, envelope, envelope.event, end)
            elif isinstance(envelope.event, Attempt):
                self._attempt(index, envelope, envelope.event, end)

    def _check_health(self, index: int, envelope: Envelope, check: HealthCheck, end: float) -> None:
        failed = self._endpoints[index].failed
        outcome = AttemptOutcome.UNREACHABLE if failed else AttemptOutcome.OK
        answer = HealthChecked(check.incarnation, index, outcome, check.sent_at)
        self._answer(index, envelope.source, envelope.time, end, answer)

    def _attempt(self, index: int, envelope: Envelope, attempt: Attempt, end: float) -> None:
        endpoint = self._endpoints[index]
        had_failed = endpoint.failed
        outcome, ended_at = endpoint.attempt(envelope.time, attempt.work, attempt.timeout)
        served = outcome is AttemptOutcome.OK
        self._tally.at(envelope.time)["work us"] += round(attempt.work * 1e6) * served
        if endpoint.failed and not had_failed:
            self._announce_failure(index, envelope.time)
        if outcome is AttemptOutcome.TIMED_OUT:
            return
        answer = AttemptEnded(attempt.incarnation, attempt.request_id, attempt.attempt, outcome)
        self._answer(index, envelope.source, ended_at, end, answer)

    def _answer(
        self, index: int, limiter: int, answered_at: float, window_end: float, answer: LimiterEvent
    ) -> None:
        """Send an answer, unless a fault keeps it back."""
        zone = self._topology.zone(index)
        limiter_zone = self._topology.zone(limiter)
        if self._faults.endpoint_down(index, answered_at):
            return
        if self._faults.partitioned(zone, limiter_zone, answered_at):
            return
        delay = self._topology.delay(zone, limiter_zone, pair_draw(limiter, index))
        self._send(index, limiter, max(window_end, answered_at + delay), answer)

    def _announce_failure(self, index: int, at: float) -> None:
        """Have all limiters' agents notified that an endpoint failed."""
        self._tally.at(at)["endpoints failed"] += 1
        initial = self._history.initial[index]
        removed = model.Endpoint(initial.name, model.EndpointHealth.REMOVED, initial.zone, initial.cell)
        shortest, longest = NOTIFICATION_DELAY
        partition = self._world.schedule.partition
        for limiter in range(self._world.size.limiters):
            notified_at = at + shortest + pair_draw(limiter, index) * (longest - shortest)
            zone = self._topology.zone(limiter)
            if self._faults.partitioned(zone, COORDINATION_ZONE, notified_at):
                notified_at += partition.end - partition.begin
            self._send(index, limiter, notified_at, EndpointFailed(removed))

    def _send(self, index: int, limiter: int, at: float, event: LimiterEvent) -> None:
        self._sequences[index] += 1
        source = self._first_source + index
        self._router.send(Envelope(at, source, self._sequences[index], limiter, event))
