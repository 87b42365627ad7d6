"""Shutdown while long responses are streamed: they are completed, and the process ends soon after them."""

from __future__ import annotations

import asyncio
import signal
import socket
from pathlib import Path
from typing import Any

import pytest

from quota_gateway.lifecycle import shutdown
from soak.http_bodies import read_body
from soak.ports import free_port
from tests.admin_client import send_command
from tests.client_helpers import limiter_with_endpoint
from tests.gateway_process import WIRE_SETTINGS, LimiterProcess, make_config, running_limiter
from tests.http_bodies import LONG_BODY, chunked, read_head
from tests.loopback import (
    async_test,
    http_request,
    pause_reading,
    read_message,
    resume_reading,
    running_server,
)
from tests.test_process_handover import Deployment

DEADLINE_SECONDS = 0.5
# A process that ended by itself before the earliest SIGKILL has ended by then.
AFTER_EARLIEST_KILL_SECONDS = DEADLINE_SECONDS + shutdown.KILL_GRACE_SECONDS + 0.3
HALF = len(LONG_BODY) // 2
RESPONSES = {
    "length": b"Content-Length: %d\r\n\r\n" % len(LONG_BODY) + LONG_BODY,
    "chunked": b"Transfer-Encoding: chunked\r\n\r\n" + chunked(LONG_BODY),
    "close": b"Connection: close\r\n\r\n" + LONG_BODY,
}


class LongResponse:
    """An endpoint that sends the first half of a long response, and the rest once it is released."""

    def __init__(self, response: bytes = RESPONSES["length"]) -> None:
        self._response = b"HTTP/1.1 200 OK\r\n" + response
        self.released = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        await read_message(reader)
        writer.write(self._response[:HALF])
        await self.released.wait()
        writer.write(self._response[HALF:])
        await writer.drain()


def config_with_short_deadline(endpoint: str) -> dict[str, Any]:
    (request_class,) = WIRE_SETTINGS["classes"]
    classes = [request_class | {"hard_limit_s": DEADLINE_SECONDS}]
    return make_config(endpoint) | {"settings": WIRE_SETTINGS | {"classes": classes}}


class Download:
    """A client that has received the head of a long response."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer  # the connection closes when no reference to its writer is left
        self._headers: dict[str, str] = {}

    @classmethod
    async def begin(cls, limiter: LimiterProcess) -> Download:
        """Send a request, and receive the head of its response."""
        download = cls(*await limiter.connect())
        download._writer.write(http_request())
        status_line, download._headers = await read_head(download._reader)
        assert " 200 " in status_line
        return download

    async def body(self) -> bytes:
        """Receive the body."""
        return await read_body(self._reader, self._headers)


@pytest.mark.parametrize("framing", RESPONSES)
@async_test
async def test_response_that_ends_after_the_earliest_sigkill_is_whole(framing: str, tmp_path: Path) -> None:
    """Guards against long responses that the limiter cuts off by its own end after SIGTERM."""
    endpoint = LongResponse(RESPONSES[framing])
    async with (
        running_server(endpoint.serve) as address,
        running_limiter(config_with_short_deadline(address), tmp_path) as limiter,
    ):
        download = await Download.begin(limiter)
        limiter.process.terminate()
        await asyncio.sleep(AFTER_EARLIEST_KILL_SECONDS)
        endpoint.released.set()
        assert await download.body() == LONG_BODY
        assert await limiter.process.wait() == 0


@async_test
async def test_response_that_its_client_reads_after_the_earliest_sigkill_is_whole(tmp_path: Path) -> None:
    """The end of the response is in the limiter's memory, since its client accepts nothing for a while."""
    endpoint = LongResponse()
    endpoint.released.set()
    async with (
        running_server(endpoint.serve) as address,
        running_limiter(config_with_short_deadline(address), tmp_path) as limiter,
    ):
        reader, writer = await limiter.connect()
        pause_reading(writer)
        writer.write(http_request())
        await asyncio.sleep(0.2)
        limiter.process.terminate()
        await asyncio.sleep(AFTER_EARLIEST_KILL_SECONDS)
        resume_reading(writer)
        _, headers = await read_head(reader)
        assert await read_body(reader, headers) == LONG_BODY
        assert await limiter.process.wait() == 0


@async_test
async def test_requests_are_rejected_while_a_process_only_completes_its_responses(tmp_path: Path) -> None:
    """Clients send on open connections until SIGKILL, and each request that is read gets its response."""
    endpoint = LongResponse()
    async with (
        running_server(endpoint.serve) as address,
        running_limiter(config_with_short_deadline(address), tmp_path) as limiter,
    ):
        download = await Download.begin(limiter)
        late_reader, late_writer = await limiter.connect()
        request = http_request()
        late_writer.write(request[:-2])
        limiter.process.terminate()
        await asyncio.sleep(AFTER_EARLIEST_KILL_SECONDS)
        late_writer.write(request[-2:])
        status_line, late_headers, _ = await read_message(late_reader)
        assert " 503 " in status_line
        assert late_headers["connection"] == "close"
        endpoint.released.set()
        assert await download.body() == LONG_BODY
        assert await limiter.process.wait() == 0


@async_test
async def test_old_process_of_an_upgrade_completes_its_responses(tmp_path: Path) -> None:
    """Guards against long responses that an upgrade cuts off."""
    endpoint = LongResponse()
    old_port, new_port = free_port(), free_port()
    with socket.create_server(("127.0.0.1", 0)) as listener:
        deployment = Deployment(tmp_path, listener, inherited=True)
        async with (
            running_server(endpoint.serve) as address,
            deployment.start(address, old_port, config_with_short_deadline(address)) as old,
        ):
            download = await Download.begin(old)
            async with deployment.start(address, new_port, config_with_short_deadline(address)) as new:
                old.process.terminate()
                await asyncio.sleep(AFTER_EARLIEST_KILL_SECONDS)
                assert await send_command(new_port, b"STATUS") == "SUCCESS\n"
                endpoint.released.set()
                assert await download.body() == LONG_BODY
                assert await old.process.wait() == 0
                assert new.process.returncode is None


@async_test
async def test_process_with_no_open_response_ends_right_after_the_accept_period(tmp_path: Path) -> None:
    async with running_limiter(make_config("127.0.0.1:1"), tmp_path) as limiter:
        idle_reader, _idle_writer = await limiter.connect()
        began_at = asyncio.get_running_loop().time()
        limiter.process.send_signal(signal.SIGTERM)
        assert await idle_reader.read() == b""
        assert await limiter.process.wait() == 0
        # Of the 3.7 s until SIGKILL; the rest is for a busy machine.
        assert asyncio.get_running_loop().time() - began_at < 4 * shutdown.ACCEPT_PERIOD_SECONDS


@async_test
async def test_wait_for_responses_is_bounded_if_one_never_ends() -> None:
    endpoint = LongResponse()
    async with limiter_with_endpoint(endpoint.serve) as limiter:
        reader, writer = await limiter.connect()
        writer.write(http_request())
        await reader.readuntil(b"\r\n\r\n")
        assert await limiter.listener.finish_responses(0.1) == 1
        endpoint.released.set()
        await reader.readexactly(len(LONG_BODY))
        assert await limiter.listener.finish_responses(10.0) == 0
        writer.close()
