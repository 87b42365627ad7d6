"""Long bodies and every form of a message: in pieces, both ways, no side faster than the other."""

from __future__ import annotations

import asyncio
import math
import socket
import time
from collections.abc import Callable
from typing import Any

import pytest

from quota_gateway import model
from quota_gateway.net.http_common import MAX_BODY
from tests import world as w
from tests.loopback import Limiter, Script, ask, async_test, listening, read_message, send_on
from tests.test_endings import LATE, WAYS, interim

LONG = bytes(range(256)) * 4096 * 4  # 4 MiB
POST = "/post?account=00000000b4d65521"


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    if headers.get("transfer-encoding") != "chunked":
        return await reader.read()
    parts = []
    while size := int((await reader.readline()).partition(b";")[0], 16):
        parts.append(await reader.readexactly(size))
        assert await reader.readline() == b"\r\n"
    assert await reader.readline() == b"\r\n"
    return b"".join(parts)


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    first, *lines = (await reader.readuntil(b"\r\n\r\n")).decode().rstrip().split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return first, {name.lower(): value.strip() for name, _, value in pairs}


def chunked(body: bytes, size: int = 50_000, extension: bytes = b"") -> bytes:
    parts = [body[at : at + size] for at in range(0, len(body), size)]
    framed = b"".join(b"%x%b\r\n%b\r\n" % (len(part), extension, part) for part in parts)
    return framed + b"0\r\nX-Trailer: 1\r\nX-Units-Charged: 7\r\n\r\n"


ANSWERS = [
    b"Content-Length: %d\r\n\r\n" % len(LONG) + LONG,
    b"Transfer-Encoding: chunked\r\n\r\n" + chunked(LONG),
    b"Transfer-Encoding: Chunked \r\n\r\n" + chunked(LONG, 70_001, b";name=value"),
    b"Connection: close\r\n\r\n" + LONG,
    b"\r\n" + LONG,
]


@pytest.mark.parametrize("answer", ANSWERS, ids=["length", "chunked", "odd chunked", "close", "neither"])
@async_test
async def test_a_long_answer_passes_unchanged_in_every_framing(answer: bytes) -> None:
    async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_message(reader)
        writer.write(b"HTTP/1.1 200 OK\r\nX-Units-Charged: 3\r\n" + answer)
        if b"ength" in answer[:40] or b"hunked" in answer[:40]:
            await read_message(reader)  # the connection is used again
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2 \r\n\r\nhi")
        await writer.drain()

    script = Script(send_on)
    async with listening(talk) as dial, Limiter(script, {"s1": dial}) as limiter:
        reader, writer = await limiter.connect()
        writer.write(ask())
        status, headers = await read_head(reader)
        assert " 200 " in status and await read_body(reader, headers) == LONG
        (outcome,) = await script.until(model.AttemptCompleted)
        assert (
            outcome.status is model.CallStatus.OK and outcome.request_finished and outcome.charged_units == 3
        )
        if b"ength" in answer[:40] or b"hunked" in answer[:40]:
            await asyncio.sleep(0.05)
            writer.write(ask())
            assert (await read_message(reader))[2] == b"hi"


@pytest.mark.parametrize(
    "framing", [b"Content-Length: 5 ", b"transfer-encoding:  chunked ", b"Connection: close"]
)
@async_test
async def test_a_short_answer_in_every_framing(framing: bytes) -> None:
    async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_message(reader)
        body = chunked(b"hello", 2) if b"chunked" in framing else b"hello"
        writer.write(
            b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n%b\r\n\r\n" % framing + body
        )
        await writer.drain()

    async with listening(talk) as dial, Limiter(Script(send_on), {"s1": dial}) as limiter:
        status, _, body = await limiter.fetch(ask())
        assert " 200 " in status and body == b"hello"


@async_test
async def test_a_client_that_does_not_read_stops_its_server() -> None:
    sent, whole = 0, 64 * len(LONG)

    async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal sent
        await read_message(reader)
        writer.transport.set_write_buffer_limits(high=0)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % whole)
        while sent < whole:
            writer.write(LONG)
            await writer.drain()
            sent += len(LONG)

    async with listening(talk) as dial, Limiter(Script(send_on), {"s1": dial}) as limiter:
        reader, writer = await limiter.connect()
        reader._transport.pause_reading()  # type: ignore[attr-defined]
        writer.write(ask())
        while not any(connection._held for connection in limiter.pool.streaming):
            await asyncio.sleep(0.01)
        assert sent < whole  # the rest waits at the server, not here
        reader._transport.resume_reading()  # type: ignore[attr-defined]
        _, headers = await read_head(reader)
        got = 0
        while got < int(headers["content-length"]):
            got += len(await reader.read(1 << 20))
        assert got == whole and not limiter.pool.streaming


