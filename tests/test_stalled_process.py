"""Stalls of the limiter process: input that arrives during a stall counts from its time of arrival.

A request must not be forwarded with the timeout that it had before the stall, nor for a client that has
disconnected since. A request or response that arrived in time must not time out.
"""

from __future__ import annotations

import asyncio
import os
import socket
import time
from typing import Any

import pytest

from quota_gateway import model
from quota_gateway.net.client.request_reader import HEAD_TIMEOUT_SECONDS
from quota_gateway.net.client.stall_detector import STALL_RECOVERY_SECONDS
from quota_gateway.net.common.http_common import MAX_BUFFERED_BODY_BYTES
from quota_gateway.net.upstream.response_timer import MAX_RESPONSE_GAP_SECONDS
from tests.client_helpers import DISCONNECT_FUNCTIONS, limiter_with_endpoint, wait_for_partial_request
from tests.loopback import (
    OK_RESPONSE,
    LoopbackLimiter,
    ScriptedDecisions,
    ScriptedEndpoint,
    async_test,
    forward_to_s1,
    http_request,
    read_message,
    running_server,
)

STALL = 0.4  # seconds
SLACK = 0.1  # seconds; less than the 0.15 s that the specification allows


def forward_with_short_timeout(event: model.Event) -> list[model.Action]:
    """Forward each request to ``s1`` for less time than a stall, and reject it if that attempt fails."""
    if isinstance(event, model.Request):
        return [model.Forward(event.id, "s1", STALL / 2)]
    return forward_to_s1(event)


async def hang(reader: asyncio.StreamReader, _writer: asyncio.StreamWriter) -> None:
    """Read requests and respond to none."""
    while await reader.read(65536):
        pass


@pytest.mark.parametrize("is_first", [True, False])
@async_test
async def test_the_time_that_a_request_waits_in_a_stall_is_deducted_from_its_timeout(is_first: bool) -> None:
    script = ScriptedDecisions(forward_to_s1)
    endpoint = ScriptedEndpoint()
    async with (
        running_server(endpoint.handle_connection) as address,
        LoopbackLimiter(script, {"s1": address}) as limiter,
    ):
        client = socket.create_connection(limiter.address)
        if not is_first:
            client.sendall(http_request())
            await script.wait_for(model.AttemptCompleted)
            client.recv(1000)
        client.sendall(http_request(timeout_ms=2000))
        time.sleep(STALL)
        reader, writer = await asyncio.open_connection(sock=client)
        assert " 200 " in (await read_message(reader))[0]
        propagated = int(endpoint.requests[-1][1]["x-timeout-ms"]) / 1000
        assert propagated <= 2.0 - STALL + SLACK
        assert script.events[-2].timeout <= 2.0 - STALL + SLACK  # type: ignore[union-attr]
        writer.close()


@pytest.mark.parametrize("close_client", DISCONNECT_FUNCTIONS)
@pytest.mark.parametrize("is_first", [True, False])
@async_test
async def test_no_attempt_begins_for_a_client_that_sends_a_request_and_disconnects_during_a_stall(
    close_client: Any, is_first: bool
) -> None:
    """The request and the end of the input are both unread when the process resumes."""
    script = ScriptedDecisions(forward_to_s1)
    endpoint = ScriptedEndpoint()
    async with (
        running_server(endpoint.handle_connection) as address,
        LoopbackLimiter(script, {"s1": address}) as limiter,
    ):
        client = socket.create_connection(limiter.address)
        if not is_first:
            client.sendall(http_request())
            await script.wait_for(model.AttemptCompleted)
            client.recv(1000)
        served = len(endpoint.requests)
        client.sendall(http_request())
        close_client(client)
        time.sleep(STALL)
        request = http_request()
        assert " 200 " in (await limiter.fetch(request))[0]  # this request is forwarded after all others
        assert len(endpoint.requests) == served + 1
        assert endpoint.requests[-1][1]["x-request-id"].encode() in request


@async_test
async def test_a_request_whose_timeout_passes_during_a_stall_is_rejected_and_not_forwarded() -> None:
    script = ScriptedDecisions(forward_to_s1)
    endpoint = ScriptedEndpoint()
    async with (
        running_server(endpoint.handle_connection) as address,
        LoopbackLimiter(script, {"s1": address}) as limiter,
    ):
        client = socket.create_connection(limiter.address)
        client.sendall(http_request(timeout_ms=int(STALL * 500)))
        time.sleep(STALL)
        reader, writer = await asyncio.open_connection(sock=client)
        status, headers, _ = await read_message(reader)
        assert " 503 " in status
        assert "retry-after" in headers
        assert not endpoint.requests
        assert not limiter.listener.shared.open_request_ids
        writer.write(http_request())
        assert " 200 " in (await read_message(reader))[0]
        writer.close()


