"""``Dispatcher`` over loopback sockets: each request gets one response in time, whatever the decisions do."""

from __future__ import annotations

import asyncio
import time
from dataclasses import replace

import pytest

from quota_gateway import model
from quota_gateway.net.common.invariants import Invariant, Violation
from quota_gateway.net.common.unix_clock import unix_clock
from tests.client_helpers import on_timer
from tests.loopback import (
    OK_RESPONSE,
    SETTINGS,
    LoopbackLimiter,
    ScriptedDecisions,
    ScriptedEndpoint,
    async_test,
    forward_to_s1,
    http_request,
    read_message,
    running_server,
    watch_event_listing,
)


def test_unix_clock_gives_unix_time() -> None:
    assert abs(unix_clock()() - time.time()) < 1.0


@async_test
async def test_the_first_event_is_a_complete_list_of_the_initial_endpoints() -> None:
    script = ScriptedDecisions(forward_to_s1)
    async with LoopbackLimiter(script, {"s1": "127.0.0.1:1"}):
        assert isinstance(script.events[0], model.EndpointUpdate)
        assert script.events[0].complete


@async_test
async def test_successful_request_ends_with_a_completed_attempt() -> None:
    script = ScriptedDecisions(forward_to_s1)
    async with (
        running_server(ScriptedEndpoint().handle_connection) as address,
        LoopbackLimiter(script, {"s1": address}) as limiter,
    ):
        assert (await limiter.fetch(http_request()))[2] == b"hi"
        (completed,) = await script.wait_for(model.AttemptCompleted)
        result = completed.attempt, completed.status, completed.request_finished
        assert result == (0, model.CallStatus.OK, True)
        assert limiter.dispatcher.open_request_count == 0


@async_test
async def test_client_gets_a_response_before_its_timeout_if_the_decisions_give_none() -> None:
    script = ScriptedDecisions(lambda _event: [])
    async with LoopbackLimiter(script, {}) as limiter:
        started_at = time.monotonic()
        assert " 504 " in (await limiter.fetch(http_request(timeout_ms=300)))[0]
        assert time.monotonic() - started_at > 0.2
        await script.wait_for(model.ClientDisconnected)  # the decisions are notified of the end


@async_test
async def test_attempt_expires_before_the_client_timeout_even_if_its_own_timeout_is_longer() -> None:
    def forward_with_long_timeout(event: model.Event) -> list[model.Action]:
        if isinstance(event, model.Request):
            return [model.Forward(event.id, "s1", 60.0)]
        return forward_to_s1(event)

    unresponsive = ScriptedEndpoint(lambda _number: None)
    script = ScriptedDecisions(forward_with_long_timeout)
    async with (
        running_server(unresponsive.handle_connection) as address,
        LoopbackLimiter(script, {"s1": address}) as limiter,
    ):
        # The scripted decisions reject a request whose attempt has timed out.
        assert " 429 " in (await limiter.fetch(http_request(timeout_ms=400)))[0]
        (completed,) = await script.wait_for(model.AttemptCompleted)
        assert completed.status is model.CallStatus.TIMEOUT
        assert completed.elapsed < 0.4
        assert int(unresponsive.requests[0][1]["x-timeout-ms"]) < 400


@async_test
async def test_attempts_beyond_max_attempts_are_not_sent() -> None:
    def retry_until_not_sent(event: model.Event) -> list[model.Action]:
        if isinstance(event, model.AttemptCompleted) and event.status is model.CallStatus.NOT_SENT:
            return [model.Fail(event.request_id)]
        if isinstance(event, model.Request):
            return [model.Forward(event.id, "s1", 5.0)]
        if isinstance(event, model.AttemptCompleted):
            return [model.Forward(event.request_id, "s1", 5.0)]
        return []

    failure = b"HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n"
    failing = ScriptedEndpoint(lambda _number: failure)
    script = ScriptedDecisions(retry_until_not_sent)
    async with (
        running_server(failing.handle_connection) as address,
        LoopbackLimiter(script, {"s1": address}) as limiter,
    ):
        assert " 502 " in (await limiter.fetch(http_request()))[0]
        assert len(failing.requests) == 2  # max_attempts


