"""Runs of one simulated gateway with random legal events."""

from __future__ import annotations

from dataclasses import replace
from random import Random

from quota_gateway import model
from tests.simulation import AttemptKey, GatewaySimulation, endpoint_list, make_request, make_settings

ENDPOINTS = [f"s{number}" for number in range(6)]
TIME_STEPS_SECONDS = (0.0, 0.01, 0.1, 0.7)  # between two events
FAILURES = [status for status in model.CallStatus if status is not model.CallStatus.OK]
COUNTER_STATUSES = (
    model.CallStatus.OK,
    model.CallStatus.OK,
    model.CallStatus.OVERLOADED,
    model.CallStatus.TIMEOUT,
)


def run_random_events(
    seed: int, steps: int, settings: model.Settings | None = None
) -> list[list[model.Action]]:
    """Feed a gateway random legal events until all requests are answered, and return the actions by event."""
    rng = Random(seed)
    simulation = GatewaySimulation(settings or make_settings(), seed)
    actions = [simulation.feed(endpoint_list(*ENDPOINTS))]
    for step in range(steps):
        simulation.advance_to(simulation.now + rng.choice(TIME_STEPS_SECONDS))
        event = _random_event(simulation, rng, step)
        if event is not None:
            actions.append(simulation.feed(event))
    simulation.reply_to_counter_calls(model.CallStatus.UNREACHABLE)
    simulation.advance_to(simulation.now + 10)
    assert set(simulation.requests) == set(simulation.outcomes), "a request has no outcome"
    return actions


def _random_event(simulation: GatewaySimulation, rng: Random, step: int) -> model.Event | None:
    choice = rng.random()
    if choice < 0.5:
        return _random_request(rng, step)
    if choice < 0.8 and simulation.in_flight:
        return _random_completion(simulation, rng)
    if choice < 0.9:
        simulation.reply_to_counter_calls(rng.choice(COUNTER_STATUSES))
        return None
    if choice < 0.95:
        return _random_endpoint_update(simulation, rng)
    return _random_disconnect(simulation, rng) if simulation.requests else None


def _random_request(rng: Random, request_id: int) -> model.Request:
    request_class = rng.choice(("read", "entry", "post"))
    plan = rng.choice(("free", "small", "odd"))
    account = rng.choice("abc")
    timeout = rng.uniform(0.02, 4)
    return make_request(request_id, request_class, plan, account, timeout)


def _random_completion(simulation: GatewaySimulation, rng: Random) -> model.AttemptCompleted:
    key: AttemptKey = rng.choice(list(simulation.in_flight))
    status = model.CallStatus.OK if rng.random() < 0.5 else rng.choice(FAILURES)
    return model.AttemptCompleted(
        request_id=key.request_id,
        attempt=key.attempt,
        endpoint=simulation.in_flight[key].endpoint,
        status=status,
        elapsed=0.1,
        request_finished=key.request_id in simulation.outcomes or status is model.CallStatus.OK,
        load_report={},
    )


def _random_endpoint_update(simulation: GatewaySimulation, rng: Random) -> model.EndpointUpdate:
    health = rng.choice(list(model.EndpointHealth))
    endpoint = model.Endpoint(
        name=rng.choice(ENDPOINTS),
        health=health,
        zone="a",
        cell=rng.randrange(3),
        weight=1.0,
        started_at=rng.choice((0.0, simulation.now)),
    )
    known = simulation.listed_endpoints.get(endpoint.name)
    if known is not None:
        endpoint = replace(endpoint, zone=known.zone, cell=known.cell)
    return model.EndpointUpdate((endpoint,), complete=False)


def _random_disconnect(simulation: GatewaySimulation, rng: Random) -> model.ClientDisconnected | None:
    request_id = rng.choice(list(simulation.requests))
    is_in_flight = any(key.request_id == request_id for key in simulation.in_flight)
    if request_id in simulation.outcomes or is_in_flight:
        return None
    return model.ClientDisconnected(request_id)
