"""Admission by load."""

from __future__ import annotations

import pytest

from tests import world as w


def test_the_expected_work_of_a_request_grows_with_its_units() -> None:
    world = w.World(w.settings())
    world.feed(w.servers("s0", "s1", "s2"))
    for id in range(2000):  # half of them take one unit and 0.02 s, half take four and 0.08 s
        world.advance(world.now + 0.02)
        units = 1.0 + 3.0 * (id % 2)
        world.feed(w.request(id, units=units))
        world.serve(elapsed=0.02 * units)
    held = world.gateway.forwarder.requests
    world.feed(w.request(3000, units=1.0))
    world.feed(w.request(3001, units=4.0))
    assert held[3001].work == pytest.approx(4 * held[3000].work, rel=0.1)
    assert held[3001].work == pytest.approx(0.08, rel=0.2)