@async_test
async def test_actions_after_the_response_are_dropped_and_each_request_has_one_response() -> None:
    def respond_and_continue(event: model.Event) -> list[model.Action]:
        if not isinstance(event, model.Request):
            return []
        return [
            model.Reject(event.id, 0.1), model.Fail(event.id), model.Forward(event.id, "s1", 1.0),
            model.CancelAttempt(event.id, 0), model.Forward(99, "unknown", 1.0), model.Reject(99, 0.1),
        ]  # fmt: skip

    endpoint = ScriptedEndpoint()
    script = ScriptedDecisions(respond_and_continue)
    async with (
        running_server(endpoint.handle_connection) as address,
        LoopbackLimiter(script, {"s1": address}) as limiter,
    ):
        reader, writer = await limiter.connect()
        writer.write(http_request() + http_request(Connection="close"))
        rejections = (await reader.read()).count(b"HTTP/1.1 429")
        assert rejections == 2
        assert not endpoint.requests


@async_test
async def test_first_success_of_hedged_attempts_is_the_response_and_cancels_the_other() -> None:
    def hedge(event: model.Event) -> list[model.Action]:
        if isinstance(event, model.Request):
            return [model.Forward(event.id, "s1", 5.0), model.Forward(event.id, "s2", 5.0)]
        return []

    unresponsive = ScriptedEndpoint(lambda _number: None)
    responsive = ScriptedEndpoint()
    async with (
        running_server(unresponsive.handle_connection) as unresponsive_address,
        running_server(responsive.handle_connection) as responsive_address,
    ):
        script = ScriptedDecisions(hedge)
        async with LoopbackLimiter(script, {"s1": unresponsive_address, "s2": responsive_address}) as limiter:
            limiter.dispatcher.reconfigure(replace(SETTINGS, may_hedge=True))
            assert " 200 " in (await limiter.fetch(http_request()))[0]
            completed = await script.wait_for(model.AttemptCompleted, 2)
            attempts = {event.attempt: event for event in completed}
            assert attempts[1].status is model.CallStatus.OK
            assert attempts[1].request_finished
            assert attempts[0].status is model.CallStatus.CANCELLED
            assert attempts[0].request_finished


def forward_twice(event: model.Event) -> list[model.Action]:
    """Start two attempts of each request at once."""
    if isinstance(event, model.Request):
        return [model.Forward(event.id, "s1", 5.0), model.Forward(event.id, "s1", 5.0)]
    return []


@async_test
async def test_a_second_attempt_while_the_first_is_in_flight_is_a_violation_and_is_not_sent(
    no_violations: list[Violation],
) -> None:
    endpoint = ScriptedEndpoint()
    script = ScriptedDecisions(forward_twice)
    async with (
        running_server(endpoint.handle_connection) as address,
        LoopbackLimiter(script, {"s1": address}) as limiter,
    ):
        assert " 200 " in (await limiter.fetch(http_request()))[0]
        completed = await script.wait_for(model.AttemptCompleted, 2)
        assert [event.status for event in completed if event.attempt == 1] == [model.CallStatus.NOT_SENT]
        assert len(endpoint.requests) == 1
    assert [violation.invariant for violation in no_violations] == [Invariant.ONE_ATTEMPT_AT_A_TIME]
    no_violations.clear()


