"""Decisions on endpoints that operators have suspended."""

from __future__ import annotations

from quota_gateway import model
from tests import world as w


def test_a_ban_holds_whatever_the_list_says_until_the_call_back() -> None:
    world = w.World(w.settings())
    world.feed(w.servers("s0", "s1"))

    def ring(verb: model.AdminCommand, server: str) -> bool:
        *_, reply = world.feed(model.AdminRequest(1, verb, server))
        assert isinstance(reply, model.AdminReply)
        return reply.ok

    def used(first: int) -> set[str]:
        before = len(world.sends)
        for id in range(first, first + 40):
            world.feed(w.request(id))
            if id % 2:  # two at once, or one place would do
                world.serve()
            world.advance(world.now + 0.05)
        return {server for _, server, _ in world.sends[before:]}

    assert ring(model.AdminCommand.SUSPEND, "s0") and ring(model.AdminCommand.SUSPEND, "s0")
    assert used(0) == {"s1"}
    world.feed(w.servers("s1"))  # it goes from the list, restarts and comes back
    world.feed(w.servers("s0", "s1", born=world.now))
    assert used(100) == {"s1"}
    world.feed(model.EndpointUpdate((), True))
    world.advance(world.now + 3)
    assert ring(model.AdminCommand.RESTORE, "s0")  # nobody lists it, but it was out by hand
    assert not ring(model.AdminCommand.RESTORE, "s0") and not ring(model.AdminCommand.SUSPEND, "s7")
    world.feed(w.servers("s0", "s1"))
    assert used(200) == {"s0", "s1"}


def test_a_server_called_back_is_cold_and_forgiven() -> None:
    world = w.World(w.settings())
    world.feed(w.servers("s0", "s1"))
    world.feed(model.SuspensionsChanged(frozenset({"s0"})))
    server = world.gateway._servers["s0"]
    server.out_until, server.trial, server.lost = world.now + 60, True, True
    world.feed(model.SuspensionsChanged(frozenset()))
    assert server.cold_at == world.now and server.out_until <= world.now
    assert not server.trial and not server.lost


def test_a_server_out_by_hand_is_not_even_probed() -> None:
    world = w.World(w.settings())
    world.feed(w.servers("s0", "s1"))
    server = world.gateway._servers["s0"]
    for names, probes in ((set[str](), 1), ({"s0"}, 0)):
        server.lost = server.trial = True
        world.feed(model.SuspensionsChanged(frozenset(names)))
        actions = world.feed(model.TimerFired(world.gateway._timer))
        assert sum(isinstance(a, model.CheckHealth) for a in actions) == probes
