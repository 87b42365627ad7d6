"""Open requests."""

from __future__ import annotations

import pytest

from quota_gateway import model
from tests import world as w
from tests.traffic import run


def test_attempts_end_at_the_aim_where_a_late_answer_earns_nothing() -> None:
    world = w.World(w.settings())
    world.feed(w.servers("s0"))
    sent = [a for a in world.feed(w.request(1, "post", ttl=9.0)) if isinstance(a, model.Forward)]
    assert sent[0].timeout == pytest.approx(2.0)


def test_an_attempt_is_not_given_up_early_for_another_one() -> None:
    world = w.World(w.settings(max_attempts=4))
    world.feed(w.servers("s0", "s1", "s2"))
    sends = [a for a in world.feed(w.request(0, "read", ttl=3.0)) if isinstance(a, model.Forward)]
    assert [a.timeout for a in sends] == [
        pytest.approx(w.SAFE.latency_objective)
    ]  # all of the time that the answer is of use


def test_a_server_is_used_again_after_the_client_of_its_only_request_has_left() -> None:
    world = w.World(w.settings())
    world.feed(w.servers(*"abcdef"))
    sent = [a for a in world.feed(w.request(1)) if isinstance(a, model.Forward)]
    world.feed(model.ClientDisconnected(1))
    world.out.clear()  # the node cancels it; what a request that has ended comes to is passed over
    again = set[str]()
    for id in range(2, 200):
        world.now += 0.2
        for action in world.feed(w.request(id)):
            if isinstance(action, model.Forward):
                again.add(action.endpoint)
                world.feed(w.outcome(id, 0, action.endpoint, model.CallStatus.OK, 0.05))
    assert sent[0].endpoint in again


@pytest.mark.parametrize("status", [model.CallStatus.UNREACHABLE, model.CallStatus.TIMEOUT])
def test_a_server_with_nothing_out_is_not_waited_for(status: model.CallStatus) -> None:
    world = w.World(w.settings())
    world.feed(w.servers("s0", "s1", "s2"))
    world.feed(w.request(0))
    ((_, _), (server, _)) = next(iter(world.out.items()))
    world.advance(world.now + 0.1)
    world.feed(w.outcome(0, 0, server, status, 0.05))
    world.serve()
    run(world, 30, 20, 1)
    assert all(s.unresponsive_since is None for s in world.gateway.endpoints.by_name.values())


def test_endpoint_is_not_taken_as_unresponsive_during_an_upload() -> None:
    world = w.World(w.settings())
    world.feed(w.servers("s0"))
    request = model.Request(
        id=1, request_class="read", plan="free", timeout=3.0, account="x", serving_gateways=3, uploading=True
    )
    world.feed(request)
    world.requests[1] = (request, world.now + 1000.0)  # the client's timeout has not started
    for _ in range(100):
        world.advance(world.now + 0.1)
    server = world.gateway.endpoints.by_name["s0"]
    assert server.unresponsive_since is None and not world.answered and not world.gateway.controller.readings
    world.requests[1] = (request, world.now + 3.0)
    world.feed(model.UploadCompleted(1))
    assert server.unresponsive_since == world.now
    reset = model.AttemptCompleted(
        request_id=1,
        attempt=0,
        endpoint="s0",
        status=model.CallStatus.RESET_BEFORE_REQUEST,
        elapsed=0.1,
        request_finished=False,
        load_report={},
        may_retry=False,
    )
    world.feed(reset)
    assert world.answered[1] == "refused" and len(world.sends) == 1
