"""LoadBalancer: unresponsive endpoints get no requests, and the concurrency limit allows short bursts."""

from __future__ import annotations

from quota_gateway import model
from tests.simulation import GatewaySimulation, make_request, make_settings, start_simulation
from tests.traffic import send_steadily

FLEET_GATEWAYS = 40
ENDPOINTS = ("s0", "s1", "s2", "s3")


def test_endpoint_unresponsive_for_half_the_latency_objective_gets_no_new_requests(
    simulation: GatewaySimulation,
) -> None:
    next_id = send_steadily(simulation, 5, 40, 0)
    for request_id in range(next_id, next_id + 120):
        simulation.advance_to(simulation.now + 0.025)
        simulation.feed(make_request(request_id))
        for key, sent in list(simulation.in_flight.items()):
            if sent.endpoint != "s0":
                simulation.complete_attempt(key)
    assert simulation.endpoints_since(simulation.now - 1.5).count("s0") <= 1


def complete_oldest_at_each_endpoint(simulation: GatewaySimulation) -> None:
    """Let each endpoint respond to its oldest attempt."""
    for endpoint in ENDPOINTS:
        attempts = simulation.in_flight.items()
        in_flight = sorted((sent.sent_at, key) for key, sent in attempts if sent.endpoint == endpoint)
        for sent_at, key in in_flight[:1]:
            simulation.complete_attempt(key, model.CallStatus.OK, simulation.now - sent_at)


def test_class_with_a_short_latency_objective_is_not_starved_by_the_others() -> None:
    strict = model.RequestClass("strict", 0.6, 1.0, model.Idempotency.INHERENT)
    relaxed = model.RequestClass("relaxed", 1.0, 1.0, model.Idempotency.INHERENT)
    settings = make_settings(classes=(strict, relaxed), max_attempts=1)
    simulation = start_simulation(*ENDPOINTS, settings=settings)
    for request_id in range(6000):  # 300 per second, of which the endpoints complete 80
        simulation.advance_to(simulation.now + 1 / 300)
        if request_id % 15 == 0:
            complete_oldest_at_each_endpoint(simulation)
        simulation.feed(make_request(request_id, ("strict", "relaxed")[request_id % 2]))
    since = simulation.now - 10
    late_classes = [f.request.request_class for f in simulation.forwarded if f.sent_at > since]
    assert len(late_classes) > 300
    assert late_classes.count("strict") > 0.4 * len(late_classes)


def test_fresh_gateway_is_not_limited_by_work_rates_that_it_cannot_know_yet() -> None:
    simulation = start_simulation(*(f"s{number}" for number in range(9)))
    for request_id in range(27):
        simulation.feed(make_request(request_id))
    # The minimum limit would be 12: four requests for each endpoint, shared by three gateways.
    assert len(simulation.forwarded) == 27


def test_first_second_of_completed_work_counts_in_full(simulation: GatewaySimulation) -> None:
    next_id = send_steadily(simulation, 1.5, 90, 0)
    forwarded_before = len(simulation.forwarded)
    for request_id in range(next_id, next_id + 60):
        simulation.feed(make_request(request_id))
    # The limit exceeds half of 90 requests per second times the target residence time of 0.8 s. If the
    # moving averages started at zero, the work rates would be 0.3 of their actual values.
    assert len(simulation.forwarded) - forwarded_before > 30


def test_burst_is_forwarded_while_responses_are_fast() -> None:
    simulation = start_simulation(*(f"s{number}" for number in range(9)))
    next_id = send_steadily(simulation, 10, 20, 0, 0.02)
    forwarded_before = len(simulation.forwarded)
    for request_id in range(next_id, next_id + 200):
        simulation.feed(make_request(request_id))
    # The work rate of the last seconds alone would allow 14.
    assert len(simulation.forwarded) - forwarded_before > 20


def test_sparse_gateway_at_low_load_forwards_a_small_burst_but_not_a_large_one() -> None:
    """Each of forty gateways gets its own random bursts; only a common limit would average them out."""
    settings = make_settings(gateway_count=FLEET_GATEWAYS, plans=(model.Plan("free"),))
    simulation = start_simulation(*(f"s{number}" for number in range(60)), settings=settings)
    for request_id in range(80):
        simulation.advance_to(simulation.now + 0.125)
        simulation.feed(make_request(request_id))
        simulation.complete_attempts(elapsed=0.15)
    forwarded_before = len(simulation.forwarded)
    for request_id in range(1000, 1012):  # sent within a second, without a response
        simulation.advance_to(simulation.now + 0.08)
        simulation.feed(make_request(request_id))
    assert len(simulation.forwarded) - forwarded_before >= 11
    for request_id in range(2000, 2040):
        simulation.advance_to(simulation.now + 0.002)
        simulation.feed(make_request(request_id))
    assert len(simulation.forwarded) - forwarded_before <= 15
