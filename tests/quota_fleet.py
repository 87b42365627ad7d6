"""A simulated fleet of three gateways that serve one customer and share a counter and a clock."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random
from typing import NamedTuple

from quota_gateway import model
from quota_gateway.decisions.gateway import Gateway
from quota_gateway.state import Account
from tests.simulation import endpoint_list, make_settings

GATEWAYS = 3
PLAN = model.Plan("small", rate=20.0, burst=40.0, over_quota_cost=0.5)
COUNTER_DELAY_SECONDS = 0.004  # time from a counter call to its reply
ATTEMPT_SECONDS = 0.05  # reported duration of an attempt


class FleetTimer(NamedTuple):
    """A timer that a gateway has set."""

    due_at: float
    gateway: int
    token: int


class CounterReply(NamedTuple):
    """A reply of the counter that a gateway has not received yet."""

    due_at: float
    gateway: int
    event: model.CounterReplied


class QuotaFleet:
    """The gateways that serve one customer; attempts complete at once, the counter replies after a delay."""

    def __init__(self, seed: int = 1) -> None:
        """Start all gateways, and give each one an endpoint list."""
        self.now = 100.0
        self.rng = Random(seed)
        self.gateways = [self.start_gateway(index) for index in range(GATEWAYS)]
        self.counter_total = 0.0  # units
        self.counter_calls = 0
        self.counter_delay = COUNTER_DELAY_SECONDS
        self.counter_status = model.CallStatus.OK
        self.timers: list[FleetTimer] = []
        self.counter_replies: list[CounterReply] = []
        self.granted_units = [0.0] * GATEWAYS  # by gateway
        self.rejections = [0] * GATEWAYS  # by gateway
        self.requests = 0
        for gateway in range(GATEWAYS):
            self.feed(gateway, endpoint_list("s0", "s1", "s2"))

    def start_gateway(self, index: int) -> Gateway:
        """Return a new gateway with this index."""
        settings = make_settings(
            gateway_count=GATEWAYS, plans=(PLAN,), counter_timeout=0.03, gateway_index=index
        )
        return Gateway(settings, seed=index, now=self.now)

    def feed(self, gateway: int, event: model.Event) -> None:
        """Have a gateway handle an event, and execute its actions."""
        for action in self.gateways[gateway].handle(self.now, event):
            if isinstance(action, model.SetTimer):
                self.timers.append(FleetTimer(self.now + action.delay, gateway, action.token))
            elif isinstance(action, model.IncrementCounter):
                self._call_counter(gateway, action)
            elif isinstance(action, model.Forward):
                self._complete(gateway, action)

    def _call_counter(self, gateway: int, action: model.IncrementCounter) -> None:
        self.counter_calls += 1
        if self.counter_status not in (model.CallStatus.OVERLOADED, model.CallStatus.UNREACHABLE):
            self.counter_total += action.amount
        event = model.CounterReplied(action.counter_id, self.counter_status, self.counter_total)
        self.counter_replies.append(CounterReply(self.now + self.counter_delay, gateway, event))

    def _complete(self, gateway: int, action: model.Forward) -> None:
        completed = model.AttemptCompleted(
            request_id=action.request_id,
            attempt=0,
            endpoint=action.endpoint,
            status=model.CallStatus.OK,
            elapsed=ATTEMPT_SECONDS,
            request_finished=True,
            load_report={},
        )
        self.feed(gateway, completed)

    def send_request(self, gateway: int, units: float = 1.0) -> bool:
        """Send a request of the customer, and return whether it was forwarded."""
        self.requests += 1
        target = self.gateways[gateway]
        admitted_before = target.controller.admitted
        request = model.Request(
            id=self.requests,
            request_class="read",
            plan="small",
            timeout=3.0,
            account="a",
            units=units,
            serving_gateways=GATEWAYS,
        )
        self.feed(gateway, request)
        assert self.requests not in target.forwarder.requests, "the request is still open"
        is_forwarded = target.controller.admitted > admitted_before
        self.granted_units[gateway] += units * is_forwarded
        self.rejections[gateway] += not is_forwarded
        return is_forwarded

    def advance_to(self, time: float) -> None:
        """Advance the clock, deliver the counter's replies and fire timers."""
        while due := self._due_steps(time):
            step = min(due, key=lambda step: (step.due_at, step.gateway))
            self.now = max(self.now, step.due_at)
            if isinstance(step, CounterReply):
                self.counter_replies.remove(step)
                self.feed(step.gateway, step.event)
            else:
                self.timers.remove(step)
                self.feed(step.gateway, model.TimerFired(step.token))
        self.now = time

    def _due_steps(self, time: float) -> list[CounterReply | FleetTimer]:
        steps: list[CounterReply | FleetTimer] = [*self.counter_replies, *self.timers]
        return [step for step in steps if step.due_at <= time]

    def send_poisson_traffic(self, seconds: float, rates: Sequence[float]) -> None:
        """Send requests of one unit as Poisson arrivals at these rates per second, by gateway."""
        until = self.now + seconds
        total_rate = sum(rates)
        while (arrival := self.now + self.rng.expovariate(total_rate)) < until:
            self.advance_to(arrival)
            (gateway,) = self.rng.choices(range(len(rates)), rates)
            self.send_request(gateway)
        self.advance_to(until)

    def account(self, gateway: int = 0) -> Account:
        """Return the customer's account at a gateway."""
        (account,) = self.gateways[gateway].account_table.accounts.values()
        return account

    def all_accounts(self) -> list[Account]:
        """Return the customer's accounts at all gateways that have received one of its requests."""
        return [account for gateway in self.gateways for account in gateway.account_table.accounts.values()]

    @property
    def leased_units(self) -> float:
        """Units leased by all gateways together."""
        return sum(account.leased for account in self.all_accounts())

    @property
    def total_granted(self) -> float:
        """Units granted by all gateways together."""
        return sum(self.granted_units)
