"""The limit of client connections: idle clients must not use it up, and no busy connection is evicted."""

from __future__ import annotations

import asyncio
import socket

from quota_gateway import model
from quota_gateway.net.client.connection import ClientConnection
from tests.client_helpers import ends_without_data, execute, reject, take_no_action, wait_for_connections
from tests.loopback import LoopbackLimiter, ScriptedDecisions, async_test, http_request, read_message


@async_test
async def test_full_listener_evicts_an_idle_connection() -> None:
    async with LoopbackLimiter(ScriptedDecisions(reject), {}) as limiter:
        first, _ = await limiter.connect()
        later = [await limiter.connect() for _ in range(64)]
        assert await ends_without_data(first)
        reader, writer = later[-1]
        writer.write(http_request())
        assert "429" in (await read_message(reader))[0]


@async_test
async def test_connections_that_never_sent_data_are_evicted_first_and_busy_ones_are_not() -> None:
    script = ScriptedDecisions(take_no_action)
    async with LoopbackLimiter(script, {}) as limiter:
        busy_reader, busy_writer = await limiter.connect()
        busy_writer.write(http_request())
        (request,) = await script.wait_for(model.Request)
        script.decide = reject
        idle_reader, idle_writer = await limiter.connect()
        idle_writer.write(http_request())
        await read_message(idle_reader)
        _, partial_writer = await limiter.connect()
        partial_writer.write(b"GET /lo")
        await limiter.fetch(b"GET /healthz HTTP/1.1\r\n\r\n")
        without_data = [await limiter.connect() for _ in range(61)]
        # These connects evict all connections without data and the one with a partial request.
        later_clients = [await limiter.connect() for _ in range(63)]
        for reader, _ in without_data:
            assert await ends_without_data(reader)
        for _, writer in later_clients:
            writer.write(b"GET /lo")
        idle_writer.write(http_request())
        assert " 429 " in (await read_message(idle_reader))[0]
        execute(limiter, [model.Fail(request.id)])
        assert " 502 " in (await read_message(busy_reader))[0]


@async_test
async def test_clients_that_send_once_and_keep_their_connection_do_not_use_up_the_limit() -> None:
    async with LoopbackLimiter(ScriptedDecisions(reject), {}) as limiter:
        open_writers = list[asyncio.StreamWriter]()
        closed = 0
        for _ in range(60):  # the limit is 64
            reader, writer = await limiter.connect()
            open_writers.append(writer)
            writer.write(http_request())
            _, headers, _ = await read_message(reader)
            if "connection" in headers:
                assert await ends_without_data(reader)
                closed += 1
        # 32 connections, half of the limit of 64, stay open; the other 28 close after their response.
        assert closed == 28
        for writer in open_writers[:2]:
            writer.close()
        while limiter.listener.shared.active_connections > 30:
            await asyncio.sleep(0)
        reader, writer = await limiter.connect()
        writer.write(http_request())
        assert "connection" not in (await read_message(reader))[1]


@async_test
async def test_connection_with_an_unread_request_is_not_evicted() -> None:
    async with LoopbackLimiter(ScriptedDecisions(reject), {}) as limiter:
        clients = [socket.create_connection(limiter.address) for _ in range(3)]
        await wait_for_connections(limiter, 3)
        limiter.listener.set_max_connections(3)
        # The limiter has read no data from any client, so the oldest connection would be evicted first.
        # Its request is still unread at the next connect.
        clients[0].sendall(http_request())
        limiter.listener.on_connected(ClientConnection(limiter.listener))
        first, _ = await asyncio.open_connection(sock=clients[0])
        second, _ = await asyncio.open_connection(sock=clients[1])
        assert " 429 " in (await read_message(first))[0]
        assert await second.read() == b""


@async_test
async def test_idle_clients_beyond_a_lower_limit_are_closed_and_busy_ones_are_served() -> None:
    """The limit is lowered when another process begins to share the limiter's descriptors."""
    script = ScriptedDecisions(take_no_action)
    async with LoopbackLimiter(script, {}) as limiter:
        busy_reader, busy = await limiter.connect()
        busy.write(http_request())
        (request,) = await script.wait_for(model.Request)
        idle_clients = [await limiter.connect() for _ in range(20)]
        await wait_for_connections(limiter, 21)
        limiter.listener.set_max_connections(8)
        while len(limiter.listener.connections) > 8:
            await asyncio.sleep(0.001)
        await asyncio.sleep(0.05)
        assert len(limiter.listener.connections) == 8  # no further connection was closed
        assert sum(reader.at_eof() for reader, _ in idle_clients) == 13
        execute(limiter, [model.Reject(request.id, 0.1)])
        assert " 429 " in (await read_message(busy_reader))[0]
        for _, writer in idle_clients:
            writer.close()
