"""A change of the endpoint list that discovery already has, and that the limiter has not read yet.

Where discovery pushes, such a change counts as notified from the first moment of a new process. The drain
grace may therefore have passed before a process that starts slowly writes its first log line.
"""

from __future__ import annotations

import asyncio
import time
from pathlib import Path
from typing import Any

import pytest

from tests.discovery_server import RESPONSE_HEAD, chunk, message, read_request_path
from tests.gateway_process import WIRE_SETTINGS, make_config, running_limiter
from tests.loopback import ScriptedEndpoint, async_test, http_request, read_message, running_server

DRAIN_GRACE = 2.0  # seconds
REPLY_DELAY = 0.3  # seconds for which discovery holds its reply back if no request is answered before
SLOW_START = DRAIN_GRACE + 0.2  # seconds from the start of a process to the first line of its code
READY_WITHIN = 6.0  # seconds from the start of a process
SETTINGS = WIRE_SETTINGS | {"contract": {"stop_sending_within_s": DRAIN_GRACE}}


def start_slowly(directory: Path) -> dict[str, str]:
    """Return environment variables that delay the interpreter before it runs the limiter."""
    (directory / "sitecustomize.py").write_text(f"import time\ntime.sleep({SLOW_START})\n")
    return {"PYTHONPATH": str(directory)}


class DiscoveryAhead:
    """Discovery with a list that is newer than the configuration's; it replies once ``may_reply`` is set."""

    def __init__(self, line: bytes) -> None:
        self._line = line
        self.polled = asyncio.Event()
        self.may_reply = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Send the list, and keep the watch open."""
        await read_request_path(reader)
        self.polled.set()
        await self.may_reply.wait()
        writer.write(RESPONSE_HEAD + chunk(self._line))
        await asyncio.Event().wait()


async def send_until_answered(address: str) -> str:
    """Connect until the limiter listens, and return the status line of the response to one request."""
    host, port = address.split(":")
    while True:
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except ConnectionRefusedError:
            await asyncio.sleep(0.01)
            continue
        writer.write(http_request())
        return (await read_message(reader))[0]


def newer_list(endpoint: str, **changes: Any) -> bytes:
    """Return a complete list in which the configuration's only endpoint has changed."""
    entry: dict[str, Any] = {"dial": endpoint, "born_ms": 0}
    return message(1, **(entry | changes))


@pytest.mark.parametrize("changes", [{"health": "draining"}, {"host": "s2", "dial": "127.0.0.1:1"}])
@async_test
async def test_a_process_that_starts_slowly_sends_nothing_to_an_endpoint_that_drains_already(
    changes: dict[str, Any], tmp_path: Path
) -> None:
    """Guards against requests to an endpoint that drains, or is gone, in the list that discovery has.

    Discovery replies only when the limiter has answered a request or has been polled for ``REPLY_DELAY``, so
    a limiter that serves before the reply does so on a machine of any speed.
    """
    endpoint = ScriptedEndpoint()
    async with running_server(endpoint.handle_connection) as address:
        discovery = DiscoveryAhead(newer_list(address, **changes))
        async with running_server(discovery.serve) as discovery_address:
            config = make_config(address, discovery_address) | {"settings": SETTINGS}
            started_at = time.monotonic()
            limiting = running_limiter(config, tmp_path, environment=start_slowly(tmp_path))
            request = asyncio.create_task(send_until_answered(config["listen"]))
            release = asyncio.create_task(release_reply(discovery, request))
            async with limiting:
                assert time.monotonic() - started_at > DRAIN_GRACE
                assert " 200 " not in await request
            await release
    assert endpoint.requests == []


async def release_reply(discovery: DiscoveryAhead, request: asyncio.Task[str]) -> None:
    """Let discovery reply when the request is answered, or ``REPLY_DELAY`` after the first poll."""
    await asyncio.wait(
        (request, asyncio.create_task(discovery.polled.wait())), return_when=asyncio.FIRST_COMPLETED
    )
    await asyncio.wait((request,), timeout=REPLY_DELAY)
    discovery.may_reply.set()


@async_test
async def test_a_process_is_ready_in_time_although_discovery_is_silent(tmp_path: Path) -> None:
    """Discovery's agent is silent during an outage; the limiter then serves with its configuration's list."""
    endpoint = ScriptedEndpoint()
    discovery = DiscoveryAhead(b"")
    async with (
        running_server(endpoint.handle_connection) as address,
        running_server(discovery.serve) as discovery_address,
    ):
        config = make_config(address, discovery_address) | {"settings": SETTINGS}
        started_at = time.monotonic()
        async with running_limiter(config, tmp_path):
            assert time.monotonic() - started_at < READY_WITHIN
            assert " 200 " in await send_until_answered(config["listen"])
