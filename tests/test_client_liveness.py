"""Clients that leave or half-close: real sockets, each crossing forced by the client's own step."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable
from typing import Any

import pytest

from quota_gateway import model
from quota_gateway.net import client_liveness, connection_pool, listener, upstream_endpoint
from quota_gateway.net.client_liveness import ClientLiveness
from quota_gateway.net.client_request import ClientRequest
from quota_gateway.net.request_reader import MAX_PIPELINE
from tests.client_helpers import DISCONNECTS, LATE, on_timer, read_final
from tests.loopback import OK, Limiter, Origin, Script, ask, async_test, listening, read_message, send_on


def watch_maybe_gone(limiter: Limiter) -> asyncio.Event:
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

    async with listening(talk) as address, Limiter(Script(send_on), {"s1": address}) as limiter:
        maybe_gone = watch_maybe_gone(limiter)
        reader, writer = await limiter.connect()
        writer.write(ask(ttl=15000))
        writer.write_eof()
        await maybe_gone.wait()
        release.set()
        status, headers, body = await read_final(reader)
        assert " 200 " in status and body == b"hi" and headers["connection"] == "close"
        assert await reader.read() == b""


@async_test
async def test_nothing_more_is_forwarded_for_a_half_closed_client_and_it_is_rejected_at_once() -> None:
    script = Script(lambda _event: [])
    origin = Origin()
    async with listening(origin.talk) as address, Limiter(script, {"s1": address}) as limiter:
        maybe_gone = watch_maybe_gone(limiter)
        reader, writer = await limiter.connect()
        writer.write(ask(ttl=15000))
        (event,) = await script.until(model.Request)  # it waits, as for the counter
        writer.write_eof()
        await maybe_gone.wait()
        script.answer = on_timer(send_on(event))
        limiter.dispatcher.dispatch(model.TimerFired(1))
        status, _, _ = await read_final(reader)
        assert " 429 " in status and not origin.seen


@pytest.mark.parametrize("close_client", DISCONNECTS)
@pytest.mark.parametrize("request_count", [1, MAX_PIPELINE])
@async_test
async def test_disconnect_is_noticed_while_requests_wait(close_client: Any, request_count: int) -> None:
    """With a full pipeline its input is not read, and only a poll shows that it has gone."""
    script = Script(lambda _event: [])
    async with Limiter(script, {}) as limiter:
        client = socket.create_connection(limiter._address)
        for _ in range(request_count):
            client.sendall(ask(ttl=60000))
        await script.until(model.Request, request_count)
        close_client(client)
        assert len(await script.until(model.ClientDisconnected, request_count)) == request_count
        assert not limiter.dispatcher.open_requests


@async_test
async def test_half_closed_client_whose_input_is_not_read_gets_one_interim_response(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(listener, "SCAN_INTERVAL", 0.01)

    script = Script(lambda _event: [])
    async with Limiter(script, {}) as limiter:
        polls = asyncio.Queue[None]()
        poll = ClientLiveness.poll

        def counting_poll(self: ClientLiveness) -> None:
            poll(self)
            polls.put_nowait(None)

        monkeypatch.setattr(ClientLiveness, "poll", counting_poll)
        reader, writer = await limiter.connect()
        for _ in range(MAX_PIPELINE):
            writer.write(ask(ttl=60000))
        events = await script.until(model.Request, MAX_PIPELINE)
        writer.write_eof()
        for _ in range(20):
            await polls.get()
        script.answer = lambda _event: [model.Fail(event.id) for event in events]
        limiter.dispatcher.dispatch(model.TimerFired(1))
        answers = await reader.read()
        assert answers.count(b"HTTP/1.1 100 ") == 1 and answers.count(b"HTTP/1.1 502 ") == MAX_PIPELINE


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


async def keep_endpoint_connection(limiter: Limiter, monkeypatch: pytest.MonkeyPatch) -> None:
    """Keep an endpoint connection idle, so that the next attempt is written in the step of its decision."""
    monkeypatch.setattr(upstream_endpoint, "SETTLE_DELAY", 0.0)
    answer = limiter.script.answer
    limiter.script.answer = send_on
    assert " 200 " in (await limiter.fetch(ask()))[0]
    limiter.script.answer = answer
    limiter.script.events.clear()


async def assert_only_the_next_is_forwarded(
    limiter: Limiter, origin: Origin, already_forwarded: int = 0
) -> None:
    """Nothing but ``already_forwarded`` requests went out before the one that is sent now."""
    limiter.script.answer = send_on
    request = ask()
    assert " 200 " in (await limiter.fetch(request))[0]
    assert len(origin.seen) == already_forwarded + 1
    assert origin.seen[-1][1]["x-request-id"].encode() in request


@pytest.mark.parametrize("close_client", DISCONNECTS)
@pytest.mark.parametrize("request_count", [1, MAX_PIPELINE])
@async_test
async def test_no_attempt_begins_for_a_client_that_left_while_its_requests_waited(
    close_client: Any, request_count: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """They wait, as for the counter; with a full pipeline its input is not read either."""
    script = Script(lambda _event: [])
    origin = Origin()
    async with listening(origin.talk) as address, Limiter(script, {"s1": address}) as limiter:
        await keep_endpoint_connection(limiter, monkeypatch)
        client = socket.create_connection(limiter._address)
        for _ in range(request_count):
            client.sendall(ask(ttl=60000))
        events = await script.until(model.Request, request_count)
        script.answer = on_timer([action for event in events for action in send_on(event)])
        disconnect(client, close_client)
        limiter.dispatcher.dispatch(model.TimerFired(1))
        await assert_only_the_next_is_forwarded(limiter, origin, 1)
        assert not limiter.dispatcher.open_requests


@async_test
async def test_no_attempt_begins_for_a_client_that_left_a_response_unread(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    script = Script(lambda _event: [])
    origin = Origin()
    async with listening(origin.talk) as address, Limiter(script, {"s1": address}) as limiter:
        await keep_endpoint_connection(limiter, monkeypatch)
        client = socket.create_connection(limiter._address)
        client.sendall(ask(ttl=60000) + ask(ttl=60000))
        first, second = await script.until(model.Request, 2)
        script.answer = on_timer([model.Reject(first.id, 0.1)])
        limiter.dispatcher.dispatch(model.TimerFired(1))
        script.answer = on_timer(send_on(second))
        disconnect(client, close_with_unread_input)
        limiter.dispatcher.dispatch(model.TimerFired(1))
        await assert_only_the_next_is_forwarded(limiter, origin, 1)


@async_test
async def test_no_attempt_begins_where_the_end_was_read_and_its_confirmation_is_late(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An interim response is sent to it, and what follows is not looked up in time."""
    script = Script(lambda _event: [])
    origin = Origin()
    async with listening(origin.talk) as address, Limiter(script, {"s1": address}) as limiter:
        await keep_endpoint_connection(limiter, monkeypatch)
        reader, writer = await limiter.connect()
        writer.write(ask(ttl=60000))
        (event,) = await script.until(model.Request)
        client = list(limiter.listener.connections)[-1]
        writer.write_eof()
        while not client.liveness.input_ended:
            await asyncio.sleep(0)
        time.sleep(LATE)
        script.answer = on_timer(send_on(event))
        limiter.dispatcher.dispatch(model.TimerFired(1))
        status, _, _ = await read_final(reader)
        assert " 429 " in status
        writer.close()
        await assert_only_the_next_is_forwarded(limiter, origin, 1)


