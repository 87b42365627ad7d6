"""The stand-ins of the scale tests: they reply as the protocols specify, and serve no more than their rate.

The endpoints report the service times that the latency test subtracts.
"""

from __future__ import annotations

import asyncio
import json
import time

import pytest

from scale.http_client import HttpClient, encode_request
from scale.processes import split_address
from scale.stand_ins.counter import CounterSpec, CounterStandIn
from scale.stand_ins.discovery import DiscoveryStandIn, make_endpoints
from scale.stand_ins.endpoints import EndpointsSpec, EndpointsStandIn
from scale.stand_ins.timers import PreciseTimers
from tests.loopback import TIME_LIMIT, run


async def connect(address: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    return await asyncio.open_connection(*split_address(address))


def test_the_counter_replies_in_order_and_serves_no_more_than_its_rate() -> None:
    async def main() -> None:
        counter = CounterStandIn(CounterSpec(rate=200.0, shards=2, round_trip=0.0), PreciseTimers())
        reader, writer = await connect(await counter.open())
        started = time.monotonic()
        calls = b"".join(b"tally %d 2.5 4000\r\n" % (number % 2) for number in range(40))
        writer.write(calls + b"ping\r\nhello\r\ntally 1 -50 4000\r\n")
        replies = [(await reader.readline()).rstrip() for _ in range(43)]
        assert replies[:4] == [b"ok 2.5", b"ok 2.5", b"ok 5", b"ok 5"]
        assert replies[39:] == [b"ok 50", b"pong", b"error", b"ok 0"]
        assert time.monotonic() - started >= 40 / 200  # the rate is that of all shards

    run(main())


def test_a_call_rejected_by_a_full_counter_adds_nothing() -> None:
    async def main() -> None:
        counter = CounterStandIn(CounterSpec(rate=50.0, round_trip=0.0, queue_limit=3), PreciseTimers())
        reader, writer = await connect(await counter.open())
        writer.write(b"tally 7 1 4000\r\n" * 10)
        replies = [(await reader.readline()).rstrip() for _ in range(10)]
        busy = replies.count(b"busy")
        assert busy >= 6
        assert replies[0] == b"ok 1"
        await asyncio.sleep(0.1)
        writer.write(b"tally 7 1 4000\r\n")
        assert await reader.readline() == b"ok %d\r\n" % (10 - busy + 1)

    run(main())


def test_a_total_expires_after_its_lifetime() -> None:
    async def main() -> None:
        counter = CounterStandIn(CounterSpec(round_trip=0.0), PreciseTimers())
        reader, writer = await connect(await counter.open())
        for _ in range(2):
            writer.write(b"tally 7 1 50\r\n")
            assert await reader.readline() == b"ok 1\r\n"
            await asyncio.sleep(0.08)

    run(main())


async def read_chunk(reader: asyncio.StreamReader) -> bytes:
    size = int(await reader.readline(), 16)
    return (await reader.readexactly(size + 2))[:-2]


def test_a_watch_sends_the_complete_list_then_changes_and_keep_alives() -> None:
    async def main() -> None:
        discovery = DiscoveryStandIn(make_endpoints(3, ["127.0.0.1:1"]))
        address = await discovery.open()
        reader, writer = await connect(address)
        writer.write(b"GET /v1/servers?follow=1 HTTP/1.1\r\nHost: x\r\n\r\n")
        assert b" 200 " in (await reader.readuntil(b"\r\n\r\n"))
        complete = json.loads(await read_chunk(reader))
        assert complete["whole"]
        assert complete["seq"] == 41
        assert len(complete["hosts"]) == 3
        discovery.drain("s-00000001")
        change = json.loads(await read_chunk(reader))
        assert not change["whole"]
        assert change["seq"] == 42
        assert [(row["host"], row["health"]) for row in change["hosts"]] == [("s-00000001", "draining")]
        assert await read_chunk(reader) == b"\n"  # keep-alive, sent every 2 s
        late, late_writer = await connect(address)
        late_writer.write(b"GET /v1/servers?follow=1&since=41 HTTP/1.1\r\nHost: x\r\n\r\n")
        await late.readuntil(b"\r\n\r\n")
        assert json.loads(await read_chunk(late)) == change
        discovery.crash()
        assert await late.read() == b""
        with pytest.raises(ConnectionRefusedError):
            await connect(address)
        discovery.close()

    run(main())


def test_discovery_limits_its_rate_of_calls_and_sends_nothing_while_unresponsive() -> None:
    async def main() -> None:
        discovery = DiscoveryStandIn(make_endpoints(3, ["127.0.0.1:1"]), capacity=20.0)
        address = await discovery.open()
        started = time.monotonic()
        callers = [await connect(address) for _ in range(4)]
        for _, writer in callers:
            writer.write(b"GET /v1/servers HTTP/1.1\r\nHost: x\r\n\r\n")
        for reader, _ in callers:
            await reader.readuntil(b"\r\n\r\n")
        assert time.monotonic() - started >= 4 / 20
        discovery.stop_responding()
        reader, writer = await connect(address)
        writer.write(b"GET /v1/servers HTTP/1.1\r\nHost: x\r\n\r\n")
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(reader.read(1), 0.3)
        discovery.close()

    # Runs on the standard event loop, because uvloop's timers have a resolution of 1 ms and may fire early.
    asyncio.run(asyncio.wait_for(main(), TIME_LIMIT))


def test_endpoints_report_their_service_time_and_whether_the_connection_is_new() -> None:
    async def main() -> None:
        spec = EndpointsSpec(
            ports=1, min_service_time=0.02, max_service_time=0.02, idle_closing_ports=0, slow_setup_ports=0
        )
        endpoints = EndpointsStandIn(spec, PreciseTimers())
        client = HttpClient((await endpoints.open())[0])
        for turn in range(2):
            request = encode_request(
                request_id=f"{turn:016x}", path="/read?account=1", plan="far", timeout=1.0, serving_gateways=3
            )
            response = await client.fetch(request)
            assert response.status == 200
            assert response.service_time >= 0.02
            assert response.on_new_connection is (turn == 0)

    run(main())
