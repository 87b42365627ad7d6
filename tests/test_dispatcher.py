"""Events in, actions out over loopback sockets: one final answer, deadlines, containment."""

from __future__ import annotations

import asyncio
import time
from dataclasses import replace

import pytest

from quota_gateway import model
from quota_gateway.decisions.gateway import Gateway
from quota_gateway.net.dispatcher import unix_clock
from tests.loopback import (
    OK,
    SETTINGS,
    Limiter,
    Origin,
    Script,
    ask,
    async_test,
    listening,
    listing,
    read_message,
    send_on,
)


def test_the_clock_is_unix_time() -> None:
    assert abs(unix_clock()() - time.time()) < 1.0


@async_test
async def test_the_known_list_comes_first_and_is_whole() -> None:
    script = Script(send_on)
    async with Limiter(script, {"s1": "127.0.0.1:1"}):
        assert isinstance(script.events[0], model.EndpointUpdate) and script.events[0].complete


@async_test
async def test_a_served_request_ends_with_its_outcome() -> None:
    script = Script(send_on)
    async with listening(Origin().talk) as dial, Limiter(script, {"s1": dial}) as limiter:
        assert (await limiter.fetch(ask()))[2] == b"hi"
        (outcome,) = await script.until(model.AttemptCompleted)
        assert (outcome.attempt, outcome.status, outcome.request_finished) == (
            0,
            model.CallStatus.OK,
            True,
        )
        assert limiter.dispatcher.open_requests == 0


@async_test
async def test_silent_decisions_do_not_keep_the_client_past_its_time() -> None:
    script = Script(lambda _event: [])
    async with Limiter(script, {}) as limiter:
        began = time.monotonic()
        assert " 504 " in (await limiter.fetch(ask(ttl=300)))[0]
        assert time.monotonic() - began > 0.2
        await script.until(model.ClientDisconnected)  # so that the decisions forget it


@async_test
async def test_an_attempt_ends_before_the_clients_time_whatever_its_own_limit() -> None:
    origin = Origin(lambda _n: None)

    def long_wait(event: model.Event) -> list[model.Action]:
        if isinstance(event, model.Request):
            return [model.Forward(event.id, "s1", 60.0)]
        return send_on(event)

    script = Script(long_wait)
    async with listening(origin.talk) as dial, Limiter(script, {"s1": dial}) as limiter:
        assert " 429 " in (await limiter.fetch(ask(ttl=400)))[0]  # the decisions', told of the time-out
        (outcome,) = await script.until(model.AttemptCompleted)
        assert outcome.status is model.CallStatus.TIMEOUT and outcome.elapsed < 0.4
        assert int(origin.seen[0][1]["x-timeout-ms"]) < 400


@async_test
async def test_attempts_past_the_cap_are_not_sent() -> None:
    origin = Origin(lambda _n: b"HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n")

    def again(event: model.Event) -> list[model.Action]:
        if isinstance(event, model.AttemptCompleted) and event.status is model.CallStatus.NOT_SENT:
            return [model.Fail(event.request_id)]
        if isinstance(event, model.Request):
            return [model.Forward(event.id, "s1", 5.0)]
        if isinstance(event, model.AttemptCompleted):
            return [model.Forward(event.request_id, "s1", 5.0)]
        return []

    async with listening(origin.talk) as dial, Limiter(Script(again), {"s1": dial}) as limiter:
        assert " 502 " in (await limiter.fetch(ask()))[0]
        assert len(origin.seen) == 2  # max_attempts


@async_test
async def test_a_send_for_an_ended_request_is_dropped_and_answers_stay_single() -> None:
    origin = Origin()

    def confused(event: model.Event) -> list[model.Action]:
        if not isinstance(event, model.Request):
            return []
        return [
            model.Reject(event.id, 0.1), model.Fail(event.id), model.Forward(event.id, "s1", 1.0),
            model.CancelAttempt(event.id, 0), model.Forward(99, "nobody", 1.0), model.Reject(99, 0.1),
        ]  # fmt: skip

    async with listening(origin.talk) as dial, Limiter(Script(confused), {"s1": dial}) as limiter:
        reader, writer = await limiter.connect()
        writer.write(ask() + ask(Connection="close"))
        answers = (await reader.read()).count(b"HTTP/1.1 429")
        assert answers == 2 and not origin.seen


