"""EndpointSet: removed and draining endpoints get no requests, and the subset avoids unreachable ones."""

from __future__ import annotations

from quota_gateway import model
from tests.simulation import (
    SentAttempt,
    endpoint_list,
    make_request,
    make_settings,
    start_simulation,
)
from tests.traffic import send_steadily


def test_draining_and_removed_endpoints_get_no_new_requests() -> None:
    simulation = start_simulation("s0", "s1")
    draining = model.Endpoint("s0", model.EndpointHealth.DRAINING, "a")
    simulation.feed(model.EndpointUpdate((draining,), complete=False))
    for request_id in range(20):
        simulation.feed(make_request(request_id))
        simulation.complete_attempts()
    assert {forward.endpoint for forward in simulation.forwarded} == {"s1"}
    simulation.feed(model.EndpointUpdate((), complete=True))
    actions = simulation.feed(make_request(99))
    assert any(isinstance(action, model.Reject) for action in actions)


def test_removed_endpoints_are_forgotten_once_they_have_no_attempt_in_flight() -> None:
    simulation = start_simulation("s0")
    simulation.feed(make_request(0))  # this request is in flight at s0
    for number in range(1, 50):
        simulation.advance_to(simulation.now + 0.02)
        simulation.feed(endpoint_list(f"s{number}"))
    simulation.advance_to(simulation.now + 1.1)
    assert set(simulation.gateway.endpoints.by_name) == {"s0", "s49"}
    simulation.complete_attempts()
    simulation.advance_to(simulation.now + 1.1)
    assert set(simulation.gateway.endpoints.by_name) == {"s49"}
    simulation.feed(endpoint_list("s0", "s49"))  # an endpoint that is listed again counts as new
    send_steadily(simulation, 3, 20, 100)
    assert {forward.endpoint for forward in simulation.forwarded[-30:]} == {"s0", "s49"}


def test_sparse_gateway_uses_few_endpoints_and_replaces_those_that_are_unreachable() -> None:
    settings = make_settings(gateway_count=300, gateway_index=7)
    simulation = start_simulation(*(f"s{number}" for number in range(80)), settings=settings)
    next_id = send_steadily(simulation, 40, 2, 0)
    first_subset = {forward.endpoint for forward in simulation.forwarded}
    assert len(first_subset) <= 8

    def status_at(sent: SentAttempt) -> model.CallStatus:
        return model.CallStatus.UNREACHABLE if sent.endpoint in first_subset else model.CallStatus.OK

    for request_id in range(next_id, next_id + 60):
        simulation.advance_to(simulation.now + 0.5)
        simulation.feed(make_request(request_id))
        for _ in range(3):
            for key, sent in list(simulation.in_flight.items()):
                simulation.complete_attempt(key, status_at(sent), 0.05)
    late = simulation.endpoints_since(simulation.now - 10)
    assert late
    assert sum(endpoint in first_subset for endpoint in late) < 0.2 * len(late)
