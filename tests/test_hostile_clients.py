"""Hostile clients on real processes: memory stays within its limit, and other clients are answered in time.

The limits are those of the configuration: the least memory and the most descriptors that the pages name.
"""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import pytest

from soak.http_bodies import read_body
from tests.gateway_process import WIRE_SETTINGS, make_config, running_limiter
from tests.hostile_clients import (
    HONEST_ACCOUNT,
    HONEST_TIMEOUT_SECONDS,
    PIECE_BYTES,
    Crowd,
    HonestClient,
    HostileShape,
    peak_memory_bytes,
    pieces,
)
from tests.http_bodies import read_head
from tests.loopback import OK_RESPONSE, async_test, http_request, pause_reading, running_server

LEAST_MEMORY_MB = 32
MOST_DESCRIPTORS = 1024
MEGABYTE = 2**20
CROWD_SIZE = 600  # more than the connections that 1,024 descriptors allow
CROWD_SECONDS = 3.0
# A final response may be sent up to half a second after the client's timeout.
MAX_RESPONSE_SECONDS = HONEST_TIMEOUT_SECONDS + 0.5
ACCOUNT = "?account=00000000b4d65521"
LONG_TIMEOUT_MS = 20_000
LONG_RESPONSE_BYTES = 8 * MEGABYTE


def hostile_config(endpoint: str) -> dict[str, Any]:
    """Return a configuration with the least memory, ample quotas, and a class whose requests have bodies."""
    raw = make_config(endpoint)
    raw["limits"] = {"cores": 1.0, "memory_mb": LEAST_MEMORY_MB, "sockets": MOST_DESCRIPTORS}
    post = {"name": "post", "aim_s": 20.0, "effect": "at_most_once", "worth": 1.0, "hard_limit_s": 20.0}
    raw["settings"] = WIRE_SETTINGS | {
        "classes": [WIRE_SETTINGS["classes"][0] | {"aim_s": 20.0, "hard_limit_s": 20.0}, post],
        "tariffs": [{"name": "basic", "quota_rate": 1e6, "store_size": 1e6}],
    }
    return raw


def get_request() -> bytes:
    return http_request("/lookup" + ACCOUNT, timeout_ms=LONG_TIMEOUT_MS)


def post_request(body: bytes, **headers: str) -> bytes:
    return http_request("/post" + ACCOUNT, body, timeout_ms=LONG_TIMEOUT_MS, **headers)


def chunked_post(chunks: bytes) -> bytes:
    head = post_request(b"x", Content_Length="", Transfer_Encoding="chunked")
    return head[: -len(b"x")] + chunks


ZERO_LINES = b"10000\r\n%b\r\n" % (b"0\r\n" * 21_845 + b"0") * 30
UNFINISHED_REQUESTS = [
    HostileShape("head of many fields without values", lambda: get_request()[:-2] + b"a:\r\n" * 7000),
    HostileShape("head of many short fields", lambda: get_request()[:-2] + b"ab:c\r\n" * 5000),
    HostileShape(
        "head of many short fields in small pieces",
        lambda: get_request()[:-2] + b"ab:c\r\n" * 5000,
        piece_bytes=1000,
        pause_seconds=0.05,
    ),
    HostileShape("one long field", lambda: get_request()[:-2] + b"X-Long: " + b"y" * 31_000),
    HostileShape("long target", lambda: b"GET /lookup?" + b"y" * 31_000),
    HostileShape("body with a length", lambda: post_request(b"x" * 65_000)[:-5000]),
    HostileShape("body of small chunks", lambda: chunked_post(b"2\r\nxx\r\n" * 30_000)),
    HostileShape("body of one-byte chunks", lambda: chunked_post(b"1\r\nx\r\n" * 60_000)),
    HostileShape("upload", lambda: post_request(b"x" * 2_000_000)[:-1_000_000]),
    HostileShape("many trailers", lambda: chunked_post(b"1\r\nx\r\n0\r\n" + b"a:b\r\n" * 6000)),
]
PENDING_REQUESTS = [
    HostileShape(
        "pipelined requests with bodies", lambda: b"".join(post_request(b"x" * 60_000) for _ in range(8))
    ),
    HostileShape(
        "pipelined requests with long heads",
        lambda: b"".join(get_request()[:-2] + b"X-Long: %b\r\n\r\n" % (b"y" * 30_000) for _ in range(8)),
    ),
    HostileShape(
        "pipelined requests with many fields",
        lambda: b"".join(get_request()[:-2] + b"ab:c\r\n" * 2000 + b"\r\n" for _ in range(8)),
    ),
    HostileShape("uploads", lambda: post_request(b"x" * 2_000_000)),
    # review/8: the search for the end of such uploads took 54 ms each, in each scan and for each attempt.
    HostileShape("uploads of lines that look like the last chunk", lambda: chunked_post(ZERO_LINES)),
    HostileShape("uploads in tiny chunks", lambda: chunked_post(b"1\r\n0\r\n" * 300_000)),
    HostileShape(
        "health checks whose responses are not read", lambda: b"GET /healthz HTTP/1.1\r\n\r\n" * 40_000
    ),
]