@async_test
async def test_the_first_of_two_copies_answers_and_the_other_is_cancelled() -> None:
    slow, fast = Origin(lambda _n: None), Origin()

    def both(event: model.Event) -> list[model.Action]:
        if isinstance(event, model.Request):
            return [model.Forward(event.id, "s1", 5.0), model.Forward(event.id, "s2", 5.0)]
        return []

    async with listening(slow.talk) as first, listening(fast.talk) as second:
        script = Script(both)
        async with Limiter(script, {"s1": first, "s2": second}) as limiter:
            assert " 200 " in (await limiter.fetch(ask()))[0]
            outcomes = {o.attempt: o for o in await script.until(model.AttemptCompleted, 2)}
            assert outcomes[1].status is model.CallStatus.OK and outcomes[1].request_finished
            assert outcomes[0].status is model.CallStatus.CANCELLED and outcomes[0].request_finished


@async_test
async def test_a_failure_of_the_decisions_is_contained(caplog: pytest.LogCaptureFixture) -> None:
    def broken(event: model.Event) -> list[model.Action]:
        if isinstance(event, model.Request) and event.request_class == "post":
            raise ZeroDivisionError
        return send_on(event)

    script = Script(broken)
    async with listening(Origin().talk) as dial, Limiter(script, {"s1": dial}) as limiter:
        request = ask("/post?account=00000000b4d65521", b"abc")
        assert " 500 " in (await limiter.fetch(request))[0]
        assert " 200 " in (await limiter.fetch(ask()))[0]
    assert "the decisions failed on Request" in caplog.text


@async_test
async def test_timers_fire_and_a_failed_tick_comes_again() -> None:
    failed = list[model.Event]()

    def once(event: model.Event) -> list[model.Action]:
        if isinstance(event, model.TimerFired) and not failed:
            failed.append(event)
            raise ZeroDivisionError
        return [model.SetTimer(0.01, 7)] if isinstance(event, model.EndpointUpdate) else []

    script = Script(once)
    async with Limiter(script, {}):
        assert await script.until(model.TimerFired, 2) == [model.TimerFired(7)] * 2


@pytest.mark.parametrize("whole", [True, False])
@async_test
async def test_a_drain_stops_sends_even_if_the_decisions_go_on(whole: bool) -> None:
    origin, script = Origin(), Script(send_on)
    async with listening(origin.talk) as dial, Limiter(script, {"s1": dial}) as limiter:
        assert " 200 " in (await limiter.fetch(ask()))[0]
        told = listing({} if whole else {"s1": dial}, model.EndpointHealth.DRAINING, whole)
        limiter.dispatcher.on_watch_event(told)
        await origin.left.wait()
        assert " 429 " in (await limiter.fetch(ask()))[0]
        assert len(origin.seen) == 1


