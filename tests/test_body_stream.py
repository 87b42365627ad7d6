"""``BodyStream`` over loopback sockets: long bodies pass unchanged, and truncated ones do not look complete.

A body is read no faster than its receiver accepts it.
"""

from __future__ import annotations

import asyncio
import math
import socket
import time
from typing import Any

import pytest

from quota_gateway import model
from soak.http_bodies import read_body
from tests.client_helpers import (
    DISCONNECT_FUNCTIONS,
    LATE_SECONDS,
    execute,
    limiter_with_endpoint,
    read_final_response,
    reject,
    take_no_action,
)
from tests.http_bodies import LONG_BODY, chunked, read_head, upload
from tests.loopback import (
    OK_RESPONSE,
    LoopbackLimiter,
    ScriptedDecisions,
    ScriptedEndpoint,
    async_test,
    forward_to_s1,
    http_request,
    pause_reading,
    read_message,
    resume_reading,
)
from tests.paused_endpoint import PausedEndpoint, upload_until_backpressure

LONG_RESPONSES = [
    b"Content-Length: %d\r\n\r\n" % len(LONG_BODY) + LONG_BODY,
    b"Transfer-Encoding: chunked\r\n\r\n" + chunked(LONG_BODY),
    b"Transfer-Encoding: Chunked \r\n\r\n" + chunked(LONG_BODY, 70_001, b";name=value"),
    b"Connection: close\r\n\r\n" + LONG_BODY,
    b"\r\n" + LONG_BODY,
]


@pytest.mark.parametrize(
    "response", LONG_RESPONSES, ids=["length", "chunked", "odd chunked", "close", "neither"]
)
@async_test
async def test_long_response_passes_unchanged_in_every_framing(response: bytes) -> None:
    reuses_connection = b"ength" in response[:40] or b"hunked" in response[:40]

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_message(reader)
        writer.write(b"HTTP/1.1 200 OK\r\nX-Units-Charged: 3\r\n" + response)
        if reuses_connection:
            await read_message(reader)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2 \r\n\r\nhi")
        await writer.drain()

    script = ScriptedDecisions(forward_to_s1)
    async with limiter_with_endpoint(serve, script) as limiter:
        reader, writer = await limiter.connect()
        writer.write(http_request())
        status, headers = await read_head(reader)
        assert " 200 " in status
        assert await read_body(reader, headers) == LONG_BODY
        (completed,) = await script.wait_for(model.AttemptCompleted)
        assert completed.status is model.CallStatus.OK
        assert completed.request_finished
        assert completed.charged_units == 3
        if reuses_connection:
            await asyncio.sleep(0.05)
            writer.write(http_request())
            assert (await read_message(reader))[2] == b"hi"


@async_test
async def test_response_is_not_read_while_the_client_does_not_accept_it() -> None:
    sent = 0
    total = 64 * len(LONG_BODY)

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal sent
        await read_message(reader)
        writer.transport.set_write_buffer_limits(high=0)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % total)
        while sent < total:
            writer.write(LONG_BODY)
            await writer.drain()
            sent += len(LONG_BODY)

    async with limiter_with_endpoint(serve) as limiter:
        reader, writer = await limiter.connect()
        pause_reading(writer)
        writer.write(http_request())
        while not any(connection.is_reading_paused() for connection in limiter.pool.streaming_connections):
            await asyncio.sleep(0.01)
        assert sent < total  # the endpoint could not write the rest
        resume_reading(writer)
        _, headers = await read_head(reader)
        received = 0
        while received < int(headers["content-length"]):
            received += len(await reader.read(1 << 20))
        assert received == total
        assert not limiter.pool.streaming_connections


@pytest.mark.parametrize("framing", [b"Content-Length: 9000000", b"Transfer-Encoding: chunked"])
@async_test
async def test_truncated_long_response_ends_the_client_connection_early(framing: bytes) -> None:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_message(reader)
        size = b"%x\r\n" % 900_000 if b"chunked" in framing else b""
        writer.write(b"HTTP/1.1 200 OK\r\n%b\r\n\r\n%b" % (framing, size) + LONG_BODY[:800_000])
        await writer.drain()

    script = ScriptedDecisions(forward_to_s1)
    async with limiter_with_endpoint(serve, script) as limiter:
        reader, writer = await limiter.connect()
        writer.write(http_request())
        _, headers = await read_head(reader)
        with pytest.raises((asyncio.IncompleteReadError, ConnectionError, ValueError)):
            await read_body(reader, headers)
        assert len(await script.wait_for(model.AttemptCompleted)) == 1


@pytest.mark.parametrize("framing", ["length", "chunked"])
@async_test
async def test_long_request_passes_unchanged_and_its_timeout_starts_with_its_last_byte(framing: str) -> None:
    bodies: list[bytes] = []
    head_received = asyncio.Event()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        _, headers = await read_head(reader)
        head_received.set()
        bodies.append(await read_body(reader, headers))
        writer.write(OK_RESPONSE)

    script = ScriptedDecisions(forward_to_s1)
    async with limiter_with_endpoint(serve, script) as limiter:
        reader, writer = await limiter.connect()
        data = upload(framing, LONG_BODY)
        writer.write(data[:200_000])
        await head_received.wait()
        (pending,) = limiter.dispatcher.requests.open_requests()
        assert pending.deadline == math.inf
        assert pending.timer is None  # the client's timeout has not started
        assert pending.attempts[0].expiry_timer is None
        assert not pending.attempts[0].request_written
        writer.write(data[200_000:])
        assert (await read_message(reader))[2] == b"hi"
        assert bodies == [LONG_BODY]
        kinds = [type(event) for event in script.events if not isinstance(event, model.EndpointUpdate)]
        assert kinds == [model.Request, model.UploadCompleted, model.AttemptCompleted]


