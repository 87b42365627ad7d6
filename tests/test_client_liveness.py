"""Clients that leave or half-close: real sockets, each crossing forced by the client's own step."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable
from typing import Any

import pytest

from quota_gateway import model
from quota_gateway.net import (
    client_liveness,
    connection_pool,
    listener,
)
from quota_gateway.net.client_liveness import ClientLiveness
from quota_gateway.net.client_request import ClientRequest
from quota_gateway.net.request_reader import MAX_PIPELINE
from tests.client_helpers import (
    DISCONNECTS,
    LATE,
    read_final,
    reset,
)
from tests.loopback import OK, Limiter, Origin, Script, ask, listening, read_message, run, send_on


def test_half_closed_client_gets_the_response_in_flight() -> None:
    async def main() -> None:
        release = asyncio.Event()

        async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_message(reader)
            await release.wait()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")
            await reader.read()

        async with listening(talk) as dial, Limiter(Script(send_on), {"s1": dial}) as limiter:
            stranded = asyncio.Event()
            mark = limiter.dispatcher.on_client_maybe_gone

            def seen(request: ClientRequest) -> None:
                mark(request)
                stranded.set()

            limiter.dispatcher.on_client_maybe_gone = seen  # type: ignore[method-assign]
            reader, writer = await limiter.connect()
            writer.write(ask(ttl=15000))
            writer.write_eof()
            await stranded.wait()
            release.set()
            status, headers, body = await read_final(reader)
            assert " 200 " in status and body == b"hi" and headers["connection"] == "close"
            assert await reader.read() == b""

    run(main())


def test_nothing_more_is_forwarded_for_a_half_closed_client_and_it_is_rejected_at_once() -> None:
    async def main() -> None:
        script = Script(lambda _event: [])
        origin = Origin()
        async with listening(origin.talk) as dial, Limiter(script, {"s1": dial}) as limiter:
            stranded = asyncio.Event()
            mark = limiter.dispatcher.on_client_maybe_gone

            def seen(request: ClientRequest) -> None:
                mark(request)
                stranded.set()

            limiter.dispatcher.on_client_maybe_gone = seen  # type: ignore[method-assign]
            reader, writer = await limiter.connect()
            writer.write(ask(ttl=15000))
            (event,) = await script.until(model.Request)  # it waits, as for the counter
            writer.write_eof()
            await stranded.wait()
            script.answer = lambda e: send_on(event) if isinstance(e, model.TimerFired) else send_on(e)
            limiter.dispatcher.dispatch(model.TimerFired(1))
            status, _, _ = await read_final(reader)
            assert " 429 " in status and not origin.seen

    run(main())


@pytest.mark.parametrize("how", [socket.socket.close, reset])
@pytest.mark.parametrize("number", [1, MAX_PIPELINE])
def test_disconnect_is_noticed_while_requests_wait(how: Any, number: int) -> None:
    """With so many waiting its input is not read, and nothing but a look would show that it has gone."""

    async def main() -> None:
        script = Script(lambda _event: [])
        async with Limiter(script, {}) as limiter:
            client = socket.create_connection(limiter._address)
            for _ in range(number):
                client.sendall(ask(ttl=60000))
            await script.until(model.Request, number)
            how(client)
            assert len(await script.until(model.ClientDisconnected, number)) == number
            assert not limiter.dispatcher.open_requests

    run(main())


def test_half_closed_client_whose_input_is_not_read_gets_one_interim_response(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(listener, "SCAN_INTERVAL", 0.01)

    async def main() -> None:
        script = Script(lambda _event: [])
        async with Limiter(script, {}) as limiter:
            looks, look = asyncio.Queue[None](), ClientLiveness.poll

            def counted(self: ClientLiveness) -> None:
                look(self)
                looks.put_nowait(None)

            monkeypatch.setattr(ClientLiveness, "poll", counted)
            reader, writer = await limiter.connect()
            for _ in range(MAX_PIPELINE):
                writer.write(ask(ttl=60000))
            events = await script.until(model.Request, MAX_PIPELINE)
            writer.write_eof()
            for _ in range(20):
                await looks.get()
            script.answer = lambda _event: [model.Fail(event.id) for event in events]
            limiter.dispatcher.dispatch(model.TimerFired(1))
            answers = await reader.read()
            assert answers.count(b"HTTP/1.1 100 ") == 1 and answers.count(b"HTTP/1.1 502 ") == MAX_PIPELINE

    run(main())


def close_with_unread_input(client: socket.socket) -> None:
    """What is unread at a close makes a reset of it."""
    client.setblocking(True)
    assert client.recv(1, socket.MSG_PEEK)
    client.close()


def disconnect(client: socket.socket, how: Callable[[socket.socket], None]) -> None:
    """The client goes, and the limiter's loop does not turn until an attempt would come too late: whatever
    looks at clients by a timer, or is told by the loop, has not been asked then."""
    how(client)
    time.sleep(LATE)


async def keep_endpoint_connection(limiter: Limiter, monkeypatch: pytest.MonkeyPatch) -> None:
    """A connection to the server is kept, so that the next attempt goes out in the step of its decision."""
    monkeypatch.setattr(connection_pool, "REST", 0.0)
    answer, limiter.script.answer = limiter.script.answer, send_on
    assert " 200 " in (await limiter.fetch(ask()))[0]
    limiter.script.answer = answer
    limiter.script.events.clear()


async def assert_only_the_next_is_forwarded(limiter: Limiter, origin: Origin, number: int = 0) -> None:
    """Nothing but ``number`` requests went out before the one that is asked now."""
    limiter.script.answer = send_on
    request = ask()
    assert " 200 " in (await limiter.fetch(request))[0]
    assert len(origin.seen) == number + 1
    assert origin.seen[-1][1]["x-request-id"].encode() in request


@pytest.mark.parametrize("how", DISCONNECTS)
@pytest.mark.parametrize("number", [1, MAX_PIPELINE])
def test_no_attempt_begins_for_a_client_that_left_while_its_requests_waited(
    how: Any, number: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """They are held, as for the counter; with so many its input is not read either."""

    async def main() -> None:
        script, origin = Script(lambda _event: []), Origin()
        async with listening(origin.talk) as dial, Limiter(script, {"s1": dial}) as limiter:
            await keep_endpoint_connection(limiter, monkeypatch)
            client = socket.create_connection(limiter._address)
            for _ in range(number):
                client.sendall(ask(ttl=60000))
            events = await script.until(model.Request, number)
            script.answer = lambda e: (
                [a for event in events for a in send_on(event)]
                if isinstance(e, model.TimerFired)
                else send_on(e)
            )
            disconnect(client, how)
            limiter.dispatcher.dispatch(model.TimerFired(1))
            await assert_only_the_next_is_forwarded(limiter, origin, 1)
            assert not limiter.dispatcher.open_requests

    run(main())


def test_no_attempt_begins_for_a_client_that_left_a_response_unread(monkeypatch: pytest.MonkeyPatch) -> None:
    async def main() -> None:
        script, origin = Script(lambda _event: []), Origin()
        async with listening(origin.talk) as dial, Limiter(script, {"s1": dial}) as limiter:
            await keep_endpoint_connection(limiter, monkeypatch)
            client = socket.create_connection(limiter._address)
            client.sendall(ask(ttl=60000) + ask(ttl=60000))
            first, second = await script.until(model.Request, 2)
            script.answer = lambda e: (
                [model.Reject(first.id, 0.1)] if isinstance(e, model.TimerFired) else send_on(e)
            )
            limiter.dispatcher.dispatch(model.TimerFired(1))
            script.answer = lambda e: send_on(second) if isinstance(e, model.TimerFired) else send_on(e)
            disconnect(client, close_with_unread_input)
            limiter.dispatcher.dispatch(model.TimerFired(1))
            await assert_only_the_next_is_forwarded(limiter, origin, 1)

    run(main())


def test_no_attempt_begins_where_the_end_was_read_and_its_confirmation_is_late(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It is asked whether it is still there, and the answer to that is not looked up in time."""

    async def main() -> None:
        script, origin = Script(lambda _event: []), Origin()
        async with listening(origin.talk) as dial, Limiter(script, {"s1": dial}) as limiter:
            await keep_endpoint_connection(limiter, monkeypatch)
            reader, writer = await limiter.connect()
            writer.write(ask(ttl=60000))
            (event,) = await script.until(model.Request)
            client = list(limiter.listener._clients)[-1]
            writer.write_eof()
            while not client.liveness.input_ended:
                await asyncio.sleep(0)
            time.sleep(LATE)
            script.answer = lambda e: send_on(event) if isinstance(e, model.TimerFired) else send_on(e)
            limiter.dispatcher.dispatch(model.TimerFired(1))
            status, _, _ = await read_final(reader)
            assert " 429 " in status
            writer.close()
            await assert_only_the_next_is_forwarded(limiter, origin, 1)

    run(main())


