"""Gateways of one customer."""

from __future__ import annotations

from random import Random

from quota_gateway import model
from quota_gateway.decisions.gateway import Gateway
from tests import world as w

PLAN = model.Plan("small", rate=20.0, burst=40.0, over_quota_cost=0.5)


class Set:
    """The gateways of one customer's set on one made clock, with one counter that answers after a while."""

    def __init__(
        self, gateways: int = 3, plan: model.Plan = PLAN, delay: float = 0.004, seed: int = 1
    ) -> None:
        self.now, self.delay, self.plan, self.rng = 100.0, delay, plan, Random(seed)
        self.config = w.settings(gateway_count=gateways, plans=(plan,), counter_timeout=0.03)
        self.gateways = [self.begin(n) for n in range(gateways)]
        self.total, self.calls = 0.0, 0
        self.timers = list[tuple[float, int, int]]()
        self.answers = list[tuple[float, int, model.CounterReplied]]()
        self.status: model.CallStatus = model.CallStatus.OK
        self.sent, self.refused, self.ids = [0.0] * gateways, [0] * gateways, 0
        for n in range(gateways):
            self.feed(n, w.servers("s0", "s1", "s2"))

    def begin(self, n: int) -> Gateway:
        return Gateway(
            w.settings(gateway_count=3, plans=(self.plan,), counter_timeout=0.03, gateway_index=n),
            n,
            self.now,
        )

    def feed(self, n: int, event: model.Event) -> None:
        for action in self.gateways[n].handle(self.now, event):
            if isinstance(action, model.SetTimer):
                self.timers.append((self.now + action.delay, n, action.token))
            elif isinstance(action, model.IncrementCounter):
                self.calls += 1
                added = self.status not in (model.CallStatus.OVERLOADED, model.CallStatus.UNREACHABLE)
                self.total += action.amount * added
                due = self.now + self.delay
                self.answers.append(
                    (due, n, model.CounterReplied(action.counter_id, self.status, self.total))
                )
            elif isinstance(action, model.Forward):
                done = model.AttemptCompleted(
                    action.request_id, 0, action.endpoint, model.CallStatus.OK, 0.05, True, {}
                )
                self.feed(n, done)

    def ask(self, n: int, units: float = 1.0) -> bool:
        """Whether it is sent on, decided in this very step."""
        self.ids += 1
        gateway, before = self.gateways[n], self.gateways[n].controller.admitted
        self.feed(n, model.Request(self.ids, "read", "small", 3.0, "a", units, len(self.gateways)))
        assert self.ids not in gateway.forwarder.requests, "it is held"
        sent = gateway.controller.admitted > before
        self.sent[n] += units * sent
        self.refused[n] += not sent
        return sent

    def advance(self, to: float) -> None:
        while due := [x for x in (*self.answers, *self.timers) if x[0] <= to]:
            at, n, what = min(due, key=lambda x: x[:2])
            self.now = max(self.now, at)
            if isinstance(what, model.CounterReplied):
                self.answers.remove((at, n, what))
                self.feed(n, what)
            elif isinstance(what, int):
                self.timers.remove((at, n, what))
                self.feed(n, model.TimerFired(what))
        self.now = to

    def load(self, seconds: float, rates: list[float]) -> None:
        """Poisson arrivals of one unit each."""
        until, whole = self.now + seconds, sum(rates)
        while (at := self.now + self.rng.expovariate(whole)) < until:
            self.advance(at)
            self.ask(self.rng.choices(range(len(rates)), rates)[0])
        self.advance(until)

    def account(self, n: int = 0):  # type: ignore[no-untyped-def]
        (account,) = self.gateways[n].accounts.accounts.values()
        return account

    @property
    def leased(self) -> float:
        return sum(a.leased for g in self.gateways for a in g.accounts.accounts.values())
