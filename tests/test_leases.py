"""Quota units leased ahead of need: no request waits for the counter, and no unit is used twice or lost."""

from __future__ import annotations

from random import Random

import pytest

from quota_gateway import model
from quota_gateway.decisions import counter_budget
from quota_gateway.decisions.gateway import Gateway
from quota_gateway.decisions.leases import MAX_LEASE_TIME
from quota_gateway.state import PendingCall
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


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize(
    "rates", [[30.0, 9.0, 1.0], [14.0, 14.0, 12.0], [40.0, 0.0, 0.0], [60.0, 40.0, 20.0]]
)
def test_beyond_the_quota_no_request_waits_and_nearly_the_whole_quota_is_granted(
    rates: list[float], seed: int
) -> None:
    """Two to six times the quota, even and uneven: what is granted is the quota, whoever is asked for it."""
    fleet = Set(seed=seed)
    fleet.load(4.0, rates)  # the store is drunk up
    before = sum(fleet.sent)
    fleet.load(30.0, rates)
    granted = (sum(fleet.sent) - before) / 30.0
    assert 0.85 * PLAN.rate < granted < 1.12 * PLAN.rate


@pytest.mark.parametrize(("calls", "share"), [(300.0, 0.35), (6.0, 0.2)])
def test_a_lease_answers_for_as_many_requests_as_the_calls_that_are_there_make_necessary(
    calls: float, share: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(counter_budget, "MAX_RATE", calls)
    fleet = Set()
    fleet.load(30.0, [18.0, 0.0, 0.0])  # near the quota, and inside
    assert fleet.calls < share * fleet.ids
    assert fleet.refused[0] <= 0.05 * fleet.ids
    account = fleet.account()
    told, most = fleet.total + account.unreported_usage, PLAN.rate * 30.0 + PLAN.burst
    # All that is used or leased; and at most what a full store could not hold, which is told as used.
    assert fleet.sent[0] + account.leased - 2.0 <= told <= most + 2.0


def test_what_is_not_used_goes_back_when_the_demand_has_gone() -> None:
    fleet = Set()
    fleet.load(6.0, [30.0, 0.0, 0.0])
    assert fleet.leased > 0 or fleet.account().ahead > 0
    fleet.advance(fleet.now + 3 * MAX_LEASE_TIME)
    assert fleet.leased == 0
    fleet.load(0.5, [0.0, 30.0, 0.0])  # and another gateway has it
    assert fleet.sent[1] > 10


def test_a_lease_is_no_larger_than_its_holders_part_of_the_store() -> None:
    fleet = Set()
    for _ in range(60):
        fleet.load(0.5, [30.0, 10.0, 1.0])
        assert all(
            a.leased + a.lease_requested <= PLAN.burst
            for g in fleet.gateways
            for a in g.accounts.accounts.values()
        )
        assert fleet.leased <= PLAN.burst


def test_a_holder_that_dies_costs_the_others_its_lease_once() -> None:
    fleet = Set(seed=3)
    fleet.load(10.0, [20.0, 20.0, 20.0])
    gone = fleet.leased
    fleet.gateways = [fleet.begin(0), fleet.begin(1), fleet.gateways[2]]  # two of three are killed
    fleet.timers = [t for t in fleet.timers if t[1] == 2]
    fleet.answers = [a for a in fleet.answers if a[1] == 2]
    for n in (0, 1):
        fleet.feed(n, w.servers("s0", "s1", "s2"))
    before = sum(fleet.sent)
    fleet.load(20.0, [20.0, 20.0, 20.0])
    assert sum(fleet.sent) - before > 0.8 * PLAN.rate * 20.0 - gone
    assert sum(fleet.sent) - before < 1.15 * PLAN.rate * 20.0 + PLAN.burst


def test_a_silent_counter_leaves_what_is_leased_and_the_even_share() -> None:
    fleet = Set(seed=5)
    fleet.load(10.0, [20.0, 20.0, 20.0])
    fleet.status, fleet.delay = model.CallStatus.UNREACHABLE, 0.0
    fleet.load(1.0, [20.0, 20.0, 20.0])  # it is noticed
    before = sum(fleet.sent)
    fleet.load(15.0, [20.0, 20.0, 20.0])
    assert 0.7 * PLAN.rate < (sum(fleet.sent) - before) / 15.0 < 1.3 * PLAN.rate
    fleet.status, fleet.delay = model.CallStatus.OK, 0.004
    fleet.load(3.0, [20.0, 20.0, 20.0])
    before = sum(fleet.sent)
    fleet.load(20.0, [20.0, 20.0, 20.0])
    assert 0.85 * PLAN.rate < (sum(fleet.sent) - before) / 20.0 < 1.12 * PLAN.rate


def test_a_counter_that_comes_back_empty_is_told_of_the_leases() -> None:
    """Or what is given back later would take off what others have used."""
    fleet = Set()
    fleet.load(10.0, [18.0, 0.0, 0.0])
    account = fleet.account()
    account.leased += 12.0  # whatever it was: this much is out
    account.tokens -= 12.0
    fleet.total, before = 0.0, fleet.sent[0]
    fleet.load(3.0, [18.0, 0.0, 0.0])
    fleet.advance(fleet.now + 4 * MAX_LEASE_TIME)
    assert account.leased == 0.0
    assert fleet.total + account.unreported_usage == pytest.approx(fleet.sent[0] - before, abs=4.0)


@pytest.mark.parametrize(
    ("status", "granted"),
    [
        (model.CallStatus.OVERLOADED, False),
        (model.CallStatus.UNREACHABLE, False),
        (model.CallStatus.ERROR, False),
        (model.CallStatus.TIMEOUT, True),
        (model.CallStatus.RESET_AFTER_REQUEST, True),
        (model.CallStatus.MALFORMED, True),
    ],
)
def test_only_units_that_the_counter_may_have_are_leased(status: model.CallStatus, granted: bool) -> None:
    """What may have been added is taken for added: told once, it is used once at most."""
    fleet = Set()
    fleet.load(3.0, [18.0, 0.0, 0.0])
    fleet.advance(fleet.now + 0.1)
    account = fleet.account()
    account.leased, account.lease_requested, account.unreported_usage, account.tokens = 0.0, 5.0, 0.0, 7.0
    account.updated_at = account.last_synchronised = fleet.now
    account.pending_calls[:] = [PendingCall(6.0, 5.0, fleet.now)]  # one unit used, five ahead
    fleet.feed(0, model.CounterReplied(account.counter_id, status))
    assert account.leased == (5.0 if granted else 0.0) and account.lease_requested == 0.0
    assert account.tokens == pytest.approx(7.0 if granted else 12.0)
    assert account.unreported_usage + sum(call.amount for call in account.pending_calls) == pytest.approx(
        0.0 if granted else 1.0
    )


def test_a_store_that_holds_less_than_was_asked_for_takes_it_back() -> None:
    fleet = Set()
    fleet.load(3.0, [18.0, 0.0, 0.0])
    fleet.advance(fleet.now + 0.1)
    account = fleet.account()
    account.leased, account.lease_requested, account.unreported_usage, account.tokens = 0.0, 8.0, 0.0, 2.0
    account.pending_calls[:] = [PendingCall(8.0, 8.0, fleet.now)]
    account.updated_at = account.last_synchronised = fleet.now
    others = 7.0  # the store had ten, and the others have used seven of them
    fleet.feed(
        0,
        model.CounterReplied(
            account.counter_id, model.CallStatus.OK, (account.counter_total or 0.0) + 8.0 + others
        ),
    )
    assert account.leased == pytest.approx(3.0)
    assert account.tokens == 0.0
    assert account.unreported_usage + sum(call.amount for call in account.pending_calls) == pytest.approx(
        -5.0
    )


def test_a_gateway_that_is_told_to_end_gives_back_what_it_holds_at_once() -> None:
    fleet = Set()
    fleet.load(6.0, [30.0, 0.0, 0.0])
    account = fleet.account()
    account.leased += 4.0
    held, told = account.leased + account.lease_requested, fleet.total
    fleet.feed(0, model.ShutdownStarted())
    assert account.leased == 0.0 and fleet.total <= told - held + account.lease_requested + 1e-6


def test_a_call_from_a_customer_of_a_wide_set_is_decided_at_once() -> None:
    gateway = Gateway(w.settings(gateway_count=200, plans=(PLAN,)), 1, 100.0)
    gateway.handle(100.0, w.servers("s1", "s2", "s3"))
    for id in range(60):
        event = model.Request(id, "read", "small", 3.0, f"{id % 7:016x}", 2.0, 200, is_retry=id % 3 == 0)
        actions = gateway.handle(100.0 + id / 100, event)
        assert any(isinstance(a, model.Forward | model.Reject) and a.request_id == id for a in actions), (
            "it is held"
        )


def test_of_a_wide_set_a_second_request_soon_after_goes_on_only_where_it_may_ask() -> None:
    """Each of 200 that grants a few unasked grants what the whole set may not."""
    gateway = Gateway(w.settings(gateway_count=200, plans=(PLAN,)), 1, 100.0)
    gateway.handle(100.0, w.servers("s1", "s2", "s3"))

    def ask(id: int, now: float) -> type:
        gateway.reporter.budget.tokens, gateway.reporter.budget.refilled_at = 0.0, now
        (first, *_) = gateway.handle(now, model.Request(id, "read", "small", 3.0, "a", 2.0, 200))
        if isinstance(first, model.Forward):
            gateway.handle(now, w.outcome(id, 0, first.endpoint, model.CallStatus.OK, 0.01))
        return type(first)

    assert ask(1, 100.0) is model.Forward
    assert ask(2, 100.5) is model.Reject
    back = 2.0 / (PLAN.rate / 200)  # seconds until two units of the even share have come
    assert ask(3, 100.0 + 0.8 * back) is model.Reject
    assert ask(4, 100.0 + back) is model.Forward


def test_the_floor_does_not_go_beyond_a_store_that_was_just_told_to_be_empty() -> None:
    fleet = Set()
    fleet.load(4.0, [18.0, 0.0, 0.0])
    account = fleet.account()
    account.leased = account.tokens = account.lease_requested = 0.0
    account.guaranteed = account.guaranteed_capacity
    account.tokens, account.remote_usage, account.last_synchronised, account.updated_at = (
        1.5,
        50.0,
        fleet.now - 0.1,
        fleet.now,
    )
    assert not fleet.ask(0)  # the others use what came since
    account.tokens, account.leased, account.last_synchronised = 1.5, 0.0, fleet.now - 5.0
    account.guaranteed = account.guaranteed_capacity
    assert fleet.ask(0)  # nobody has said for long: the even share is this gateway's
