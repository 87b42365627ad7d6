"""SlowStart: a warming endpoint gets its allowance, also after a handover and with wrong clocks."""

from __future__ import annotations

from dataclasses import replace
from random import Random

import pytest

from quota_gateway import model
from quota_gateway.decisions.gateway import Gateway
from quota_gateway.state import EndpointState
from tests.simulation import (
    GatewaySimulation,
    endpoint_list,
    make_request,
    make_settings,
    start_simulation,
)
from tests.traffic import send_steadily

ENDPOINT_START = 108.0  # Unix time, eight seconds after the start of the gateways
WARM_UP_TRAFFIC_SECONDS = 12  # approximate time from the endpoint's start to the end of the traffic


def started_endpoint(name: str, started_at: float, cell: int = 0) -> model.EndpointUpdate:
    """Return the update that adds an endpoint with the given start time."""
    endpoint = model.Endpoint(name, model.EndpointHealth.HEALTHY, "a", cell, 1.0, started_at)
    return model.EndpointUpdate((endpoint,), complete=False)


def test_warming_endpoint_gets_only_its_allowance_from_all_gateways() -> None:
    settings = make_settings()
    warming_requests = 0
    warm_requests = 0
    for gateway in range(3):
        simulation = start_simulation(seed=gateway, settings=settings)
        for request_id in range(300):
            simulation.advance_to(simulation.now + 0.02)
            simulation.feed(make_request(request_id))
            simulation.complete_attempts()
        start = simulation.now
        simulation.feed(started_endpoint("new", simulation.now))
        for request_id in range(300, 300 + int(settings.overload_window / 0.02)):
            simulation.advance_to(simulation.now + 0.02)
            simulation.feed(make_request(request_id))
            simulation.complete_attempts()
        endpoints = [forward.endpoint for forward in simulation.forwarded if forward.sent_at >= start]
        warming_requests += endpoints.count("new")
        warm_requests += endpoints.count("s0")
    max_warming_requests = settings.overload_multiple * settings.initial_capacity * warm_requests
    assert 0 < warming_requests < max_warming_requests * 1.1


def run_sparse_gateway(gateway: int, settings: model.Settings, endpoints: list[str]) -> GatewaySimulation:
    """Run one of many gateways at one request per second while an endpoint starts."""
    rng = Random(gateway)
    settings = replace(settings, gateway_index=gateway)
    simulation = start_simulation(*endpoints, seed=gateway, settings=settings)
    for request_id in range(20):
        simulation.advance_to(simulation.now + rng.uniform(0.8, 1.2))
        if simulation.now >= ENDPOINT_START and "new" not in simulation.known_endpoints:
            simulation.feed(started_endpoint("new", ENDPOINT_START))
        simulation.feed(make_request(request_id))
        simulation.complete_attempts()
    return simulation


def test_hundreds_of_gateways_together_do_not_exceed_the_allowance_of_a_warming_endpoint() -> None:
    """One request from each of 200 gateways at once would be a hundred times the allowance."""
    gateways = 200
    endpoints = [f"s{number}" for number in range(20)]
    settings = make_settings(gateway_count=gateways, has_counter=False)
    warm_requests = 0
    sent_to_warming: list[float] = []
    for gateway in range(gateways):
        for forward in run_sparse_gateway(gateway, settings, endpoints).forwarded:
            if forward.endpoint == "new":
                sent_to_warming.append(forward.sent_at)
            elif forward.sent_at >= ENDPOINT_START:
                warm_requests += 1
    window = settings.overload_window
    warm_rate = warm_requests / WARM_UP_TRAFFIC_SECONDS / len(endpoints)
    for sent_at in sent_to_warming:
        age = sent_at + window - ENDPOINT_START
        gained = (1 - settings.initial_capacity) * age / settings.warm_up_time
        capacity = warm_rate * min(1, settings.initial_capacity + gained)
        in_window = sum(sent_at <= other < sent_at + window for other in sent_to_warming)
        assert in_window < settings.overload_multiple * capacity * window
    assert len(sent_to_warming) > 5


def test_requests_are_still_forwarded_while_all_endpoints_warm_up() -> None:
    endpoints = [f"s{number}" for number in range(6)]
    simulation = start_simulation(*endpoints, settings=make_settings(warm_up_time=60.0))
    next_id = send_steadily(simulation, 10, 40, 0)
    simulation.feed(endpoint_list(*endpoints, started_at=simulation.now))  # all endpoints restart
    next_id = send_steadily(simulation, 20, 40, next_id)
    forwarded_before = len(simulation.forwarded)
    send_steadily(simulation, 10, 40, next_id)
    # An allowance that follows the completion rate of warming endpoints would fall to almost zero.
    assert len(simulation.forwarded) - forwarded_before > 150


def start_with_six_warming_endpoints() -> GatewaySimulation:
    """Return a fresh gateway, as in an upgrade, with one warm endpoint and six that have just restarted."""
    simulation = start_simulation("s0", settings=make_settings(warm_up_time=60.0))
    warming = tuple(
        model.Endpoint(f"c{number}", model.EndpointHealth.HEALTHY, "a", number, 1.0, simulation.now)
        for number in range(6)
    )
    simulation.feed(model.EndpointUpdate(warming, complete=False))
    return simulation