async def accept_nothing(_reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Serve a connection by reading nothing of it."""
    pause_reading(writer)
    await asyncio.Event().wait()


async def respond(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Respond to each request as soon as it is complete."""
    while True:
        _, headers = await read_head(reader)
        await read_body(reader, headers)
        writer.write(OK_RESPONSE)


async def assert_limits_hold(
    endpoint: str, shape: HostileShape, directory: Path, crowd_size: int = CROWD_SIZE
) -> None:
    """Assert that a crowd neither exceeds the memory limit nor delays another client's responses."""
    async with running_limiter(hostile_config(endpoint), directory) as limiter:
        host, port = limiter.listen_address.split(":")
        honest = HonestClient(limiter)
        async with Crowd((host, int(port)), shape, crowd_size):
            await honest.run(CROWD_SECONDS)
            peak = peak_memory_bytes(limiter)
        assert peak <= LEAST_MEMORY_MB * MEGABYTE, f"{peak / MEGABYTE:.1f} MB"
        assert honest.unanswered == 0
        assert honest.slowest <= MAX_RESPONSE_SECONDS


# Incident 706588: a crowd of slow or hostile clients took a process beyond its memory limit.
@pytest.mark.parametrize("shape", UNFINISHED_REQUESTS, ids=lambda shape: shape.name)
@async_test
async def test_crowd_with_unfinished_requests_stays_within_the_memory_limit(
    shape: HostileShape, tmp_path: Path
) -> None:
    async with running_server(respond) as endpoint:
        await assert_limits_hold(endpoint, shape, tmp_path)


# Incident 706588: requests that waited for an endpoint were bounded one by one, not by the memory limit.
@pytest.mark.parametrize("shape", PENDING_REQUESTS, ids=lambda shape: shape.name)
@async_test
async def test_crowd_with_pending_requests_stays_within_the_memory_limit(
    shape: HostileShape, tmp_path: Path
) -> None:
    async with running_server(accept_nothing) as endpoint:
        await assert_limits_hold(endpoint, shape, tmp_path)


def long_response(chunk_bytes: int) -> bytes:
    """Return a long response with a length, or in chunks of ``chunk_bytes`` if that is not 0."""
    if not chunk_bytes:
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % LONG_RESPONSE_BYTES
        return head + b"x" * LONG_RESPONSE_BYTES
    chunk = b"%x\r\n%b\r\n" % (chunk_bytes, b"x" * chunk_bytes)
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    return head + chunk * (LONG_RESPONSE_BYTES // len(chunk)) + b"0\r\n\r\n"


# Incident 706588: long responses whose clients read slowly took a process beyond its memory limit.
@pytest.mark.parametrize("chunk_bytes", [0, 2, 50, 5000, 500_000])
@async_test
async def test_crowd_that_reads_no_response_stays_within_the_memory_limit(
    chunk_bytes: int, tmp_path: Path
) -> None:
    response = long_response(chunk_bytes)

    async def respond_at_length(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        for piece in pieces(OK_RESPONSE if HONEST_ACCOUNT.encode() in head else response, PIECE_BYTES):
            writer.write(piece)
            await writer.drain()

    shape = HostileShape("long response", get_request)
    async with running_server(respond_at_length) as endpoint:
        await assert_limits_hold(endpoint, shape, tmp_path, crowd_size=300)


FLOODS = [
    HostileShape("health checks", lambda: b"GET /healthz HTTP/1.1\r\n\r\n" * 2_000_000),
    HostileShape("requests", lambda: get_request() * 100_000),
    HostileShape("one-byte chunks", lambda: chunked_post(b"1\r\nx\r\n" * 5_000_000)),
    HostileShape(
        "ever new customers",
        lambda: b"".join(
            http_request(f"/lookup?account={number:016x}", timeout_ms=LONG_TIMEOUT_MS)
            for number in range(60_000)
        ),
    ),
]


# Incident 706588: one connection at full speed delayed other clients by seconds, or used memory without end.
@pytest.mark.parametrize("crowd_size", [1, 10])
@pytest.mark.parametrize("shape", FLOODS, ids=lambda shape: shape.name)
@async_test
async def test_connections_at_full_speed_delay_no_other_client(
    shape: HostileShape, crowd_size: int, tmp_path: Path
) -> None:
    async with running_server(respond) as endpoint:
        await assert_limits_hold(endpoint, shape, tmp_path, crowd_size)
