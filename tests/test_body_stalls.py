"""Bodies whose transfer stands still for a while: it goes on after the longest hang, and is aborted later."""

from __future__ import annotations

import asyncio
import socket
import time

import pytest

from quota_gateway.model import CallStatus
from quota_gateway.net.common.body_stream import BODY_STALL_TIMEOUT_SECONDS, BodyStream
from quota_gateway.net.upstream import pool
from quota_gateway.net.upstream.exchange import Exchange
from tests.body_transfers import (
    SCAN_SECONDS,
    SCANS_SECONDS,
    SlowReader,
    begin_upload,
    harness_for,
    pass_time,
    serve_slow_network,
)
from tests.http_bodies import LONG_BODY
from tests.loopback import async_test, read_message
from tests.pool_harness import ENDPOINT, REQUEST_HEAD, PoolHarness

HANGS = [6.7, 14.9, 15.1, 19.0, 25.0]  # seconds; the pages name hangs of up to 25 s
HALF = len(LONG_BODY) // 2


class Collector:
    """The sink of a response: collects its body."""

    def __init__(self) -> None:
        self.body = bytearray()
        self.is_whole: asyncio.Future[bool] = asyncio.get_running_loop().create_future()

    def write_chunk(self, data: bytes) -> None:
        self.body += data

    def finish(self) -> None:
        self.is_whole.set_result(True)

    def truncate(self) -> None:
        self.is_whole.set_result(False)

    def attach(self, _exchange: Exchange, stream: BodyStream) -> bool:
        stream.attach(self, writable=True)
        return True


@pytest.fixture(autouse=True)
def frequent_scans(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(pool, "SCAN_INTERVAL_SECONDS", SCAN_SECONDS)


class HangingEndpoint:
    """Sends half of a long response, and the rest once it is released."""

    def __init__(self) -> None:
        self.released = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_message(reader)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(LONG_BODY) + LONG_BODY[:HALF])
        await self.released.wait()
        writer.write(LONG_BODY[HALF:])
        await writer.drain()


async def begin_response(harness: PoolHarness) -> Collector:
    collector = Collector()
    exchange = Exchange(
        ENDPOINT, REQUEST_HEAD, b"", harness.clock() + 10.0, lambda _exchange: None, collector.attach
    )
    harness.pool.start(exchange)
    while len(collector.body) < HALF:
        await asyncio.sleep(SCAN_SECONDS)
    return collector


@pytest.mark.parametrize("hang", HANGS)
@async_test
async def test_response_is_whole_if_its_endpoint_hangs_within_it_and_goes_on(hang: float) -> None:
    """Guards against long responses that are cut off while their endpoint hangs."""
    endpoint = HangingEndpoint()
    server = await serve_slow_network(endpoint.serve)
    async with server, harness_for(server) as harness:
        collector = await begin_response(harness)
        await pass_time(harness, hang)
        assert not collector.is_whole.done()
        endpoint.released.set()
        assert await collector.is_whole
        assert collector.body == LONG_BODY


@async_test
async def test_response_is_truncated_if_its_endpoint_sends_nothing_for_longer_than_any_hang() -> None:
    endpoint = HangingEndpoint()
    server = await serve_slow_network(endpoint.serve)
    async with server, harness_for(server) as harness:
        collector = await begin_response(harness)
        await pass_time(harness, BODY_STALL_TIMEOUT_SECONDS + 1)
        assert not await collector.is_whole
        assert not harness.pool.streaming_connections


@async_test
async def test_response_is_whole_if_this_process_stands_still_before_it_reads_the_next_part() -> None:
    """Guards against long responses that are cut off although their next part has arrived."""
    with socket.create_server(("127.0.0.1", 0)) as listening:
        host, port = listening.getsockname()
        harness = PoolHarness(f"{host}:{port}")
        harness.set_clock(harness.clock())
        async with harness:
            beginning = asyncio.create_task(begin_response(harness))
            endpoint, _address = await asyncio.to_thread(listening.accept)
            with endpoint:
                endpoint.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(LONG_BODY))
                await asyncio.to_thread(endpoint.sendall, LONG_BODY[:HALF])
                collector = await beginning

                def stand_still() -> None:
                    endpoint.sendall(LONG_BODY[HALF : HALF + 1])
                    harness.set_clock(harness.clock() + BODY_STALL_TIMEOUT_SECONDS + 1)

                # When both timers are due, the scan follows at once, before the event loop reads the socket.
                asyncio.get_running_loop().call_later(SCAN_SECONDS / 10, stand_still)
                time.sleep(SCANS_SECONDS)
                await asyncio.to_thread(endpoint.sendall, LONG_BODY[HALF + 1 :])
                assert await collector.is_whole


@pytest.mark.parametrize("hang", HANGS)
@async_test
async def test_upload_is_whole_if_its_endpoint_hangs_and_goes_on(hang: float) -> None:
    """Guards against uploads that are cut off while their endpoint hangs."""
    endpoint = SlowReader()
    server = await serve_slow_network(endpoint.serve)
    async with server, harness_for(server) as harness:
        completed = await begin_upload(harness)
        await pass_time(harness, hang)
        assert not completed.done()
        endpoint.allowed.put_nowait(len(LONG_BODY))
        assert (await completed).status is CallStatus.OK


@async_test
async def test_upload_ends_if_its_endpoint_accepts_nothing_for_longer_than_any_hang() -> None:
    server = await serve_slow_network(SlowReader().serve)
    async with server, harness_for(server) as harness:
        completed = await begin_upload(harness)
        await pass_time(harness, BODY_STALL_TIMEOUT_SECONDS + 1)
        assert (await completed).status is CallStatus.RESET_BEFORE_REQUEST
        assert not harness.pool.streaming_connections
