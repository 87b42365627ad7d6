"""``DiscoveryClient`` over loopback sockets: a change of discovery's address loses and delays no update.

The client must not drop the old address too early, or be notified too late at the new one.
"""

from __future__ import annotations

import asyncio
from random import Random
from typing import Any

import pytest

from quota_gateway.net.common.backoff import poll_delay
from quota_gateway.net.common.http_common import split_address
from quota_gateway.net.discovery import watcher as endpoint_watcher
from quota_gateway.net.discovery.client import DiscoveryClient
from quota_gateway.net.discovery.poll_timing import PollTiming
from quota_gateway.net.discovery.watch_event import WatchEvent
from quota_gateway.settings_parser import parse_timing
from tests.discovery_server import (
    RESPONSE_HEAD,
    ScriptedDiscovery,
    chunk,
    message,
    read_request_path,
    scale_times,
)
from tests.loopback import async_test, running_server


class DelayedDiscovery:
    """Sends one event to each connection once ``may_respond`` is set."""

    def __init__(self) -> None:
        self.request_paths = list[str]()
        self.polled = asyncio.Event()
        self.may_respond = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        self.request_paths.append(await read_request_path(reader))
        self.polled.set()
        await self.may_respond.wait()
        writer.write(RESPONSE_HEAD + chunk(message(3)))
        await asyncio.Event().wait()


@async_test
async def test_old_address_is_followed_until_the_new_one_has_sent_an_event() -> None:
    old_discovery = ScriptedDiscovery([RESPONSE_HEAD, chunk(message(57))], close_connections=False)
    new_discovery = DelayedDiscovery()
    versions = list[int]()
    notified = asyncio.Event()

    def on_event(event: WatchEvent) -> None:
        versions.append(event.version)
        notified.set()

    async with running_server(old_discovery.serve) as old, running_server(new_discovery.serve) as new:
        client = DiscoveryClient(on_event)
        for address in (old, "127.0.0.1:1", new, new):  # the third address replaces the second one
            host, port = address.split(":")
            client.set_address(host, int(port), 41 if address == old else None)
            if address == old:
                await notified.wait()
        await new_discovery.polled.wait()
        assert client._established is not None
        old_watch = client._established.task
        assert not old_watch.cancelled()
        notified.clear()
        new_discovery.may_respond.set()
        await notified.wait()
        assert versions == [57, 3]
        assert new_discovery.request_paths == ["/v1/servers?follow=1"]
        await asyncio.wait([old_watch])
        assert old_watch.cancelled()
        client.close()


@pytest.fixture
def failures(monkeypatch: pytest.MonkeyPatch) -> list[int]:
    """Record the consecutive failures before each poll, as passed to the backoff."""
    recorded = list[int]()

    def recording_poll_delay(client_count: int, consecutive_failures: int, **options: Any) -> float:
        recorded.append(consecutive_failures)
        return poll_delay(client_count, consecutive_failures, **options)

    monkeypatch.setattr(endpoint_watcher, "poll_delay", recording_poll_delay)
    return recorded


@async_test
async def test_new_address_is_polled_without_the_backoff_of_failures_at_the_old_one(
    monkeypatch: pytest.MonkeyPatch, failures: list[int]
) -> None:
    """The limiter must have the list 4 s after the address changes, however many polls have failed before."""
    time_scale = 0.1
    scale_times(monkeypatch, time_scale)
    loop = asyncio.get_running_loop()
    notified = asyncio.Event()
    discovery = ScriptedDiscovery([RESPONSE_HEAD, chunk(message(1))], close_connections=False)
    timing = parse_timing({"discovery": "ask", "n_instances": 200})
    async with running_server(discovery.serve) as address:
        client = DiscoveryClient(
            lambda _event: notified.set(),
            PollTiming(200, timing.response_timeout * time_scale, timing.max_poll_interval * time_scale),
            Random(3),
        )
        client.set_address("127.0.0.1", 1, 41)
        while max(failures, default=0) < 3:
            await asyncio.sleep(0.01)
        address_changed_at = loop.time()
        client.set_address(*split_address(address))
        await notified.wait()
        assert failures[-1] == 0
        assert loop.time() - address_changed_at < 4 * time_scale
        client.close()


@async_test
async def test_a_list_that_is_fetched_after_a_stall_ends_the_wait_for_the_first_event() -> None:
    """Only requests for the list get a response here; the list was last confirmed too long ago."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if "follow=1" not in await read_request_path(reader):
            line = message(1)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(line), line))
        await reader.read()

    versions = list[int]()
    async with running_server(serve) as address:
        timing = PollTiming(response_timeout=0.05, max_interval=60.0, is_local_agent=True)
        client = DiscoveryClient(lambda event: versions.append(event.version), timing)
        client.set_address(*split_address(address))
        client.read_received()
        assert versions == []  # the list counts as confirmed
        client._contact.confirmed_at -= 2 * timing.max_unconfirmed_seconds
        await asyncio.to_thread(client.read_received)  # the server runs in this event loop
        assert versions == [1]
        assert await asyncio.wait_for(client.wait_for_first_event(), 1.0)
        client.close()
