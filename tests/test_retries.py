"""Retries: a request is repeated only where that is harmless, and early resets use little budget."""

from __future__ import annotations

import pytest

from quota_gateway import model
from tests.simulation import AttemptKey, Outcome, make_request, make_settings, start_simulation


@pytest.mark.parametrize(
    ("status", "is_retried"),
    [
        (model.CallStatus.OVERLOADED, True),
        (model.CallStatus.UNREACHABLE, True),
        (model.CallStatus.RESET_BEFORE_REQUEST, True),
        (model.CallStatus.RESET_AFTER_REQUEST, False),
        (model.CallStatus.ERROR, False),
    ],
)
def test_non_idempotent_request_is_retried_only_if_it_was_surely_not_executed(
    status: model.CallStatus, is_retried: bool
) -> None:
    simulation = start_simulation("s0", "s1")
    simulation.feed(make_request(1, "post"))
    actions = simulation.complete_attempt(AttemptKey(1, 0), status)
    assert any(isinstance(action, model.Forward) for action in actions) is is_retried
    assert any(isinstance(action, model.Fail) for action in actions) is not is_retried


def test_request_with_an_idempotency_key_is_retried_only_within_its_deduplication_scope() -> None:
    simulation = start_simulation("s0", "s1", "s2", "s3", "s4")  # s4 is alone in its cell
    cell_pairs: set[tuple[int, int]] = set()  # the cells of a first attempt and of its retry
    for request_id in range(60):
        simulation.feed(make_request(request_id, "entry"))
        first_endpoint = simulation.forwarded[-1].endpoint
        for action in simulation.complete_attempt(AttemptKey(request_id, 0), model.CallStatus.ERROR):
            if isinstance(action, model.Forward):
                first_cell = simulation.listed_endpoints[first_endpoint].cell
                cell_pairs.add((first_cell, simulation.listed_endpoints[action.endpoint].cell))
                simulation.complete_attempt(AttemptKey(request_id, 1))
        simulation.advance_to(simulation.now + 2)
    assert cell_pairs
    assert all(first_cell == retry_cell for first_cell, retry_cell in cell_pairs)


def test_early_connection_resets_use_little_of_the_retry_budget() -> None:
    simulation = start_simulation(settings=make_settings(max_attempts=4))
    for request_id in range(200):
        simulation.advance_to(simulation.now + 0.05)
        simulation.feed(make_request(request_id))
        if request_id % 4 == 0:  # every fourth connection is reset at its first write
            simulation.complete_attempts(model.CallStatus.RESET_AFTER_REQUEST, 0.001)
        simulation.complete_attempts()
    assert set(simulation.outcomes.values()) == {Outcome.SERVED}
