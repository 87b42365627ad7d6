"""``fetch_list`` over loopback sockets: it returns a list or None, and never later than its timeout."""

from __future__ import annotations

import asyncio
import time

import pytest

from quota_gateway.net.common.http_common import split_address
from quota_gateway.net.discovery.list_request import fetch_list
from tests.discovery_server import OVERLOADED_RESPONSE, message, read_request_path
from tests.loopback import async_test, running_server

TIMEOUT = 0.3  # seconds
LIST = message(1).strip()
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(LIST), LIST)


async def fetch_from(*parts: bytes) -> int | None:
    """Return the version of the list of a discovery that sends these parts, and then nothing more."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        assert await read_request_path(reader) == "/v1/servers"
        for part in parts:
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(0.01)
        await reader.read()

    async with running_server(serve) as address:
        started_at = time.monotonic()
        event = await asyncio.to_thread(fetch_list, *split_address(address), TIMEOUT)
        assert time.monotonic() - started_at < 2 * TIMEOUT
    return None if event is None else event.version


@async_test
async def test_a_list_is_returned_wherever_its_response_is_split() -> None:
    assert await fetch_from(RESPONSE) == 1
    assert await fetch_from(RESPONSE[:7], RESPONSE[7:60], RESPONSE[60:]) == 1


@pytest.mark.parametrize(
    "response",
    [
        b"", RESPONSE[:-1], OVERLOADED_RESPONSE, b"no HTTP\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
        b'HTTP/1.1 200 OK\r\nContent-Length: 33\r\n\r\n{"seq":4,"whole":true,"hosts":[]}',
    ],
)  # fmt: skip
@async_test
async def test_a_silent_or_malformed_response_and_an_empty_list_give_none(response: bytes) -> None:
    """An empty list may be that of a discovery which has lost its state."""
    assert await fetch_from(response) is None


def test_a_refused_connection_gives_none() -> None:
    assert fetch_list("127.0.0.1", 1, TIMEOUT) is None
