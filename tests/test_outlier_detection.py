"""Outlier detection."""

from __future__ import annotations

from quota_gateway import model
from tests import world as w
from tests.traffic import run


def test_fast_failures_do_not_attract() -> None:
    world = w.World(w.settings())
    world.feed(w.servers("s0", "s1", "s2", "s3"))
    for id in range(200):
        world.advance(world.now + 0.02)
        world.feed(w.request(id, "post"))
        for (rid, attempt), (server, _) in list(world.out.items()):
            bad = server == "s0"
            world.feed(
                w.outcome(
                    rid,
                    attempt,
                    server,
                    model.CallStatus.ERROR if bad else model.CallStatus.OK,
                    0.005 if bad else 0.1,
                )
            )
    assert [server for _, server, _ in world.sends].count("s0") < 20


def test_all_servers_failing_alike_stay_in_use() -> None:
    world = w.World(w.settings())
    world.feed(w.servers("s0", "s1", "s2", "s3"))
    for id in range(300):
        world.advance(world.now + 0.02)
        world.feed(w.request(id, "post"))
        world.serve(model.CallStatus.OK if id % 2 else model.CallStatus.ERROR)
    assert len({server for at, server, _ in world.sends if at > world.now - 2}) >= 2


def test_one_slow_request_is_no_hung_server_and_several_in_a_row_are() -> None:
    world = w.World(w.settings())
    world.feed(w.servers("s0", "s1", "s2"))
    next_id = run(world, 3, 20, 0)
    server = world.gateway.endpoints.by_name["s0"]

    def times_out(first: int) -> bool:
        """Requests until one goes to s0 and is not answered for long; whether s0 is put out."""
        for id in range(first, first + 40):
            world.feed(w.request(id))
            here = [key for key, (name, _) in world.out.items() if name == "s0"]
            world.serve() if not here else None
            if here:
                world.advance(world.now + 0.7)
                world.feed(w.outcome(*here[0], "s0", model.CallStatus.TIMEOUT, 0.7))
                world.serve()
                return server.ejected_until > world.now
            world.advance(world.now + 0.1)
        raise AssertionError("nothing went to s0")

    assert not times_out(next_id)
    assert times_out(next_id + 100) or times_out(next_id + 200)


def test_a_lost_server_is_tried_by_probe_and_comes_back_by_it() -> None:
    world = w.World(w.settings())
    world.feed(w.servers("s0", "s1", "s2"))
    run(world, 20, 40, 0)  # work done while warm is no debt when it returns unsure
    for id in range(5000, 5012):  # two in a row are needed: the others stay busy, so that s0 is asked again
        world.feed(w.request(id))
        for (rid, attempt), (server, _) in list(world.out.items()):
            if server == "s0":
                world.feed(w.outcome(rid, attempt, server, model.CallStatus.UNREACHABLE))
    world.serve()
    assert world.gateway.endpoints.by_name["s0"].ejected_until > world.now
    probes: list[model.Action] = []
    for _ in range(3):
        at, token = world.timers.pop(0)
        world.now = at
        probes += [a for a in world.feed(model.TimerFired(token)) if isinstance(a, model.CheckHealth)]
        run(world, 0.5, 20, 100 + len(world.requests))
        assert world.sends[-1][1] != "s0"
    assert probes
    world.feed(model.HealthChecked("s0", model.CallStatus.OK, 0.001, {}))
    before = len(world.sends)
    for id in range(1000, 1060):  # one is always out, so that the others are not idle
        world.advance(world.now + 0.05)
        for rid, attempt in list(world.out)[:-1]:
            world.feed(w.outcome(rid, attempt, world.out[(rid, attempt)][0], model.CallStatus.OK))
        world.feed(w.request(id))
    assert "s0" in {server for _, server, _ in world.sends[before:]}


def test_kept_connections_that_break_do_not_make_a_server_cold() -> None:
    world = w.World(w.settings())
    world.feed(w.servers("s0", "s1", "s2"))
    for id in range(400):
        world.advance(world.now + 0.05)
        world.feed(w.request(id))
        world.serve(model.CallStatus.RESET_AFTER_REQUEST if id % 10 < 3 else model.CallStatus.OK)
    assert not any(
        server.warming_since or server.unreachable for server in world.gateway.endpoints.by_name.values()
    )


FLEET = 40


def test_bad_servers_are_left_and_no_healthy_one_is_put_out_at_eight_requests_a_second() -> None:
    late, bad = 0, 0
    for index in range(0, FLEET, 4):
        world = w.World(
            w.settings(gateway_index=index, gateway_count=FLEET, plans=(model.Plan("free"),)), seed=index
        )
        world.feed(w.servers(*(f"s{n}" for n in range(60))))
        errs = {
            s.endpoint.name for s in world.gateway.endpoints.subset[:2]
        }  # of the few that this gateway keeps to
        for id in range(120):
            world.advance(world.now + 0.125)
            before = len(world.sends)
            world.feed(w.request(id))
            for _ in range(3):  # an error is tried again at once
                for (rid, attempt), (server, _) in list(world.out.items()):
                    status = model.CallStatus.ERROR if server in errs else model.CallStatus.OK
                    world.feed(w.outcome(rid, attempt, server, status))
            if id >= 60:
                late += 1
                bad += sum(server in errs for _, server, _ in world.sends[before:])
        out = {n for n, s in world.gateway.endpoints.by_name.items() if s.ejection_time > 0}
        assert out <= errs, "a healthy server was put out"
    assert bad < 0.08 * late  # two of ten would get a fifth of the requests
