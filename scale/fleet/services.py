"""Counter, discovery and endpoints of a worker: they handle the limiters' messages and reply to them.

Each worker has a copy of the counter and a copy of discovery. A copy handles the calls of all limiters, but
replies only to the limiters of its worker. Each endpoint belongs to one worker.
"""

from __future__ import annotations

from collections import Counter
from heapq import heappush

from quota_gateway import model
from scale.fleet.counter import SimulatedCounter
from scale.fleet.discovery import EndpointHistory, SimulatedDiscovery
from scale.fleet.endpoint import SimulatedEndpoint
from scale.fleet.messages import (
    Attempt,
    AttemptEnded,
    AttemptOutcome,
    CounterCall,
    CounterOutcome,
    CounterReplied,
    DiscoveryCall,
    EndpointFailed,
    Envelope,
    HealthCheck,
    HealthChecked,
    LimiterEvent,
    SourceNumbers,
    WatchOpened,
    pop_before,
)
from scale.fleet.parameters import NOTIFICATION_DELAY_SECONDS
from scale.fleet.router import Router
from scale.fleet.scenario import World
from scale.fleet.tally import Tally
from scale.fleet.topology import COORDINATION_ZONE, pair_draw

_UNUSED_DISCOVERY_CAPACITY = 1.0  # calls a second; without effect, as limiters with agents make no calls
MICROSECONDS_PER_SECOND = 1e6


class CounterService:
    """A worker's copy of the counter. The worker adds arriving calls to ``inbox``, a heap."""

    def __init__(self, world: World, router: Router, events: list[Envelope], tally: Tally | None) -> None:
        """``events`` is the heap of the worker's limiters; ``tally`` is None except in one worker."""
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
            fleets_sharing_counter=scenario.fleets_sharing_counter,
        )

    def serve_until(self, start: float) -> None:
        """Handle the calls that arrived before the window that begins at ``start``."""
        for envelope in pop_before(self.inbox, start):
            call = envelope.event
            assert isinstance(call, CounterCall)
            self._serve(envelope.time, start, envelope.source, call)

    def _serve(self, arrived_at: float, window_start: float, limiter: int, call: CounterCall) -> None:
        reply = self._counter.call(arrived_at, call.counter_id, call.amount, call.lifetime)
        if reply is None:
            return
        replied_at = reply.replied_at
        if self._tally is not None:
            counts = self._tally.at(replied_at)
            counts["counter calls served"] += 1
            counts["counter latency us"] += round((replied_at - arrived_at) * MICROSECONDS_PER_SECOND)
        if not self._router.owns_limiter(limiter):
            return
        topology = self._world.topology
        zone = topology.zone(limiter)
        if self._world.faults.partitioned(zone, COORDINATION_ZONE, replied_at):
            return
        delay = topology.delay(zone, COORDINATION_ZONE, pair_draw(limiter, COORDINATION_ZONE))
        arrives_at = replied_at + delay
        event = CounterReplied(call.incarnation, call.call_id, CounterOutcome.OK, reply.total, arrives_at)
        sequence = self._counter.served
        heappush(
            self._events, Envelope(max(window_start, arrives_at), self._source, sequence, limiter, event)
        )


