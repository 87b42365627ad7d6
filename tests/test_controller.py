"""LoadController: the gate admits all requests at first, closes under overload and opens again."""

from __future__ import annotations

from quota_gateway import model
from tests.simulation import GatewaySimulation, Outcome, make_settings, start_simulation
from tests.traffic import send_steadily


def test_fresh_gateway_admits_all_requests_until_overload_closes_the_gate(
    simulation: GatewaySimulation,
) -> None:
    next_id = send_steadily(simulation, 0.9, 50, 0)
    assert Outcome.REJECTED not in simulation.outcomes.values()
    # Requests that were admitted before the first load reading must not count against the gate's tokens.
    next_id = send_steadily(simulation, 1.0, 50, next_id)
    assert Outcome.REJECTED not in simulation.outcomes.values()
    send_steadily(simulation, 60, 50, next_id, elapsed=0.99)
    late_outcomes = [simulation.outcomes[request_id] for request_id in list(simulation.requests)[-200:]]
    assert late_outcomes.count(Outcome.REJECTED) > 20


def test_gate_closed_at_one_request_per_second_opens_again_once_responses_are_fast() -> None:
    """A closed gate gets no new load readings; if it relied on the last one, it would never open again."""
    simulation = start_simulation(settings=make_settings(gateway_count=300))
    next_id = send_steadily(simulation, 60, 1, 0, elapsed=0.99)
    assert simulation.gateway.controller.admit_rate < 0.5
    next_id = send_steadily(simulation, 60, 1, next_id, elapsed=0.02)
    late_outcomes = [simulation.outcomes[request_id] for request_id in range(next_id - 20, next_id)]
    assert late_outcomes.count(Outcome.SERVED) > 15


def test_control_loop_restarts_after_a_stall(simulation: GatewaySimulation) -> None:
    send_steadily(simulation, 4, 40, 0)
    assert simulation.gateway.controller.integral is not None
    simulation.stall(30)
    simulation.feed(model.TimerFired(simulation.timers.pop(0).token))
    assert simulation.gateway.controller.integral is None
