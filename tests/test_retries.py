"""Retries."""

from __future__ import annotations

from quota_gateway import model
from tests import world as w


def test_unsafe_is_resent_only_with_proof_and_failed_otherwise() -> None:
    for status, resent in (
        (model.CallStatus.OVERLOADED, True),
        (model.CallStatus.UNREACHABLE, True),
        (model.CallStatus.RESET_BEFORE_REQUEST, True),
        (model.CallStatus.RESET_AFTER_REQUEST, False),
        (model.CallStatus.ERROR, False),
    ):
        world = w.World(w.settings())
        world.feed(w.servers("s0", "s1"))
        world.feed(w.request(1, "post"))
        actions = world.feed(w.outcome(1, 0, world.sends[0][1], status))
        assert any(isinstance(a, model.Forward) for a in actions) is resent
        assert any(isinstance(a, model.Fail) for a in actions) is not resent


def test_keyed_is_resent_within_its_cell_only() -> None:
    world = w.World(w.settings())
    world.feed(w.servers("s0", "s1", "s2", "s3", "s4"))  # s4 is alone in its cell
    seen = set()
    for id in range(60):
        world.feed(w.request(id, "entry"))
        first = world.sends[-1][1]
        for action in world.feed(w.outcome(id, 0, first, model.CallStatus.ERROR)):
            if isinstance(action, model.Forward):
                seen.add((world.up[first].cell, world.up[action.endpoint].cell))
                world.feed(w.outcome(id, 1, action.endpoint, model.CallStatus.OK))
        world.advance(world.now + 2)
    assert seen and all(a == b for a, b in seen)


def test_breaks_at_once_take_little_of_what_may_be_tried_again() -> None:
    world = w.World(w.settings(max_attempts=4))
    world.feed(w.servers("s0", "s1", "s2"))
    for id in range(200):
        world.advance(world.now + 0.05)
        world.feed(w.request(id))
        if id % 4 == 0:  # a network that resets every fourth connection as soon as it is written to
            for (rid, attempt), (server, _) in list(world.out.items()):
                world.feed(w.outcome(rid, attempt, server, model.CallStatus.RESET_AFTER_REQUEST, 0.001))
        world.serve()
    assert set(world.answered.values()) == {"served"}
