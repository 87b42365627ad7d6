"""LeaseManager: no request waits for the counter, and no leased unit is granted twice or lost."""

from __future__ import annotations

import pytest

from quota_gateway import model
from quota_gateway.decisions import counter_budget
from quota_gateway.decisions.leases import MAX_LEASE_SECONDS
from quota_gateway.state import Account, PendingCall
from tests.quota_fleet import COUNTER_DELAY_SECONDS, PLAN, QuotaFleet
from tests.simulation import (
    AttemptKey,
    GatewaySimulation,
    Outcome,
    endpoint_list,
    make_request,
    make_settings,
    start_simulation,
)

EVEN_RATES = [20.0, 20.0, 20.0]  # requests per second, by gateway


@pytest.fixture
def fleet() -> QuotaFleet:
    """Return three gateways that have not received a request yet."""
    return QuotaFleet()


def reported_usage(account: Account) -> float:
    """Return the units that the pending calls report, plus those that the next call will report."""
    return account.unreported_usage + sum(call.amount for call in account.pending_calls)


def count_outcomes(simulation: GatewaySimulation, outcome: Outcome) -> int:
    """Return the number of requests with this outcome."""
    return sum(ended is outcome for ended in simulation.outcomes.values())


def send_without_counter_replies(simulation: GatewaySimulation, request_ids: range) -> None:
    """Send requests of one customer, and check that each is decided at once."""
    for request_id in request_ids:
        simulation.feed(make_request(request_id, "read", "small", "acct"))
        is_forwarded = AttemptKey(request_id, 0) in simulation.in_flight
        assert request_id in simulation.outcomes or is_forwarded, "the request has no decision"


def advance_without_demand(simulation: GatewaySimulation, seconds: int) -> None:
    """Advance the clock in steps of a second, so that the lease is returned."""
    for _ in range(seconds):
        simulation.advance_to(simulation.now + 1.0)
        simulation.reply_to_counter_calls()


def test_requests_during_a_counter_call_are_decided_at_once_and_reported_by_the_next_call() -> None:
    plans = (model.Plan("small", rate=2.0, burst=6.0),)
    simulation = start_simulation(settings=make_settings(plans=plans))
    simulation.feed(make_request(0, "read", "small", "acct"))
    (counter_id,) = {call.counter_id for call in simulation.counter_calls}
    simulation.counter_totals[counter_id] = 4.0  # the other gateways have used four units of the burst of six
    simulation.reply_to_counter_calls()
    simulation.complete_attempts()
    simulation.now += 1.0  # with the refill, the bucket has three units unless others use some
    send_without_counter_replies(simulation, range(1, 6))
    # Only one of these requests is forwarded: the other gateways may have used the rest of the bucket.
    assert len(simulation.forwarded) == 2
    assert count_outcomes(simulation, Outcome.REJECTED) == 4
    assert len(simulation.counter_calls) == 2  # the second call reports the usage during the first
    simulation.reply_to_counter_calls()
    for request_id in range(6, 10):
        simulation.feed(make_request(request_id, "read", "small", "acct"))
        simulation.reply_to_counter_calls()
    # Of the last unit, one part is leased and one is in the bucket; neither covers a request.
    assert len(simulation.forwarded) == 3
    assert count_outcomes(simulation, Outcome.REJECTED) == 7
    simulation.complete_attempts()
    advance_without_demand(simulation, seconds=8)
    # A part of the returned lease stays unreported while the bucket is full.
    unreported = simulation.gateway.account_table.by_counter_id[counter_id].unreported_usage
    total = simulation.counter_totals[counter_id]
    assert total + unreported == pytest.approx(7.0)
    assert abs(unreported) < 0.05


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize(
    "rates", [[30.0, 9.0, 1.0], [14.0, 14.0, 12.0], [40.0, 0.0, 0.0], [60.0, 40.0, 20.0]]
)
def test_under_demand_above_the_quota_nearly_the_whole_quota_is_granted(
    rates: list[float], seed: int
) -> None:
    """The demand is two to six times the quota, spread evenly or unevenly over the gateways."""
    fleet = QuotaFleet(seed=seed)
    fleet.send_poisson_traffic(4.0, rates)  # empties the bucket
    granted_before = fleet.total_granted
    fleet.send_poisson_traffic(30.0, rates)
    granted_rate = (fleet.total_granted - granted_before) / 30.0
    assert 0.85 * PLAN.rate < granted_rate < 1.12 * PLAN.rate


