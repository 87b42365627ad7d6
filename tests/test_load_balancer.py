"""The choice of an endpoint."""

from __future__ import annotations

from quota_gateway import model
from tests import world as w
from tests.traffic import run


def test_servers_silent_past_half_the_aim_get_nothing_new() -> None:
    world = w.World(w.settings())
    world.feed(w.servers("s0", "s1", "s2"))
    next_id = run(world, 5, 40, 0)
    for id in range(next_id, next_id + 120):
        world.advance(world.now + 0.025)
        world.feed(w.request(id))
        for (rid, attempt), (server, _) in list(world.out.items()):
            if server != "s0":
                world.feed(w.outcome(rid, attempt, server, model.CallStatus.OK))
    late = [server for at, server, _ in world.sends if at > world.now - 1.5]
    assert late.count("s0") <= 1


def test_a_class_with_a_short_aim_is_not_starved_by_the_others() -> None:
    brisk, easy = (
        model.RequestClass(n, aim, 1.0, model.Idempotency.INHERENT)
        for n, aim in (("brisk", 0.6), ("easy", 1.0))
    )
    world = w.World(w.settings(classes=(brisk, easy), max_attempts=1))
    world.feed(w.servers("s0", "s1", "s2", "s3"))
    for id in range(6000):  # 300 a second, of which the servers can do 80
        world.advance(world.now + 1 / 300)
        if id % 15 == 0:
            for name in ("s0", "s1", "s2", "s3"):
                out = sorted((sent, key) for key, (server, sent) in world.out.items() if server == name)
                for sent, key in out[:1]:
                    world.feed(w.outcome(*key, name, model.CallStatus.OK, world.now - sent))
        world.feed(w.request(id, ("brisk", "easy")[id % 2]))
    sent_on = [r.request_class for at, _, r in world.sends if at > world.now - 10]
    assert len(sent_on) > 300
    assert sent_on.count("brisk") > 0.4 * len(sent_on)


def test_a_fresh_gateway_is_not_bound_by_finished_work_it_cannot_have_yet() -> None:
    world = w.World(w.settings())
    world.feed(w.servers(*(f"s{n}" for n in range(9))))
    for id in range(27):
        world.feed(w.request(id))
    assert len(world.sends) == 27  # 12 is four for each server, over three gateways


def test_the_first_second_of_finished_work_counts_in_full() -> None:
    world = w.World(w.settings())
    world.feed(w.servers(*(f"s{n}" for n in range(3))))
    next_id = run(world, 1.5, 90, 0)
    before = len(world.sends)
    for id in range(next_id, next_id + 60):
        world.feed(w.request(id))
    assert len(world.sends) - before > 30  # half of 90 a second times the stay of 0.8 s; 0.3 of it before


def test_where_answers_are_quick_a_burst_finds_room() -> None:
    world = w.World(w.settings())
    world.feed(w.servers(*(f"s{n}" for n in range(9))))
    next_id = run(world, 10, 20, 0, 0.02)
    before = len(world.sends)
    for id in range(next_id, next_id + 200):
        world.feed(w.request(id))
    assert len(world.sends) - before > 20  # 14 is what the rate of the last seconds alone would grant


FLEET = 40


def test_a_thin_gateway_lets_a_chance_pile_in_while_the_load_is_low() -> None:
    """Forty bounds do not even out what one would: work out that is usual for one is chance at another."""
    world = w.World(w.settings(gateway_count=FLEET, plans=(model.Plan("free"),)))
    world.feed(w.servers(*(f"s{n}" for n in range(60))))
    for id in range(80):
        world.advance(world.now + 0.125)
        world.feed(w.request(id))
        world.serve(elapsed=0.15)
    before = len(world.sends)
    for id in range(1000, 1012):  # in less than a second, and nothing is answered meanwhile
        world.advance(world.now + 0.08)
        world.feed(w.request(id))
    assert len(world.sends) - before >= 11
    for id in range(2000, 2040):  # it is a bound all the same
        world.advance(world.now + 0.002)
        world.feed(w.request(id))
    assert len(world.sends) - before <= 15
