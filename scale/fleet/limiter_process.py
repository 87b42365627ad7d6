"""One incarnation of a limiter: the real decisions with a simulated network."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, ClassVar

from quota_gateway import model
from scale.fleet.discovery import endpoint_index, endpoint_name
from scale.fleet.limiter_network import LimiterNetwork, OpenRequest
from scale.fleet.limiter_settings import limiter_settings
from scale.fleet.mailbox import Mailbox
from scale.fleet.measured_gateway import MeasuredGateway
from scale.fleet.messages import (
    AttemptEnded,
    AttemptOutcome,
    ClientRequest,
    CounterOutcome,
    CounterReplied,
    HealthChecked,
    RequestEnded,
    RequestResult,
    RequestServed,
    TimerDue,
)
from scale.fleet.parameters import REQUEST_KINDS
from scale.fleet.scenario import World
from scale.fleet.tally import Tally

_ATTEMPT_STATUS = {
    AttemptOutcome.OK: model.CallStatus.OK,
    AttemptOutcome.OVERLOADED: model.CallStatus.OVERLOADED,
    AttemptOutcome.UNREACHABLE: model.CallStatus.UNREACHABLE,
    AttemptOutcome.TIMED_OUT: model.CallStatus.TIMEOUT,
}
_COUNTER_STATUS = {
    CounterOutcome.OK: model.CallStatus.OK,
    CounterOutcome.UNREACHABLE: model.CallStatus.UNREACHABLE,
    CounterOutcome.TIMED_OUT: model.CallStatus.TIMEOUT,
}
MICROSECONDS_PER_SECOND = 1e6
MILLIUNITS_PER_UNIT = 1000
ProcessMessage = AttemptEnded | TimerDue | CounterReplied | HealthChecked
_KILLED = "killed"  # reason of the requests that fail because the process is killed


_Handler = Callable[["LimiterProcess", float, Any], None]


class LimiterProcess:
    """Translates messages into events for the decisions, and the actions of the decisions into messages."""

    __slots__ = (
        "_counter_ids",
        "_gateway",
        "_mailbox",
        "_network",
        "_reply_delay",
        "_requests",
        "_tally",
        "_world",
        "incarnation",
    )

    def __init__(
        self,
        index: int,
        world: World,
        *,
        incarnation: int,
        seed: int,
        now: float,
        mailbox: Mailbox,
        tally: Tally,
    ) -> None:
        """Start the decisions at ``now`` with their random seed."""
        self.incarnation = incarnation
        self._world = world
        self._tally = tally
        self._mailbox = mailbox
        self._network = LimiterNetwork(index, world, mailbox)
        settings = limiter_settings(world, index)
        self._gateway = MeasuredGateway(settings, seed=seed, now=now, cost=tally.cost)
        self._requests = dict[int, OpenRequest]()
        self._counter_ids = dict[int, int]()  # counter ids of the calls in flight, by call id
        # Time from the arrival of the counter reply that is being handled until now: the simulation delivers
        # replies no earlier than the start of a window. 0 while other messages are handled.
        self._reply_delay = 0.0

    def accept(self, now: float, message: ClientRequest) -> None:
        """Handle a client's request."""
        request = OpenRequest(message)
        self._requests[message.request_id] = request
        event = model.Request(
            message.request_id,
            request_class=REQUEST_KINDS[message.kind].name,
            plan=self._world.plans[message.plan].name,
            timeout=message.timeout,
            account=message.account,
            units=float(message.units),
            serving_gateways=self._world.size.spread,
            is_retry=message.is_retry,
        )
        self._handle_event(now, event)
        if message.request_id in self._requests and not request.attempt_in_flight:
            request.start_counter_wait(now)

    def receive(self, now: float, message: ProcessMessage) -> None:
        """Handle a message that belongs to this incarnation."""
        self._MESSAGE_HANDLERS[type(message)](self, now, message)

    def update_endpoints(self, now: float, update: model.EndpointUpdate) -> None:
        """Apply a complete endpoint list or a change of it."""
        self._handle_event(now, update)

    def kill(self, now: float) -> None:
        """End the process; the clients' requests fail with their connections."""
        self._gateway.discard()
        for request_id, request in self._requests.items():
            self._notify_client(now, request, RequestEnded(request_id, RequestResult.FAILED, _KILLED))

    def warming_up_endpoints(self) -> int:
        """Return the number of endpoints of the subset that the decisions consider to be warming up."""
        return self._gateway.warming_up_endpoints()

    def _handle_event(self, now: float, event: model.Event) -> None:
        """Pass an event to the decisions and execute the actions that they return."""
        for action in self._gateway.handle(now, event):
            handler = self._ACTION_HANDLERS.get(type(action))
            if handler is not None:
                handler(self, now, action)

    def _on_attempt_ended(self, now: float, message: AttemptEnded) -> None:
        request = self._requests.get(message.request_id)
        if request is None or not request.attempt_in_flight or request.attempt != message.attempt:
            return
        request.end_attempt()
        self._tally.at(now)[f"attempts {message.outcome.value}"] += 1
        served = message.outcome is AttemptOutcome.OK
        if served:
            del self._requests[message.request_id]
            self._notify_client(now, request, RequestServed(message.request_id))
        event = model.AttemptCompleted(
            message.request_id,
            attempt=message.attempt,
            endpoint=endpoint_name(request.endpoint),
            status=_ATTEMPT_STATUS[message.outcome],
            elapsed=now - request.sent_at,
            request_finished=served,
            load_report={},
            charged_units=float(request.client_request.charged_units) if served else None,
        )
        self._handle_event(now, event)

    def _on_timer_due(self, now: float, message: TimerDue) -> None:
        self._handle_event(now, model.TimerFired(message.token))

    def _on_counter_replied(self, now: float, message: CounterReplied) -> None:
        counter_id = self._counter_ids.pop(message.call_id, None)
        if counter_id is None:
            return
        self._tally.at(now)[f"counter calls {message.outcome.value}"] += 1
        self._reply_delay = now - message.arrived_at
        status = _COUNTER_STATUS[message.outcome]
        self._handle_event(now, model.CounterReplied(counter_id, status, message.total))
        self._reply_delay = 0.0

    def _on_health_checked(self, now: float, message: HealthChecked) -> None:
        elapsed = now - message.sent_at
        status = _ATTEMPT_STATUS[message.outcome]
        self._handle_event(now, model.HealthChecked(endpoint_name(message.endpoint), status, elapsed, {}))

    def _forward(self, now: float, action: model.Forward) -> None:
        request = self._requests[action.request_id]
        self._end_counter_wait(now, request)
        request.start_attempt(now, endpoint_index(action.endpoint))
        self._tally.at(now)["attempts"] += 1
        self._network.send_attempt(now, self.incarnation, request, action.timeout)

    def _set_timer(self, now: float, action: model.SetTimer) -> None:
        self._mailbox.schedule(now + action.delay, TimerDue(self.incarnation, action.token))

    def _increment_counter(self, now: float, action: model.IncrementCounter) -> None:
        counts = self._tally.at(now)
        counts["counter calls"] += 1
        counts["counter milliunits"] += round(abs(action.amount) * MILLIUNITS_PER_UNIT)
        self._tally.seconds[int(now)]["counter calls"] += 1
        call_id = self._network.call_counter(now, self.incarnation, action)
        self._counter_ids[call_id] = action.counter_id

    def _reject(self, now: float, action: model.Reject) -> None:
        self._end_request(now, action.request_id, RequestResult.REJECTED)

    def _fail(self, now: float, action: model.Fail) -> None:
        self._end_request(now, action.request_id, RequestResult.FAILED)

    def _check_health(self, now: float, action: model.CheckHealth) -> None:
        self._tally.at(now)["health checks"] += 1
        self._network.check_health(now, self.incarnation, action)

    def _end_request(self, now: float, request_id: int, result: RequestResult) -> None:
        request = self._requests.pop(request_id)
        self._end_counter_wait(now, request)
        reason = self._gateway.next_reason()
        self._notify_client(now, request, RequestEnded(request_id, result, reason))

    def _end_counter_wait(self, now: float, request: OpenRequest) -> None:
        """Count the time that a request waited for the counter, less the delay of the reply's delivery."""
        started_at = request.end_counter_wait()
        if started_at is None:
            return
        waited = now - self._reply_delay - started_at
        self._tally.waits[max(0, round(waited * MICROSECONDS_PER_SECOND))] += 1
        self._tally.at(now)["waited for counter"] += 1

    def _notify_client(self, now: float, request: OpenRequest, event: RequestServed | RequestEnded) -> None:
        self._mailbox.send(request.client_request.tenant, now, event)

    _MESSAGE_HANDLERS: ClassVar[dict[type[ProcessMessage], _Handler]] = {
        AttemptEnded: _on_attempt_ended,
        TimerDue: _on_timer_due,
        CounterReplied: _on_counter_replied,
        HealthChecked: _on_health_checked,
    }
    _ACTION_HANDLERS: ClassVar[dict[type[model.Action], _Handler]] = {
        model.Forward: _forward,
        model.SetTimer: _set_timer,
        model.IncrementCounter: _increment_counter,
        model.Reject: _reject,
        model.Fail: _fail,
        model.CheckHealth: _check_health,
    }
