"""Clients that leave or half-close: real sockets, each crossing forced by the client's own step."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable
from typing import Any

import pytest

from quota_gateway import model
from quota_gateway.net.client import listener
from quota_gateway.net.client import liveness as client_liveness
from quota_gateway.net.client.liveness import ClientLiveness
from quota_gateway.net.client.request import ClientRequest
from quota_gateway.net.client.response_queue import MAX_PIPELINED_REQUESTS
from quota_gateway.net.upstream import connector, idle_connections
from tests.client_helpers import DISCONNECTS, LATE, on_timer, read_final
from tests.loopback import (
    OK_RESPONSE,
    LoopbackLimiter,
    ScriptedDecisions,
    ScriptedEndpoint,
    async_test,
    forward_to_s1,
    http_request,
    read_message,
    running_server,
)


def watch_maybe_gone(limiter: LoopbackLimiter) -> asyncio.Event:
    """Set when the dispatcher is notified that a client may have gone."""
    notified = asyncio.Event()
    notify = limiter.dispatcher.on_client_maybe_gone

    def notify_and_set(request: ClientRequest) -> None:
        notify(request)
        notified.set()

    limiter.dispatcher.on_client_maybe_gone = notify_and_set  # type: ignore[method-assign]
    return notified


@async_test
async def test_half_closed_client_gets_the_response_in_flight() -> None:
    release = asyncio.Event()

    async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_message(reader)
        await release.wait()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")
        await reader.read()

    async with (
        running_server(talk) as address,
        LoopbackLimiter(ScriptedDecisions(forward_to_s1), {"s1": address}) as limiter,
    ):
        maybe_gone = watch_maybe_gone(limiter)
        reader, writer = await limiter.connect()
        writer.write(http_request(timeout_ms=15000))
        writer.write_eof()
        await maybe_gone.wait()
        release.set()
        status, headers, body = await read_final(reader)
        assert " 200 " in status and body == b"hi" and headers["connection"] == "close"
        assert await reader.read() == b""


@async_test
async def test_nothing_more_is_forwarded_for_a_half_closed_client_and_it_is_rejected_at_once() -> None:
    script = ScriptedDecisions(lambda _event: [])
    origin = ScriptedEndpoint()
    async with (
        running_server(origin.handle_connection) as address,
        LoopbackLimiter(script, {"s1": address}) as limiter,
    ):
        maybe_gone = watch_maybe_gone(limiter)
        reader, writer = await limiter.connect()
        writer.write(http_request(timeout_ms=15000))
        (event,) = await script.wait_for(model.Request)  # it waits, as for the counter
        writer.write_eof()
        await maybe_gone.wait()
        script.decide = on_timer(forward_to_s1(event))
        limiter.dispatcher.dispatch(model.TimerFired(1))
        status, _, _ = await read_final(reader)
        assert " 429 " in status and not origin.requests


@pytest.mark.parametrize("close_client", DISCONNECTS)
@pytest.mark.parametrize("request_count", [1, MAX_PIPELINED_REQUESTS])
@async_test
async def test_disconnect_is_noticed_while_requests_wait(close_client: Any, request_count: int) -> None:
    """With a full pipeline its input is not read, and only a poll shows that it has gone."""
    script = ScriptedDecisions(lambda _event: [])
    async with LoopbackLimiter(script, {}) as limiter:
        client = socket.create_connection(limiter.address)
        for _ in range(request_count):
            client.sendall(http_request(timeout_ms=60000))
        await script.wait_for(model.Request, request_count)
        close_client(client)
        assert len(await script.wait_for(model.ClientDisconnected, request_count)) == request_count
        assert not limiter.dispatcher.open_requests


@async_test
async def test_half_closed_client_whose_input_is_not_read_gets_one_interim_response(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(listener, "SCAN_INTERVAL_SECONDS", 0.01)

    script = ScriptedDecisions(lambda _event: [])
    async with LoopbackLimiter(script, {}) as limiter:
        polls = asyncio.Queue[None]()
        poll = ClientLiveness.poll

        def counting_poll(self: ClientLiveness) -> None:
            poll(self)
            polls.put_nowait(None)

        monkeypatch.setattr(ClientLiveness, "poll", counting_poll)
        reader, writer = await limiter.connect()
        for _ in range(MAX_PIPELINED_REQUESTS):
            writer.write(http_request(timeout_ms=60000))
        events = await script.wait_for(model.Request, MAX_PIPELINED_REQUESTS)
        writer.write_eof()
        for _ in range(20):
            await polls.get()
        script.decide = lambda _event: [model.Fail(event.id) for event in events]
        limiter.dispatcher.dispatch(model.TimerFired(1))
        answers = await reader.read()
        assert (
            answers.count(b"HTTP/1.1 100 ") == 1 and answers.count(b"HTTP/1.1 502 ") == MAX_PIPELINED_REQUESTS
        )


def close_with_unread_input(client: socket.socket) -> None:
    """Close with unread input, which makes a reset of it."""
    client.setblocking(True)
    assert client.recv(1, socket.MSG_PEEK)
    client.close()


def disconnect(client: socket.socket, close_client: Callable[[socket.socket], None]) -> None:
    """The client leaves, and the event loop does not run until an attempt would be too late.

    No timer and no callback of the event loop has shown the disconnect then.
    """
    close_client(client)
    time.sleep(LATE)


async def keep_endpoint_connection(limiter: LoopbackLimiter, monkeypatch: pytest.MonkeyPatch) -> None:
    """Keep an endpoint connection idle, so that the next attempt is written in the step of its decision."""
    monkeypatch.setattr(idle_connections, "SETTLE_DELAY_SECONDS", 0.0)
    answer = limiter.decisions.decide
    limiter.decisions.decide = forward_to_s1
    assert " 200 " in (await limiter.fetch(http_request()))[0]
    limiter.decisions.decide = answer
    limiter.decisions.events.clear()


async def assert_only_the_next_is_forwarded(
    limiter: LoopbackLimiter, origin: ScriptedEndpoint, already_forwarded: int = 0
) -> None:
    """Nothing but ``already_forwarded`` requests went out before the one that is sent now."""
    limiter.decisions.decide = forward_to_s1
    request = http_request()
    assert " 200 " in (await limiter.fetch(request))[0]
    assert len(origin.requests) == already_forwarded + 1
    assert origin.requests[-1][1]["x-request-id"].encode() in request


@pytest.mark.parametrize("close_client", DISCONNECTS)
@pytest.mark.parametrize("request_count", [1, MAX_PIPELINED_REQUESTS])
@async_test
async def test_no_attempt_begins_for_a_client_that_left_while_its_requests_waited(
    close_client: Any, request_count: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """They wait, as for the counter; with a full pipeline its input is not read either."""
    script = ScriptedDecisions(lambda _event: [])
    origin = ScriptedEndpoint()
    async with (
        running_server(origin.handle_connection) as address,
        LoopbackLimiter(script, {"s1": address}) as limiter,
    ):
        await keep_endpoint_connection(limiter, monkeypatch)
        client = socket.create_connection(limiter.address)
        for _ in range(request_count):
            client.sendall(http_request(timeout_ms=60000))
        events = await script.wait_for(model.Request, request_count)
        script.decide = on_timer([action for event in events for action in forward_to_s1(event)])
        disconnect(client, close_client)
        limiter.dispatcher.dispatch(model.TimerFired(1))
        await assert_only_the_next_is_forwarded(limiter, origin, 1)
        assert not limiter.dispatcher.open_requests


@async_test
async def test_no_attempt_begins_for_a_client_that_left_a_response_unread(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    script = ScriptedDecisions(lambda _event: [])
    origin = ScriptedEndpoint()
    async with (
        running_server(origin.handle_connection) as address,
        LoopbackLimiter(script, {"s1": address}) as limiter,
    ):
        await keep_endpoint_connection(limiter, monkeypatch)
        client = socket.create_connection(limiter.address)
        client.sendall(http_request(timeout_ms=60000) + http_request(timeout_ms=60000))
        first, second = await script.wait_for(model.Request, 2)
        script.decide = on_timer([model.Reject(first.id, 0.1)])
        limiter.dispatcher.dispatch(model.TimerFired(1))
        script.decide = on_timer(forward_to_s1(second))
        disconnect(client, close_with_unread_input)
        limiter.dispatcher.dispatch(model.TimerFired(1))
        await assert_only_the_next_is_forwarded(limiter, origin, 1)


@async_test
async def test_no_attempt_begins_where_the_end_was_read_and_its_confirmation_is_late(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An interim response is sent to it, and what follows is not looked up in time."""
    script = ScriptedDecisions(lambda _event: [])
    origin = ScriptedEndpoint()
    async with (
        running_server(origin.handle_connection) as address,
        LoopbackLimiter(script, {"s1": address}) as limiter,
    ):
        await keep_endpoint_connection(limiter, monkeypatch)
        reader, writer = await limiter.connect()
        writer.write(http_request(timeout_ms=60000))
        (event,) = await script.wait_for(model.Request)
        client = list(limiter.listener.connections)[-1]
        writer.write_eof()
        while not client.pipeline.liveness.input_ended:
            await asyncio.sleep(0)
        time.sleep(LATE)
        script.decide = on_timer(forward_to_s1(event))
        limiter.dispatcher.dispatch(model.TimerFired(1))
        status, _, _ = await read_final(reader)
        assert " 429 " in status
        writer.close()
        await assert_only_the_next_is_forwarded(limiter, origin, 1)


