"""Helpers for the tests of client connections: scripted decisions, and clients that leave."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable

from quota_gateway import model
from tests.loopback import LoopbackLimiter, ScriptedDecisions, forward_to_s1, http_request, read_message

POST = http_request("/post?account=00000000b4d65521", b"xy")
LATE = 0.11  # seconds after a disconnect from which on no attempt may begin


def reject(event: model.Event) -> list[model.Action]:
    """Decisions that reject every request, to be retried in 0.25 s."""
    return [model.Reject(event.id, 0.25)] if isinstance(event, model.Request) else []


def on_timer(actions: list[model.Action]) -> Callable[[model.Event], list[model.Action]]:
    """Decisions that take ``actions`` when a timer fires, and forward every request."""
    return lambda event: actions if isinstance(event, model.TimerFired) else forward_to_s1(event)


async def has_ended(reader: asyncio.StreamReader) -> bool:
    """Read to the end of a connection: nothing may come before it."""
    try:
        return await reader.read() == b""
    except ConnectionResetError:
        return True


async def read_final(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """The final response behind the interim one that a half-closed client gets."""
    assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 100 ")
    return await read_message(reader)


def reset(client: socket.socket) -> None:
    """Close with a reset."""
    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.close()


DISCONNECTS = [socket.socket.close, reset]


async def assert_rejected(request_bytes: bytes, status: int) -> None:
    """Bad input is answered and closes its connection; another client's is unaffected."""
    script = ScriptedDecisions(reject)
    async with LoopbackLimiter(script, {}) as limiter:
        other_reader, other = await limiter.connect()
        reader, writer = await limiter.connect()
        writer.write(request_bytes + http_request())  # nothing behind it is parsed as a request
        first, headers, _ = await read_message(reader)
        assert int(first.split()[1]) == status and headers["connection"] == "close"
        assert await reader.read() == b""
        assert not [event for event in script.events if isinstance(event, model.Request)]
        other.write(http_request())
        assert "429" in (await read_message(other_reader))[0]