@pytest.mark.parametrize("framing", [b"Content-Length: 9000000", b"Transfer-Encoding: chunked"])
@async_test
async def test_a_long_answer_that_breaks_ends_the_clients_connection_short(framing: bytes) -> None:
    async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_message(reader)
        size = b"%x\r\n" % 900_000 if b"chunked" in framing else b""
        writer.write(b"HTTP/1.1 200 OK\r\n%b\r\n\r\n%b" % (framing, size) + LONG[:800_000])
        await writer.drain()

    script = Script(send_on)
    async with listening(talk) as dial, Limiter(script, {"s1": dial}) as limiter:
        reader, writer = await limiter.connect()
        writer.write(ask())
        _, headers = await read_head(reader)
        with pytest.raises((asyncio.IncompleteReadError, ConnectionError, ValueError)):
            await read_body(reader, headers)
        assert len(await script.until(model.AttemptCompleted)) == 1


def upload(form: str, body: bytes, ttl: int = 15_000) -> bytes:
    if form == "length":
        return ask(POST, b"x", ttl, Content_Length=str(len(body)))[:-1] + body
    head = ask(POST, b"x", ttl, Content_Length="", Transfer_Encoding="chunked")[:-1]
    return head + chunked(body)


@pytest.mark.parametrize("form", ["length", "chunked"])
@async_test
async def test_a_long_body_passes_unchanged_and_its_time_begins_with_its_last_byte(form: str) -> None:
    async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        _, headers = await read_head(reader)
        begun.set()
        seen.append(await read_body(reader, headers))
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")

    seen, begun, script = list[bytes](), asyncio.Event(), Script(send_on)
    async with listening(talk) as dial, Limiter(script, {"s1": dial}) as limiter:
        reader, writer = await limiter.connect()
        data = upload(form, LONG)
        writer.write(data[:200_000])
        await begun.wait()
        (opened,) = limiter.dispatcher._requests.values()
        assert opened.deadline == math.inf and opened.timer is None  # the client's time has not begun
        assert opened.attempts[0].timer is None and not opened.attempts[0].request_written
        writer.write(data[200_000:])
        assert (await read_message(reader))[2] == b"hi"
        assert seen == [LONG]
        kinds = [type(e) for e in script.events if not isinstance(e, model.EndpointUpdate)]
        assert kinds == [model.Request, model.UploadCompleted, model.AttemptCompleted]


@async_test
async def test_a_server_that_does_not_read_stops_the_client() -> None:
    async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        reader._transport.pause_reading()  # type: ignore[attr-defined]
        await release.wait()
        reader._transport.resume_reading()  # type: ignore[attr-defined]
        _, headers = await read_head(reader)
        assert await read_body(reader, headers) == body
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")

    release, body = asyncio.Event(), LONG * 8
    async with listening(talk) as dial, Limiter(Script(send_on), {"s1": dial}) as limiter:
        reader, writer = await limiter.connect()
        writer.write(upload("length", body))
        while not any(client._held for client in limiter.listener._clients):
            await asyncio.sleep(0.01)
        release.set()
        assert (await read_message(reader))[2] == b"hi"


@async_test
async def test_a_long_body_that_is_refused_has_its_answer_before_it_is_sent() -> None:
    def refuse(event: model.Event) -> list[model.Action]:
        return [model.Reject(event.id, 0.25)] if isinstance(event, model.Request) else []

    script = Script(refuse)
    async with Limiter(script, {}) as limiter:
        reader, writer = await limiter.connect()
        data = upload("length", LONG)
        writer.write(data[:100_000])
        status, headers, _ = await read_message(reader)
        assert " 429 " in status and headers["connection"] == "close" and headers["retry-after"] == "0.250"
        writer.write(data[100_000:] + ask())  # what comes behind it is read off, and is no request
        await writer.drain()
        assert await reader.read() == b""
        assert len([e for e in script.events if isinstance(e, model.Request)]) == 1


@async_test
async def test_a_client_that_leaves_in_its_body_never_ran_and_there_is_no_second_attempt() -> None:
    async def talk(reader: asyncio.StreamReader, _writer: asyncio.StreamWriter) -> None:
        await read_head(reader)
        begun.set()
        with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
            await reader.readexactly(len(LONG))
        cut.set()

    begun, cut, script = asyncio.Event(), asyncio.Event(), Script(send_on)
    async with listening(talk) as dial, Limiter(script, {"s1": dial}) as limiter:
        _, writer = await limiter.connect()
        writer.write(upload("length", LONG)[:300_000])
        await begun.wait()
        writer.close()
        await cut.wait()
        await script.until(model.ClientDisconnected)