@async_test
async def test_request_of_a_client_that_has_just_half_closed_is_still_forwarded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(client_liveness, "PRESENCE_GRACE", 10.0)  # a slow machine must not make it late

    script = Script(lambda _event: [])
    origin = Origin()
    async with listening(origin.talk) as address, Limiter(script, {"s1": address}) as limiter:
        reader, writer = await limiter.connect()
        writer.write(ask(ttl=60000))
        (event,) = await script.until(model.Request)
        (client,) = limiter.listener.connections
        writer.write_eof()
        while not client.liveness.input_ended:
            await asyncio.sleep(0)
        script.answer = on_timer(send_on(event))
        # The connect waits for the event loop, and the confirmation would come between.
        monkeypatch.setattr(client_liveness, "RESET_WAIT", 10.0)
        limiter.dispatcher.dispatch(model.TimerFired(1))
        status, _, body = await read_final(reader)
        assert " 200 " in status and body == b"hi"


@pytest.mark.parametrize("close_client", DISCONNECTS)
@pytest.mark.parametrize("request_count", [1, MAX_PIPELINE])
@async_test
async def test_no_retry_begins_for_a_client_that_left_during_the_attempt_before(
    close_client: Any, request_count: int
) -> None:
    clients = list[socket.socket]()

    def fail_first(count: int) -> bytes:
        return b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n" if count <= request_count else OK

    def retry_errors(event: model.Event) -> list[model.Action]:
        if (
            isinstance(event, model.AttemptCompleted)
            and not event.request_finished
            and event.status is model.CallStatus.ERROR
        ):
            if clients:
                disconnect(clients.pop(), close_client)
            return [model.Forward(event.request_id, "s1", 60.0)]
        return send_on(event)

    script = Script(retry_errors)
    origin = Origin(fail_first)
    async with listening(origin.talk) as address, Limiter(script, {"s1": address}) as limiter:
        client = socket.create_connection(limiter._address)
        clients.append(client)
        client.sendall(b"".join(ask(ttl=60000) for _ in range(request_count)))
        outcomes = await script.until(model.AttemptCompleted, 2)
        assert outcomes[0].status is model.CallStatus.ERROR and not clients
        while limiter.dispatcher.open_requests:
            await asyncio.sleep(0)
        origin.reply = lambda _n: OK
        script.answer = send_on
        assert " 200 " in (await limiter.fetch(ask()))[0]  # behind whatever else was forwarded
        ids = [headers["x-request-id"] for _, headers, _ in origin.seen]
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

    script = Script(send_on)
    origin = Origin()
    async with listening(origin.talk) as address, Limiter(script, {"s1": address}) as limiter:
        monkeypatch.setattr(connection_pool, "asyncio", Asyncio())
        client = socket.create_connection(limiter._address)
        clients.append(client)
        client.sendall(ask(ttl=60000))
        (outcome,) = await script.until(model.AttemptCompleted)
        assert outcome.status in (model.CallStatus.NOT_SENT, model.CallStatus.CANCELLED)
        await assert_only_the_next_is_forwarded(limiter, origin)
