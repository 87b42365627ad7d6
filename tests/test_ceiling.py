"""Ceiling of a plan: all gateways together never forward more units than it allows."""

from __future__ import annotations

from random import Random

import hypothesis
from hypothesis import strategies as st

from quota_gateway import model
from tests.simulation import GatewaySimulation, Outcome, endpoint_list, make_request, make_settings

ENDPOINTS = ("s0", "s1", "s2", "s3")
CEILING_RATE = 4.0  # units per second
CEILING_BURST = 12.0  # units
INTERVALS_SECONDS = (0.001, 0.02, 0.1)  # between two requests
SKEWED_GATEWAYS = (0, 0, 0, 0, 1, 2)  # the first gateway receives most requests
RESTART_STEP = 120  # step at which a gateway without state replaces the first one


def start_gateway(settings: model.Settings, seed: int, now: float = 100.0) -> GatewaySimulation:
    """Start a gateway and send it the endpoint list."""
    simulation = GatewaySimulation(settings, seed, now)
    simulation.feed(endpoint_list(*ENDPOINTS))
    return simulation


def send_one_request(simulation: GatewaySimulation, rng: Random, request_id: int) -> float:
    """Send a request of one or two units, and return the forwarded units."""
    simulation.complete_attempts()
    if rng.random() < 0.3:
        status = rng.choice((model.CallStatus.OK, model.CallStatus.UNREACHABLE))
        simulation.reply_to_counter_calls(status)
    forwarded_before = len(simulation.forwarded)
    units = rng.choice((1.0, 2.0))
    simulation.feed(make_request(request_id, "read", "capped", "acct", 3.0, units))
    return sum(forward.request.units for forward in simulation.forwarded[forwarded_before:])


@hypothesis.settings(derandomize=True, deadline=None, max_examples=60)
@hypothesis.given(st.integers(0, 2**32))
def test_ceiling_holds_over_all_gateways_with_skewed_traffic_and_a_restart(seed: int) -> None:
    rng = Random(seed)
    plan = model.Plan("capped", 1.0, 3.0, 9.0, ceiling_rate=CEILING_RATE, ceiling_burst=CEILING_BURST)
    settings = make_settings(plans=(plan,))
    simulations = [start_gateway(settings, seed + gateway) for gateway in range(3)]
    now = 100.0
    tokens = CEILING_BURST
    total_forwarded = 0.0
    for step in range(250):
        elapsed = rng.choice(INTERVALS_SECONDS)
        refilled_at = now
        now += elapsed
        gateway = rng.choice(SKEWED_GATEWAYS)
        if step == RESTART_STEP:
            simulations[0] = start_gateway(settings, seed + 9, now)
        simulations[gateway].advance_to(now)
        forwarded = send_one_request(simulations[gateway], rng, step)
        tokens = min(CEILING_BURST, tokens + CEILING_RATE * (now - refilled_at)) - forwarded
        total_forwarded += forwarded
        assert tokens >= -1e-6, "the ceiling was exceeded"
    assert total_forwarded > 0


def test_a_forwarded_request_is_charged_to_the_ceiling_before_the_next_decision() -> None:
    """The ceiling applies without a reply of the counter, and to requests that use leased units."""
    plan = model.Plan("capped", 1.0, 0.5, 9.0, ceiling_rate=2.0, ceiling_burst=30.0)
    simulation = GatewaySimulation(make_settings(plans=(plan,)))
    simulation.feed(endpoint_list("s0", "s1"))
    simulation.advance_to(simulation.now + 10)  # this gateway's part of the ceiling has 6.7 units
    for request_id in range(3):
        simulation.feed(make_request(request_id, "read", "capped", "acct", 3.0, 3.2))
    assert len(simulation.forwarded) == 2
    simulation.reply_to_counter_calls()
    (counter_id,) = simulation.counter_totals
    simulation.gateway.account_table.by_counter_id[counter_id].leased = 9.0
    simulation.feed(make_request(3, "read", "capped", "acct", 3.0, 3.2))
    assert len(simulation.forwarded) == 2
    assert simulation.outcomes[3] is Outcome.REJECTED
