"""Helpers for the tests of client connections: scripted decisions, responses, and clients that disconnect."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

from quota_gateway import model
from quota_gateway.net.client.connection import ClientConnection
from tests.loopback import (
    ConnectionHandler,
    LoopbackLimiter,
    ScriptedDecisions,
    forward_to_s1,
    http_request,
    read_message,
    running_server,
)

POST = http_request("/post?account=00000000b4d65521", b"xy")
LATE_SECONDS = 0.11  # longer than the 0.1 s after a disconnect in which an attempt may still begin


def reject(event: model.Event) -> list[model.Action]:
    """Reject each request, with a Retry-After of 0.25 s."""
    return [model.Reject(event.id, 0.25)] if isinstance(event, model.Request) else []


def take_no_action(_event: model.Event) -> list[model.Action]:
    """Let each request wait, as it does for a counter reply."""
    return []


def on_timer(actions: list[model.Action]) -> Callable[[model.Event], list[model.Action]]:
    """Return decisions that take ``actions`` when a timer fires, and forward each request."""
    return lambda event: actions if isinstance(event, model.TimerFired) else forward_to_s1(event)


def execute(limiter: LoopbackLimiter, actions: list[model.Action]) -> None:
    """Make the decisions take ``actions`` now, and forward each later request."""
    limiter.decisions.decide = on_timer(actions)
    limiter.dispatcher.dispatch(model.TimerFired(1))


@asynccontextmanager
async def limiter_with_endpoint(
    serve: ConnectionHandler, script: ScriptedDecisions | None = None
) -> AsyncIterator[LoopbackLimiter]:
    """Run a limiter whose only endpoint is ``s1``; without ``script``, it forwards each request to ``s1``."""
    decisions = script or ScriptedDecisions(forward_to_s1)
    async with (
        running_server(serve) as address,
        LoopbackLimiter(decisions, {"s1": address}) as limiter,
    ):
        yield limiter


async def wait_for_connections(limiter: LoopbackLimiter, count: int = 1) -> list[ClientConnection]:
    """Wait until the limiter has accepted ``count`` connections; return them, oldest first."""
    while len(limiter.listener.connections) < count:
        await asyncio.sleep(0)
    return list(limiter.listener.connections)


async def wait_for_partial_request(limiter: LoopbackLimiter) -> None:
    """Wait until the limiter has read the start of a request but not its end."""
    while not any(client.pipeline.reader.in_request for client in limiter.listener.connections):
        await asyncio.sleep(0)


async def ends_without_data(reader: asyncio.StreamReader) -> bool:
    """Read a connection to its end; return whether no data was received."""
    try:
        return await reader.read() == b""
    except ConnectionResetError:
        return True


async def read_final_response(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """Read the interim response that a half-closed client receives, and return the final response."""
    interim_response = await reader.readuntil(b"\r\n\r\n")
    assert interim_response.startswith(b"HTTP/1.1 100 ")
    return await read_message(reader)


def reset(client: socket.socket) -> None:
    """Close the connection with a reset."""
    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.close()


DISCONNECT_FUNCTIONS = [socket.socket.close, reset]


async def assert_rejected(request_bytes: bytes, status: int) -> None:
    """Assert that a malformed request gets ``status``, closes its connection and affects no other client."""
    script = ScriptedDecisions(reject)
    async with LoopbackLimiter(script, {}) as limiter:
        other_reader, other = await limiter.connect()
        reader, writer = await limiter.connect()
        writer.write(request_bytes + http_request())  # input after a malformed request must not be parsed
        status_line, headers, _ = await read_message(reader)
        assert int(status_line.split()[1]) == status
        assert headers["connection"] == "close"
        assert await reader.read() == b""
        assert not [event for event in script.events if isinstance(event, model.Request)]
        other.write(http_request())
        assert "429" in (await read_message(other_reader))[0]
