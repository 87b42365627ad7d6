"""The network between a limiter, its clients, the endpoints and the counter: delays, timeouts and faults."""

from __future__ import annotations

from quota_gateway import model
from scale.fleet.discovery import endpoint_index
from scale.fleet.mailbox import Mailbox
from scale.fleet.messages import (
    Attempt,
    AttemptEnded,
    AttemptOutcome,
    ClientRequest,
    CounterCall,
    CounterOutcome,
    CounterReplied,
    HealthCheck,
    HealthChecked,
    RequestForwarded,
)
from scale.fleet.parameters import (
    CONNECT_TIMEOUT_SECONDS,
    CONNECTION_LIFETIME_AFTER_FAILURE_SECONDS,
    COUNTER_TIMEOUT_SECONDS,
)
from scale.fleet.scenario import World
from scale.fleet.topology import COORDINATION_ZONE, pair_draw

# After a partition of this many counter timeouts the connections are closed, and calls fail as unreachable.
_COUNTER_TIMEOUTS_UNTIL_UNREACHABLE = 10


class OpenRequest:
    """A request at a limiter.

    ``attempt``, ``endpoint`` and ``sent_at`` belong to the last attempt, which is in flight or has ended.
    """

    __slots__ = (
        "attempt",
        "attempt_in_flight",
        "client_request",
        "counter_wait_since",
        "endpoint",
        "forwarded",
        "sent_at",
    )

    def __init__(self, client_request: ClientRequest) -> None:
        """Create a request that has just arrived."""
        self.client_request = client_request
        self.attempt = -1
        self.attempt_in_flight = False
        self.forwarded = False  # whether an attempt has been sent to an endpoint that was reachable
        self.endpoint = 0
        self.sent_at = 0.0
        # Begin of the wait for the counter, before the first attempt; None: the request does not wait.
        self.counter_wait_since: float | None = None

    def start_attempt(self, now: float, endpoint: int) -> None:
        """Start the next attempt."""
        self.attempt += 1
        self.attempt_in_flight = True
        self.endpoint = endpoint
        self.sent_at = now

    def end_attempt(self) -> None:
        """End the attempt in flight."""
        self.attempt_in_flight = False

    def mark_forwarded(self) -> None:
        """Record that an attempt has been sent to an endpoint that was reachable."""
        self.forwarded = True

    def start_counter_wait(self, now: float) -> None:
        """Start to wait for the counter."""
        self.counter_wait_since = now

    def end_counter_wait(self) -> float | None:
        """End the wait for the counter; return its begin, or None if the request did not wait."""
        started_at = self.counter_wait_since
        self.counter_wait_since = None
        return started_at


class LimiterNetwork:
    """Sends attempts, health checks and counter calls of one limiter, with messages in place of sockets."""

    def __init__(self, index: int, world: World, mailbox: Mailbox) -> None:
        """Create the network of a limiter, which sends through its mailbox."""
        self._index = index
        self._faults = world.faults
        self._topology = world.topology
        self._schedule = world.schedule
        self._mailbox = mailbox
        self._zone = world.topology.zone(index)

    def send_attempt(self, now: float, incarnation: int, request: OpenRequest, timeout: float) -> None:
        """Send the current attempt of a request. ``AttemptEnded`` always follows: a response or a failure."""
        client_request = request.client_request
        endpoint = request.endpoint
        attempt = request.attempt
        request_id = client_request.request_id
        timed_out = AttemptEnded(incarnation, request_id, attempt, AttemptOutcome.TIMED_OUT)
        self._mailbox.schedule(now + timeout, timed_out)
        if self._is_reachable(endpoint, now):
            if not request.forwarded:
                request.mark_forwarded()
                forwarded = RequestForwarded(request_id)
                self._mailbox.send(client_request.tenant, now, forwarded)
            message = Attempt(incarnation, request_id, attempt, client_request.work, timeout)
            self._mailbox.send(endpoint, now + self._delay(endpoint), message)
        elif self._connections_are_closed(endpoint, now) and timeout > CONNECT_TIMEOUT_SECONDS:
            unreachable = AttemptEnded(incarnation, request_id, attempt, AttemptOutcome.UNREACHABLE)
            self._mailbox.schedule(now + CONNECT_TIMEOUT_SECONDS, unreachable)

    def check_health(self, now: float, incarnation: int, check: model.CheckHealth) -> None:
        """Send a health check; it fails after the connect timeout if the endpoint is not reachable."""
        endpoint = endpoint_index(check.endpoint)
        if self._is_reachable(endpoint, now):
            message = HealthCheck(incarnation, now)
            self._mailbox.send(endpoint, now + self._delay(endpoint), message)
        else:
            failed = HealthChecked(incarnation, endpoint, AttemptOutcome.UNREACHABLE, now)
            self._mailbox.schedule(now + CONNECT_TIMEOUT_SECONDS, failed)

    def call_counter(self, now: float, incarnation: int, increment: model.IncrementCounter) -> int:
        """Send a counter call and return its id. ``CounterReplied`` always follows: a reply or a failure."""
        call_id = self._mailbox.next_sequence_number()
        partitioned = self._faults.partitioned(self._zone, COORDINATION_ZONE, now)
        times_out_at = now + COUNTER_TIMEOUT_SECONDS
        failure = self._counter_failure(now, partitioned=partitioned)
        failed = CounterReplied(incarnation, call_id, failure, total=0.0, arrived_at=times_out_at)
        self._mailbox.schedule(times_out_at, failed)
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

    def _counter_failure(self, now: float, *, partitioned: bool) -> CounterOutcome:
        """Return the outcome of a call that gets no reply in time."""
        unreachable_after = _COUNTER_TIMEOUTS_UNTIL_UNREACHABLE * COUNTER_TIMEOUT_SECONDS
        if partitioned and now - self._schedule.partition.begin > unreachable_after:
            return CounterOutcome.UNREACHABLE
        return CounterOutcome.TIMED_OUT

    def _is_reachable(self, endpoint: int, now: float) -> bool:
        if self._faults.endpoint_down(endpoint, now):
            return False
        return not self._faults.partitioned(self._zone, self._topology.zone(endpoint), now)

    def _connections_are_closed(self, endpoint: int, now: float) -> bool:
        """Return whether an endpoint has been unreachable for so long that its connections are closed."""
        if self._faults.endpoint_down(endpoint, now):
            unreachable_since = self._schedule.zone_outage.begin
        else:
            unreachable_since = self._schedule.partition.begin
        return now - unreachable_since > CONNECTION_LIFETIME_AFTER_FAILURE_SECONDS

    def _delay(self, endpoint: int) -> float:
        draw = pair_draw(self._index, endpoint)
        return self._topology.delay(self._zone, self._topology.zone(endpoint), draw)
