"""Forwarder: an attempt gets all useful time, and a response is expected only if an attempt waits."""

from __future__ import annotations

import pytest

from quota_gateway import model
from tests.simulation import (
    IDEMPOTENT_CLASS,
    GatewaySimulation,
    Outcome,
    ReceivedRequest,
    attempt_completed,
    make_request,
    make_settings,
    start_simulation,
)
from tests.traffic import send_steadily


def forwards(actions: list[model.Action]) -> list[model.Forward]:
    """Return the ``Forward`` actions."""
    return [action for action in actions if isinstance(action, model.Forward)]


def test_attempt_times_out_at_the_latency_objective_if_a_late_response_has_no_value() -> None:
    simulation = start_simulation("s0")
    attempts = forwards(simulation.feed(make_request(1, "post", timeout=9.0)))
    assert attempts[0].timeout == pytest.approx(2.0)


def test_attempt_has_all_of_the_useful_time_even_if_retries_are_allowed() -> None:
    simulation = start_simulation(settings=make_settings(max_attempts=4))
    attempts = forwards(simulation.feed(make_request(0, "read", timeout=3.0)))
    useful_time = pytest.approx(IDEMPOTENT_CLASS.latency_objective)
    assert [attempt.timeout for attempt in attempts] == [useful_time]


def test_rejection_for_lack_of_time_is_not_counted_under_an_earlier_reason() -> None:
    simulation = start_simulation()
    forwarder = simulation.gateway.forwarder
    simulation.feed(model.EndpointUpdate((), complete=True))
    simulation.feed(make_request(1))
    assert forwarder.take_unserved_counts() == {model.RejectionReason.NO_ENDPOINT: 1}
    simulation.feed(make_request(2, timeout=0.0))
    assert forwarder.take_unserved_counts() == {model.RejectionReason.ATTEMPTS: 1}


def test_endpoint_is_used_again_after_the_client_of_its_only_request_has_disconnected() -> None:
    simulation = start_simulation("a", "b", "c", "d", "e", "f")
    attempts = forwards(simulation.feed(make_request(1)))
    simulation.feed(model.ClientDisconnected(1))
    simulation.in_flight.clear()  # the attempt is cancelled, and its completion is ignored
    used_again: set[str] = set()
    for request_id in range(2, 200):
        simulation.stall(0.2)
        for attempt in forwards(simulation.feed(make_request(request_id))):
            used_again.add(attempt.endpoint)
            simulation.feed(attempt_completed(request_id, 0, attempt.endpoint, model.CallStatus.OK, 0.05))
    assert attempts[0].endpoint in used_again


@pytest.mark.parametrize("status", [model.CallStatus.UNREACHABLE, model.CallStatus.TIMEOUT])
def test_no_response_is_expected_of_an_endpoint_without_attempts_in_flight(
    simulation: GatewaySimulation, status: model.CallStatus
) -> None:
    simulation.feed(make_request(0))
    first_attempt = next(iter(simulation.in_flight))
    simulation.advance_to(simulation.now + 0.1)
    simulation.complete_attempt(first_attempt, status, 0.05)
    simulation.complete_attempts()
    send_steadily(simulation, 30, 20, 1)
    endpoints = simulation.gateway.endpoints.by_name.values()
    assert all(endpoint.unresponsive_since is None for endpoint in endpoints)


def test_endpoint_does_not_count_as_unresponsive_during_an_upload() -> None:
    simulation = start_simulation("s0")
    request = model.Request(
        id=1, request_class="read", plan="free", timeout=3.0, account="x", serving_gateways=3, uploading=True
    )
    simulation.feed(request)
    # The client's timeout has not started.
    simulation.requests[1] = ReceivedRequest(request, simulation.now + 1000.0)
    for _ in range(100):
        simulation.advance_to(simulation.now + 0.1)
    endpoint = simulation.gateway.endpoints.by_name["s0"]
    assert endpoint.unresponsive_since is None
    assert not simulation.outcomes
    assert not simulation.gateway.controller.readings
    simulation.requests[1] = ReceivedRequest(request, simulation.now + 3.0)
    simulation.feed(model.UploadCompleted(1))
    assert endpoint.unresponsive_since == simulation.now
    reset = model.AttemptCompleted(
        request_id=1,
        attempt=0,
        endpoint="s0",
        status=model.CallStatus.RESET_BEFORE_REQUEST,
        elapsed=0.1,
        request_finished=False,
        load_report={},
        may_retry=False,
    )
    simulation.feed(reset)
    assert simulation.outcomes[1] is Outcome.REJECTED
    assert len(simulation.forwarded) == 1