@async_test
async def test_probes_and_counts_come_back_as_events() -> None:
    origin = Origin(lambda n: OK if n == 1 else b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")

    def probe(event: model.Event) -> list[model.Action]:
        return (
            [model.CheckHealth("s1"), model.IncrementCounter(5, 4.0, 1.0)]
            if isinstance(event, model.EndpointUpdate)
            else []
        )

    script = Script(probe)
    async with listening(origin.talk) as dial, Limiter(script, {"s1": dial}) as limiter:
        (good,) = await script.until(model.HealthChecked)
        assert (good.endpoint, good.status) == ("s1", model.CallStatus.OK)
        assert origin.seen[0][0] == "GET /healthz HTTP/1.1"
        limiter.dispatcher.on_watch_event(listing({"s1": dial}))
        assert (await script.until(model.HealthChecked, 2))[1].status is model.CallStatus.ERROR
        assert (
            script.events.count(model.CounterReplied(5, model.CallStatus.UNREACHABLE)) == 2
        )  # there is no counter


@async_test
async def test_a_departed_clients_connection_gets_nothing_more(caplog: pytest.LogCaptureFixture) -> None:
    script = Script(lambda _event: [])
    async with Limiter(script, {}) as limiter:
        _, writer = await limiter.connect()
        writer.write(ask())
        (event,) = await script.until(model.Request)
        # A half-close is no departure: who has gone is told from who waits in test_endings.
        writer.transport.abort()
        await script.until(model.ClientDisconnected)
        assert not limiter.dispatcher.open_requests and not limiter.listener.open_request_ids
        script.answer = lambda _event: [model.Reject(event.id, 0.1), model.Forward(event.id, "s1", 1.0)]
        limiter.dispatcher.dispatch(model.TimerFired(1))
        assert not await script.until(model.AttemptCompleted, 0)
        while limiter.listener._clients:
            await asyncio.sleep(0)
        assert [r.getMessage() for r in caplog.records] == ["dropped an attempt for a request that has ended"]


@async_test
async def test_what_is_open_when_the_process_ends_is_failed_and_not_lost() -> None:
    origin, script = Origin(lambda _n: None), Script(send_on)
    async with listening(origin.talk) as dial, Limiter(script, {"s1": dial}) as limiter:
        reader, writer = await limiter.connect()
        writer.write(ask())
        await origin.got.wait()
        limiter.listener.start_draining()
        await limiter.listener.close(0.01)
        limiter.dispatcher.abandon_all()
        assert " 504 " in (await read_message(reader))[0]
        await script.until(model.ClientDisconnected)
        await limiter.listener.close(10)


def real_decisions() -> Script:
    """The module itself, with servers that start cold and fall over easily."""
    clock, settings = (
        unix_clock(),
        replace(SETTINGS, initial_capacity=0.15, warm_up_time=15.0, overload_multiple=2.5),
    )
    gateway = Gateway(settings, 1, clock())
    return Script(lambda event: gateway.handle(clock(), event))


@async_test
async def test_spoilt_answers_of_all_servers_put_none_of_them_out() -> None:
    """Counted as breaks they made each server lost, and cold for 15 s when it answered again."""
    spoilt = b"HTTP/1.1 200 OK\r\nContent-Length: 1x\r\n\r\nhi"
    origin = Origin(lambda n: spoilt if n % 6 == 0 else OK)
    async with (
        listening(origin.talk) as dial,
        Limiter(real_decisions(), {"s1": dial, "s2": dial, "s3": dial}) as limiter,
    ):
        answers = [(await limiter.fetch(ask()))[0] for _ in range(30)]  # within the even share
        assert all(" 200 " in answer for answer in answers)  # a lookup may be asked again elsewhere


@async_test
async def test_single_broken_connections_make_no_server_dead() -> None:
    """Each was a death, and the next answer a restart: cold for 15 s, and so all of them before long."""
    origin = Origin(lambda n: b"" if n % 6 == 0 else OK)
    async with (
        listening(origin.talk) as dial,
        Limiter(real_decisions(), {"s1": dial, "s2": dial, "s3": dial}) as limiter,
    ):
        answers = [(await limiter.fetch(ask()))[0] for _ in range(30)]
        assert all(" 200 " in answer for answer in answers)


@async_test
async def test_what_a_server_rejects_fails_without_another_attempt_or_a_mark_against_it() -> None:
    rejected = b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n"
    origin = Origin(lambda n: rejected if n <= 8 else OK)
    async with (
        listening(origin.talk) as dial,
        Limiter(real_decisions(), {"s1": dial, "s2": dial}) as limiter,
    ):
        for attempts in range(1, 9):
            assert " 502 " in (await limiter.fetch(ask()))[0] and len(origin.seen) == attempts
        assert " 200 " in (await limiter.fetch(ask()))[0]


@async_test
async def test_units_charged_come_with_the_outcome_of_a_good_answer() -> None:
    script = Script(send_on)
    answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Units-Charged: 3\r\n\r\nhi"
    origin = Origin(lambda _n: answer)
    async with listening(origin.talk) as dial, Limiter(script, {"s1": dial}) as limiter:
        assert " 200 " in (await limiter.fetch(ask()))[0]
        (outcome,) = await script.until(model.AttemptCompleted)
        assert outcome.charged_units == 3.0
