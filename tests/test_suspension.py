"""Tests of the decisions on endpoints that operators have suspended."""

from __future__ import annotations

import pytest

from quota_gateway import model
from tests import world as w


@pytest.fixture
def world() -> w.World:
    """A gateway that knows the endpoints ``s0`` and ``s1``."""
    world = w.World(w.settings())
    world.feed(w.servers("s0", "s1"))
    return world


def execute(world: w.World, command: model.AdminCommand, endpoint: str) -> bool:
    """Whether a command of an operator succeeds."""
    *_, reply = world.feed(model.AdminRequest(1, command, endpoint))
    assert isinstance(reply, model.AdminReply)
    return reply.ok


def endpoints_used(world: w.World, first_id: int) -> set[str]:
    """The endpoints that 40 requests are forwarded to."""
    forwarded_before = len(world.sends)
    for request_id in range(first_id, first_id + 40):
        world.feed(w.request(request_id))
        if request_id % 2:  # two at once, or one endpoint would have capacity for all
            world.serve()
        world.advance(world.now + 0.05)
    return {endpoint for _, endpoint, _ in world.sends[forwarded_before:]}


def test_a_suspension_holds_whatever_the_endpoint_list_says_until_it_is_lifted(world: w.World) -> None:
    assert execute(world, model.AdminCommand.SUSPEND, "s0")
    assert execute(world, model.AdminCommand.SUSPEND, "s0")
    assert endpoints_used(world, 0) == {"s1"}
    world.feed(w.servers("s1"))  # s0 goes from the list, restarts and comes back
    world.feed(w.servers("s0", "s1", born=world.now))
    assert endpoints_used(world, 100) == {"s1"}
    world.feed(model.EndpointUpdate((), True))
    world.advance(world.now + 3)
    assert execute(world, model.AdminCommand.RESTORE, "s0")  # it is on no list, but it was suspended
    assert not execute(world, model.AdminCommand.RESTORE, "s0")
    assert not execute(world, model.AdminCommand.SUSPEND, "s7")
    world.feed(w.servers("s0", "s1"))
    assert endpoints_used(world, 200) == {"s0", "s1"}


def test_a_restored_endpoint_warms_up_and_its_failures_are_forgotten(world: w.World) -> None:
    world.feed(model.SuspensionsChanged(frozenset({"s0"})))
    endpoint = world.gateway.endpoints.by_name["s0"]
    endpoint.ejected_until = world.now + 60
    endpoint.half_open = True
    endpoint.unreachable = True
    world.feed(model.SuspensionsChanged(frozenset()))
    assert endpoint.warming_since == world.now
    assert endpoint.ejected_until <= world.now
    assert not endpoint.half_open
    assert not endpoint.unreachable


def test_the_health_of_a_suspended_endpoint_is_not_checked(world: w.World) -> None:
    endpoint = world.gateway.endpoints.by_name["s0"]
    for suspended, health_checks in ((set[str](), 1), ({"s0"}, 0)):
        endpoint.unreachable = True
        endpoint.half_open = True
        world.feed(model.SuspensionsChanged(frozenset(suspended)))
        actions = world.feed(model.TimerFired(world.gateway.timer_token))
        assert sum(isinstance(action, model.CheckHealth) for action in actions) == health_checks
