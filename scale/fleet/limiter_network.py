"""The network between one limiter and its peers: delays, time-outs, and what a fault does to both."""

from __future__ import annotations

from quota_gateway import model
from scale.fleet.discovery import endpoint_index
from scale.fleet.mailbox import Mailbox
from scale.fleet.messages import (
    Attempt,
    AttemptEnded,
    AttemptOutcome,
    ClientRequest,
    CounterAnswered,
    CounterCall,
    CounterOutcome,
    HealthCheck,
    HealthChecked,
    RequestForwarded,
)
from scale.fleet.parameters import CONNECT_TIMEOUT, CONNECTION_LIFETIME_AFTER_LOSS, COUNTER_TIMEOUT
from scale.fleet.scenario import World
from scale.fleet.topology import COORDINATION_ZONE, pair_draw

# Time-outs of the counter after which its connections are given up and calls fail as unreachable.
_COUNTER_TIMEOUTS_UNTIL_UNREACHABLE = 10


class OpenRequest:
    """A request at a limiter."""

    __slots__ = (
        "attempt",
        "attempt_is_out",
        "client_request",
        "endpoint",
        "forwarded",
        "sent_at",
        "waits_since",
    )

    def __init__(self, client_request: ClientRequest) -> None:
        """A request that has just come."""
        self.client_request = client_request
        self.attempt = -1  # number of the last attempt
        self.attempt_is_out = False
        self.forwarded = False  # whether an attempt ever reached an endpoint
        self.endpoint = 0  # of the last attempt
        self.sent_at = 0.0
        self.waits_since: float | None = None  # for the counter, before its first attempt


class LimiterNetwork:
    """Sends what the decisions of one limiter send, with messages in place of sockets."""

    def __init__(self, index: int, world: World, mailbox: Mailbox) -> None:
        """The network of the limiter of that number, which sends by this mailbox."""
        self._index = index
        self._faults = world.faults
        self._topology = world.topology
        self._schedule = world.schedule
        self._mailbox = mailbox
        self._zone = world.topology.zone(index)

    def send_attempt(self, now: float, incarnation: int, request: OpenRequest, timeout: float) -> None:
        """Send the current attempt of a request; the limiter receives ``AttemptEnded`` in any case."""
        client_request = request.client_request
        endpoint = request.endpoint
        attempt = request.attempt
        request_id = client_request.request_id
        timed_out = AttemptEnded(incarnation, request_id, attempt, AttemptOutcome.TIMED_OUT)
        self._mailbox.schedule(now + timeout, timed_out)
        if self._reaches(endpoint, now):
            if not request.forwarded:
                request.forwarded = True
                forwarded = RequestForwarded(request_id)
                self._mailbox.send(client_request.tenant, now, forwarded)
            message = Attempt(incarnation, request_id, attempt, client_request.work, timeout)
            self._mailbox.send(endpoint, now + self._delay(endpoint), message)
        elif self._connections_are_closed(endpoint, now) and timeout > CONNECT_TIMEOUT:
            unreachable = AttemptEnded(incarnation, request_id, attempt, AttemptOutcome.UNREACHABLE)
            self._mailbox.schedule(now + CONNECT_TIMEOUT, unreachable)

    def check_health(self, now: float, incarnation: int, check: model.CheckHealth) -> None:
        """Send a health check."""
        endpoint = endpoint_index(check.endpoint)
        if self._reaches(endpoint, now):
            message = HealthCheck(incarnation, now)
            self._mailbox.send(endpoint, now + self._delay(endpoint), message)
        else:
            failed = HealthChecked(incarnation, endpoint, AttemptOutcome.UNREACHABLE, now)
            self._mailbox.schedule(now + CONNECT_TIMEOUT, failed)

    def call_counter(self, now: float, incarnation: int, increment: model.IncrementCounter) -> int:
        """Send a call to the counter and give its id; ``CounterAnswered`` follows in any case."""
        call_id = self._mailbox.next_number()
        partitioned = self._faults.partitioned(self._zone, COORDINATION_ZONE, now)
        given_up_at = now + COUNTER_TIMEOUT
        failure = self._counter_failure(now, partitioned)
        failed = CounterAnswered(incarnation, call_id, failure, total=0.0, arrived_at=given_up_at)
        self._mailbox.schedule(given_up_at, failed)
        if not partitioned:
            draw = pair_draw(self._index, COORDINATION_ZONE)
            arrives_at = now + self._topology.delay(self._zone, COORDINATION_ZONE, draw)
            message = CounterCall(
                incarnation,
                call_id,
                counter_id=increment.counter_id,
                amount=increment.amount,
                lifetime=increment.lifetime,
            )
            self._mailbox.send(self._index, arrives_at, message)
        return call_id

    def _counter_failure(self, now: float, partitioned: bool) -> CounterOutcome:
        """How a call ends that the counter does not answer in time."""
        unreachable_after = _COUNTER_TIMEOUTS_UNTIL_UNREACHABLE * COUNTER_TIMEOUT
        if partitioned and now - self._schedule.partition.begin > unreachable_after:
            return CounterOutcome.UNREACHABLE
        return CounterOutcome.TIMED_OUT

    def _reaches(self, endpoint: int, now: float) -> bool:
        if self._faults.endpoint_down(endpoint, now):
            return False
        return not self._faults.partitioned(self._zone, self._topology.zone(endpoint), now)

    def _connections_are_closed(self, endpoint: int, now: float) -> bool:
        """Whether an endpoint out of reach is so for long enough that its connections are given up."""
        if self._faults.endpoint_down(endpoint, now):
            lost_at = self._schedule.zone_outage.begin
        else:
            lost_at = self._schedule.partition.begin
        return now - lost_at > CONNECTION_LIFETIME_AFTER_LOSS

    def _delay(self, endpoint: int) -> float:
        draw = pair_draw(self._index, endpoint)
        return self._topology.delay(self._zone, self._topology.zone(endpoint), draw)
