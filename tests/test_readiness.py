"""Admin command STATUS: a gateway is ready only from its first endpoint list until its shutdown."""

from __future__ import annotations

from quota_gateway import model
from quota_gateway.decisions.gateway import Gateway
from tests.simulation import endpoint_list, make_settings


def is_ready(gateway: Gateway) -> bool:
    actions = gateway.handle(0.0, model.AdminRequest(1, model.AdminCommand.STATUS))
    return [action.ok for action in actions if isinstance(action, model.AdminReply)] == [True]


def test_a_gateway_is_ready_from_its_first_endpoint_list_until_its_shutdown() -> None:
    gateway = Gateway(make_settings(), 1, 0.0)
    assert not is_ready(gateway)
    gateway.handle(0.0, endpoint_list("s0"))
    assert is_ready(gateway)
    gateway.handle(0.0, model.ShutdownStarted())
    assert not is_ready(gateway)
