"""``ClientConnection`` over loopback sockets: responses are complete and in the order of their requests.

No input is read from a client that does not read its responses.
"""

from __future__ import annotations

import asyncio

import pytest

from quota_gateway import model
from quota_gateway.net.upstream import idle_connections
from tests.client_helpers import limiter_with_endpoint, reject
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
async def test_request_and_response_pass_through_unchanged() -> None:
    body = bytes(range(256)) * 256  # 64 KiB, the maximum size of a buffered body
    response = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\nContent-Type: a/b\r\n\r\n" % len(body) + body
    endpoint = ScriptedEndpoint(lambda _n: response)
    async with limiter_with_endpoint(endpoint.handle_connection) as limiter:
        path = "/post?x=%20y&account=00000000b4d65521"
        status, headers, received_body = await limiter.fetch(
            http_request(path, body, X_Priority_Class="post", X_Request_ID="9b1f03aa5c7e2d41")
        )
        assert status == "HTTP/1.1 200 OK"
        assert received_body == body
        assert headers["content-type"] == "a/b"
        request_line, forwarded_headers, forwarded_body = endpoint.requests[0]
        assert request_line == f"POST {path} HTTP/1.1"
        assert forwarded_body == body
        assert forwarded_headers["x-request-id"] == "9b1f03aa5c7e2d41"
        assert 0 < int(forwarded_headers["x-timeout-ms"]) <= 5000


@async_test
async def test_rejection_is_immediate_and_carries_retry_after() -> None:
    async with LoopbackLimiter(ScriptedDecisions(reject), {}) as limiter:
        status, headers, _ = await limiter.fetch(http_request())
        assert status.startswith("HTTP/1.1 429")
        assert float(headers["retry-after"]) == 0.25


@async_test
async def test_pipelined_and_split_requests_are_answered_in_order() -> None:
    request_ids = list[int]()

    def answer_in_reverse(event: model.Event) -> list[model.Action]:
        if not isinstance(event, model.Request):
            return []
        request_ids.append(event.id)
        if len(request_ids) < 3:
            return []
        return [
            model.Fail(request_ids[2]),
            model.Reject(request_ids[1], 0.1),
            model.Fail(request_ids[0]),
        ]

    async with LoopbackLimiter(ScriptedDecisions(answer_in_reverse), {}) as limiter:
        reader, writer = await limiter.connect()
        data = http_request() + http_request("/post?account=00000000b4d65521", b"abc") + http_request()
        for start in range(0, len(data), 7):
            writer.write(data[start : start + 7])
            await writer.drain()
            await asyncio.sleep(0)
        statuses = [(await read_message(reader))[0].split()[1] for _ in range(3)]
        assert statuses == ["502", "429", "502"]


@async_test
async def test_client_disconnect_cancels_its_attempt() -> None:
    endpoint = ScriptedEndpoint(lambda _n: None)
    script = ScriptedDecisions(forward_to_s1)
    async with limiter_with_endpoint(endpoint.handle_connection, script) as limiter:
        _, writer = await limiter.connect()
        writer.write(http_request())
        await endpoint.request_received.wait()
        writer.close()
        await script.wait_for(model.ClientDisconnected)
        (outcome,) = await script.wait_for(model.AttemptCompleted)
        assert outcome.status is model.CallStatus.CANCELLED
        assert outcome.request_finished
        await endpoint.disconnected.wait()  # a cancelled attempt closes its connection


@async_test
async def test_connection_close_is_honoured_and_keep_alive_is_the_default() -> None:
    async with LoopbackLimiter(ScriptedDecisions(reject), {}) as limiter:
        reader, writer = await limiter.connect()
        writer.write(http_request())
        assert "connection" not in (await read_message(reader))[1]
        writer.write(http_request(Connection="close"))
        assert (await read_message(reader))[1]["connection"] == "close"
        assert await reader.read() == b""


@async_test
async def test_no_input_is_read_from_a_client_that_does_not_read_its_responses(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Without the delay, all requests reuse a single connection to the endpoint.
    monkeypatch.setattr(idle_connections, "SETTLE_DELAY_SECONDS", 0.0)

    large = b"HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n" + b"x" * 60_000
    endpoint = ScriptedEndpoint(lambda _n: large)
    script = ScriptedDecisions(forward_to_s1)
    async with limiter_with_endpoint(endpoint.handle_connection, script) as limiter:
        reader, writer = await limiter.connect()
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        sent = 0
        clients = limiter.listener.connections
        while not any(client.pipeline.queue.write_blocked for client in clients):
            writer.write(http_request())
            sent += 1
            await script.wait_for(model.AttemptCompleted, sent)
        writer.write(http_request() + http_request() + http_request())
        for _ in range(50):
            await asyncio.sleep(0)
        assert len(await script.wait_for(model.Request)) == sent
        writer.transport.resume_reading()  # type: ignore[attr-defined]
        for _ in range(sent + 3):
            assert len((await read_message(reader))[2]) == 60_000
