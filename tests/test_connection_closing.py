"""Closing client connections: input that arrives during the close causes no reset and loses no response."""

from __future__ import annotations

import asyncio
import socket

import pytest

from quota_gateway import model
from quota_gateway.net.client.transport import ClientTransport
from tests.client_helpers import execute, reject, take_no_action, wait_for_connections
from tests.loopback import LoopbackLimiter, ScriptedDecisions, async_test, http_request, read_message


@async_test
async def test_rejected_body_is_discarded_only_up_to_a_limit() -> None:
    async with LoopbackLimiter(ScriptedDecisions(reject), {}) as limiter:
        _, writer = await limiter.connect()
        writer.write(
            http_request("/post?account=00000000b4d65521", b"x").replace(b"Length: 1", b"Length: 60000000")
        )
        sent = 0

        async def send_body() -> None:
            nonlocal sent
            while sent < 60_000_000:
                writer.write(b"x" * 65536)
                await writer.drain()
                sent += 65536

        with pytest.raises(ConnectionError):
            await send_body()
        assert sent < 20_000_000  # the socket buffers hold less than this


@async_test
async def test_idle_connection_is_closed_in_the_same_step_as_the_check_for_unread_input(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A client whose request arrives between the check and the close gets an orderly close, and no reset."""
    async with LoopbackLimiter(ScriptedDecisions(reject), {}) as limiter:
        client = socket.create_connection(limiter.address)
        has_unread_input = ClientTransport.has_unread_input.fget  # type: ignore[attr-defined]

        def send_after_check(self: ClientTransport) -> bool:
            unread: bool = has_unread_input(self)
            client.sendall(http_request())
            return unread

        await wait_for_connections(limiter)
        monkeypatch.setattr(ClientTransport, "has_unread_input", property(send_after_check))
        await limiter.listener.close(1000)
        client.settimeout(10)
        assert client.recv(10) == b""


@async_test
async def test_response_that_closes_its_connection_is_not_lost_if_input_is_unread() -> None:
    script = ScriptedDecisions(take_no_action)
    async with LoopbackLimiter(script, {}) as limiter:
        client = socket.create_connection(limiter.address)
        client.sendall(http_request())
        (event,) = await script.wait_for(model.Request)
        limiter.listener.start_draining()
        client.sendall(b"x" * 1000)  # still unread when the response is written and the connection is closed
        execute(limiter, [model.Reject(event.id, 0.1)])
        reader, writer = await asyncio.open_connection(sock=client)
        assert " 429 " in (await read_message(reader))[0]
        assert await reader.read() == b""
        writer.close()