class DiscoveryService:
    """A worker's copy of discovery. The worker adds arriving calls to ``inbox``, a heap."""

    def __init__(
        self, world: World, router: Router, events: list[Envelope], history: EndpointHistory
    ) -> None:
        """``events`` is the heap of the worker's limiters."""
        self.inbox = list[Envelope]()
        self._world = world
        self._router = router
        self._events = events
        self._history = history
        self._source = SourceNumbers(world.size).discovery
        self._discovery = SimulatedDiscovery(world.scenario.discovery_capacity or _UNUSED_DISCOVERY_CAPACITY)

    def serve_until(self, start: float) -> None:
        """Handle the calls that arrived before the window that begins at ``start``."""
        for envelope in pop_before(self.inbox, start):
            call = envelope.event
            assert isinstance(call, DiscoveryCall)
            self._serve(envelope.time, start, envelope.source, call)

    def _serve(self, arrived_at: float, window_start: float, limiter: int, call: DiscoveryCall) -> None:
        responded_at = self._discovery.call(arrived_at)
        if not self._router.owns_limiter(limiter):
            return
        topology = self._world.topology
        zone = topology.zone(limiter)
        if self._world.faults.partitioned(zone, COORDINATION_ZONE, responded_at):
            return
        min_delay, _ = NOTIFICATION_DELAY_SECONDS
        known_change_count = sum(change.at + min_delay <= responded_at for change in self._history.changes)
        delay = topology.delay(zone, COORDINATION_ZONE, pair_draw(limiter, COORDINATION_ZONE))
        event = WatchOpened(call.incarnation, call.call_id, known_change_count)
        arrives_at = max(window_start, responded_at + delay)
        heappush(self._events, Envelope(arrives_at, self._source, call.call_id, limiter, event))


class EndpointService:
    """A worker's endpoints. The worker adds arriving attempts and health checks to ``inbox``, a heap."""

    def __init__(self, world: World, router: Router, history: EndpointHistory, tally: Tally) -> None:
        """Create the endpoints that the router assigns to this worker."""
        self.inbox = list[Envelope]()
        self._world = world
        self._faults = world.faults
        self._topology = world.topology
        self._router = router
        self._history = history
        self._tally = tally
        self._first_source = SourceNumbers(world.size).first_endpoint
        self._sequences = Counter[int]()  # sequence numbers, by endpoint
        self._endpoints = {
            index: SimulatedEndpoint(world.faults.endpoint_restarts_at(index))
            for index in range(world.size.servers)
            if router.owns_endpoint(index)
        }

    def serve_until(self, start: float, end: float) -> None:
        """Handle the messages that arrived before ``start``; responses arrive at ``end`` or later."""
        for envelope in pop_before(self.inbox, start):
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
        response = HealthChecked(check.incarnation, index, outcome, check.sent_at)
        self._respond(index, envelope.source, envelope.time, end, response)

    def _attempt(self, index: int, envelope: Envelope, attempt: Attempt, end: float) -> None:
        endpoint = self._endpoints[index]
        had_failed = endpoint.failed
        outcome, ended_at = endpoint.attempt(envelope.time, attempt.work, attempt.timeout)
        served = outcome is AttemptOutcome.OK
        self._tally.at(envelope.time)["work us"] += round(attempt.work * MICROSECONDS_PER_SECOND) * served
        if endpoint.failed and not had_failed:
            self._notify_of_failure(index, envelope.time)
        if outcome is AttemptOutcome.TIMED_OUT:
            return
        response = AttemptEnded(attempt.incarnation, attempt.request_id, attempt.attempt, outcome)
        self._respond(index, envelope.source, ended_at, end, response)

    def _respond(
        self, index: int, limiter: int, responded_at: float, window_end: float, response: LimiterEvent
    ) -> None:
        """Send a response, unless the endpoint is down or a partition separates the zones."""
        zone = self._topology.zone(index)
        limiter_zone = self._topology.zone(limiter)
        if self._faults.endpoint_down(index, responded_at):
            return
        if self._faults.partitioned(zone, limiter_zone, responded_at):
            return
        delay = self._topology.delay(zone, limiter_zone, pair_draw(limiter, index))
        self._send(index, limiter, max(window_end, responded_at + delay), response)

    def _notify_of_failure(self, index: int, at: float) -> None:
        """Notify all limiters of the failure of an endpoint; a partition delays those of the far region."""
        self._tally.at(at)["endpoints failed"] += 1
        initial = self._history.initial[index]
        removed = model.Endpoint(initial.name, model.EndpointHealth.REMOVED, initial.zone, initial.cell)
        shortest, longest = NOTIFICATION_DELAY_SECONDS
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
