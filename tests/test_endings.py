"""What is still owed when something ends: real sockets, and each crossing forced by the peer's own step."""

from __future__ import annotations

import asyncio
import socket
import struct
import time
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest

from quota_gateway import lifecycle, model
from quota_gateway.net import connection_pool, listener
from quota_gateway.net.listener import MAX_PIPELINE
from tests.loopback import OK, SETTINGS, Limiter, Origin, Script, ask, listening, read_message, run, send_on

# Draining.


def test_what_waits_in_the_accept_queue_when_the_listener_closes_is_answered() -> None:
    async def main() -> None:
        async with Limiter(
            Script(lambda e: [model.Reject(e.id, 0.1)] if isinstance(e, model.Request) else []), {}
        ) as limiter:
            clients = [socket.create_connection(limiter._address) for _ in range(3)]
            for client in clients:  # up, and sent, while this loop has not turned once
                client.sendall(ask())
            limiter.listener.start_draining()
            closing = asyncio.create_task(limiter.listener.close(1000))
            for client in clients:
                reader, writer = await asyncio.open_connection(sock=client)
                assert " 429 " in (await read_message(reader))[0]
                writer.close()
            await closing

    run(main())


def test_a_connection_whose_long_answer_ends_while_draining_is_closed_behind_it() -> None:
    async def main() -> None:
        finish = asyncio.Event()

        async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_message(reader)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + b"x" * 90_000)
            await finish.wait()
            writer.write(b"x" * 10_000)
            await reader.read()

        async with listening(talk) as dial, Limiter(Script(send_on), {"s1": dial}) as limiter:
            reader, writer = await limiter.connect()
            writer.write(ask())
            head = await reader.readuntil(b"\r\n\r\n")  # begun before the drain: it promises to stay open
            assert b"close" not in head
            limiter.listener.start_draining()
            closing = asyncio.create_task(limiter.listener.close(1000))
            while limiter.listener._server is not None:
                await asyncio.sleep(0)
            finish.set()
            assert len(await reader.read()) == 100_000
            writer.close()
            await closing

    run(main())