def test_warming_endpoints_do_not_count_for_the_completion_rate_and_the_concurrency_limit() -> None:
    simulation = start_with_six_warming_endpoints()
    for request_id in range(600):
        simulation.feed(make_request(request_id))
        simulation.complete_attempts()
        simulation.advance_to(simulation.now + 0.02)
    gateway = simulation.gateway
    elapsed = 600 * 0.02
    warm_rate = sum(forward.endpoint == "s0" for forward in simulation.forwarded) / elapsed
    mean_work = gateway.work_estimator.mean_work
    # A mean over all seven endpoints would be below half of the rate of the warm one.
    assert gateway.slow_start.completion_rate > 0.5 * warm_rate * mean_work
    for name in ("c0", "c1", "c2", "c3", "c4", "c5"):
        gateway.endpoints.by_name[name].start_attempt(1000 * mean_work)
    simulation.feed(make_request(1000))
    assert simulation.forwarded[-1].endpoint == "s0"
    assert simulation.forwarded[-1].request.id == 1000


def run_with_warming_endpoint(slowdown: float) -> tuple[int, Gateway]:
    """Return the number of requests that a warming endpoint with this slowdown gets, and the gateway."""
    simulation = start_simulation("s0", settings=make_settings(warm_up_time=1000.0))
    for request_id in range(100):  # the gateway learns the idle latency and the completion rate
        simulation.feed(make_request(request_id))
        simulation.advance_to(simulation.now + 0.1)
        simulation.complete_attempts()
    simulation.feed(started_endpoint("warming", simulation.now, cell=1))
    base_latency = simulation.gateway.work_estimator.base_latencies["read"]
    for request_id in range(100, 400):
        simulation.feed(make_request(request_id))
        simulation.advance_to(simulation.now + 0.1)
        for key, sent in list(simulation.in_flight.items()):
            elapsed = base_latency * (slowdown if sent.endpoint == "warming" else 1.0)
            simulation.complete_attempt(key, elapsed=elapsed)
    requests = sum(forward.endpoint == "warming" for forward in simulation.forwarded)
    return requests, simulation.gateway


def test_warming_endpoint_gets_full_work_if_its_responses_are_fast_and_little_if_they_are_slow() -> None:
    requests: dict[float, int] = {}  # by slowdown
    for slowdown in (1.0, 5.0):
        requests[slowdown], gateway = run_with_warming_endpoint(slowdown)
        assert gateway.endpoints.by_name["warming"].warming_since is not None
    assert 0 < requests[5.0] < 20, requests
    assert requests[1.0] > 70, requests  # by its age alone, the fast endpoint would get 49


def endpoint_handover(warming_since: float | None) -> model.EndpointHandover:
    """Return the state of the endpoint that another process hands over."""
    return model.EndpointHandover("new", 1.0, warming_since, 0, 0.0, 0.0, 0.0)


def test_handover_does_not_replace_a_slow_start_that_began_later() -> None:
    """An operator restored the endpoint at this process after the other process had written its state."""
    state = EndpointState(model.Endpoint("new", model.EndpointHealth.HEALTHY, "a", started_at=1.0))
    state.restore(100.0)
    for older in (None, 90.0):
        state.take_over(100.1, endpoint_handover(older))
        assert state.warming_since == 100.0
    state.take_over(100.2, endpoint_handover(100.1))
    assert state.warming_since == 100.1


def test_restart_after_a_handover_is_recognised_whatever_its_start_time() -> None:
    """After an upgrade, the first contact with discovery announces an incarnation that seems an hour old."""
    simulation = GatewaySimulation(make_settings(), now=10_000.0)
    simulation.feed(started_endpoint("new", 5000.0))
    state = simulation.gateway.endpoints.by_name["new"]
    assert state.warming_since is None
    known = model.EndpointHandover("new", 5000.0, None, 0, 0.0, 0.0, 0.0)
    simulation.feed(model.HandoverState(1.0, 0.1, 1.0, {}, (known,), ()))
    simulation.advance_to(10_002.0)
    simulation.feed(started_endpoint("new", 10_002.0 - 3600.0))
    assert state.warming_since == 10_002.0


@pytest.mark.parametrize(("stated_age", "assumed_age"), [(3600.0, 0.0), (-3600.0, 0.0), (4.0, 4.0)])
def test_an_endpoint_that_restarted_before_the_first_contact_is_warming_up_unless_its_start_time_is_plausible(
    stated_age: float, assumed_age: float
) -> None:
    """Guards against full traffic to an endpoint that restarts, with a wrong clock, while the limiter does.

    The configuration has the endpoint's earlier incarnation, and does not say how old that entry is.
    """
    simulation = GatewaySimulation(make_settings(), now=10_000.0)
    simulation.feed(started_endpoint("new", 5000.0))
    simulation.feed(started_endpoint("new", 10_000.0 - stated_age))
    assert simulation.gateway.endpoints.by_name["new"].warming_since == 10_000.0 - assumed_age


def test_start_time_of_an_endpoint_that_the_configuration_does_not_list_is_trusted() -> None:
    """The endpoint list of the configuration may be stale, so the start may have been long ago."""
    simulation = GatewaySimulation(make_settings(), now=10_000.0)
    simulation.feed(started_endpoint("other", 5000.0))
    simulation.feed(started_endpoint("new", 10_000.0 - 3600.0))
    assert simulation.gateway.endpoints.by_name["new"].warming_since is None


def test_a_gateway_whose_clock_is_behind_does_not_treat_all_endpoints_as_warming_up() -> None:
    """Start times in the future, in the first list, show that the local clock is behind."""
    simulation = GatewaySimulation(make_settings(), now=100.0)
    starts = {"old": 3000.0, "young": 3695.0}
    endpoints = tuple(
        model.Endpoint(name, model.EndpointHealth.HEALTHY, "a", started_at=started_at)
        for name, started_at in starts.items()
    )
    simulation.feed(model.EndpointUpdate(endpoints, complete=True))
    states = simulation.gateway.endpoints.by_name
    assert states["old"].warming_since is None
    assert states["young"].warming_since == 100.0
