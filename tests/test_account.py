"""Account: its methods neither create nor lose units of a customer's quota."""

from __future__ import annotations

from collections.abc import Callable

import hypothesis
import pytest
from hypothesis import strategies as st

from quota_gateway import model
from quota_gateway.state import Account

NOW = 100.0  # Unix time
PLAN = model.Plan("small", rate=20.0, burst=40.0)
AMOUNTS = st.floats(0.0, 8.0)  # units
FAILED_STATUSES = (model.CallStatus.OVERLOADED, model.CallStatus.UNREACHABLE, model.CallStatus.ERROR)


def start_account(plan: model.Plan = PLAN) -> Account:
    """Return an account with a full bucket, at one of three gateways that start at the same time."""
    return Account(NOW, plan, "acct", 3, started_at=NOW)


def known_content(account: Account) -> float:
    """Return the content of the bucket as the counter knows it."""
    return account.tokens + account.unreported_usage + sum(call.amount for call in account.pending_calls)


def charge(account: Account, units: float) -> None:
    account.charge(min(units, max(0.0, account.tokens)), is_reported=True)


def refund(account: Account, units: float) -> None:
    account.correct_charge(-units)


def charge_lease(account: Account, units: float) -> None:
    account.charge_lease(min(units, account.leased))


def return_lease(account: Account, units: float) -> None:
    account.return_lease(min(units, account.leased))


def report_usage(account: Account, _units: float) -> None:
    account.begin_counter_call(NOW, lease=0.0)


def request_lease(account: Account, units: float) -> None:
    if not account.lease_requested:
        account.reserve_lease(units)
        account.begin_counter_call(NOW, lease=units)


# Transitions that move units between the bucket, the unreported usage, the pending calls and the lease.
TRANSITIONS = (charge, Account.reserve, refund, charge_lease, return_lease, report_usage, request_lease)


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(st.lists(st.tuples(st.sampled_from(TRANSITIONS), AMOUNTS), max_size=30))
def test_transitions_of_one_gateway_keep_the_content_that_the_counter_knows(
    steps: list[tuple[Callable[[Account, float], None], float]],
) -> None:
    account = start_account()
    account.leased = 5.0
    for transition, units in steps:
        transition(account, units)
        assert known_content(account) == pytest.approx(PLAN.burst)
        assert account.lease_requested == sum(call.lease for call in account.pending_calls)


@pytest.mark.parametrize("status", FAILED_STATUSES)
def test_a_call_that_was_not_counted_keeps_the_content_and_grants_no_lease(status: model.CallStatus) -> None:
    account = start_account()
    account.charge(2.0, is_reported=True)
    account.reserve_lease(6.0)
    account.begin_counter_call(NOW, lease=6.0)
    account.settle_counter_call(NOW, status, total=0.0)
    assert known_content(account) == pytest.approx(PLAN.burst)
    assert account.unreported_usage == pytest.approx(2.0)
    assert account.leased == account.lease_requested == 0.0
    assert not account.pending_calls


@pytest.mark.parametrize("status", [model.CallStatus.TIMEOUT, model.CallStatus.MALFORMED])
def test_a_call_that_may_have_been_counted_takes_its_amount_from_the_content(
    status: model.CallStatus,
) -> None:
    account = start_account()
    account.charge(2.0, is_reported=True)
    account.reserve_lease(6.0)
    account.begin_counter_call(NOW, lease=6.0)
    account.settle_counter_call(NOW, status, total=0.0)
    assert known_content(account) == pytest.approx(PLAN.burst - 8.0)
    assert account.leased == pytest.approx(6.0)


def test_a_successful_call_takes_the_growth_of_the_total_from_the_content() -> None:
    account = start_account()
    for total in (9.0, 20.0):  # units; each call adds three of them
        content = known_content(account)
        growth = total - (account.counter_total or 0.0)
        account.charge(3.0, is_reported=True)
        account.begin_counter_call(NOW, lease=0.0)
        account.settle_counter_call(NOW, model.CallStatus.OK, total)
        assert known_content(account) == pytest.approx(content - growth)


def test_a_charge_never_puts_the_bucket_into_debt() -> None:
    account = start_account()
    account.charge(100.0, is_reported=False)
    assert account.tokens == 0.0
    account.reserve(4.0)
    account.charge(1.0, is_reported=True)
    assert account.tokens == -4.0
    assert account.unreported_usage == 5.0


def test_finished_attempts_are_no_longer_open() -> None:
    account = start_account()
    account.start_attempt()
    account.start_attempt()
    account.finish_attempt()
    assert account.open_attempts == 1


def test_a_request_over_the_quota_is_charged_to_the_ceiling_only() -> None:
    plan = model.Plan("capped", rate=20.0, burst=42.0, ceiling_rate=30.0, ceiling_burst=60.0)
    account = Account(NOW, plan, "acct", 3, started_at=0.0)
    account.charge_shares(2.0, within_quota=False)
    assert account.ceiling_tokens == 18.0
    assert account.guaranteed_tokens == 14.0
    account.charge_shares(2.0, within_quota=True)
    assert account.ceiling_tokens == 16.0
    assert account.guaranteed_tokens == 12.0
