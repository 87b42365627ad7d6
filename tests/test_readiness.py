"""Decisions on readiness."""

from __future__ import annotations

from quota_gateway import model
from quota_gateway.decisions.gateway import Gateway
from tests import world as w


def test_readiness_begins_with_a_list_and_ends_with_leaving() -> None:
    gateway = Gateway(w.settings(), 1, 0.0)

    def ready() -> bool:
        actions = gateway.handle(0.0, model.AdminRequest(1, model.AdminCommand.STATUS))
        return [a.ok for a in actions if isinstance(a, model.AdminReply)] == [True]

    assert not ready()
    gateway.handle(0.0, w.servers("s0"))
    assert ready()
    gateway.handle(0.0, model.ShutdownStarted())
    assert not ready()