@async_test
async def test_the_timeout_of_an_upload_includes_the_stall_in_which_its_last_byte_arrived() -> None:
    script = ScriptedDecisions(forward_to_s1)
    body = b"x" * (MAX_BUFFERED_BODY_BYTES + 1)
    timeout = 0.8
    async with (
        running_server(hang) as address,
        LoopbackLimiter(script, {"s1": address}) as limiter,
    ):
        client = socket.create_connection(limiter.address)
        client.setblocking(False)  # noqa: FBT003 - positional only
        reader, writer = await asyncio.open_connection(sock=client)
        request = http_request("/post?account=00000000b4d65521", body, timeout_ms=int(timeout * 1000))
        writer.write(request[:-1])
        await script.wait_for(model.Request)
        await writer.drain()
        await asyncio.sleep(0.3)  # the process has read all other bytes, and was not stalled until then
        client.send(request[-1:])
        time.sleep(STALL)
        resumed_at = time.monotonic()
        assert " 429 " in (await read_message(reader))[0]  # the attempt has timed out
        assert time.monotonic() - resumed_at <= timeout - STALL + SLACK
        writer.close()


async def respond_before_a_stall(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Respond and then stall this process.

    The response is written to the socket at once, as by an endpoint in another process.
    """
    await read_message(reader)
    os.write(writer.get_extra_info("socket").fileno(), OK_RESPONSE)
    time.sleep(STALL)
    await reader.read()


@async_test
async def test_a_response_that_arrived_during_a_stall_answers_its_request() -> None:
    """When the process resumes, the attempt's timeout has passed and its response is unread."""
    script = ScriptedDecisions(forward_with_short_timeout)
    async with limiter_with_endpoint(respond_before_a_stall, script) as limiter:
        assert " 200 " in (await limiter.fetch(http_request(timeout_ms=5000)))[0]


async def respond_in_two_parts(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Send a response in two parts, and stall this process before it reads the second part."""
    await read_message(reader)
    descriptor = writer.get_extra_info("socket").fileno()
    os.write(descriptor, OK_RESPONSE[:-1])
    await asyncio.sleep(0.1)
    os.write(descriptor, OK_RESPONSE[-1:])
    time.sleep(MAX_RESPONSE_GAP_SECONDS)
    await reader.read()


@async_test
async def test_a_response_whose_rest_arrived_during_a_stall_answers_its_request() -> None:
    async with limiter_with_endpoint(respond_in_two_parts) as limiter:
        assert " 200 " in (await limiter.fetch(http_request(timeout_ms=5000)))[0]


@async_test
async def test_a_request_whose_rest_arrived_during_a_stall_is_read() -> None:
    endpoint = ScriptedEndpoint()
    request = http_request(timeout_ms=10_000)
    async with limiter_with_endpoint(endpoint.handle_connection) as limiter:
        client = socket.create_connection(limiter.address)
        client.sendall(request[:-1])
        await wait_for_partial_request(limiter)
        client.sendall(request[-1:])
        time.sleep(HEAD_TIMEOUT_SECONDS + SLACK)
        reader, writer = await asyncio.open_connection(sock=client)
        assert " 200 " in (await read_message(reader))[0]
        writer.close()


@async_test
async def test_a_request_that_waited_during_a_stall_between_wake_up_and_read_has_less_time() -> None:
    """The event loop reads its clock before the stall; the request is read after it, with that time."""
    script = ScriptedDecisions(forward_to_s1)
    endpoint = ScriptedEndpoint()
    async with limiter_with_endpoint(endpoint.handle_connection, script) as limiter:
        # The start of a limiter counts as the end of a stall.
        await asyncio.sleep(STALL_RECOVERY_SECONDS + SLACK)
        reader, writer = await limiter.connect()
        writer.write(http_request())
        await read_message(reader)
        shared = limiter.listener.shared
        clock = shared.clock
        time_before_stall = clock()
        writer.write(http_request(timeout_ms=2000))
        time.sleep(STALL)
        shared.clock = lambda: time_before_stall
        while len(endpoint.requests) < 2:
            await asyncio.sleep(0)
        shared.clock = clock
        propagated = int(endpoint.requests[-1][1]["x-timeout-ms"]) / 1000
        assert propagated <= 2.0 - STALL + SLACK
        writer.close()
