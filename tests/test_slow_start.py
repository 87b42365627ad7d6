"""Slow start."""

from __future__ import annotations

from dataclasses import replace
from random import Random

from quota_gateway import model
from tests import world as w
from tests.traffic import run


def test_a_cold_server_gets_only_its_budget_from_all_gateways() -> None:
    config = w.settings()
    total = {"cold": 0.0, "warm": 0.0}
    for index in range(3):
        world = w.World(config, index)
        world.feed(w.servers("s0", "s1", "s2"))
        id = 0
        for _ in range(300):
            world.advance(world.now + 0.02)
            world.feed(w.request(id, "read"))
            world.serve()
            id += 1
        start = world.now
        entry = model.Endpoint("new", model.EndpointHealth.HEALTHY, "a", 0, 1.0, world.now)
        world.feed(model.EndpointUpdate((entry,), False))
        for _ in range(int(config.overload_window / 0.02)):
            world.advance(world.now + 0.02)
            world.feed(w.request(id, "read"))
            world.serve()
            id += 1
        late = [server for at, server, _ in world.sends if at >= start]
        total["cold"] += late.count("new")
        total["warm"] += late.count("s0")
    assert 0 < total["cold"] < config.overload_multiple * config.initial_capacity * total["warm"] * 1.1


def test_hundreds_of_gateways_together_stay_within_a_cold_servers_budget() -> None:
    """200 gates see a request a second: one let in by each at once is a hundred times the budget."""
    gateways, names = 200, [f"s{i}" for i in range(20)]
    config = w.settings(gateway_count=gateways, has_counter=False)
    start, warm, cold = 0.0, 0, list[float]()
    for index in range(gateways):
        rng, world = Random(index), w.World(replace(config, gateway_index=index), index)
        world.feed(w.servers(*names))
        start = world.now + 8
        entry = model.Endpoint("new", model.EndpointHealth.HEALTHY, "a", 0, 1.0, start)
        for id in range(20):
            world.advance(world.now + rng.uniform(0.8, 1.2))
            if world.now >= start and "new" not in world.known:
                world.feed(model.EndpointUpdate((entry,), False))
            world.feed(w.request(id, "read"))
            world.serve()
        cold += [at for at, server, _ in world.sends if server == "new"]
        warm += sum(server != "new" and at >= start for at, server, _ in world.sends)
    window, multiple = config.overload_window, config.overload_multiple
    rate = warm / 12 / len(names)
    for at in cold:
        able = rate * min(1, 0.2 + 0.8 * (at + window - start) / 10)
        assert sum(at <= other < at + window for other in cold) < multiple * able * window
    assert len(cold) > 5


def test_a_fleet_that_looks_cold_does_not_stand_still() -> None:
    world = w.World(w.settings(warm_up_time=60.0))
    names = [f"s{n}" for n in range(6)]
    world.feed(w.servers(*names))
    next_id = run(world, 10, 40, 0)
    world.feed(w.servers(*names, born=world.now))  # all of them begin anew
    next_id = run(world, 20, 40, next_id)
    before = len(world.sends)
    run(world, 10, 40, next_id)
    assert len(world.sends) - before > 150  # with a budget by what the cold ones do it was next to none


def test_cold_servers_neither_lower_the_work_of_a_warm_one_nor_fill_the_bound() -> None:
    world = w.World(w.settings(warm_up_time=60.0))
    world.feed(w.servers("s0"))
    cold = tuple(
        model.Endpoint(f"c{i}", model.EndpointHealth.HEALTHY, "a", i, 1.0, world.now) for i in range(6)
    )
    world.feed(model.EndpointUpdate(cold, False))
    for id in range(600):  # an upgrade: this process is fresh while most servers are cold
        world.feed(w.request(id))
        world.serve()
        world.advance(world.now + 0.02)
    gateway = world.gateway
    sent = sum(server == "s0" for _, server, _ in world.sends) / 12.0
    work = gateway.work.mean_work
    assert (
        gateway.slow_start.completion_rate > 0.5 * sent * work
    )  # of what the warm one does, with 6 of 7 cold
    for name in ("c0", "c1", "c2", "c3", "c4", "c5"):
        gateway.endpoints.by_name[name].work_in_flight = 1000 * work
    world.feed(w.request(1000))
    assert world.sends[-1][1] == "s0" and world.sends[-1][2].id == 1000


def test_a_cold_server_that_answers_like_a_warm_one_gets_its_work_and_a_slow_one_does_not() -> None:
    taken = dict[float, int]()
    for pace in (1.0, 5.0):
        world = w.World(w.settings(warm_up_time=1000.0))
        world.feed(w.servers("s0"))
        for id in range(100):  # a warm one tells how long an idle server takes, and how much it bears
            world.feed(w.request(id))
            world.advance(world.now + 0.1)
            world.serve()
        world.feed(
            model.EndpointUpdate(
                (model.Endpoint("cold", model.EndpointHealth.HEALTHY, "a", 1, 1.0, world.now),), False
            )
        )
        base = world.gateway.work.base_latencies["read"]
        for id in range(100, 400):
            world.feed(w.request(id))
            world.advance(world.now + 0.1)
            for (request, attempt), (server, _) in list(world.out.items()):
                took = base * (pace if server == "cold" else 1.0)
                world.feed(w.outcome(request, attempt, server, model.CallStatus.OK, took))
        taken[pace] = sum(server == "cold" for _, server, _ in world.sends)
        assert world.gateway.endpoints.by_name["cold"].warming_since is not None
    assert 0 < taken[5.0] < 20 and taken[1.0] > 70, taken  # by age alone it would be 49
