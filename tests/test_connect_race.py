"""Connections to an endpoint that break before their connect is notified."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from quota_gateway import model
from quota_gateway.net.upstream import connector
from tests.loopback import (
    LoopbackLimiter,
    ScriptedDecisions,
    async_test,
    forward_to_s1,
    http_request,
    read_message,
    running_server,
)


@async_test
async def test_connection_that_breaks_before_its_connect_is_notified_proves_that_nothing_ran(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Else the request would wait for its whole time, for an outcome that never comes."""

    class LateLoop:
        """An event loop that returns connections once the peer has ended them."""

        def __getattr__(self, name: str) -> Any:
            return getattr(asyncio.get_running_loop(), name)

        async def create_connection(self, *args: Any) -> Any:
            transport, protocol = await asyncio.get_running_loop().create_connection(*args)
            while protocol.transport is not None:
                await asyncio.sleep(0)
            return transport, protocol

    class Asyncio:
        """The asyncio module with that event loop."""

        get_running_loop = LateLoop

        def __getattr__(self, name: str) -> Any:
            return getattr(asyncio, name)

    async def talk(_reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.transport.abort()

    script = ScriptedDecisions(forward_to_s1)
    async with running_server(talk) as address, LoopbackLimiter(script, {"s1": address}) as limiter:
        monkeypatch.setattr(connector, "asyncio", Asyncio())
        reader, writer = await limiter.connect()
        writer.write(http_request(timeout_ms=60000))
        (outcome,) = await script.wait_for(model.AttemptCompleted)
        assert outcome.status is model.CallStatus.RESET_BEFORE_REQUEST
        assert " 429 " in (await read_message(reader))[0]
