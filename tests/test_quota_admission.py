"""Admission by quota."""

from __future__ import annotations

import pytest

from quota_gateway import model
from quota_gateway.decisions.gateway import Gateway
from tests import world as w
from tests.quota_fleet import PLAN, Set
from tests.traffic import drain, run


def thin_gateway() -> Gateway:
    """One of hundreds, each of which meets a customer once a minute."""
    plan = model.Plan("small", rate=2.0, burst=8.0, over_quota_cost=0.5)
    gateway = Gateway(w.settings(gateway_count=200, plans=(plan,)), 1, 100.0)
    gateway.handle(100.0, w.servers("s1", "s2", "s3"))
    return gateway


def test_one_gateway_may_use_the_whole_store_while_the_counter_shows_nobody_else() -> None:
    world = w.World(w.settings())
    world.feed(w.servers("s0", "s1", "s2"))
    assert drain(world, 0, 40, 0.001) == 8


def test_a_silent_counter_leaves_the_even_share() -> None:
    world = w.World(w.settings())
    world.feed(w.servers("s0", "s1", "s2"))
    sent = drain(world, 0, 40, 0.001, model.CallStatus.UNREACHABLE)
    assert 8 / 3 <= sent <= 6


@pytest.mark.parametrize(("elapsed", "above"), [(0.05, True), (0.5, False)])
def test_a_silent_counter_leaves_headroom_above_the_even_share_while_load_is_low(
    elapsed: float, above: bool
) -> None:
    world = w.World(w.settings())
    world.feed(w.servers("s0", "s1", "s2"))
    next_id = run(world, 5, 10, 0, elapsed)  # of a plan without a quota: the load is read
    world.gateway.reporter.budget.unavailable_until = world.now + 60.0
    before = len(world.sends)
    for id in range(next_id, next_id + 20):
        world.feed(w.request(id, "read", "small", "acct"))
        world.serve(elapsed=elapsed)
    even = 8.0 / 3  # of the store, for three gateways; a part of a unit may pass as one
    assert (len(world.sends) - before > even + 1) is above


def test_beyond_the_quota_goes_on_only_where_it_earns() -> None:
    earning = model.Plan("small", rate=2.0, burst=8.0, over_quota_value=0.5)
    for plan, more in (
        (earning, True),
        (model.Plan("small", rate=2.0, burst=8.0, over_quota_cost=0.5), False),
    ):
        world = w.World(w.settings(plans=(model.Plan("free"), plan)))
        world.feed(w.servers("s0", "s1", "s2"))
        run(world, 5, 40, 0)
        assert (drain(world, 5000, 60, 0.02) > 12) is more


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


def test_what_comes_again_at_a_thin_gateway_that_cannot_ask_is_beyond_its_quota() -> None:
    """Each took a customer that it did not know for a calm one, and let it in at its next try elsewhere."""
    gateway = thin_gateway()
    for id in range(40):
        gateway.reporter.budget.tokens = 0.0
        asked = model.Request(id, "read", "small", 3.0, f"{id:016x}", 2.0, 200, is_retry=bool(id % 2))
        (first, *_) = gateway.handle(100.0, asked)
        assert isinstance(first, model.Reject if id % 2 else model.Forward), id
        if isinstance(first, model.Forward):
            gateway.handle(100.0, w.outcome(id, 0, first.endpoint, model.CallStatus.OK, 0.01))


def test_who_asks_counts_for_as_many_as_could_not() -> None:
    gateway, counts = thin_gateway(), list[model.IncrementCounter]()
    for id in range(200):
        gateway.reporter.budget.tokens = 0.5  # one request in four asks
        asked = model.Request(id, "read", "small", 3.0, f"{id:016x}", 2.0, 200)
        for action in gateway.handle(100.0, asked):
            if isinstance(action, model.IncrementCounter):
                counts.append(action)
            if isinstance(action, model.Forward):
                gateway.handle(100.0, w.outcome(id, 0, action.endpoint, model.CallStatus.OK, 0.01))
    assert 20 < len(counts) < 80 and {count.amount for count in counts} == {8.0}
