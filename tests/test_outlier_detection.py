"""OutlierDetector: endpoints that fail more than the others are ejected, and later return to service."""

from __future__ import annotations

from quota_gateway import model
from quota_gateway.state import EndpointState
from tests.simulation import (
    ForwardedRequest,
    GatewaySimulation,
    make_request,
    make_settings,
    start_simulation,
)
from tests.traffic import send_steadily

FLEET_GATEWAYS = 40


def test_endpoint_that_fails_fast_does_not_attract_requests() -> None:
    simulation = start_simulation("s0", "s1", "s2", "s3")
    for request_id in range(200):
        simulation.advance_to(simulation.now + 0.02)
        simulation.feed(make_request(request_id, "post"))
        for key, sent in list(simulation.in_flight.items()):
            if sent.endpoint == "s0":
                simulation.complete_attempt(key, model.CallStatus.ERROR, 0.005)
            else:
                simulation.complete_attempt(key, model.CallStatus.OK, 0.1)
    assert [forward.endpoint for forward in simulation.forwarded].count("s0") < 20


def test_endpoints_that_all_fail_at_the_same_rate_stay_in_service() -> None:
    simulation = start_simulation("s0", "s1", "s2", "s3")
    for request_id in range(300):
        simulation.advance_to(simulation.now + 0.02)
        simulation.feed(make_request(request_id, "post"))
        status = model.CallStatus.OK if request_id % 2 else model.CallStatus.ERROR
        simulation.complete_attempts(status)
    assert len(set(simulation.endpoints_since(simulation.now - 2))) >= 2


def time_out_once(simulation: GatewaySimulation, endpoint: EndpointState, first_id: int) -> bool:
    """Send requests until one times out at this endpoint, and return whether the endpoint is ejected."""
    name = endpoint.endpoint.name
    for request_id in range(first_id, first_id + 40):
        simulation.feed(make_request(request_id))
        attempts = simulation.attempts_at(name)
        if attempts:
            simulation.advance_to(simulation.now + 0.7)
            simulation.complete_attempt(attempts[0], model.CallStatus.TIMEOUT, 0.7)
            simulation.complete_attempts()
            return endpoint.ejected_until > simulation.now
        simulation.complete_attempts()
        simulation.advance_to(simulation.now + 0.1)
    raise AssertionError(f"no request was forwarded to {name}")


def test_endpoint_is_ejected_after_consecutive_timeouts_and_not_after_one(
    simulation: GatewaySimulation,
) -> None:
    next_id = send_steadily(simulation, 3, 20, 0)
    endpoint = simulation.gateway.endpoints.by_name["s0"]
    assert not time_out_once(simulation, endpoint, next_id)
    is_ejected = time_out_once(simulation, endpoint, next_id + 100)
    assert is_ejected or time_out_once(simulation, endpoint, next_id + 200)


def make_unreachable(simulation: GatewaySimulation, name: str) -> None:
    """Let connections to an endpoint fail; the other endpoints stay busy, so it is picked a second time."""
    for request_id in range(5000, 5012):
        simulation.feed(make_request(request_id))
        for key in simulation.attempts_at(name):
            simulation.complete_attempt(key, model.CallStatus.UNREACHABLE)
    simulation.complete_attempts()


def test_unreachable_endpoint_returns_to_service_when_it_passes_its_health_check(
    simulation: GatewaySimulation,
) -> None:
    # Work that the endpoint completed while warm must not count against its slow start.
    send_steadily(simulation, 20, 40, 0)
    make_unreachable(simulation, "s0")
    assert simulation.gateway.endpoints.by_name["s0"].ejected_until > simulation.now
    health_checks: list[model.Action] = []
    for _ in range(3):
        timer = simulation.timers.pop(0)
        simulation.now = timer.due_at
        actions = simulation.feed(model.TimerFired(timer.token))
        health_checks += [action for action in actions if isinstance(action, model.CheckHealth)]
        send_steadily(simulation, 0.5, 20, 100 + len(simulation.requests))
        assert simulation.forwarded[-1].endpoint != "s0"
    assert health_checks
    simulation.feed(model.HealthChecked("s0", model.CallStatus.OK, 0.001, {}))
    forwarded_before = len(simulation.forwarded)
    # The latest attempt stays in flight, so its endpoint is busy when the next request is forwarded.
    for request_id in range(1000, 1060):
        simulation.advance_to(simulation.now + 0.05)
        for key in list(simulation.in_flight)[:-1]:
            simulation.complete_attempt(key)
        simulation.feed(make_request(request_id))
    assert "s0" in {forward.endpoint for forward in simulation.forwarded[forwarded_before:]}


def test_connection_resets_do_not_start_a_slow_start(simulation: GatewaySimulation) -> None:
    for request_id in range(400):
        simulation.advance_to(simulation.now + 0.05)
        simulation.feed(make_request(request_id))
        is_reset = request_id % 10 < 3
        simulation.complete_attempts(
            model.CallStatus.RESET_AFTER_REQUEST if is_reset else model.CallStatus.OK
        )
    endpoints = simulation.gateway.endpoints.by_name.values()
    assert not any(endpoint.warming_since or endpoint.unreachable for endpoint in endpoints)


def start_sparse_gateway(index: int) -> GatewaySimulation:
    """Return one gateway of the fleet, with sixty endpoints."""
    settings = make_settings(gateway_index=index, gateway_count=FLEET_GATEWAYS, plans=(model.Plan("free"),))
    return start_simulation(*(f"s{number}" for number in range(60)), seed=index, settings=settings)


def send_with_failing_endpoints(
    simulation: GatewaySimulation, request_id: int, failing: set[str]
) -> list[ForwardedRequest]:
    """Send a request, let some endpoints fail it and its retries, and return its attempts."""
    forwarded_before = len(simulation.forwarded)
    simulation.feed(make_request(request_id))
    for _ in range(3):  # an error is retried at once
        for key, sent in list(simulation.in_flight.items()):
            is_failing = sent.endpoint in failing
            simulation.complete_attempt(key, model.CallStatus.ERROR if is_failing else model.CallStatus.OK)
    return simulation.forwarded[forwarded_before:]


def test_sparse_gateway_sends_little_to_failing_endpoints_and_ejects_no_healthy_one() -> None:
    late_requests = 0
    late_attempts_at_failing = 0
    for index in range(0, FLEET_GATEWAYS, 4):
        simulation = start_sparse_gateway(index)
        endpoints = simulation.gateway.endpoints
        failing = {state.endpoint.name for state in endpoints.subset[:2]}
        for request_id in range(120):
            simulation.advance_to(simulation.now + 0.125)
            attempts = send_with_failing_endpoints(simulation, request_id, failing)
            if request_id >= 60:
                late_requests += 1
                late_attempts_at_failing += sum(attempt.endpoint in failing for attempt in attempts)
        ejected = {name for name, state in endpoints.by_name.items() if state.ejection_duration > 0}
        assert ejected <= failing, "a healthy endpoint was ejected"
    # Without ejections, two of ten endpoints would get a fifth of the requests.
    assert late_attempts_at_failing < 0.08 * late_requests
