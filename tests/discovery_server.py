"""Discovery servers for tests, on loopback sockets, and the messages that they send."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import pytest

from quota_gateway.net.common import backoff
from quota_gateway.net.discovery import poll_timing, watch_request

RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
OVERLOADED_RESPONSE = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"


def message(seq: int, health: str = "ready", **changes: Any) -> bytes:
    """Return a line of the watch, with one host; the list is complete if ``seq`` is 1."""
    host = {
        "host": "s1", "dial": "10.1.0.18:7070", "site": "a", "class": "m2", "block": 3,
        "health": health, "share": 1.5, "born_ms": 1_800_000_000_250,
    } | changes  # fmt: skip
    return json.dumps({"seq": seq, "whole": seq == 1, "hosts": [host]}).encode() + b"\n"


def chunk(data: bytes) -> bytes:
    """Return a chunk of a response with chunked transfer encoding."""
    return b"%x\r\n%b\r\n" % (len(data), data)


async def read_request_path(reader: asyncio.StreamReader) -> str:
    """Read the head of a request; return its path and query."""
    head = await reader.readuntil(b"\r\n\r\n")
    return head.decode().split()[1]


class ScriptedDiscovery:
    """Serves each connection by the next script, whose chunks it writes to the connection.

    With ``close_connections`` it closes the connection after the script, unless the script was the last one.
    """

    def __init__(self, *scripts: list[bytes], close_connections: bool = True) -> None:
        self.scripts = list(scripts)
        self.request_paths = list[str]()
        self._close_connections = close_connections

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        self.request_paths.append(await read_request_path(reader))
        for data in self.scripts.pop(0) if self.scripts else []:
            writer.write(data)
            await writer.drain()
            await asyncio.sleep(0)
        if not self._close_connections or not self.scripts:
            await asyncio.Event().wait()


class QueueingDiscovery:
    """Responds to requests one by one, in the order of arrival.

    A request whose client has disconnected takes as much time as any other.
    """

    def __init__(self, responses_per_second: float) -> None:
        self.open_connections = 0
        self._interval = 1 / responses_per_second
        self._queue = asyncio.Queue[asyncio.Event]()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        await reader.readuntil(b"\r\n\r\n")
        self.open_connections += 1
        try:
            turn = asyncio.Event()
            await self._queue.put(turn)
            disconnected = asyncio.create_task(reader.read())
            has_turn = asyncio.create_task(turn.wait())
            await asyncio.wait([has_turn, disconnected], return_when=asyncio.FIRST_COMPLETED)
            if turn.is_set():
                writer.write(RESPONSE_HEAD + chunk(message(58)))
                await disconnected
        finally:
            self.open_connections -= 1

    async def process_queue(self) -> None:
        """Process the queued requests, at ``responses_per_second``, until cancelled."""
        while True:
            turn = await self._queue.get()
            await asyncio.sleep(self._interval)
            turn.set()


def scale_times(monkeypatch: pytest.MonkeyPatch, factor: float) -> None:
    """Multiply the timeouts and delays of the watch, to shorten a test."""
    silence_timeout = poll_timing.SILENCE_TIMEOUT_SECONDS * factor
    monkeypatch.setattr(watch_request, "SILENCE_TIMEOUT_SECONDS", silence_timeout)
    for name in (
        "POLL_SPREAD_PER_CLIENT_SECONDS",
        "MIN_POLL_SPREAD_SECONDS",
        "MAX_FIRST_POLL_SPREAD_SECONDS",
    ):
        monkeypatch.setattr(backoff, name, getattr(backoff, name) * factor)
