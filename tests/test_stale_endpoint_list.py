"""A change of the endpoint list that discovery already has, and that the limiter has not read yet.

Where discovery pushes, such a change counts as notified from the first moment of a new process. The drain
grace may therefore have passed before a process that starts slowly writes its first log line.
"""

from __future__ import annotations

import asyncio
import json
import signal
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from functools import partial
from pathlib import Path
from typing import Any, NamedTuple

import pytest

from quota_gateway.net.discovery.poll_timing import MAX_FIRST_EVENT_TIMEOUT_SECONDS
from quota_gateway.net.upstream.idle_connections import SETTLE_DELAY_SECONDS
from soak.ports import free_port
from tests.admin_client import send_command
from tests.discovery_server import RESPONSE_HEAD, chunk, message, read_request_path
from tests.gateway_process import (
    WIRE_SETTINGS,
    LimiterProcess,
    make_config,
    running_limiter,
    starting_limiter,
)
from tests.loopback import (
    OK_RESPONSE,
    ScriptedEndpoint,
    async_test,
    http_request,
    read_message,
    running_server,
)
from tests.pool_harness import empty_response

DRAIN_GRACE = 2.0  # seconds
REPLY_DELAY = 0.3  # seconds for which discovery holds its reply back if no request is answered before
SLOW_START = DRAIN_GRACE + 0.2  # seconds from the start of a process to the first line of its code
HEARTBEAT_INTERVAL = 1.0  # seconds
SERVICE_TIME = 0.05  # seconds; concurrent requests go to different endpoints
SUSPEND_DELAY = 1.0  # seconds from the command SUSPEND until it binds, whether or not it was answered
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


@async_test
async def test_a_process_that_stands_still_while_it_waits_for_discovery_sends_nothing_by_its_old_list(
    tmp_path: Path,
) -> None:
    """Guards against a wait whose timeout passes in a stall, while the reply is in the socket."""
    endpoint = ScriptedEndpoint()
    async with running_server(endpoint.handle_connection) as address:
        discovery = DiscoveryAhead(newer_list(address, health="draining"))
        async with running_server(discovery.serve) as discovery_address:
            config = make_config(address, discovery_address) | {"settings": SETTINGS}
            async with starting_limiter(config, tmp_path) as limiter:
                request = asyncio.create_task(send_until_answered(config["listen"]))
                await discovery.polled.wait()
                limiter.process.send_signal(signal.SIGSTOP)
                discovery.may_reply.set()
                await asyncio.sleep(MAX_FIRST_EVENT_TIMEOUT_SECONDS)
                limiter.process.send_signal(signal.SIGCONT)
                assert " 200 " not in await request
    assert endpoint.requests == []