def test_half_a_head_is_still_answered_while_draining(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(listener, "HEAD", 0.3)

    async def main() -> None:
        async with Limiter(Script(send_on), {}) as limiter:
            reader, writer = await limiter.connect()
            writer.write(ask()[:40])
            while not any(client._reading for client in limiter.listener._clients):
                await asyncio.sleep(0)
            limiter.listener.start_draining()
            closing = asyncio.create_task(limiter.listener.close(1000))
            assert " 408 " in (await read_message(reader))[0]
            writer.close()
            await closing

    run(main())


def test_a_request_that_becomes_whole_at_the_very_end_is_turned_away_and_not_lost() -> None:
    async def main() -> None:
        origin = Origin(lambda _n: None)
        async with listening(origin.talk) as dial, Limiter(Script(send_on), {"s1": dial}) as limiter:
            reader, writer = await limiter.connect()
            request = ask()
            writer.write(request[:-2])
            while not any(client._reading for client in limiter.listener._clients):
                await asyncio.sleep(0)
            limiter.listener.start_draining()
            await limiter.listener.close(0.01)
            limiter.dispatcher.abandon_all()
            closing = asyncio.create_task(limiter.listener.close(1000))
            writer.write(request[-2:])
            status, headers, _ = await read_message(reader)
            assert (
                " 503 " in status and headers["connection"] == "close" and headers["retry-after"] == "0.100"
            )
            assert not origin.seen
            writer.close()
            await closing

    run(main())


def test_what_was_never_sent_on_is_refused_at_the_end_and_not_failed() -> None:
    async def main() -> None:
        script = Script(lambda _event: [])
        async with Limiter(script, {}) as limiter:
            reader, writer = await limiter.connect()
            writer.write(ask())
            await script.until(model.Request)
            limiter.listener.start_draining()
            limiter.dispatcher.abandon_all()
            status, headers, _ = await read_message(reader)
            assert " 503 " in status and "retry-after" in headers

    run(main())


@pytest.mark.parametrize(("deadline", "kill"), [(0.7, 1.4), (2.0, 2.7), (3.0, 3.7), (9.0, 3.7), (0.0, 3.7)])
def test_all_is_over_before_sigkill_may_come(deadline: float, kill: float) -> None:
    """The longest deadline counts as 3 s where it is longer, and 0.7 s come on top; 0 is one not told."""
    settings = replace(SETTINGS, classes=tuple(replace(c, deadline=deadline) for c in SETTINGS.classes))
    end = lifecycle.ACCEPT_PERIOD + lifecycle.drain_timeout(settings) + lifecycle.FLUSH_TIMEOUT
    assert kill - 0.3 < end < kill - 0.1


# Clients.


def refuse(event: model.Event) -> list[model.Action]:
    return [model.Reject(event.id, 0.1)] if isinstance(event, model.Request) else []


def reset(client: socket.socket) -> None:
    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.close()


async def interim(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """The final answer behind the interim one that a half-closed client gets."""
    assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 100 ")
    return await read_message(reader)


def test_a_half_closed_client_gets_the_answer_that_is_out() -> None:
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

            def seen(request: listener.ClientRequest) -> None:
                mark(request)
                stranded.set()

            limiter.dispatcher.on_client_maybe_gone = seen  # type: ignore[method-assign]
            reader, writer = await limiter.connect()
            writer.write(ask(ttl=15000))
            writer.write_eof()
            await stranded.wait()
            release.set()
            status, headers, body = await interim(reader)
            assert " 200 " in status and body == b"hi" and headers["connection"] == "close"
            assert await reader.read() == b""

    run(main())


def test_for_a_half_closed_client_nothing_more_is_sent_on_and_it_is_refused_at_once() -> None:
    async def main() -> None:
        script = Script(lambda _event: [])
        origin = Origin()
        async with listening(origin.talk) as dial, Limiter(script, {"s1": dial}) as limiter:
            stranded = asyncio.Event()
            mark = limiter.dispatcher.on_client_maybe_gone

            def seen(request: listener.ClientRequest) -> None:
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
            status, _, _ = await interim(reader)
            assert " 429 " in status and not origin.seen

    run(main())


@pytest.mark.parametrize("how", [socket.socket.close, reset])
@pytest.mark.parametrize("number", [1, MAX_PIPELINE])
def test_a_client_that_goes_while_its_requests_wait_is_noticed(how: Any, number: int) -> None:
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


def test_a_half_closed_client_whose_input_is_not_read_is_asked_once(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(listener, "SWEEP", 0.01)

    async def main() -> None:
        script = Script(lambda _event: [])
        async with Limiter(script, {}) as limiter:
            looks, look = asyncio.Queue[None](), listener._Client._look

            def counted(self: listener._Client) -> None:
                look(self)
                looks.put_nowait(None)

            monkeypatch.setattr(listener._Client, "_look", counted)
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


def leave_unread(client: socket.socket) -> None:
    """What is unread at a close makes a reset of it."""
    client.setblocking(True)
    assert client.recv(1, socket.MSG_PEEK)
    client.close()


WAYS = [socket.socket.close, reset]
LATE = 0.11  # seconds after a close in which no attempt may begin any more


def leave(client: socket.socket, how: Callable[[socket.socket], None]) -> None:
    """The client goes, and the limiter's loop does not turn until an attempt would come too late: whatever
    looks at clients by a timer, or is told by the loop, has not been asked then."""
    how(client)
    time.sleep(LATE)


async def keep_one(limiter: Limiter, monkeypatch: pytest.MonkeyPatch) -> None:
    """A connection to the server is kept, so that the next attempt goes out in the step of its decision."""
    monkeypatch.setattr(connection_pool, "REST", 0.0)
    answer, limiter.script.answer = limiter.script.answer, send_on
    assert " 200 " in (await limiter.fetch(ask()))[0]
    limiter.script.answer = answer
    limiter.script.events.clear()


async def only_the_next_is_served(limiter: Limiter, origin: Origin, number: int = 0) -> None:
    """Nothing but ``number`` requests went out before the one that is asked now."""
    limiter.script.answer = send_on
    request = ask()
    assert " 200 " in (await limiter.fetch(request))[0]
    assert len(origin.seen) == number + 1
    assert origin.seen[-1][1]["x-request-id"].encode() in request


@pytest.mark.parametrize("how", WAYS)
@pytest.mark.parametrize("number", [1, MAX_PIPELINE])
def test_no_attempt_begins_for_a_client_that_went_while_its_requests_waited(
    how: Any, number: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """They are held, as for the counter; with so many its input is not read either."""

    async def main() -> None:
        script, origin = Script(lambda _event: []), Origin()
        async with listening(origin.talk) as dial, Limiter(script, {"s1": dial}) as limiter:
            await keep_one(limiter, monkeypatch)
            client = socket.create_connection(limiter._address)
            for _ in range(number):
                client.sendall(ask(ttl=60000))
            events = await script.until(model.Request, number)
            script.answer = lambda e: (
                [a for event in events for a in send_on(event)]
                if isinstance(e, model.TimerFired)
                else send_on(e)
            )
            leave(client, how)
            limiter.dispatcher.dispatch(model.TimerFired(1))
            await only_the_next_is_served(limiter, origin, 1)
            assert not limiter.dispatcher.open_requests

    run(main())


def test_nor_for_one_that_left_an_answer_unread(monkeypatch: pytest.MonkeyPatch) -> None:
    async def main() -> None:
        script, origin = Script(lambda _event: []), Origin()
        async with listening(origin.talk) as dial, Limiter(script, {"s1": dial}) as limiter:
            await keep_one(limiter, monkeypatch)
            client = socket.create_connection(limiter._address)
            client.sendall(ask(ttl=60000) + ask(ttl=60000))
            first, second = await script.until(model.Request, 2)
            script.answer = lambda e: (
                [model.Reject(first.id, 0.1)] if isinstance(e, model.TimerFired) else send_on(e)
            )
            limiter.dispatcher.dispatch(model.TimerFired(1))
            script.answer = lambda e: send_on(second) if isinstance(e, model.TimerFired) else send_on(e)
            leave(client, leave_unread)
            limiter.dispatcher.dispatch(model.TimerFired(1))
            await only_the_next_is_served(limiter, origin, 1)

    run(main())


def test_nor_where_its_end_was_read_and_the_look_at_it_comes_late(monkeypatch: pytest.MonkeyPatch) -> None:
    """It is asked whether it is still there, and the answer to that is not looked up in time."""

    async def main() -> None:
        script, origin = Script(lambda _event: []), Origin()
        async with listening(origin.talk) as dial, Limiter(script, {"s1": dial}) as limiter:
            await keep_one(limiter, monkeypatch)
            reader, writer = await limiter.connect()
            writer.write(ask(ttl=60000))
            (event,) = await script.until(model.Request)
            client = list(limiter.listener._clients)[-1]
            writer.write_eof()
            while not client._ended:
                await asyncio.sleep(0)
            time.sleep(LATE)
            script.answer = lambda e: send_on(event) if isinstance(e, model.TimerFired) else send_on(e)
            limiter.dispatcher.dispatch(model.TimerFired(1))
            status, _, _ = await interim(reader)
            assert " 429 " in status
            writer.close()
            await only_the_next_is_served(limiter, origin, 1)

    run(main())


def test_whoever_has_just_half_closed_is_still_sent_on_for(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(listener, "STILL", 10.0)  # a slow machine must not make it late

    async def main() -> None:
        script, origin = Script(lambda _event: []), Origin()
        async with listening(origin.talk) as dial, Limiter(script, {"s1": dial}) as limiter:
            reader, writer = await limiter.connect()
            writer.write(ask(ttl=60000))
            (event,) = await script.until(model.Request)
            (client,) = limiter.listener._clients
            writer.write_eof()
            while not client._ended:
                await asyncio.sleep(0)
            script.answer = lambda e: send_on(event) if isinstance(e, model.TimerFired) else send_on(e)
            # The dial would wait for the loop, and the look at half-closed clients come between.
            monkeypatch.setattr(listener, "GONE", 10.0)
            limiter.dispatcher.dispatch(model.TimerFired(1))
            status, _, body = await interim(reader)
            assert " 200 " in status and body == b"hi"

    run(main())


@pytest.mark.parametrize("how", WAYS)
@pytest.mark.parametrize("number", [1, MAX_PIPELINE])
def test_no_further_attempt_begins_for_a_client_that_went_under_the_one_before(how: Any, number: int) -> None:
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
                    leave(gone.pop(), how)
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


@pytest.mark.parametrize("how", WAYS)
def test_no_attempt_begins_for_a_client_that_went_during_its_dial(
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
                leave(gone.pop(), how)
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
            await only_the_next_is_served(limiter, origin)

    run(main())


def test_whoever_has_a_request_on_its_way_does_not_make_room() -> None:
    async def main() -> None:
        async with Limiter(Script(refuse), {}) as limiter:
            clients = [socket.create_connection(limiter._address) for _ in range(3)]
            while len(limiter.listener._clients) < 3:
                await asyncio.sleep(0)
            limiter.listener.set_max_connections(3)
            clients[0].sendall(ask())  # the longest silent of them, unread when the next one comes
            limiter.listener.connected(listener._Client(limiter.listener))
            first, _ = await asyncio.open_connection(sock=clients[0])
            second, _ = await asyncio.open_connection(sock=clients[1])
            assert " 429 " in (await read_message(first))[0]
            assert await second.read() == b""

    run(main())


def test_the_end_of_an_idle_connection_goes_out_with_the_look(monkeypatch: pytest.MonkeyPatch) -> None:
    """A request that comes between the two meets an orderly end, as one that crosses it, and no reset."""

    async def main() -> None:
        async with Limiter(Script(refuse), {}) as limiter:
            client = socket.create_connection(limiter._address)
            look = listener._Client._unread.fget  # type: ignore[attr-defined]

            def cross(self: listener._Client) -> bool:
                unread: bool = look(self)
                client.sendall(ask())
                return unread

            while not limiter.listener._clients:
                await asyncio.sleep(0)
            monkeypatch.setattr(listener._Client, "_unread", property(cross))
            closing = asyncio.create_task(limiter.listener.close(1000))
            await closing
            client.settimeout(10)
            assert client.recv(10) == b""

    run(main())


def test_what_crosses_a_closing_answer_does_not_eat_it() -> None:
    async def main() -> None:
        script = Script(lambda _event: [])
        async with Limiter(script, {}) as limiter:
            client = socket.create_connection(limiter._address)
            client.sendall(ask())
            (event,) = await script.until(model.Request)
            limiter.listener.start_draining()
            client.sendall(b"x" * 1000)  # unread when the answer is written and the connection closed
            script.answer = lambda _event: [model.Reject(event.id, 0.1)]
            limiter.dispatcher.dispatch(model.TimerFired(1))
            reader, writer = await asyncio.open_connection(sock=client)
            assert " 429 " in (await read_message(reader))[0]
            assert await reader.read() == b""
            writer.close()

    run(main())


# Servers.


def test_a_connection_that_breaks_before_its_dial_is_told_proves_that_nothing_ran(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It had the request wait for its whole time, for an outcome that never came."""

    class Late:
        """A loop whose connections are told once the peer has ended them."""

        def __getattr__(self, name: str) -> Any:
            return getattr(asyncio.get_running_loop(), name)

        async def create_connection(self, *args: Any) -> Any:
            transport, protocol = await asyncio.get_running_loop().create_connection(*args)
            while protocol.transport is not None:
                await asyncio.sleep(0)
            return transport, protocol

    class Asyncio:
        get_running_loop = Late

        def __getattr__(self, name: str) -> Any:
            return getattr(asyncio, name)

    async def talk(_reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.transport.abort()

    async def main() -> None:
        script = Script(send_on)
        async with listening(talk) as dial, Limiter(script, {"s1": dial}) as limiter:
            monkeypatch.setattr(connection_pool, "asyncio", Asyncio())
            reader, writer = await limiter.connect()
            writer.write(ask(ttl=60000))
            (outcome,) = await script.until(model.AttemptCompleted)
            assert outcome.status is model.CallStatus.RESET_BEFORE_REQUEST
            assert " 429 " in (await read_message(reader))[0]

    run(main())