@pytest.mark.parametrize("half", [False, True])
@pytest.mark.parametrize("how", WAYS)
@async_test
async def test_a_body_whose_end_is_unread_when_its_client_leaves_never_becomes_whole(
    how: Any, half: bool
) -> None:
    """Its server takes no more for a while; but whoever only ends its sending gets its answer."""

    async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        reader._transport.pause_reading()  # type: ignore[attr-defined]
        await release.wait()
        reader._transport.resume_reading()  # type: ignore[attr-defined]
        _, headers = await read_head(reader)
        try:
            whole.set_result(len(await read_body(reader, headers)))
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")
        except (asyncio.IncompleteReadError, OSError, ValueError):
            whole.set_result(0)

    release, whole = asyncio.Event(), asyncio.get_running_loop().create_future()
    async with listening(talk) as dial, Limiter(Script(send_on), {"s1": dial}) as limiter:
        client, piece, size = socket.create_connection(limiter._address), b"x" * 8192, 0
        client.sendall(ask(POST, b"x", 60_000, Content_Length="", Transfer_Encoding="chunked")[:-1])
        while not limiter.listener._clients:
            await asyncio.sleep(0)
        (known,) = limiter.listener._clients
        client.sendall(b"10000\r\n" + b"x" * 0x10000 + b"\r\n1\r\nx\r\n")  # it is long, and sent on
        size += 0x10001
        while (
            not (opened := list(limiter.dispatcher._requests.values()))
            or not opened[0].attempts[0].connection
        ):
            await asyncio.sleep(0)
        while known._held or known._size < size:
            await asyncio.sleep(0)
        while not known._held:  # each piece is read before the next is sent: nothing but the end is unread
            client.sendall(b"%x\r\n%b\r\n" % (len(piece), piece))
            size += len(piece)
            while known._size < size and not known._held:
                await asyncio.sleep(0)
        client.sendall(b"0\r\n\r\n")
        if half:
            client.shutdown(socket.SHUT_WR)
        else:
            how(client)
        time.sleep(LATE)
        release.set()
        assert await whole == (size if half else 0)
        if half:
            client.setblocking(False)
            reader, writer = await asyncio.open_connection(sock=client)
            assert (await interim(reader))[2] == b"hi"
            writer.close()


@async_test
async def test_a_server_that_breaks_in_a_long_body_leaves_nothing_to_send_again() -> None:
    async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_head(reader)
        writer.transport.abort()

    script = Script(send_on)
    async with listening(talk) as dial, Limiter(script, {"s1": dial}) as limiter:
        reader, writer = await limiter.connect()
        writer.write(upload("length", LONG)[:300_000])
        assert " 429 " in (await read_message(reader))[0]
        (outcome,) = await script.until(model.AttemptCompleted)
        assert outcome.status is model.CallStatus.RESET_BEFORE_REQUEST and not outcome.may_retry


REQUESTS: list[Callable[[bytes], bytes]] = [
    lambda r: r.replace(b"GET /lookup", b"GET http://origin.svc/lookup", 1),
    lambda r: b"\r\n" + r,
    lambda r: r.replace(b"X-Plan: basic", b"x-PLAN:\tbasic \t", 1),
    lambda r: r.replace(b"\r\n\r\n", b"\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-Plan: none\r\n\r\n", 1),
    lambda r: r.replace(b"HTTP/1.1", b"HTTP/1.0", 1),
]


@pytest.mark.parametrize("change", REQUESTS)
@async_test
async def test_every_form_of_a_request_is_read(change: Callable[[bytes], bytes]) -> None:
    async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        first, _ = await read_head(reader)
        assert first == "GET /lookup?account=00000000b4d65521 HTTP/1.1"
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")

    async with listening(talk) as dial, Limiter(Script(send_on), {"s1": dial}) as limiter:
        assert (await limiter.fetch(change(ask())))[2] == b"hi"


@pytest.mark.parametrize("size", [5, 2 * MAX_BODY])
@async_test
async def test_a_client_that_waits_for_a_sign_to_send_its_body_gets_it(size: int) -> None:
    async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        _, headers = await read_head(reader)
        assert await read_body(reader, headers) == LONG[:size] and "expect" not in headers
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")

    async with listening(talk) as dial, Limiter(Script(send_on), {"s1": dial}) as limiter:
        reader, writer = await limiter.connect()
        writer.write(ask(POST, b"x", Content_Length=str(size), Expect="100-continue")[:-1])
        assert await reader.readuntil(b"\r\n\r\n") == b"HTTP/1.1 100 Continue\r\n\r\n"
        writer.write(LONG[:size])
        assert (await read_message(reader))[2] == b"hi"


def test_a_server_owes_nothing_while_a_body_comes() -> None:
    world = w.World(w.settings())
    world.feed(w.servers("s0"))
    asked = model.Request(1, "read", "free", 3.0, "x", 1.0, 3, False, True)
    world.feed(asked)
    world.requests[1] = (asked, world.now + 1000.0)  # the client's time has not begun
    for _ in range(100):
        world.advance(world.now + 0.1)
    server = world.gateway._servers["s0"]
    assert server.quiet is None and not world.answered and not world.gateway._load
    world.requests[1] = (asked, world.now + 3.0)
    world.feed(model.UploadCompleted(1))
    assert server.quiet == world.now
    world.feed(
        model.AttemptCompleted(1, 0, "s0", model.CallStatus.RESET_BEFORE_REQUEST, 0.1, False, {}, None, False)
    )
    assert world.answered[1] == "refused" and len(world.sends) == 1