class PushingDiscovery:
    """Discovery that sends the configuration's list first, and then what the test writes to the watch."""

    def __init__(self, hosts: list[dict[str, Any]]) -> None:
        self._hosts = hosts
        self._watches = asyncio.Queue[asyncio.StreamWriter]()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Send the complete list, then heartbeats if the request is for a watch."""
        path = await read_request_path(reader)
        line = json.dumps({"seq": 41, "whole": True, "hosts": self._hosts}).encode() + b"\n"
        if "follow=1" not in path:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(line), line))
            return
        writer.write(RESPONSE_HEAD + chunk(line))
        self._watches.put_nowait(writer)
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL)
            writer.write(chunk(b"\n"))

    async def opened_watch(self) -> asyncio.StreamWriter:
        """Wait until a watch was opened, and return its writer."""
        return await self._watches.get()

    def replace_list(self, hosts: list[dict[str, Any]]) -> None:
        """Send another list to the watches and requests that arrive from now on."""
        self._hosts = hosts


def host_entry(name: str, address: str) -> dict[str, Any]:
    """Return the entry of a ready endpoint."""
    return {"host": name, "dial": address, "site": "a", "block": 0, "health": "ready", "born_ms": 0}


async def stop_while_draining(
    limiter: LimiterProcess, watch: asyncio.StreamWriter, name: str, address: str
) -> None:
    """Stop the process, send the drain of an endpoint to its watch, and wait for the end of the grace."""
    limiter.process.send_signal(signal.SIGSTOP)
    watch.write(chunk(message(42, "draining", host=name, dial=address, born_ms=0)))
    await watch.drain()
    await asyncio.sleep(DRAIN_GRACE + 0.15)


class PushingDiscoveryHarness(NamedTuple):
    """A limiter that has served one request, its only endpoint ``s1``, its discovery and a client."""

    limiter: LimiterProcess
    endpoint: ScriptedEndpoint
    address: str  # of the endpoint
    discovery: PushingDiscovery
    watch: asyncio.StreamWriter
    client: tuple[asyncio.StreamReader, asyncio.StreamWriter]

    async def stop_within_request(self) -> bytes:
        """Stop the process, send the first byte of a request, and return the rest.

        The event loop will read this connection before all that become readable later.
        """
        self.limiter.process.send_signal(signal.SIGSTOP)
        request = http_request()
        self.client[1].write(request[:1])
        await asyncio.sleep(0.05)
        return request[1:]

    async def check_rejected_after_stall(self, rest_of_request: bytes) -> None:
        """Send the rest of the request, continue the process, and check that no endpoint gets it."""
        reader, writer = self.client
        writer.write(rest_of_request)
        await asyncio.sleep(0.05)
        self.limiter.process.send_signal(signal.SIGCONT)
        assert " 429 " in (await read_message(reader))[0]
        assert len(self.endpoint.requests) == 1


@asynccontextmanager
async def limiter_to_stop(directory: Path, **environment: str) -> AsyncIterator[PushingDiscoveryHarness]:
    """Run a limiter that follows a discovery, and let it serve one request."""
    endpoint = ScriptedEndpoint()
    async with running_server(endpoint.handle_connection) as address:
        discovery = PushingDiscovery([host_entry("s1", address)])
        async with running_server(discovery.serve) as discovery_address:
            config = make_config(address, discovery_address) | {"settings": SETTINGS}
            async with running_limiter(config, directory, environment=environment) as limiter:
                watch = await discovery.opened_watch()
                reader, writer = await limiter.connect()
                writer.write(http_request())
                assert " 200 " in (await read_message(reader))[0]
                yield PushingDiscoveryHarness(limiter, endpoint, address, discovery, watch, (reader, writer))


@async_test
async def test_a_request_that_was_readable_before_the_drain_is_not_forwarded_after_a_stall(
    tmp_path: Path,
) -> None:
    """Guards against the order of the event loop: it reads the socket that was readable first."""
    async with limiter_to_stop(tmp_path) as harness:
        rest = await harness.stop_within_request()
        await stop_while_draining(harness.limiter, harness.watch, "s1", harness.address)
        await harness.check_rejected_after_stall(rest)


class RetriedEndpoints:
    """Two endpoints, which answer requests until ``start_rejecting`` is called.

    From then on they hold their rejections back until ``may_respond`` is set.
    """

    def __init__(self) -> None:
        self.received_by = list[str]()
        self.received = asyncio.Event()
        self.may_respond = asyncio.Event()
        self._rejects = False

    async def serve(self, name: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        while True:
            await read_message(reader)
            self.received_by.append(name)
            self.received.set()
            if self._rejects:
                await self.may_respond.wait()
                writer.write(empty_response("503 Service Unavailable", "X-Not-Processed: 1\r\n"))
            else:
                await asyncio.sleep(SERVICE_TIME)
                writer.write(OK_RESPONSE)

    def start_rejecting(self) -> None:
        """Reject the following requests."""
        self._rejects = True
        self.received_by.clear()
        self.received.clear()


async def send_until_forwarded(
    endpoints: RetriedEndpoints, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> asyncio.Task[tuple[str, dict[str, str], bytes]]:
    """Send requests until an endpoint has received one, and return the task that reads its response.

    The limiter itself may reject the first ones.
    """
    received = asyncio.create_task(endpoints.received.wait())
    while True:
        writer.write(http_request())
        response = asyncio.create_task(read_message(reader))
        await asyncio.wait((response, received), return_when=asyncio.FIRST_COMPLETED)
        if received.done():
            return response


@async_test
async def test_a_retry_after_a_stall_does_not_go_to_an_endpoint_that_drains_by_then(tmp_path: Path) -> None:
    """Guards against a retry that is decided before the drain is read: its cause arrives first.

    Both endpoints have an idle connection, so the retry needs no iteration of the event loop in between.
    """
    endpoints = RetriedEndpoints()
    async with (
        running_server(partial(endpoints.serve, "s1")) as first,
        running_server(partial(endpoints.serve, "s2")) as second,
    ):
        addresses = {"s1": first, "s2": second}
        hosts = [host_entry(name, address) for name, address in addresses.items()]
        discovery = PushingDiscovery(hosts)
        async with running_server(discovery.serve) as discovery_address:
            config = make_config(first, discovery_address) | {"settings": SETTINGS}
            config["known"]["hosts"] = hosts
            async with running_limiter(config, tmp_path) as limiter:
                watch = await discovery.opened_watch()
                connections = [await limiter.connect() for _ in addresses]
                while len(set(endpoints.received_by)) < len(addresses):
                    for _, writer in connections:
                        writer.write(http_request())
                    for reader, _ in connections:
                        await read_message(reader)
                await asyncio.sleep(2 * SETTLE_DELAY_SECONDS)
                reader, writer = connections[0]
                endpoints.start_rejecting()
                response = await send_until_forwarded(endpoints, reader, writer)
                other = "s2" if endpoints.received_by == ["s1"] else "s1"
                limiter.process.send_signal(signal.SIGSTOP)
                endpoints.may_respond.set()
                await asyncio.sleep(0.05)
                await stop_while_draining(limiter, watch, other, addresses[other])
                limiter.process.send_signal(signal.SIGCONT)
                assert " 200 " not in (await response)[0]
    assert other not in endpoints.received_by


@async_test
async def test_a_request_after_a_stall_is_not_forwarded_by_the_list_of_a_watch_that_was_reset_meanwhile(
    tmp_path: Path,
) -> None:
    """Guards against a list that nobody confirms: the watch is gone, and the drain came after it."""
    async with limiter_to_stop(tmp_path) as harness:
        rest = await harness.stop_within_request()
        harness.watch.transport.abort()
        harness.discovery.replace_list([host_entry("s1", harness.address) | {"health": "draining"}])
        await asyncio.sleep(DRAIN_GRACE + 0.15)
        await harness.check_rejected_after_stall(rest)


@async_test
async def test_a_request_is_not_forwarded_to_an_endpoint_whose_suspend_command_waited_through_a_stall(
    tmp_path: Path,
) -> None:
    """Guards against a command that is read after the request: it binds 1 s after it was sent."""
    port = free_port()
    async with limiter_to_stop(tmp_path, LB_MGMT=f"127.0.0.1:{port}", TMPDIR=str(tmp_path)) as harness:
        rest = await harness.stop_within_request()
        command = asyncio.create_task(send_command(port, b"SUSPEND s1"))
        await asyncio.sleep(SUSPEND_DELAY + DRAIN_GRACE + 0.15)
        await harness.check_rejected_after_stall(rest)
        assert await command == "SUCCESS\n"
