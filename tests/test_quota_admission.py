"""Admission by quota: near it, without the counter, over it, and where too many gateways serve a customer."""

from __future__ import annotations

import pytest

from quota_gateway import model
from quota_gateway.decisions.gateway import Gateway
from tests.quota_fleet import PLAN, QuotaFleet
from tests.simulation import (
    GatewaySimulation,
    attempt_completed,
    endpoint_list,
    make_request,
    make_settings,
    start_simulation,
)
from tests.traffic import send_steadily, send_within_quota

SPARSE_GATEWAYS = 200  # that serve a customer: each of them meets it once a minute
SMALL_PLAN = model.Plan("small", rate=2.0, burst=8.0, over_quota_cost=0.5)
PAYING_PLAN = model.Plan("small", rate=2.0, burst=8.0, over_quota_value=0.5)


def test_one_gateway_may_use_the_whole_bucket_while_the_counter_shows_nobody_else(
    simulation: GatewaySimulation,
) -> None:
    assert send_within_quota(simulation, 0, 40, 0.001) == 8


def test_unreachable_counter_leaves_the_even_share(simulation: GatewaySimulation) -> None:
    forwarded = send_within_quota(simulation, 0, 40, 0.001, model.CallStatus.UNREACHABLE)
    assert 8 / 3 <= forwarded <= 6


@pytest.mark.parametrize(("elapsed", "has_headroom"), [(0.05, True), (0.5, False)])
def test_unavailable_counter_leaves_headroom_above_the_even_share_while_load_is_low(
    simulation: GatewaySimulation, elapsed: float, has_headroom: bool
) -> None:
    next_id = send_steadily(simulation, 5, 10, 0, elapsed)  # of a plan without a quota: the load is measured
    simulation.gateway.leases.budget.unavailable_until = simulation.now + 60.0
    forwarded_before = len(simulation.forwarded)
    for request_id in range(next_id, next_id + 20):
        simulation.feed(make_request(request_id, "read", "small", "acct"))
        simulation.complete_attempts(elapsed=elapsed)
    even_share = 8.0 / 3  # of the bucket, for three gateways; a part of a unit may pass as one
    assert (len(simulation.forwarded) - forwarded_before > even_share + 1) is has_headroom


@pytest.mark.parametrize(("plan", "is_forwarded"), [(PAYING_PLAN, True), (SMALL_PLAN, False)])
def test_requests_over_the_quota_are_forwarded_only_where_they_pay(
    plan: model.Plan, is_forwarded: bool
) -> None:
    simulation = start_simulation(settings=make_settings(plans=(model.Plan("free"), plan)))
    send_steadily(simulation, 5, 40, 0)
    assert (send_within_quota(simulation, 5000, 60, 0.02) > 12) is is_forwarded


def test_guarantee_does_not_exceed_a_bucket_that_was_just_reported_empty() -> None:
    fleet = QuotaFleet()
    fleet.send_poisson_traffic(4.0, [18.0, 0.0, 0.0])
    account = fleet.account()
    account.lease_requested = 0.0
    account.leased = 0.0
    account.tokens = 1.5
    account.guaranteed_tokens = account.guaranteed_capacity
    account.remote_usage_rate = 50.0
    account.last_synchronised = fleet.now - 0.1
    account.updated_at = fleet.now
    assert not fleet.send_request(0)  # the others use what came since
    account.tokens = 1.5
    account.leased = 0.0
    account.last_synchronised = fleet.now - 5.0
    account.guaranteed_tokens = account.guaranteed_capacity
    assert fleet.send_request(0)  # no total has come for long: the even share is this gateway's


def start_sparse_gateway(plan: model.Plan) -> Gateway:
    """One of hundreds of gateways, with three endpoints."""
    gateway = Gateway(make_settings(gateway_count=SPARSE_GATEWAYS, plans=(plan,)), 1, 100.0)
    gateway.handle(100.0, endpoint_list("s1", "s2", "s3"))
    return gateway


def make_sparse_request(request_id: int, account: str, is_retry: bool = False) -> model.Request:
    """A request of two units from a customer that all of the gateways serve."""
    return model.Request(
        id=request_id,
        request_class="read",
        plan="small",
        timeout=3.0,
        account=account,
        units=2.0,
        serving_gateways=SPARSE_GATEWAYS,
        is_retry=is_retry,
    )


def complete(gateway: Gateway, now: float, action: model.Forward) -> None:
    """End the only attempt of a request well."""
    completed = attempt_completed(action.request_id, 0, action.endpoint, model.CallStatus.OK, 0.01)
    gateway.handle(now, completed)


def test_request_of_a_customer_of_many_gateways_is_decided_at_once() -> None:
    gateway = start_sparse_gateway(PLAN)
    for request_id in range(60):
        request = make_sparse_request(request_id, f"{request_id % 7:016x}", is_retry=request_id % 3 == 0)
        actions = gateway.handle(100.0 + request_id / 100, request)
        decisions = [action for action in actions if isinstance(action, model.Forward | model.Reject)]
        assert any(action.request_id == request_id for action in decisions), "the request waits"


def test_second_request_at_one_of_many_gateways_is_forwarded_only_where_it_may_call_the_counter() -> None:
    """Where each of 200 grants a few without a call, all of them grant what the customer may not have."""
    gateway = start_sparse_gateway(PLAN)

    def decide_without_a_call(request_id: int, now: float) -> type:
        gateway.leases.budget.tokens = 0.0
        gateway.leases.budget.refilled_at = now
        (decision, *_) = gateway.handle(now, make_sparse_request(request_id, "a"))
        if isinstance(decision, model.Forward):
            complete(gateway, now, decision)
        return type(decision)

    assert decide_without_a_call(1, 100.0) is model.Forward
    assert decide_without_a_call(2, 100.5) is model.Reject
    refill_time = 2.0 / (PLAN.rate / SPARSE_GATEWAYS)  # seconds until two units of the even share have come
    assert decide_without_a_call(3, 100.0 + 0.8 * refill_time) is model.Reject
    assert decide_without_a_call(4, 100.0 + refill_time) is model.Forward


def test_client_retry_at_one_of_many_gateways_without_a_counter_call_is_over_its_quota() -> None:
    """Each gateway took a customer that it did not know for one within its quota, and let its retry in."""
    gateway = start_sparse_gateway(SMALL_PLAN)
    for request_id in range(40):
        gateway.leases.budget.tokens = 0.0
        is_retry = bool(request_id % 2)
        request = make_sparse_request(request_id, f"{request_id:016x}", is_retry)
        (decision, *_) = gateway.handle(100.0, request)
        assert isinstance(decision, model.Reject if is_retry else model.Forward), request_id
        if isinstance(decision, model.Forward):
            complete(gateway, 100.0, decision)


def test_request_that_calls_the_counter_is_counted_for_those_that_could_not() -> None:
    gateway = start_sparse_gateway(SMALL_PLAN)
    counter_calls: list[model.IncrementCounter] = []
    for request_id in range(200):
        gateway.leases.budget.tokens = 0.5  # one request in four calls the counter
        for action in gateway.handle(100.0, make_sparse_request(request_id, f"{request_id:016x}")):
            if isinstance(action, model.IncrementCounter):
                counter_calls.append(action)
            if isinstance(action, model.Forward):
                complete(gateway, 100.0, action)
    assert 20 < len(counter_calls) < 80 and {call.amount for call in counter_calls} == {8.0}
