"""Runs the stand-ins in a separate process, so that they do not delay the clients whose latency is measured.

The process reads one JSON object per line from standard input, and replies to each with one line
(``scale.stand_ins.control``). It exits at the end of the input.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
from dataclasses import asdict, replace
from typing import Any

import uvloop

from scale.stand_ins.control import Addresses, HealthChange, Setup, Stats
from scale.stand_ins.counter import CounterStandIn
from scale.stand_ins.discovery import DiscoveryStandIn, EndpointEntry, make_endpoints
from scale.stand_ins.endpoints import EndpointsStandIn
from scale.stand_ins.timers import PreciseTimers


async def _open_input() -> asyncio.StreamReader:
    reader = asyncio.StreamReader()
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    return reader


def _print_line(content: Any) -> None:
    print(json.dumps(asdict(content)), flush=True)


def _publish(discovery: DiscoveryStandIn, entries: list[EndpointEntry], change: HealthChange) -> None:
    names = [endpoint.name for endpoint in entries]
    discovery.publish(*(replace(discovery.endpoints[name], health=change.health) for name in names))


async def serve() -> None:
    """Run the stand-ins until the input ends."""
    lines = await _open_input()
    setup = Setup.from_json(json.loads(await lines.readline()))
    timers = PreciseTimers()
    endpoints = EndpointsStandIn(setup.endpoints, timers, setup.seed)
    addresses = await endpoints.open()
    counter = CounterStandIn(setup.counter, timers, setup.seed)
    entries = make_endpoints(setup.list_length, addresses)
    discovery = DiscoveryStandIn(entries)
    _print_line(Addresses(addresses, await counter.open(), await discovery.open()))
    while line := await lines.readline():
        published_at = None
        fields = json.loads(line)
        if fields:
            change = HealthChange(**fields)
            entries_at_port = [endpoint for endpoint in entries if endpoint.address == addresses[change.port]]
            published_at = time.monotonic()
            _publish(discovery, entries_at_port, change)
        _print_line(Stats(counter.stats, endpoints.last_request_at, published_at))


if __name__ == "__main__":
    uvloop.run(serve())
