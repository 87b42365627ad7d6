"""``RequestReader``: requests may arrive in many parts, and malformed or too large ones are rejected."""

from __future__ import annotations

import asyncio

import pytest

from quota_gateway import model
from quota_gateway.net.client.response_queue import MAX_PIPELINED_REQUESTS
from tests.client_helpers import POST, assert_rejected, limiter_with_endpoint, reject, take_no_action
from tests.loopback import (
    LoopbackLimiter,
    ScriptedDecisions,
    ScriptedEndpoint,
    async_test,
    http_request,
    read_message,
    run,
)


@async_test
async def test_large_body_may_arrive_in_many_reads() -> None:
    endpoint = ScriptedEndpoint()
    body = b"x" * 60_000
    async with limiter_with_endpoint(endpoint.handle_connection) as limiter:
        reader, writer = await limiter.connect()
        request = http_request("/post?account=00000000b4d65521", body)
        for start in range(0, len(request), 4096):
            writer.write(request[start : start + 4096])
            await writer.drain()
            await asyncio.sleep(0.001)  # so that each part is a read of its own
        assert " 200 " in (await read_message(reader))[0]
        assert endpoint.requests[0][2] == body


@pytest.mark.parametrize(
    ("request_bytes", "status"),
    [
        (b"nonsense\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nX: " + b"a" * 70_000, 400),
        (http_request(X_Filler="a" * 40_000), 400),
        (http_request("/lookup?account=00000000b4d65521&x=" + "a" * 40_000), 400),
        (http_request(Content_Length="-1"), 400),
        (http_request(Content_Length="12345678901"), 400),
        (http_request(Content_Length="60000000"), 413),
        (http_request(Content_Length="1") + b"x", 400),
        (http_request().replace(b"HTTP/1.1", b"HTTP/2.0"), 400),
        (http_request("/post?account=00000000b4d65521", b"xy", Transfer_Encoding="chunked"), 400),
        (POST.replace(b"\r\n\r\n", b"\r\nTransfer-Encoding: chunked\r\n\r\n"), 400),
        (POST.replace(b"Content-Length: 2", b"Transfer-Encoding: gzip"), 400),
        (POST.replace(b"\r\n\r\n", b"\r\nContent-Length: 2\r\n\r\n"), 400),
        (http_request(Content_Length="65537") + b"x" * 65_537, 413),
        (http_request("/post?account=00000000b4d65521", b"x", Content_Length="60000000"), 413),
        (http_request().replace(b"GET", b"DELETE", 1), 405),
    ],
)
def test_malformed_request_is_rejected_and_affects_no_other_client(request_bytes: bytes, status: int) -> None:
    run(assert_rejected(request_bytes, status))


@async_test
async def test_upgrade_offer_is_ignored() -> None:
    async with LoopbackLimiter(ScriptedDecisions(reject), {}) as limiter:
        reader, writer = await limiter.connect()
        writer.write(http_request(Connection="upgrade", Upgrade="h2c") + http_request())
        assert ["429" in (await read_message(reader))[0] for _ in range(2)] == [True, True]


@async_test
async def test_malformed_request_after_an_upgrade_offer_is_rejected_with_its_own_status() -> None:
    repeated_header = http_request().replace(b"Host: origin.svc\r\n", b"Host: a\r\nX-Plan: basic\r\n", 1)
    async with LoopbackLimiter(ScriptedDecisions(reject), {}) as limiter:
        reader, writer = await limiter.connect()
        writer.write(http_request(Connection="upgrade", Upgrade="h2c") + repeated_header)
        assert "429" in (await read_message(reader))[0]
        assert "400" in (await read_message(reader))[0]


@async_test
async def test_chunked_body_over_the_limit_is_rejected() -> None:
    async with LoopbackLimiter(ScriptedDecisions(reject), {}) as limiter:
        head = http_request(Transfer_Encoding="chunked")
        status_line, _, _ = await limiter.fetch(head + b"10001\r\n" + b"x" * 0x10001)
        assert " 413 " in status_line


@async_test
async def test_header_without_an_end_is_rejected_at_the_size_limit() -> None:
    async with LoopbackLimiter(ScriptedDecisions(reject), {}) as limiter:
        status_line, headers, _ = await limiter.fetch(b"GET / HTTP/1.1\r\nX: " + b"a" * 70_000)
        assert " 400 " in status_line
        assert headers["connection"] == "close"


@async_test
async def test_request_with_the_id_of_an_open_request_is_rejected_and_the_open_one_unaffected() -> None:
    script = ScriptedDecisions(take_no_action)
    async with LoopbackLimiter(script, {}) as limiter:
        reader, writer = await limiter.connect()
        writer.write(http_request(X_Request_ID="00000000000000ab"))
        (request,) = await script.wait_for(model.Request)
        assert " 409 " in (await limiter.fetch(http_request(X_Request_ID="00000000000000AB")))[0]
        script.decide = lambda event: reject(event) or [model.Fail(request.id)]
        limiter.dispatcher.dispatch(model.TimerFired(1))
        assert " 502 " in (await read_message(reader))[0]
        status_line, _, _ = await limiter.fetch(http_request(X_Request_ID="00000000000000ab"))
        assert " 429 " in status_line  # the id is available again
        assert not limiter.listener.shared.open_request_ids


@async_test
async def test_pipeline_limit_applies_to_hundreds_of_requests_in_one_read() -> None:
    script = ScriptedDecisions(take_no_action)
    async with LoopbackLimiter(script, {}) as limiter:
        _, writer = await limiter.connect()
        writer.write(b"".join(http_request() for _ in range(200)))
        await script.wait_for(model.Request, MAX_PIPELINED_REQUESTS)
        other_reader, other_writer = await limiter.connect()
        script.decide = reject
        other_writer.write(http_request())
        assert " 429 " in (await read_message(other_reader))[0]
        assert len(await script.wait_for(model.Request)) == MAX_PIPELINED_REQUESTS + 1
