"""GlobalBucket: its tokens follow remote usage, counter resets and the units that endpoints charge."""

from __future__ import annotations

import pytest

from quota_gateway import model
from tests.simulation import GatewaySimulation, make_request
from tests.traffic import send_with_small_plan

UNITS_PER_SECOND = 2  # refill of the plan "small"; its burst is eight units


def test_usage_of_other_gateways_is_taken_from_the_bucket(simulation: GatewaySimulation) -> None:
    assert send_with_small_plan(simulation, 0, 1, 0.001) == 1
    (counter_id,) = simulation.counter_totals
    simulation.counter_totals[counter_id] += 5.0  # the other gateways use five of the eight units
    assert send_with_small_plan(simulation, 2000, 40, 0.001) in (2, 3)


def test_counter_that_restarts_empty_neither_refills_nor_empties_the_bucket(
    simulation: GatewaySimulation,
) -> None:
    send_with_small_plan(simulation, 0, 40, 0.001)
    simulation.counter_totals.clear()
    forwarded = send_with_small_plan(simulation, 100, 40, 0.05)
    seconds = 40 * 0.05
    assert 2 <= forwarded <= UNITS_PER_SECOND * seconds + 2


def test_charged_units_are_taken_from_the_bucket_and_reported_to_the_counter(
    simulation: GatewaySimulation,
) -> None:
    # Each request is assumed to cost one unit but is charged three, so three requests empty the bucket.
    for request_id in range(5):
        simulation.advance_to(simulation.now + 0.01)
        simulation.feed(make_request(request_id, "read", "small", "acct"))
        simulation.reply_to_counter_calls()
        complete_with_charge(simulation, 3.0)
    simulation.reply_to_counter_calls()
    assert len(simulation.forwarded) == 3
    (total,) = simulation.counter_totals.values()
    assert total == pytest.approx(9.0, abs=2.0)  # the usage since the last call is not reported yet


def complete_with_charge(simulation: GatewaySimulation, charged_units: float) -> None:
    """Complete all attempts with responses that state the charged units."""
    for key, sent in list(simulation.in_flight.items()):
        completed = model.AttemptCompleted(
            request_id=key.request_id,
            attempt=key.attempt,
            endpoint=sent.endpoint,
            status=model.CallStatus.OK,
            elapsed=0.1,
            request_finished=True,
            load_report={},
            charged_units=charged_units,
        )
        simulation.feed(completed)
