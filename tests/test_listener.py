"""``ClientListener``: accepted requests get their responses while it drains, and the health check fails."""

from __future__ import annotations

import asyncio
import socket

import pytest

from quota_gateway import model
from quota_gateway.net.client import request_reader
from tests.client_helpers import (
    execute,
    limiter_with_endpoint,
    reject,
    take_no_action,
    wait_for_partial_request,
)
from tests.loopback import (
    LoopbackLimiter,
    ScriptedDecisions,
    ScriptedEndpoint,
    async_test,
    forward_to_s1,
    http_request,
    read_message,
)


@async_test
async def test_health_check_succeeds_until_draining() -> None:
    request = b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"
    async with LoopbackLimiter(ScriptedDecisions(reject), {}) as limiter:
        assert " 200 " in (await limiter.fetch(request))[0]
        limiter.listener.start_draining()
        assert " 503 " in (await limiter.fetch(request))[0]


@async_test
async def test_draining_listener_answers_accepted_requests_and_closes_their_connections() -> None:
    script = ScriptedDecisions(take_no_action)
    async with LoopbackLimiter(script, {}) as limiter:
        reader, writer = await limiter.connect()
        idle, _ = await limiter.connect()
        writer.write(http_request() + http_request())
        first, second = await script.wait_for(model.Request, 2)
        limiter.listener.start_draining()
        closing = asyncio.create_task(limiter.listener.close(10))
        assert await idle.read() == b""
        execute(limiter, [model.Fail(first.id), model.Reject(second.id, 0.1)])
        assert "502" in (await read_message(reader))[0]
        status, headers, _ = await read_message(reader)
        assert "429" in status
        assert headers["connection"] == "close"
        await closing


@async_test
async def test_connections_in_the_accept_queue_are_answered_when_the_listener_closes() -> None:
    async with LoopbackLimiter(ScriptedDecisions(reject), {}) as limiter:
        clients = [socket.create_connection(limiter.address) for _ in range(3)]
        for client in clients:  # the connections are in the accept queue until the event loop runs again
            client.sendall(http_request())
        limiter.listener.start_draining()
        closing = asyncio.create_task(limiter.listener.close(1000))
        for client in clients:
            reader, writer = await asyncio.open_connection(sock=client)
            assert " 429 " in (await read_message(reader))[0]
            writer.close()
        await closing


@async_test
async def test_connection_closes_after_a_streamed_response_that_ends_while_draining() -> None:
    finish = asyncio.Event()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_message(reader)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + b"x" * 90_000)
        await finish.wait()
        writer.write(b"x" * 10_000)
        await reader.read()

    async with limiter_with_endpoint(serve) as limiter:
        reader, writer = await limiter.connect()
        writer.write(http_request())
        head = await reader.readuntil(b"\r\n\r\n")  # sent before the drain, so it does not announce a close
        assert b"close" not in head
        limiter.listener.start_draining()
        closing = asyncio.create_task(limiter.listener.close(1000))
        while limiter.listener._acceptor is not None:
            await asyncio.sleep(0)
        finish.set()
        assert len(await reader.read()) == 100_000
        writer.close()
        await closing


@async_test
async def test_incomplete_head_is_still_answered_while_draining(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(request_reader, "HEAD_TIMEOUT_SECONDS", 0.3)

    async with LoopbackLimiter(ScriptedDecisions(forward_to_s1), {}) as limiter:
        reader, writer = await limiter.connect()
        writer.write(http_request()[:40])
        await wait_for_partial_request(limiter)
        limiter.listener.start_draining()
        closing = asyncio.create_task(limiter.listener.close(1000))
        assert " 408 " in (await read_message(reader))[0]
        writer.close()
        await closing


@async_test
async def test_request_that_completes_after_respond_to_all_gets_a_503() -> None:
    endpoint = ScriptedEndpoint(lambda _n: None)
    async with limiter_with_endpoint(endpoint.handle_connection) as limiter:
        reader, writer = await limiter.connect()
        request = http_request()
        writer.write(request[:-2])
        await wait_for_partial_request(limiter)
        limiter.listener.start_draining()
        await limiter.listener.close(0.01)
        limiter.dispatcher.respond_to_all()
        closing = asyncio.create_task(limiter.listener.close(1000))
        writer.write(request[-2:])
        status, headers, _ = await read_message(reader)
        assert " 503 " in status
        assert headers["connection"] == "close"
        assert headers["retry-after"] == "0.100"
        assert not endpoint.requests
        writer.close()
        await closing


@async_test
async def test_open_request_that_was_never_forwarded_gets_a_503_at_the_shutdown() -> None:
    script = ScriptedDecisions(take_no_action)
    async with LoopbackLimiter(script, {}) as limiter:
        reader, writer = await limiter.connect()
        writer.write(http_request())
        await script.wait_for(model.Request)
        limiter.listener.start_draining()
        limiter.dispatcher.respond_to_all()
        status, headers, _ = await read_message(reader)
        assert " 503 " in status
        assert "retry-after" in headers