@async_test
async def test_upload_is_not_read_while_the_endpoint_does_not_accept_it() -> None:
    may_read = asyncio.Event()
    body = LONG_BODY * 8

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        pause_reading(writer)
        await may_read.wait()
        resume_reading(writer)
        _, headers = await read_head(reader)
        assert await read_body(reader, headers) == body
        writer.write(OK_RESPONSE)

    async with limiter_with_endpoint(serve) as limiter:
        reader, writer = await limiter.connect()
        writer.write(upload("length", body))
        while not any(client.pipeline.reader.body.paused for client in limiter.listener.connections):
            await asyncio.sleep(0.01)
        may_read.set()
        assert (await read_message(reader))[2] == b"hi"


@async_test
async def test_rejected_long_request_is_answered_before_its_body_is_complete() -> None:
    script = ScriptedDecisions(reject)
    async with LoopbackLimiter(script, {}) as limiter:
        reader, writer = await limiter.connect()
        data = upload("length", LONG_BODY)
        writer.write(data[:100_000])
        status, headers, _ = await read_message(reader)
        assert " 429 " in status
        assert headers["connection"] == "close"
        assert headers["retry-after"] == "0.250"
        writer.write(data[100_000:] + http_request())  # the rest is discarded and not parsed
        await writer.drain()
        assert await reader.read() == b""
        assert sum(isinstance(event, model.Request) for event in script.events) == 1


@async_test
async def test_request_of_a_client_that_disconnects_during_the_upload_is_truncated() -> None:
    head_received = asyncio.Event()
    truncated = asyncio.Event()

    async def serve(reader: asyncio.StreamReader, _writer: asyncio.StreamWriter) -> None:
        await read_head(reader)
        head_received.set()
        with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
            await reader.readexactly(len(LONG_BODY))
        truncated.set()

    script = ScriptedDecisions(forward_to_s1)
    async with limiter_with_endpoint(serve, script) as limiter:
        _, writer = await limiter.connect()
        writer.write(upload("length", LONG_BODY)[:300_000])
        await head_received.wait()
        writer.close()
        await truncated.wait()
        await script.wait_for(model.ClientDisconnected)


@pytest.mark.parametrize("disconnect", DISCONNECT_FUNCTIONS)
@async_test
async def test_upload_with_an_unread_end_is_truncated_when_its_client_disconnects(disconnect: Any) -> None:
    endpoint = PausedEndpoint()
    async with limiter_with_endpoint(endpoint.serve) as limiter:
        client = socket.create_connection(limiter.address)
        await upload_until_backpressure(client, limiter)
        disconnect(client)
        time.sleep(LATE_SECONDS)
        endpoint.resume.set()
        assert await endpoint.body_size == 0


@async_test
async def test_upload_with_an_unread_end_is_answered_when_its_client_half_closes() -> None:
    endpoint = PausedEndpoint()
    async with limiter_with_endpoint(endpoint.serve) as limiter:
        client = socket.create_connection(limiter.address)
        size = await upload_until_backpressure(client, limiter)
        client.shutdown(socket.SHUT_WR)
        time.sleep(LATE_SECONDS)
        endpoint.resume.set()
        assert await endpoint.body_size == size
        client.setblocking(False)  # noqa: FBT003 - positional only
        reader, writer = await asyncio.open_connection(sock=client)
        assert (await read_final_response(reader))[2] == b"hi"
        writer.close()


@async_test
async def test_partly_forwarded_request_may_not_be_retried() -> None:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_head(reader)
        writer.transport.abort()

    script = ScriptedDecisions(forward_to_s1)
    async with limiter_with_endpoint(serve, script) as limiter:
        reader, writer = await limiter.connect()
        writer.write(upload("length", LONG_BODY)[:300_000])
        assert " 429 " in (await read_message(reader))[0]
        (completed,) = await script.wait_for(model.AttemptCompleted)
        assert completed.status is model.CallStatus.RESET_BEFORE_REQUEST
        assert not completed.may_retry


@async_test
async def test_request_that_follows_an_upload_completed_before_its_attempt_is_read() -> None:
    script = ScriptedDecisions(take_no_action)
    endpoint = ScriptedEndpoint()
    async with limiter_with_endpoint(endpoint.handle_connection, script) as limiter:
        reader, writer = await limiter.connect()
        writer.write(upload("length", b"x" * 70_000))
        await script.wait_for(model.UploadCompleted)
        (waiting,) = await script.wait_for(model.Request)
        execute(limiter, forward_to_s1(waiting))
        assert " 200 " in (await read_message(reader))[0]
        writer.write(http_request())
        assert " 200 " in (await read_message(reader))[0]
        writer.close()


@async_test
async def test_upload_whose_attempt_has_no_time_left_is_answered() -> None:
    def forward_without_time(event: model.Event) -> list[model.Action]:
        if isinstance(event, model.Request):
            return [model.Forward(event.id, "s1", 0.0)]
        if isinstance(event, model.AttemptCompleted) and not event.request_finished:
            return [model.Reject(event.request_id, 0.1)]
        return []

    endpoint = ScriptedEndpoint()
    script = ScriptedDecisions(forward_without_time)
    async with limiter_with_endpoint(endpoint.handle_connection, script) as limiter:
        reader, writer = await limiter.connect()
        writer.write(upload("length", b"x" * 70_000))
        assert " 429 " in (await read_message(reader))[0]
        writer.close()
