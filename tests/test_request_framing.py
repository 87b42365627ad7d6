"""The end of a request is where its head says, in each framing and whatever else the head says."""

from __future__ import annotations

import asyncio
from itertools import pairwise

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from quota_gateway import model
from quota_gateway.net.common.body_framing import ChunkedDecoder, FramingError
from quota_gateway.net.common.http_common import MAX_HEAD_BYTES
from tests.client_helpers import limiter_with_endpoint, reject
from tests.http_bodies import chunked, read_head, upload
from tests.loopback import (
    OK_RESPONSE,
    LoopbackLimiter,
    ScriptedDecisions,
    async_test,
    http_request,
    read_message,
)
from tests.recording_endpoint import RecordingEndpoint

ANSWER_SECONDS = 5.0
OFFERS = {
    "none": b"",
    "h2c": b"Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAMAAABk\r\n",
    "websocket": b"Upgrade: websocket\r\nConnection: keep-alive, upgrade\r\nSec-WebSocket-Version: 13\r\n",
}
BODIES = {
    "short": b'{"amount":100}',
    "request": http_request(),
    "upload": http_request() * 500,  # too long to be buffered
}


def with_offer(request: bytes, offer: str) -> bytes:
    """Add the headers of an offer to a request."""
    return request.replace(b"\r\n", b"\r\n" + OFFERS[offer], 1)


def cut(data: bytes, cuts: str) -> list[bytes]:
    """Return the parts in which a client sends ``data``."""
    head_end = data.index(b"\r\n\r\n") + 4
    offsets = {
        "whole": [],
        "behind the head": [head_end],
        "within the end of the head": [head_end - 3, head_end - 1],
        "byte by byte": list(range(1, min(len(data), head_end + 100))),
    }[cuts]
    return [data[start:end] for start, end in pairwise([0, *offsets, len(data)])]


@pytest.mark.parametrize("cuts", ["whole", "behind the head", "within the end of the head", "byte by byte"])
@pytest.mark.parametrize("body", BODIES)
@pytest.mark.parametrize("framing", ["length", "chunked"])
@pytest.mark.parametrize("offer", OFFERS)
@async_test
async def test_request_that_offers_an_upgrade_is_run_with_its_body_and_nothing_else_is(
    offer: str, framing: str, body: str, cuts: str
) -> None:
    """Guards against requests that run without their body, and bodies that run as requests."""
    endpoint = RecordingEndpoint()
    async with limiter_with_endpoint(endpoint.serve) as limiter:
        reader, writer = await limiter.connect()
        first = with_offer(upload(framing, BODIES[body]), offer)
        for part in cut(first, cuts):
            writer.write(part)
            await asyncio.sleep(0)
        async with asyncio.timeout(ANSWER_SECONDS):
            assert (await read_message(reader))[2] == b"hi"
            writer.write(with_offer(http_request(), offer) + http_request())
            for _ in range(2):
                assert (await read_message(reader))[2] == b"hi"
        writer.close()
    assert [received for _, received in endpoint.requests] == [BODIES[body], b"", b""]
    assert [line.split()[0] for line, _ in endpoint.requests] == ["POST", "GET", "GET"]


@pytest.mark.parametrize(
    "second", [http_request(), b"GET / HTTP/1.1\r\n", b"x"], ids=["request", "partial head", "byte"]
)
@pytest.mark.parametrize("framing", ["none", "length", "chunked"])
@async_test
async def test_input_behind_the_last_request_of_a_connection_is_never_run(
    framing: str, second: bytes
) -> None:
    endpoint = RecordingEndpoint()
    async with limiter_with_endpoint(endpoint.serve) as limiter:
        reader, writer = await limiter.connect()
        request = http_request() if framing == "none" else upload(framing, b"body")
        writer.write(request.replace(b"\r\n", b"\r\nConnection: close\r\n", 1) + second)
        assert (await read_message(reader))[2] == b"hi"
        assert await reader.read() == b""
    assert len(endpoint.requests) == 1


