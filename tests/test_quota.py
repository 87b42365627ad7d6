"""The quota of a customer as one gateway estimates it from the counter's totals."""

from __future__ import annotations

import pytest

from quota_gateway import model
from tests.simulation import GatewaySimulation, make_request
from tests.traffic import send_within_quota


def test_usage_of_other_gateways_is_taken_off_the_bucket(simulation: GatewaySimulation) -> None:
    assert send_within_quota(simulation, 0, 1, 0.001) == 1
    (counter_id,) = simulation.counter_totals
    simulation.counter_totals[counter_id] += 5.0  # the other gateways use five of the eight units
    assert send_within_quota(simulation, 2000, 40, 0.001) in (2, 3)


def test_counter_that_restarts_empty_neither_refills_nor_empties_the_bucket(
    simulation: GatewaySimulation,
) -> None:
    send_within_quota(simulation, 0, 40, 0.001)
    simulation.counter_totals.clear()
    forwarded = send_within_quota(simulation, 100, 40, 0.05)
    assert 2 <= forwarded <= 6  # the refill of two seconds at two a second


def test_charged_units_are_settled_with_the_bucket_and_reported_to_the_counter(
    simulation: GatewaySimulation,
) -> None:
    for request_id in range(5):  # each is taken for one unit and charged three; two of them empty the bucket
        simulation.advance_to(simulation.now + 0.01)
        simulation.feed(make_request(request_id, "read", "small", "acct"))
        simulation.reply_to_counter_calls()
        for key, sent in list(simulation.in_flight.items()):
            completed = model.AttemptCompleted(
                request_id=key.request_id,
                attempt=key.attempt,
                endpoint=sent.endpoint,
                status=model.CallStatus.OK,
                elapsed=0.1,
                request_finished=True,
                load_report={},
                charged_units=3.0,
            )
            simulation.feed(completed)
    simulation.reply_to_counter_calls()
    assert len(simulation.forwarded) == 3
    (total,) = simulation.counter_totals.values()
    assert total == pytest.approx(9.0, abs=2.0)  # but for what the last call has not reported yet


def test_accounts_are_forgotten_after_an_idle_minute(simulation: GatewaySimulation) -> None:
    for request_id in range(500):
        simulation.advance_to(simulation.now + 0.01)
        plan = "small" if request_id % 2 else "free"
        simulation.feed(make_request(request_id, "read", plan, f"once{request_id}"))
        simulation.reply_to_counter_calls()
        simulation.complete_attempts()
    table = simulation.gateway.accounts
    assert len(table.accounts) == 500
    simulation.advance_to(simulation.now + 70)
    assert not table.accounts and not table.by_counter_id
