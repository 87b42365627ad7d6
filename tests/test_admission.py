"""WorkEstimator: the expected work of a request grows with its units."""

from __future__ import annotations

import pytest

from tests.simulation import GatewaySimulation, make_request


def test_expected_work_of_a_request_grows_with_its_units(simulation: GatewaySimulation) -> None:
    for request_id in range(2000):  # alternately one unit in 0.02 s and four units in 0.08 s
        simulation.advance_to(simulation.now + 0.02)
        units = 1.0 + 3.0 * (request_id % 2)
        simulation.feed(make_request(request_id, units=units))
        simulation.complete_attempts(elapsed=0.02 * units)
    requests = simulation.gateway.forwarder.requests
    simulation.feed(make_request(3000, units=1.0))
    simulation.feed(make_request(3001, units=4.0))
    assert requests[3001].work == pytest.approx(4 * requests[3000].work, rel=0.1)
    assert requests[3001].work == pytest.approx(0.08, rel=0.2)
