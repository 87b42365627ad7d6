"""Suspensions: a suspended endpoint gets no requests, and a restored one begins without its old state."""

from __future__ import annotations

import pytest

from quota_gateway import model
from tests.simulation import GatewaySimulation, endpoint_list, make_request, make_settings


@pytest.fixture
def simulation() -> GatewaySimulation:
    """Return a gateway that knows the endpoints ``s0`` and ``s1``."""
    simulation = GatewaySimulation(make_settings())
    simulation.feed(endpoint_list("s0", "s1"))
    return simulation


def execute(simulation: GatewaySimulation, command: model.AdminCommand, endpoint: str) -> bool:
    """Execute an operator's command, and return whether it succeeds."""
    *_, reply = simulation.feed(model.AdminRequest(1, command, endpoint))
    assert isinstance(reply, model.AdminReply)
    return reply.ok


def endpoints_used(simulation: GatewaySimulation, first_id: int) -> set[str]:
    """Send 40 requests, and return the endpoints that they are forwarded to."""
    forwarded_before = len(simulation.forwarded)
    for request_id in range(first_id, first_id + 40):
        simulation.feed(make_request(request_id))
        if request_id % 2:  # two in flight at a time, so that one endpoint has no capacity for all
            simulation.complete_attempts()
        simulation.advance_to(simulation.now + 0.05)
    return {endpoint for _, endpoint, _ in simulation.forwarded[forwarded_before:]}


def test_an_endpoint_stays_suspended_until_restored_whatever_the_endpoint_list_says(
    simulation: GatewaySimulation,
) -> None:
    assert execute(simulation, model.AdminCommand.SUSPEND, "s0")
    assert execute(simulation, model.AdminCommand.SUSPEND, "s0")
    assert endpoints_used(simulation, 0) == {"s1"}
    simulation.feed(endpoint_list("s1"))  # s0 is removed from the list, restarts and is listed again
    simulation.feed(endpoint_list("s0", "s1", started_at=simulation.now))
    assert endpoints_used(simulation, 100) == {"s1"}
    simulation.feed(model.EndpointUpdate((), complete=True))
    simulation.advance_to(simulation.now + 3)
    assert execute(simulation, model.AdminCommand.RESTORE, "s0")  # s0 is not listed, but suspended
    assert not execute(simulation, model.AdminCommand.RESTORE, "s0")
    assert not execute(simulation, model.AdminCommand.SUSPEND, "s7")
    simulation.feed(endpoint_list("s0", "s1"))
    assert endpoints_used(simulation, 200) == {"s0", "s1"}


def test_a_restored_endpoint_begins_a_slow_start_without_its_previous_failures(
    simulation: GatewaySimulation,
) -> None:
    simulation.feed(model.SuspensionsChanged(frozenset({"s0"})))
    endpoint = simulation.gateway.endpoints.by_name["s0"]
    endpoint.eject(simulation.now, duration=60.0, failure_rate=0.2)
    endpoint.mark_unreachable()
    simulation.feed(model.SuspensionsChanged(frozenset()))
    assert endpoint.warming_since == simulation.now
    assert endpoint.ejected_until <= simulation.now
    assert not endpoint.half_open
    assert not endpoint.unreachable


def test_a_suspended_endpoint_gets_no_health_checks(simulation: GatewaySimulation) -> None:
    endpoint = simulation.gateway.endpoints.by_name["s0"]
    for suspended, health_checks in ((set[str](), 1), ({"s0"}, 0)):
        endpoint.eject(simulation.now, duration=60.0, failure_rate=0.2)
        endpoint.mark_unreachable()
        simulation.feed(model.SuspensionsChanged(frozenset(suspended)))
        actions = simulation.feed(model.TimerFired(simulation.gateway.timer_token))
        assert sum(isinstance(action, model.CheckHealth) for action in actions) == health_checks
