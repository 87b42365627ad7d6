"""What is still owed when something ends: real sockets, and each crossing forced by the peer's own step."""

from __future__ import annotations

import asyncio
import socket
from dataclasses import replace

import pytest

from cypresspulley import __main__ as program
from cypresspulley import interface as api
from cypresspulley.net import frontend
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