@pytest.mark.parametrize(("call_rate", "calls_per_request"), [(300.0, 0.35), (6.0, 0.2)])
def test_a_lower_rate_of_counter_calls_leads_to_larger_leases(
    call_rate: float, calls_per_request: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(counter_budget, "MAX_CALLS_PER_SECOND", call_rate)
    fleet = QuotaFleet()
    fleet.send_poisson_traffic(30.0, [18.0, 0.0, 0.0])  # close to the quota, but within it
    assert fleet.counter_calls < calls_per_request * fleet.requests
    assert fleet.rejections[0] <= 0.05 * fleet.requests
    account = fleet.account()
    reported = fleet.counter_total + account.unreported_usage
    quota = PLAN.rate * 30.0 + PLAN.burst
    # The counter has recorded all granted and leased units, and beyond these at most what overflowed a full
    # bucket.
    assert fleet.granted_units[0] + account.leased - 2.0 <= reported <= quota + 2.0


def test_unused_lease_is_returned_after_the_demand_has_ended(fleet: QuotaFleet) -> None:
    fleet.send_poisson_traffic(6.0, [30.0, 0.0, 0.0])
    assert fleet.leased_units > 0 or fleet.account().lease_requested > 0
    fleet.advance_to(fleet.now + 3 * MAX_LEASE_SECONDS)
    assert fleet.leased_units == 0
    fleet.send_poisson_traffic(0.5, [0.0, 30.0, 0.0])  # another gateway can use the returned units
    assert fleet.granted_units[1] > 10


def test_leases_never_exceed_the_bucket(fleet: QuotaFleet) -> None:
    for _ in range(60):
        fleet.send_poisson_traffic(0.5, [30.0, 10.0, 1.0])
        assert all(account.leased + account.lease_requested <= PLAN.burst for account in fleet.all_accounts())
        assert fleet.leased_units <= PLAN.burst


def test_a_lease_is_lost_only_once_if_its_gateway_exits_without_returning_it() -> None:
    fleet = QuotaFleet(seed=3)
    fleet.send_poisson_traffic(10.0, EVEN_RATES)
    lost_units = fleet.leased_units
    fleet.gateways = [fleet.start_gateway(0), fleet.start_gateway(1), fleet.gateways[2]]
    fleet.timers = [timer for timer in fleet.timers if timer.gateway == 2]
    fleet.counter_replies = [reply for reply in fleet.counter_replies if reply.gateway == 2]
    for gateway in (0, 1):
        fleet.feed(gateway, endpoint_list("s0", "s1", "s2"))
    granted_before = fleet.total_granted
    fleet.send_poisson_traffic(20.0, EVEN_RATES)
    assert fleet.total_granted - granted_before > 0.8 * PLAN.rate * 20.0 - lost_units
    assert fleet.total_granted - granted_before < 1.15 * PLAN.rate * 20.0 + PLAN.burst


def test_while_the_counter_is_unreachable_leases_and_even_shares_are_granted() -> None:
    fleet = QuotaFleet(seed=5)
    fleet.send_poisson_traffic(10.0, EVEN_RATES)
    fleet.counter_status = model.CallStatus.UNREACHABLE
    fleet.counter_delay = 0.0
    fleet.send_poisson_traffic(1.0, EVEN_RATES)  # the gateways detect the outage
    granted_before = fleet.total_granted
    fleet.send_poisson_traffic(15.0, EVEN_RATES)
    assert 0.7 * PLAN.rate < (fleet.total_granted - granted_before) / 15.0 < 1.3 * PLAN.rate
    fleet.counter_status = model.CallStatus.OK
    fleet.counter_delay = COUNTER_DELAY_SECONDS
    fleet.send_poisson_traffic(3.0, EVEN_RATES)
    granted_before = fleet.total_granted
    fleet.send_poisson_traffic(20.0, EVEN_RATES)
    assert 0.85 * PLAN.rate < (fleet.total_granted - granted_before) / 20.0 < 1.12 * PLAN.rate


def test_leases_are_reported_again_after_the_counter_restarts_empty(fleet: QuotaFleet) -> None:
    """The restarted counter does not include the leased units.

    If the gateway returned them without reporting them again, the counter would deduct the usage of other
    gateways.
    """
    fleet.send_poisson_traffic(10.0, [18.0, 0.0, 0.0])
    account = fleet.account()
    account.leased += 12.0  # at least 12 units are leased
    account.tokens -= 12.0
    fleet.counter_total = 0.0
    granted_before = fleet.granted_units[0]
    fleet.send_poisson_traffic(3.0, [18.0, 0.0, 0.0])
    fleet.advance_to(fleet.now + 4 * MAX_LEASE_SECONDS)
    assert account.leased == 0.0
    granted = fleet.granted_units[0] - granted_before
    assert fleet.counter_total + account.unreported_usage == pytest.approx(granted, abs=4.0)


def prepare_lease_call(fleet: QuotaFleet, tokens: float, call: PendingCall) -> Account:
    """Run some traffic, then set the account up as if this call were the only pending one."""
    fleet.send_poisson_traffic(3.0, [18.0, 0.0, 0.0])
    fleet.advance_to(fleet.now + 0.1)
    account = fleet.account()
    account.leased = 0.0
    account.lease_requested = call.lease
    account.unreported_usage = 0.0
    account.tokens = tokens
    account.updated_at = fleet.now
    account.last_synchronised = fleet.now
    account.pending_calls[:] = [call._replace(made_at=fleet.now)]
    return account


@pytest.mark.parametrize(
    ("status", "is_granted"),
    [
        (model.CallStatus.OVERLOADED, False),
        (model.CallStatus.UNREACHABLE, False),
        (model.CallStatus.ERROR, False),
        (model.CallStatus.TIMEOUT, True),
        (model.CallStatus.RESET_AFTER_REQUEST, True),
        (model.CallStatus.MALFORMED, True),
    ],
)
def test_only_units_that_the_counter_may_have_counted_are_leased(
    fleet: QuotaFleet, status: model.CallStatus, is_granted: bool
) -> None:
    """Units that may have been counted are treated as counted, so that none is granted twice."""
    call = PendingCall(amount=6.0, lease=5.0, made_at=0.0)  # one unit used, five leased ahead
    account = prepare_lease_call(fleet, tokens=7.0, call=call)
    fleet.feed(0, model.CounterReplied(account.counter_id, status))
    assert account.leased == (5.0 if is_granted else 0.0)
    assert account.lease_requested == 0.0
    assert account.tokens == pytest.approx(7.0 if is_granted else 12.0)
    assert reported_usage(account) == pytest.approx(0.0 if is_granted else 1.0)


def test_the_part_of_a_lease_that_the_bucket_does_not_cover_is_returned(fleet: QuotaFleet) -> None:
    call = PendingCall(amount=8.0, lease=8.0, made_at=0.0)
    account = prepare_lease_call(fleet, tokens=2.0, call=call)
    remote_usage = 7.0  # units used by the other gateways, of ten in the bucket
    total = (account.counter_total or 0.0) + 8.0 + remote_usage
    fleet.feed(0, model.CounterReplied(account.counter_id, model.CallStatus.OK, total))
    assert account.leased == pytest.approx(3.0)
    assert account.tokens == 0.0
    assert reported_usage(account) == pytest.approx(-5.0)


def test_a_gateway_returns_its_leases_immediately_when_its_shutdown_starts(fleet: QuotaFleet) -> None:
    fleet.send_poisson_traffic(6.0, [30.0, 0.0, 0.0])
    account = fleet.account()
    account.leased += 4.0
    leased = account.leased + account.lease_requested
    total_before = fleet.counter_total
    fleet.feed(0, model.ShutdownStarted())
    assert account.leased == 0.0
    assert fleet.counter_total <= total_before - leased + account.lease_requested + 1e-6
