"""QuotaAdmission: customers get their quota and little more, with and without the counter."""

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
from tests.traffic import send_steadily, send_with_small_plan

SPARSE_GATEWAYS = 200  # gateways that serve one customer; each receives about one of its requests a minute
SMALL_PLAN = model.Plan("small", rate=2.0, burst=8.0, over_quota_cost=0.5)
PAYING_PLAN = model.Plan("small", rate=2.0, burst=8.0, over_quota_value=0.5)


def test_one_gateway_may_use_the_whole_bucket_while_the_others_use_nothing(
    simulation: GatewaySimulation,
) -> None:
    assert send_with_small_plan(simulation, 0, 40, 0.001) == 8


def test_while_the_counter_is_unreachable_the_even_share_is_granted(simulation: GatewaySimulation) -> None:
    forwarded = send_with_small_plan(simulation, 0, 40, 0.001, model.CallStatus.UNREACHABLE)
    assert 8 / 3 <= forwarded <= 6


@pytest.mark.parametrize(("elapsed", "has_headroom"), [(0.05, True), (0.5, False)])
def test_while_the_counter_is_unavailable_low_load_allows_more_than_the_even_share(
    simulation: GatewaySimulation, elapsed: float, has_headroom: bool
) -> None:
    next_id = send_steadily(simulation, 5, 10, 0, elapsed)  # on a plan without a quota, for load readings
    simulation.gateway.leases.budget.unavailable_until = simulation.now + 60.0
    forwarded_before = len(simulation.forwarded)
    for request_id in range(next_id, next_id + 20):
        simulation.feed(make_request(request_id, "read", "small", "acct"))
        simulation.complete_attempts(elapsed=elapsed)
    even_share = 8.0 / 3  # units of the burst for each of three gateways
    forwarded = len(simulation.forwarded) - forwarded_before
    # With a fraction of a unit left, the share may still admit a request of one unit.
    assert (forwarded > even_share + 1) is has_headroom


@pytest.mark.parametrize(("plan", "is_forwarded"), [(PAYING_PLAN, True), (SMALL_PLAN, False)])
def test_requests_over_the_quota_are_forwarded_only_if_their_value_exceeds_their_cost(
    plan: model.Plan, is_forwarded: bool
) -> None:
    simulation = start_simulation(settings=make_settings(plans=(model.Plan("free"), plan)))
    send_steadily(simulation, 5, 40, 0)
    assert (send_with_small_plan(simulation, 5000, 60, 0.02) > 12) is is_forwarded


def test_the_guaranteed_share_is_granted_only_if_the_last_total_is_old() -> None:
    """A recent total shows that the bucket is nearly empty; without one, the guaranteed share is granted."""
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
    assert not fleet.send_request(0)  # the other gateways are expected to use the refill since the last total
    account.tokens = 1.5
    account.leased = 0.0
    account.last_synchronised = fleet.now - 5.0
    account.guaranteed_tokens = account.guaranteed_capacity
    assert fleet.send_request(0)


def start_sparse_gateway(plan: model.Plan) -> Gateway:
    """Start one of 200 gateways, with three endpoints."""
    gateway = Gateway(make_settings(gateway_count=SPARSE_GATEWAYS, plans=(plan,)), 1, 100.0)
    gateway.handle(100.0, endpoint_list("s1", "s2", "s3"))
    return gateway


def make_sparse_request(request_id: int, account: str, *, is_retry: bool = False) -> model.Request:
    """Return a request of two units from a customer that all gateways serve."""
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
    """Complete the only attempt of a request with a successful response."""
    completed = attempt_completed(action.request_id, 0, action.endpoint, model.CallStatus.OK, 0.01)
    gateway.handle(now, completed)


def test_request_of_a_sparse_account_is_decided_without_waiting_for_the_counter() -> None:
    gateway = start_sparse_gateway(PLAN)
    for request_id in range(60):
        request = make_sparse_request(request_id, f"{request_id % 7:016x}", is_retry=request_id % 3 == 0)
        actions = gateway.handle(100.0 + request_id / 100, request)
        decisions = [action for action in actions if isinstance(action, model.Forward | model.Reject)]
        assert any(action.request_id == request_id for action in decisions), "the request has no decision"


def test_without_a_counter_call_a_sparse_account_is_granted_one_request_until_its_share_refills() -> None:
    """If each of 200 gateways granted a few requests without a call, together they would exceed the quota."""
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
    refill_time = 2.0 / (PLAN.rate / SPARSE_GATEWAYS)  # seconds until the even share refills by two units
    assert decide_without_a_call(3, 100.0 + 0.8 * refill_time) is model.Reject
    assert decide_without_a_call(4, 100.0 + refill_time) is model.Forward


def test_without_a_counter_call_a_client_retry_of_a_sparse_account_is_rejected() -> None:
    """Another gateway has most likely rejected the original request because it was over the quota."""
    gateway = start_sparse_gateway(SMALL_PLAN)
    for request_id in range(40):
        gateway.leases.budget.tokens = 0.0
        is_retry = bool(request_id % 2)
        request = make_sparse_request(request_id, f"{request_id:016x}", is_retry=is_retry)
        (decision, *_) = gateway.handle(100.0, request)
        assert isinstance(decision, model.Reject if is_retry else model.Forward), request_id
        if isinstance(decision, model.Forward):
            complete(gateway, 100.0, decision)


def test_a_sampled_counter_call_reports_the_units_of_the_requests_without_a_call() -> None:
    gateway = start_sparse_gateway(SMALL_PLAN)
    counter_calls: list[model.IncrementCounter] = []
    for request_id in range(200):
        gateway.leases.budget.tokens = 0.5  # one request in four calls the counter
        for action in gateway.handle(100.0, make_sparse_request(request_id, f"{request_id:016x}")):
            if isinstance(action, model.IncrementCounter):
                counter_calls.append(action)
            if isinstance(action, model.Forward):
                complete(gateway, 100.0, action)
    assert 20 < len(counter_calls) < 80
    assert {call.amount for call in counter_calls} == {8.0}
