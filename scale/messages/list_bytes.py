"""A job that measures the bytes of a complete endpoint list with the real watch."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Any

import uvloop

from quota_gateway.net.discovery.watch_event import WatchEvent
from quota_gateway.net.discovery.watcher import EndpointWatcher
from scale.messages.counting_stand_in import CountingStandIn, encode_chunk
from scale.model import Size
from scale.synthetic_inputs import complete_list_text


@dataclass(frozen=True, slots=True)
class ListBytes:
    """Bytes of a watch's request, and of its response up to the end of the complete list."""

    request: int
    response: int


async def _measure(size: Size) -> ListBytes:
    async def send_list(
        stand_in: CountingStandIn, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Respond with the complete list, and keep the watch open until the client closes it."""
        await stand_in.read_until(reader, b"\r\n\r\n")
        stand_in.write(writer, b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n")
        stand_in.write(writer, b"Transfer-Encoding: chunked\r\n\r\n")
        stand_in.write(writer, encode_chunk(complete_list_text(size)))
        await reader.read()

    def on_event(event: WatchEvent) -> None:
        if not list_length.done():
            list_length.set_result(len(event.addresses))

    stand_in = CountingStandIn()
    list_length: asyncio.Future[int] = asyncio.get_running_loop().create_future()
    async with stand_in.serve(send_list) as (host, port):
        watch = asyncio.create_task(EndpointWatcher(host, port, None, on_event).follow())
        endpoints = await stand_in.wait(list_length)
        watch.cancel()
    if endpoints != size.servers:
        raise ValueError(
            f"discovery sent a list of {size.servers} endpoints; the watch delivered {endpoints}"
        )
    return ListBytes(request=stand_in.received, response=stand_in.sent)


def measure_list_bytes(size: dict[str, Any]) -> ListBytes:
    """Measure the bytes of a watch of a complete list with ``size.servers`` endpoints."""
    return uvloop.run(_measure(Size(**size)))
