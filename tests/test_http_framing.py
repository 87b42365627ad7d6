"""HTTP framing over loopback sockets: requests and responses in all valid forms are forwarded."""

from __future__ import annotations

import asyncio

import pytest

from quota_gateway.net.common.http_common import MAX_BUFFERED_BODY_BYTES
from soak.http_bodies import read_body
from tests.client_helpers import limiter_with_endpoint
from tests.http_bodies import LONG_BODY, POST_PATH, chunked, read_head
from tests.loopback import (
    OK_RESPONSE,
    async_test,
    http_request,
    read_message,
)


@pytest.mark.parametrize(
    "framing", [b"Content-Length: 5 ", b"transfer-encoding:  chunked ", b"Connection: close"]
)
@async_test
async def test_short_response_is_forwarded_in_every_framing(framing: bytes) -> None:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_message(reader)
        body = chunked(b"hello", 2) if b"chunked" in framing else b"hello"
        writer.write(
            b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n%b\r\n\r\n" % framing + body
        )
        await writer.drain()

    async with limiter_with_endpoint(serve) as limiter:
        status, _, body = await limiter.fetch(http_request())
        assert " 200 " in status
        assert body == b"hello"


FINAL_CHUNK_AND_TRAILER = b"0\r\nX-Plan: none\r\n\r\n"
REQUEST_FORMS = [  # a part of a plain request, and an equivalent that replaces it
    (b"GET /lookup", b"GET http://origin.svc/lookup"),
    (b"GET /lookup", b"\r\nGET /lookup"),
    (b"X-Plan: basic", b"x-PLAN:\tbasic \t"),
    (b"\r\n\r\n", b"\r\nTransfer-Encoding: chunked\r\n\r\n" + FINAL_CHUNK_AND_TRAILER),
    (b"HTTP/1.1", b"HTTP/1.0"),
]


@pytest.mark.parametrize(("plain", "form"), REQUEST_FORMS)
@async_test
async def test_every_valid_form_of_a_request_is_forwarded(plain: bytes, form: bytes) -> None:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        first_line, _ = await read_head(reader)
        assert first_line == "GET /lookup?account=00000000b4d65521 HTTP/1.1"
        writer.write(OK_RESPONSE)

    async with limiter_with_endpoint(serve) as limiter:
        assert (await limiter.fetch(http_request().replace(plain, form, 1)))[2] == b"hi"


@pytest.mark.parametrize("size", [5, 2 * MAX_BUFFERED_BODY_BYTES])
@async_test
async def test_client_that_expects_100_continue_receives_it(size: int) -> None:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        _, headers = await read_head(reader)
        assert await read_body(reader, headers) == LONG_BODY[:size]
        assert "expect" not in headers
        writer.write(OK_RESPONSE)

    async with limiter_with_endpoint(serve) as limiter:
        reader, writer = await limiter.connect()
        writer.write(http_request(POST_PATH, b"x", Content_Length=str(size), Expect="100-continue")[:-1])
        assert await reader.readuntil(b"\r\n\r\n") == b"HTTP/1.1 100 Continue\r\n\r\n"
        writer.write(LONG_BODY[:size])
        assert (await read_message(reader))[2] == b"hi"