def test_request_of_a_client_that_has_just_half_closed_is_still_forwarded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(client_liveness, "PRESENCE_GRACE", 10.0)  # a slow machine must not make it late

    async def main() -> None:
        script, origin = Script(lambda _event: []), Origin()
        async with listening(origin.talk) as dial, Limiter(script, {"s1": dial}) as limiter:
            reader, writer = await limiter.connect()
            writer.write(ask(ttl=60000))
            (event,) = await script.until(model.Request)
            (client,) = limiter.listener._clients
            writer.write_eof()
            while not client.liveness.input_ended:
                await asyncio.sleep(0)
            script.answer = lambda e: send_on(event) if isinstance(e, model.TimerFired) else send_on(e)
            # The dial would wait for the loop, and the look at half-closed clients come between.
            monkeypatch.setattr(client_liveness, "RESET_WAIT", 10.0)
            limiter.dispatcher.dispatch(model.TimerFired(1))
            status, _, body = await read_final(reader)
            assert " 200 " in status and body == b"hi"

    run(main())


@pytest.mark.parametrize("how", DISCONNECTS)
@pytest.mark.parametrize("number", [1, MAX_PIPELINE])
def test_no_retry_begins_for_a_client_that_left_during_the_attempt_before(how: Any, number: int) -> None:
    async def main() -> None:
        origin = Origin(lambda n: b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n" if n <= number else OK)
        gone = list[socket.socket]()

        def again(event: model.Event) -> list[model.Action]:
            if (
                isinstance(event, model.AttemptCompleted)
                and not event.request_finished
                and event.status is model.CallStatus.ERROR
            ):
                if gone:
                    disconnect(gone.pop(), how)
                return [model.Forward(event.request_id, "s1", 60.0)]
            return send_on(event)

        script = Script(again)
        async with listening(origin.talk) as dial, Limiter(script, {"s1": dial}) as limiter:
            client = socket.create_connection(limiter._address)
            gone.append(client)
            client.sendall(b"".join(ask(ttl=60000) for _ in range(number)))
            ended = await script.until(model.AttemptCompleted, 2)
            assert ended[0].status is model.CallStatus.ERROR and not gone
            while limiter.dispatcher.open_requests:
                await asyncio.sleep(0)
            origin.reply = lambda _n: OK
            script.answer = send_on
            assert " 200 " in (await limiter.fetch(ask()))[0]  # behind whatever else went out
            ids = [headers["x-request-id"] for _, headers, _ in origin.seen]
            assert len(ids) == len(set(ids)) <= number + 1

    run(main())


@pytest.mark.parametrize("how", DISCONNECTS)
def test_no_attempt_begins_for_a_client_that_left_during_the_connect(
    how: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    gone = list[socket.socket]()

    class Slow:
        """A loop whose connections come up when the client has gone."""

        def __getattr__(self, name: str) -> Any:
            return getattr(asyncio.get_running_loop(), name)

        async def create_connection(self, *args: Any) -> Any:
            up = await asyncio.get_running_loop().create_connection(*args)
            if gone:
                disconnect(gone.pop(), how)
            return up

    class Asyncio:
        get_running_loop = Slow

        def __getattr__(self, name: str) -> Any:
            return getattr(asyncio, name)

    async def main() -> None:
        script, origin = Script(send_on), Origin()
        async with listening(origin.talk) as dial, Limiter(script, {"s1": dial}) as limiter:
            monkeypatch.setattr(connection_pool, "asyncio", Asyncio())
            client = socket.create_connection(limiter._address)
            gone.append(client)
            client.sendall(ask(ttl=60000))
            (outcome,) = await script.until(model.AttemptCompleted)
            assert outcome.status in (model.CallStatus.NOT_SENT, model.CallStatus.CANCELLED)
            await assert_only_the_next_is_forwarded(limiter, origin)

    run(main())