@async_test
async def test_an_unsafe_retry_is_a_violation_and_is_not_sent(
    no_violations: list[Violation], caplog: pytest.LogCaptureFixture
) -> None:
    """The first attempt of a request that is not idempotent failed, and may have been executed."""

    def retry_once(event: model.Event) -> list[model.Action]:
        if isinstance(event, model.AttemptCompleted) and event.attempt == 0:
            return [model.Forward(event.request_id, "s1", 5.0)]
        if isinstance(event, model.AttemptCompleted):
            return [model.Fail(event.request_id)]
        return forward_to_s1(event)

    endpoint = ScriptedEndpoint(lambda _number: b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
    async with (
        running_server(endpoint.handle_connection) as address,
        LoopbackLimiter(ScriptedDecisions(retry_once), {"s1": address}) as limiter,
    ):
        for _ in range(2):
            post = http_request("/post?account=00000000b4d65521", b"abc")
            assert " 502 " in (await limiter.fetch(post))[0]
        assert len(endpoint.requests) == 2
    assert [violation.invariant for violation in no_violations] == [Invariant.REPEATED_SAFELY] * 2
    # Only the first violation is logged; its description lists the attempts.
    assert caplog.text.count("invariant violated: repeated_safely") == 1
    assert "attempt 0 at s1" in no_violations[0].description
    assert "error after" in no_violations[0].description
    no_violations.clear()


@async_test
async def test_a_second_response_is_a_violation_and_the_first_one_is_kept(
    no_violations: list[Violation],
) -> None:
    script = ScriptedDecisions(lambda _event: [])
    async with LoopbackLimiter(script, {}) as limiter:
        reader, writer = await limiter.connect()
        writer.write(http_request() + http_request(Connection="close"))
        first, second = await script.wait_for(model.Request, 2)
        pending = limiter.dispatcher.requests.find(second.id)
        assert pending is not None
        client_request = pending.request
        client_request.respond(502)
        client_request.respond(504)
        script.decide = on_timer([model.Reject(first.id, 0.1), model.Reject(second.id, 0.1)])
        limiter.dispatcher.dispatch(model.TimerFired(1))
        responses = await reader.read()
        assert b" 429 " in responses
        assert b" 502 " in responses
        assert responses.count(b"HTTP/1.1 ") == 2
    assert [violation.invariant for violation in no_violations] == [Invariant.ANSWERED_ONCE] * 2
    no_violations.clear()


@async_test
async def test_an_exception_in_the_decisions_fails_only_the_affected_request(
    caplog: pytest.LogCaptureFixture,
) -> None:
    def fail_on_posts(event: model.Event) -> list[model.Action]:
        if isinstance(event, model.Request) and event.request_class == "post":
            raise ZeroDivisionError
        return forward_to_s1(event)

    script = ScriptedDecisions(fail_on_posts)
    async with (
        running_server(ScriptedEndpoint().handle_connection) as address,
        LoopbackLimiter(script, {"s1": address}) as limiter,
    ):
        post = http_request("/post?account=00000000b4d65521", b"abc")
        assert " 500 " in (await limiter.fetch(post))[0]
        assert " 200 " in (await limiter.fetch(http_request()))[0]
    assert "the decisions failed on Request" in caplog.text


@async_test
async def test_timer_fires_again_after_an_exception() -> None:
    failed: list[model.Event] = []

    def fail_once(event: model.Event) -> list[model.Action]:
        if isinstance(event, model.TimerFired) and not failed:
            failed.append(event)
            raise ZeroDivisionError
        return [model.SetTimer(0.01, 7)] if isinstance(event, model.EndpointUpdate) else []

    script = ScriptedDecisions(fail_once)
    async with LoopbackLimiter(script, {}):
        assert await script.wait_for(model.TimerFired, 2) == [model.TimerFired(7)] * 2


@pytest.mark.parametrize("complete", [True, False])
@async_test
async def test_draining_endpoint_receives_no_request_even_if_the_decisions_forward_to_it(
    complete: bool,
) -> None:
    endpoint = ScriptedEndpoint()
    script = ScriptedDecisions(forward_to_s1)
    async with (
        running_server(endpoint.handle_connection) as address,
        LoopbackLimiter(script, {"s1": address}) as limiter,
    ):
        assert " 200 " in (await limiter.fetch(http_request()))[0]
        remaining = {} if complete else {"s1": address}
        drained = watch_event_listing(remaining, model.EndpointHealth.DRAINING, complete=complete)
        limiter.dispatcher.on_watch_event(drained)
        await endpoint.disconnected.wait()
        assert " 429 " in (await limiter.fetch(http_request()))[0]
        assert len(endpoint.requests) == 1


@async_test
async def test_results_of_health_checks_and_counter_calls_are_dispatched_as_events() -> None:
    def check_and_count(event: model.Event) -> list[model.Action]:
        if isinstance(event, model.EndpointUpdate):
            return [model.CheckHealth("s1"), model.IncrementCounter(5, 4.0, 1.0)]
        return []

    unavailable = b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"
    endpoint = ScriptedEndpoint(lambda number: OK_RESPONSE if number == 1 else unavailable)
    script = ScriptedDecisions(check_and_count)
    async with (
        running_server(endpoint.handle_connection) as address,
        LoopbackLimiter(script, {"s1": address}) as limiter,
    ):
        (healthy,) = await script.wait_for(model.HealthChecked)
        assert (healthy.endpoint, healthy.status) == ("s1", model.CallStatus.OK)
        assert endpoint.requests[0][0] == "GET /healthz HTTP/1.1"
        limiter.dispatcher.on_watch_event(watch_event_listing({"s1": address}))
        assert (await script.wait_for(model.HealthChecked, 2))[1].status is model.CallStatus.ERROR
        unreachable_reply = model.CounterReplied(5, model.CallStatus.UNREACHABLE)
        assert script.events.count(unreachable_reply) == 2


@async_test
async def test_request_of_a_disconnected_client_gets_no_response_and_no_attempt(
    caplog: pytest.LogCaptureFixture,
) -> None:
    script = ScriptedDecisions(lambda _event: [])
    async with LoopbackLimiter(script, {}) as limiter:
        _, writer = await limiter.connect()
        writer.write(http_request())
        (request,) = await script.wait_for(model.Request)
        writer.transport.abort()  # not a half-close, after which the client would wait for a response
        await script.wait_for(model.ClientDisconnected)
        assert not limiter.dispatcher.open_request_count
        assert not limiter.listener.shared.open_request_ids
        late_actions: list[model.Action] = [
            model.Reject(request.id, 0.1),
            model.Forward(request.id, "s1", 1.0),
        ]
        script.decide = lambda _event: late_actions
        limiter.dispatcher.dispatch(model.TimerFired(1))
        assert not await script.wait_for(model.AttemptCompleted, 0)
        while limiter.listener.connections:
            await asyncio.sleep(0)
        messages = [record.getMessage() for record in caplog.records]
        assert messages == ["dropped an attempt for a request that has ended"]


@async_test
async def test_open_requests_get_a_response_when_the_process_ends() -> None:
    unresponsive = ScriptedEndpoint(lambda _number: None)
    script = ScriptedDecisions(forward_to_s1)
    async with (
        running_server(unresponsive.handle_connection) as address,
        LoopbackLimiter(script, {"s1": address}) as limiter,
    ):
        reader, writer = await limiter.connect()
        writer.write(http_request())
        await unresponsive.request_received.wait()
        limiter.listener.start_draining()
        await limiter.listener.close(0.01)
        limiter.dispatcher.respond_to_all()
        assert " 504 " in (await read_message(reader))[0]
        await script.wait_for(model.ClientDisconnected)
        await limiter.listener.close(10)


@async_test
async def test_charged_units_are_reported_with_a_successful_attempt() -> None:
    response = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Units-Charged: 3\r\n\r\nhi"
    endpoint = ScriptedEndpoint(lambda _number: response)
    script = ScriptedDecisions(forward_to_s1)
    async with (
        running_server(endpoint.handle_connection) as address,
        LoopbackLimiter(script, {"s1": address}) as limiter,
    ):
        assert " 200 " in (await limiter.fetch(http_request()))[0]
        (completed,) = await script.wait_for(model.AttemptCompleted)
        assert completed.charged_units == 3.0
