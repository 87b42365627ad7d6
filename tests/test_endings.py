"""What is still owed when something ends: real sockets, and each crossing forced by the peer's own step."""

from __future__ import annotations

import asyncio
import socket
import struct
from dataclasses import replace
from typing import Any

import pytest

from cypresspulley import __main__ as program
from cypresspulley import interface as api
from cypresspulley.net import frontend, upstream
from cypresspulley.net.frontend import MAX_PIPELINE
from tests.loopback import SETTINGS, Limiter, Origin, Script, ask, listening, read_message, run, send_on

# Draining.


def test_what_waits_in_the_accept_queue_when_the_listener_closes_is_answered() -> None:
    async def main() -> None:
        async with Limiter(
            Script(lambda e: [api.Refuse(e.id, 0.1)] if isinstance(e, api.Request) else []), {}
        ) as limiter:
            clients = [socket.create_connection(limiter._address) for _ in range(3)]
            for client in clients:  # up, and sent, while this loop has not turned once
                client.sendall(ask())
            limiter.frontend.drain()
            closing = asyncio.create_task(limiter.frontend.close(1000))
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
            limiter.frontend.drain()
            closing = asyncio.create_task(limiter.frontend.close(1000))
            while limiter.frontend._server is not None:
                await asyncio.sleep(0)
            finish.set()
            assert len(await reader.read()) == 100_000
            writer.close()
            await closing

    run(main())


def test_half_a_head_is_still_answered_while_draining(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(frontend, "HEAD", 0.3)

    async def main() -> None:
        async with Limiter(Script(send_on), {}) as limiter:
            reader, writer = await limiter.connect()
            writer.write(ask()[:40])
            while not any(client._reading for client in limiter.frontend._clients):
                await asyncio.sleep(0)
            limiter.frontend.drain()
            closing = asyncio.create_task(limiter.frontend.close(1000))
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
            while not any(client._reading for client in limiter.frontend._clients):
                await asyncio.sleep(0)
            limiter.frontend.drain()
            await limiter.frontend.close(0.01)
            limiter.node.abandon_all()
            closing = asyncio.create_task(limiter.frontend.close(1000))
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
            await script.until(api.Request)
            limiter.frontend.drain()
            limiter.node.abandon_all()
            status, headers, _ = await read_message(reader)
            assert " 503 " in status and "retry-after" in headers

    run(main())


@pytest.mark.parametrize(("deadline", "kill"), [(0.7, 1.4), (2.0, 2.7), (3.0, 3.7), (9.0, 3.7), (0.0, 3.7)])
def test_all_is_over_before_sigkill_may_come(deadline: float, kill: float) -> None:
    """The longest deadline counts as 3 s where it is longer, and 0.7 s come on top; 0 is one not told."""
    settings = replace(SETTINGS, classes=tuple(replace(c, deadline=deadline) for c in SETTINGS.classes))
    end = program.ACCEPT_FOR + program.answer_time(settings) + program.FLUSH_WITHIN
    assert kill - 0.3 < end < kill - 0.1


# Clients.


def refuse(event: api.Event) -> list[api.Action]:
    return [api.Refuse(event.id, 0.1)] if isinstance(event, api.Request) else []


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
            mark = limiter.node.stranded

            def seen(request: frontend.ClientRequest) -> None:
                mark(request)
                stranded.set()

            limiter.node.stranded = seen  # type: ignore[method-assign]
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
            mark = limiter.node.stranded

            def seen(request: frontend.ClientRequest) -> None:
                mark(request)
                stranded.set()

            limiter.node.stranded = seen  # type: ignore[method-assign]
            reader, writer = await limiter.connect()
            writer.write(ask(ttl=15000))
            (event,) = await script.until(api.Request)  # it waits, as for the counter
            writer.write_eof()
            await stranded.wait()
            script.answer = lambda e: send_on(event) if isinstance(e, api.TimerFired) else send_on(e)
            limiter.node.feed(api.TimerFired(1))
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
            await script.until(api.Request, number)
            how(client)
            assert len(await script.until(api.Departed, number)) == number
            assert not limiter.node.open_requests

    run(main())


def test_whoever_has_a_request_on_its_way_does_not_make_room() -> None:
    async def main() -> None:
        async with Limiter(Script(refuse), {}) as limiter:
            clients = [socket.create_connection(limiter._address) for _ in range(3)]
            while len(limiter.frontend._clients) < 3:
                await asyncio.sleep(0)
            limiter.frontend.resize(3)
            clients[0].sendall(ask())  # the longest silent of them, unread when the next one comes
            limiter.frontend.connected(frontend._Client(limiter.frontend))
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
            look = frontend._Client._unread.fget  # type: ignore[attr-defined]

            def cross(self: frontend._Client) -> bool:
                unread: bool = look(self)
                client.sendall(ask())
                return unread

            while not limiter.frontend._clients:
                await asyncio.sleep(0)
            monkeypatch.setattr(frontend._Client, "_unread", property(cross))
            closing = asyncio.create_task(limiter.frontend.close(1000))
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
            (event,) = await script.until(api.Request)
            limiter.frontend.drain()
            client.sendall(b"x" * 1000)  # unread when the answer is written and the connection closed
            script.answer = lambda _event: [api.Refuse(event.id, 0.1)]
            limiter.node.feed(api.TimerFired(1))
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
            monkeypatch.setattr(upstream, "asyncio", Asyncio())
            reader, writer = await limiter.connect()
            writer.write(ask(ttl=60000))
            (outcome,) = await script.until(api.Outcome)
            assert outcome.status is api.Status.DROPPED
            assert " 429 " in (await read_message(reader))[0]

    run(main())