@async_test
async def test_request_of_a_client_that_has_just_half_closed_is_still_forwarded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(
        client_liveness, "PRESENCE_GRACE_SECONDS", 10.0
    )  # a slow machine must not make it late

    script = ScriptedDecisions(lambda _event: [])
    origin = ScriptedEndpoint()
    async with (
        running_server(origin.handle_connection) as address,
        LoopbackLimiter(script, {"s1": address}) as limiter,
    ):
        reader, writer = await limiter.connect()
        writer.write(http_request(timeout_ms=60000))
        (event,) = await script.wait_for(model.Request)
        (client,) = limiter.listener.connections
        writer.write_eof()
        while not client.pipeline.liveness.input_ended:
            await asyncio.sleep(0)
        script.decide = on_timer(forward_to_s1(event))
        # The connect waits for the event loop, and the confirmation would come between.
        monkeypatch.setattr(client_liveness, "RESET_WAIT_SECONDS", 10.0)
        limiter.dispatcher.dispatch(model.TimerFired(1))
        status, _, body = await read_final(reader)
        assert " 200 " in status and body == b"hi"


@pytest.mark.parametrize("close_client", DISCONNECTS)
@pytest.mark.parametrize("request_count", [1, MAX_PIPELINED_REQUESTS])
@async_test
async def test_no_retry_begins_for_a_client_that_left_during_the_attempt_before(
    close_client: Any, request_count: int
) -> None:
    clients = list[socket.socket]()

    def fail_first(count: int) -> bytes:
        return b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n" if count <= request_count else OK_RESPONSE

    def retry_errors(event: model.Event) -> list[model.Action]:
        if (
            isinstance(event, model.AttemptCompleted)
            and not event.request_finished
            and event.status is model.CallStatus.ERROR
        ):
            if clients:
                disconnect(clients.pop(), close_client)
            return [model.Forward(event.request_id, "s1", 60.0)]
        return forward_to_s1(event)

    script = ScriptedDecisions(retry_errors)
    origin = ScriptedEndpoint(fail_first)
    async with (
        running_server(origin.handle_connection) as address,
        LoopbackLimiter(script, {"s1": address}) as limiter,
    ):
        client = socket.create_connection(limiter.address)
        clients.append(client)
        client.sendall(b"".join(http_request(timeout_ms=60000) for _ in range(request_count)))
        outcomes = await script.wait_for(model.AttemptCompleted, 2)
        assert outcomes[0].status is model.CallStatus.ERROR and not clients
        while limiter.dispatcher.open_requests:
            await asyncio.sleep(0)
        origin.response_for = lambda _n: OK_RESPONSE
        script.decide = forward_to_s1
        assert " 200 " in (await limiter.fetch(http_request()))[0]  # behind whatever else was forwarded
        ids = [headers["x-request-id"] for _, headers, _ in origin.requests]
        assert len(ids) == len(set(ids)) <= request_count + 1