@pytest.mark.parametrize("framing", ["length", "chunked"])
@async_test
async def test_connect_request_is_rejected_with_its_body(framing: str) -> None:
    script = ScriptedDecisions(reject)
    async with LoopbackLimiter(script, {}) as limiter:
        reader, writer = await limiter.connect()
        writer.write(upload(framing, http_request()).replace(b"POST", b"CONNECT", 1))
        assert " 40" in (await read_message(reader))[0]
        assert await reader.read() == b""
    assert not [event for event in script.events if isinstance(event, model.Request)]


@pytest.mark.parametrize(
    ("head", "body"),
    [
        (b"Content-Length: 5", b"hello"),
        (b"Transfer-Encoding: chunked", b"2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n"),
        (b"Content-Length: 100000", b"x" * 100_000),
        (b"Content-Length: 0", b""),
    ],
    ids=["length", "chunked", "long", "empty"],
)
@async_test
async def test_response_that_offers_an_upgrade_is_passed_on_with_its_body(head: bytes, body: bytes) -> None:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            await read_head(reader)
            writer.write(b"HTTP/1.1 200 OK\r\n" + OFFERS["h2c"] + head + b"\r\n\r\n" + body)

    async with limiter_with_endpoint(serve) as limiter:
        received = await limiter.fetch(http_request())
        assert received[2] == (b"hello" if b"chunked" in head else body)


@async_test
async def test_response_that_switches_protocols_is_not_passed_on() -> None:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_head(reader)
        writer.write(b"HTTP/1.1 101 Switching Protocols\r\n" + OFFERS["h2c"] + b"\r\n" + OK_RESPONSE)
        await reader.read()

    async with limiter_with_endpoint(serve) as limiter:
        assert " 200 " not in (await limiter.fetch(with_offer(http_request(), "h2c")))[0]


# Chunked bodies.

INVALID = {
    "no size": b"\r\n",
    "size that is no number": b"x",
    "signed size": b"+1\r\nx",
    "size with a prefix": b"0x1\r\nx",
    "size of 17 digits": b"00000000000000001",
    "data beyond the size": b"1\r\nxy",
    "line feed behind the data": b"1\r\nx\n",
    "line feed behind the size": b"1\nx",
    "carriage return within an extension": b"1;a\rb\r\nx",
    "trailer without a name": b"0\r\n: 1\r\n",
    "folded trailer": b"0\r\nA: 1\r\n b\r\n",
    "line without an end": b"1;" + b"a" * MAX_HEAD_BYTES,
    "too many trailers": b"0\r\n" + b"A: 1\r\n" * MAX_HEAD_BYTES,
}


def decode_in_parts(data: bytes, part_size: int) -> None:
    """Decode a chunked body in parts."""
    decoder = ChunkedDecoder()
    for start in range(0, len(data), part_size):
        decoder.decode(data[start : start + part_size])


@pytest.mark.parametrize("data", INVALID.values(), ids=INVALID)
@pytest.mark.parametrize("part_size", [1, 1000, 1_000_000])
def test_invalid_chunked_body_is_noticed_as_soon_as_it_can_be(data: bytes, part_size: int) -> None:
    with pytest.raises(FramingError):
        decode_in_parts(data, part_size)


@given(
    st.lists(st.binary(min_size=1, max_size=40), max_size=8),
    st.sampled_from([b"", b";a=b", b" ; a", b'; a="b;c"']),
    st.lists(st.integers(1, 30), min_size=1, max_size=5),
)
@settings(max_examples=200, deadline=None)
def test_chunked_body_is_the_same_in_any_parts_and_ends_at_its_last_byte(
    chunks: list[bytes], extension: bytes, sizes: list[int]
) -> None:
    data = b"".join(chunked(chunk, len(chunk), extension).split(b"0\r\nX-Tr")[0] for chunk in chunks)
    data += chunked(b"")
    follower = http_request()
    decoder = ChunkedDecoder()
    received = bytearray()
    offset = 0
    while not decoder.is_complete:
        size = sizes[offset % len(sizes)]
        lookahead = decoder.copy()
        lookahead.skip((data + follower)[offset:])
        assert lookahead.is_complete
        assert lookahead.consumed == len(data)
        part = decoder.decode((data + follower)[offset : offset + size])
        received += part.payload
        offset += part.end
        assert decoder.consumed == offset
    assert (bytes(received), offset) == (b"".join(chunks), len(data))
