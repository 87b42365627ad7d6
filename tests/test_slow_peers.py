"""Peers that accept long bodies slowly are served, and peers that accept nothing are disconnected.

The limiter's timeout checks are called with times of the test, so that no test waits for a timeout.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from quota_gateway.model import CallStatus
from quota_gateway.net.client import listener
from quota_gateway.net.client.connection import ClientConnection
from quota_gateway.net.common.body_stream import BODY_STALL_TIMEOUT_SECONDS
from quota_gateway.net.upstream import pool
from tests.body_transfers import (
    SCAN_SECONDS,
    SEGMENT_BYTES,
    SlowReader,
    begin_upload,
    harness_for,
    pass_time,
    serve_slow_network,
)
from tests.client_helpers import limiter_with_endpoint, wait_for_connections
from tests.http_bodies import LONG_BODY
from tests.loopback import ConnectionHandler, LoopbackLimiter, async_test, http_request, read_message

STEP_SECONDS = 25.0  # of the limiter's clock, between two reads of a slow peer
STEPS = 4  # together far longer than the stall timeout
STEP_BYTES = 128 * 1024
CLIENT_BUFFER_BYTES = 32 * 1024
SETTLE_SECONDS = 0.1  # real time in which the system passes on what was read


@pytest.fixture(autouse=True)
def scans_by_the_test(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(pool, "SCAN_INTERVAL_SECONDS", SCAN_SECONDS)
    monkeypatch.setattr(listener, "SCAN_INTERVAL_SECONDS", 1000.0)


@async_test
async def test_upload_is_whole_if_its_endpoint_accepts_it_slowly() -> None:
    """Guards against uploads that are cut off although their endpoint goes on reading."""
    endpoint = SlowReader()
    server = await serve_slow_network(endpoint.serve)
    async with server, harness_for(server) as harness:
        completed = await begin_upload(harness)
        for _ in range(STEPS):
            endpoint.allowed.put_nowait(STEP_BYTES)
            await pass_time(harness, STEP_SECONDS)
            assert not completed.done()
        endpoint.allowed.put_nowait(len(LONG_BODY))
        assert (await completed).status is CallStatus.OK


async def serve_long_response(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    await read_message(reader)
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(LONG_BODY) + LONG_BODY)
    await writer.drain()
    await reader.read()


async def serve_buffered_responses(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    body = b"x" * 60_000
    while True:
        await read_message(reader)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)


class SlowClient:
    """A client that reads when the test does, and its connection in the limiter."""

    def __init__(self, limiter: LoopbackLimiter, client: socket.socket, connection: ClientConnection) -> None:
        self.socket = client
        self.connection = connection
        self._limiter = limiter
        self._now = limiter.listener.shared.clock()

    async def read(self, size: int) -> bytes:
        """Read ``size`` bytes, or fewer if the connection ends."""
        loop = asyncio.get_running_loop()
        received = b""
        while len(received) < size:
            data = await loop.sock_recv(self.socket, min(SEGMENT_BYTES, size - len(received)))
            if not data:
                break
            received += data
        return received

    async def pass_time(self, seconds: float) -> None:
        """Let the limiter's time pass, and check the timeouts of the connection."""
        await asyncio.sleep(SETTLE_SECONDS)
        self._now += seconds
        self.connection.check_timeouts(self._now)
        await asyncio.sleep(SETTLE_SECONDS)

    def is_connected(self) -> bool:
        return self.connection in self._limiter.listener.connections


@asynccontextmanager
async def slow_client(serve: ConnectionHandler, request_count: int = 1) -> AsyncIterator[SlowClient]:
    """Connect a client with a small receive buffer that has sent requests and read nothing."""
    async with limiter_with_endpoint(serve) as limiter:
        with socket.socket() as client:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, CLIENT_BUFFER_BYTES)
            client.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
            client.connect(limiter.address)
            client.setblocking(False)  # noqa: FBT003 - positional only
            client.send(b"".join(http_request() for _ in range(request_count)))
            (connection,) = await wait_for_connections(limiter)
            while not connection.transport.unwritten_size():
                await asyncio.sleep(SCAN_SECONDS)
            yield SlowClient(limiter, client, connection)


@async_test
async def test_response_is_whole_if_its_client_reads_it_slowly() -> None:
    """Guards against long responses that are cut off although their client goes on reading."""
    async with slow_client(serve_long_response) as client:
        received = b""
        for _ in range(STEPS):
            received += await client.read(STEP_BYTES)
            await client.pass_time(STEP_SECONDS)
            assert client.is_connected()
        head, _, body = received.partition(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200 ")
        assert body + await client.read(len(LONG_BODY) - len(body)) == LONG_BODY


@async_test
async def test_client_that_accepts_nothing_of_a_response_is_disconnected() -> None:
    """Guards against connections that a client keeps open for ever by not reading its response."""
    async with slow_client(serve_long_response) as client:
        await client.pass_time(0.0)
        await client.pass_time(STEP_SECONDS)
        assert client.is_connected()
        await client.pass_time(BODY_STALL_TIMEOUT_SECONDS)
        assert not client.is_connected()


@async_test
async def test_client_that_accepts_nothing_is_disconnected_also_while_its_connection_is_idle() -> None:
    """Guards against connections that stay open for ever because their output waits."""
    async with slow_client(serve_buffered_responses, request_count=8) as client:
        while client.connection.pipeline.queue:
            await asyncio.sleep(SCAN_SECONDS)
        await client.pass_time(3.0)
        assert client.connection.transport.is_open  # not closed as idle: the output waits
        assert client.is_connected()
        await client.pass_time(BODY_STALL_TIMEOUT_SECONDS + 1)
        assert not client.is_connected()
