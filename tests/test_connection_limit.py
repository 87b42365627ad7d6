"""The limit of client connections: who is evicted, and when responses close their connections."""

from __future__ import annotations

import asyncio
import socket

from quota_gateway import model
from quota_gateway.net.client.connection import ClientConnection
from tests.client_helpers import ends_without_data, execute, reject, take_no_action
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
        busy, writer = await limiter.connect()
        writer.write(http_request())
        (request,) = await script.wait_for(model.Request)
        script.decide = reject
        usual, usual_writer = await limiter.connect()
        usual_writer.write(http_request())
        await read_message(usual)
        _, half_writer = await limiter.connect()
        half_writer.write(b"GET /lo")
        await limiter.fetch(b"GET /healthz HTTP/1.1\r\n\r\n")
        silent = [await limiter.connect() for _ in range(61)]
        more = [
            await limiter.connect() for _ in range(63)
        ]  # all silent ones and the half-read one are evicted
        for reader, _ in silent:
            assert await ends_without_data(reader)
        for _, silent_writer in more:  # now these send, and only the usual one is idle for longer
            silent_writer.write(b"GET /lo")
        usual_writer.write(http_request())
        assert " 429 " in (await read_message(usual))[0]
        execute(limiter, [model.Fail(request.id)])
        assert " 502 " in (await read_message(busy))[0]


@async_test
async def test_clients_that_send_once_and_keep_their_connection_do_not_use_up_the_limit() -> None:
    async with LoopbackLimiter(ScriptedDecisions(reject), {}) as limiter:
        open_writers = list[asyncio.StreamWriter]()
        closed = 0
        for _ in range(60):  # of 64
            reader, writer = await limiter.connect()
            open_writers.append(writer)
            writer.write(http_request())
            _, headers, _ = await read_message(reader)
            if "connection" in headers:
                assert await ends_without_data(reader)
                closed += 1
        assert closed == 28  # half of the connections are kept; later ones close behind their response
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
        while len(limiter.listener.connections) < 3:
            await asyncio.sleep(0)
        limiter.listener.set_max_connections(3)
        clients[0].sendall(http_request())  # silent for longest, and unread when the next one connects
        limiter.listener.on_connected(ClientConnection(limiter.listener))
        first, _ = await asyncio.open_connection(sock=clients[0])
        second, _ = await asyncio.open_connection(sock=clients[1])
        assert " 429 " in (await read_message(first))[0]
        assert await second.read() == b""


@async_test
async def test_idle_clients_beyond_a_lower_limit_are_closed_and_busy_ones_are_served() -> None:
    """Another process shares the descriptors from now on: together they have no more than one had."""
    script = ScriptedDecisions(take_no_action)
    async with LoopbackLimiter(script, {}) as limiter:
        busy_reader, busy = await limiter.connect()
        busy.write(http_request())
        (request,) = await script.wait_for(model.Request)
        silent = [await limiter.connect() for _ in range(20)]
        while len(limiter.listener.connections) < 21:
            await asyncio.sleep(0)
        limiter.listener.set_max_connections(8)
        while len(limiter.listener.connections) > 8:
            await asyncio.sleep(0.001)
        await asyncio.sleep(0.05)
        assert len(limiter.listener.connections) == 8  # and no more than that were closed
        assert sum(reader.at_eof() for reader, _ in silent) == 13
        execute(limiter, [model.Reject(request.id, 0.1)])
        assert " 429 " in (await read_message(busy_reader))[0]
        for _, writer in silent:
            writer.close()
