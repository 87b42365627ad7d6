"""Discovery's client over loopback sockets: moves to another address."""

from __future__ import annotations

import asyncio
from random import Random
from typing import Any

import pytest

from quota_gateway.net import backoff, endpoint_watch
from quota_gateway.net.discovery_client import DiscoveryClient
from quota_gateway.net.watch_event import WatchEvent
from quota_gateway.settings import timing_from
from tests.discovery_server import HEAD, Agent, chunk, faster, message
from tests.loopback import listening, run


def test_a_move_follows_the_old_until_the_new_has_spoken() -> None:
    async def main() -> None:
        speak, versions, heard = asyncio.Event(), list[int](), asyncio.Event()
        old = Agent([HEAD, chunk(message(57))], end=False)

        async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            asked.append((await reader.readuntil(b"\r\n\r\n")).decode().split()[1])
            came.set()
            await speak.wait()
            writer.write(HEAD + chunk(message(3)))
            await asyncio.Event().wait()

        def tell(listing: WatchEvent) -> None:
            versions.append(listing.version)
            heard.set()

        asked, came = list[str](), asyncio.Event()
        async with listening(old.talk) as first, listening(talk) as second:
            follower = DiscoveryClient(tell)
            for address in (first, "127.0.0.1:1", second, second):  # the third overtakes the second
                host, port = address.split(":")
                follower.watch(host, int(port), 41 if address == first else None)
                if address == first:
                    await heard.wait()
            await came.wait()
            assert follower._heard is not None and not follower._heard.cancelled()
            task = follower._heard
            heard.clear()
            speak.set()
            await heard.wait()
            assert versions == [57, 3] and asked == ["/v1/servers?follow=1"]
            await asyncio.wait([task])
            assert task.cancelled()
            follower.close()

    run(main())


def test_a_move_in_the_middle_of_a_row_of_failures_begins_a_row_of_its_own(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The new address counts as told 4 s after the signal, however long the old one was called in vain."""
    scale = 0.1
    faster(monkeypatch, scale)
    failed, real = list[int](), backoff.pause

    def noted(*args: Any) -> float:
        failed.append(args[1])
        return real(*args)

    monkeypatch.setattr(endpoint_watch, "pause", noted)

    async def main() -> None:
        loop, told = asyncio.get_running_loop(), asyncio.Event()
        agent = Agent([HEAD, chunk(message(1))], end=False)
        waits = timing_from({"discovery": "ask", "n_instances": 200})
        async with listening(agent.talk) as address:
            times = waits.answer * scale, waits.call_again * scale
            follower = DiscoveryClient(lambda _listing: told.set(), 200, Random(3), *times)
            follower.watch("127.0.0.1", 1, 41)
            while max(failed, default=0) < 3:
                await asyncio.sleep(0.01)
            begun, (host, port) = loop.time(), address.split(":")
            follower.watch(host, int(port))
            await told.wait()
            assert failed[-1] == 0 and loop.time() - begun < 4 * scale
            follower.close()

    run(main())
