"""Leases."""

from __future__ import annotations

import pytest

from quota_gateway import model
from quota_gateway.decisions import counter_budget
from quota_gateway.decisions.leases import MAX_LEASE_TIME
from quota_gateway.state import PendingCall
from tests import world as w
from tests.quota_fleet import PLAN, Set


def test_requests_that_come_while_a_count_is_out_wait_for_none_and_share_the_next_call() -> None:
    plans = (model.Plan("small", rate=2.0, burst=6.0),)
    world = w.World(w.settings(plans=plans))
    world.feed(w.servers("s0", "s1", "s2"))
    world.feed(w.request(0, "read", "small", "acct"))
    (name,) = {call.counter_id for call in world.counts}
    world.totals[name] = 4.0  # the others have used four of the six units
    world.answer_counts()
    world.serve()
    world.now += 1.0  # three are left, and the others may have used them
    for id in range(1, 6):
        world.feed(w.request(id, "read", "small", "acct"))
        assert id in world.answered or (id, 0) in world.out, "it is held"
    # One goes on; the others' usual use would leave no more. The answer shows what is there.
    assert len(world.sends) == 2 and sum(v == "refused" for v in world.answered.values()) == 4
    assert len(world.counts) == 2  # one tells the first and asks ahead, one what came after
    world.answer_counts()
    for id in range(6, 10):
        world.feed(w.request(id, "read", "small", "acct"))
        world.answer_counts()
    # The last whole unit is parted between lease and store here, and serves nobody until more is leased.
    assert len(world.sends) == 3 and sum(v == "refused" for v in world.answered.values()) == 7
    world.serve()
    for _ in range(8):  # nothing more is asked for here: what was leased goes back
        world.advance(world.now + 1.0)
        world.answer_counts()
    untold = world.gateway.accounts.by_counter_id[
        name
    ].unreported_usage  # of what went back: a full store need not hear it
    assert world.totals[name] + untold == pytest.approx(7.0) and abs(untold) < 0.05


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
