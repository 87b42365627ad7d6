"""Transfers of long bodies between a pool and an endpoint on a network with ordinary segments."""

from __future__ import annotations

import asyncio
import math
import socket

from quota_gateway.net.common.body_stream import BodyStream
from quota_gateway.net.upstream.exchange import Exchange
from tests.http_bodies import LONG_BODY, read_head
from tests.loopback import OK_RESPONSE, ConnectionHandler
from tests.pool_harness import ENDPOINT, PoolHarness

SCAN_SECONDS = 0.01  # interval of the pool's scans, set by the tests
SCANS_SECONDS = 0.2  # real time in which several scans take place
SEGMENT_BYTES = 1460
RECEIVE_BUFFER_BYTES = 32 * 1024


class Uploader:
    """The source of an upload that is in memory."""

    def __init__(self, body: bytes) -> None:
        self.stream = BodyStream(self, len(body))
        self.stream.write(body)
        self.stream.finish()

    def set_paused(self, *, paused: bool) -> None:
        """Do nothing: the body is in memory."""

    def abandon(self) -> None:
        """Do nothing: the body is in memory."""


async def serve_slow_network(handle: ConnectionHandler) -> asyncio.Server:
    """Return a server whose connections have ordinary segments and a small receive buffer."""
    listening = socket.socket()
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    listening.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
    listening.bind(("127.0.0.1", 0))
    return await asyncio.start_server(handle, sock=listening, limit=SEGMENT_BYTES)


def harness_for(server: asyncio.Server) -> PoolHarness:
    host, port = server.sockets[0].getsockname()
    harness = PoolHarness(f"{host}:{port}")
    harness.set_clock(harness.clock())
    return harness


async def pass_time(harness: PoolHarness, seconds: float) -> None:
    """Let the pool's time pass, and several scans take place."""
    harness.set_clock(harness.clock() + seconds)
    await asyncio.sleep(SCANS_SECONDS)


class SlowReader:
    """Reads as many bytes of a request as the test allows."""

    def __init__(self) -> None:
        self.allowed = asyncio.Queue[int]()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        _, headers = await read_head(reader)
        remaining = int(headers["content-length"])
        while remaining:
            size = min(remaining, await self.allowed.get())
            await reader.readexactly(size)
            remaining -= size
        writer.write(OK_RESPONSE)
        await writer.drain()


async def begin_upload(harness: PoolHarness) -> asyncio.Future[Exchange]:
    """Begin an upload of which the endpoint accepts a part."""
    completed: asyncio.Future[Exchange] = asyncio.get_running_loop().create_future()
    head = b"POST /post HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n" % len(LONG_BODY)
    upload = Uploader(LONG_BODY).stream
    harness.pool.start(Exchange(ENDPOINT, head, b"", math.inf, completed.set_result, upload=upload))
    while not harness.pool.streaming_connections:
        await asyncio.sleep(SCAN_SECONDS)
    await pass_time(harness, 0.0)
    return completed