@pytest.mark.parametrize("close_client", DISCONNECTS)
@async_test
async def test_no_attempt_begins_for_a_client_that_left_during_the_connect(
    close_client: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    clients = list[socket.socket]()

    class SlowLoop:
        """An event loop that returns connections when the client has left."""

        def __getattr__(self, name: str) -> Any:
            return getattr(asyncio.get_running_loop(), name)

        async def create_connection(self, *args: Any) -> Any:
            connected = await asyncio.get_running_loop().create_connection(*args)
            if clients:
                disconnect(clients.pop(), close_client)
            return connected

    class Asyncio:
        """The asyncio module with that event loop."""

        get_running_loop = SlowLoop

        def __getattr__(self, name: str) -> Any:
            return getattr(asyncio, name)

    script = ScriptedDecisions(forward_to_s1)
    origin = ScriptedEndpoint()
    async with (
        running_server(origin.handle_connection) as address,
        LoopbackLimiter(script, {"s1": address}) as limiter,
    ):
        monkeypatch.setattr(connector, "asyncio", Asyncio())
        client = socket.create_connection(limiter.address)
        clients.append(client)
        client.sendall(http_request(timeout_ms=60000))
        (outcome,) = await script.wait_for(model.AttemptCompleted)
        assert outcome.status in (model.CallStatus.NOT_SENT, model.CallStatus.CANCELLED)
        await assert_only_the_next_is_forwarded(limiter, origin)
