"""Stand-in of discovery: serves polls of the endpoint list and watches of its changes."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace
from functools import partial
from typing import Any, Self

from scale.stand_ins.connection import LoopbackListener, StandInConnection

KEEP_ALIVE_SECONDS = 2.0  # interval between two empty lines of a watch
SLOW_WRITE_CHUNKS = 5  # number of chunks of a line that takes ``write_seconds``
FIRST_VERSION = 41  # first version of the list


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """One entry of the list."""

    name: str
    address: str  # host:port
    health: str = "ready"  # or "draining", "gone"
    zone: str = "zone-1"
    started_at_ms: int = 0  # Unix time; 0: unknown, taken as long ago

    def to_json(self) -> dict[str, Any]:
        """Return the entry with its names on the wire."""
        return {
            "host": self.name,
            "dial": self.address,
            "site": self.zone,
            "health": self.health,
            "class": "m2",
            "block": 0,
            "share": 1.0,
            "born_ms": self.started_at_ms,
        }


def make_endpoints(count: int, addresses: Sequence[str], zones: int = 5) -> list[EndpointEntry]:
    """Return a list of endpoints that share a few addresses, and differ otherwise in name and zone only."""
    return [
        EndpointEntry(f"s-{index:08x}", addresses[index % len(addresses)], zone=f"zone-{index % zones}")
        for index in range(count)
    ]


class DiscoveryStandIn:
    """Serves the list to polls, and the list and its changes to watches.

    Calls are served in the order of arrival, ``capacity`` a second (0: without delay), even if the caller has
    disconnected. Writing a line takes ``write_seconds``. Each change increments the version.
    """

    def __init__(
        self, endpoints: Iterable[EndpointEntry], capacity: float = 0.0, write_seconds: float = 0.0
    ) -> None:
        """Start with a list of endpoints."""
        self.endpoints = {endpoint.name: endpoint for endpoint in endpoints}
        self.capacity = capacity
        self.write_seconds = write_seconds
        self.version = FIRST_VERSION
        self.calls = 0
        self.is_unresponsive = False
        self._changed_in = dict[str, int]()  # version of the last change, by endpoint
        self._free_at = 0.0  # time at which all calls so far have been served
        self._connections = set[_DiscoveryConnection]()
        self._listener = LoopbackListener(lambda: _DiscoveryConnection(self, self._connections))
        self._keep_alive_timer: asyncio.TimerHandle | None = None

    async def open(self) -> str:
        """Start serving, or resume it after ``crash`` or ``stop_responding``; return ``host:port``."""
        self.is_unresponsive = False
        if self._keep_alive_timer is None:
            self._schedule_keep_alive()
        if self._listener.is_open:
            return self._listener.address
        return await self._listener.open()

    def crash(self) -> None:
        """Simulate the exit of the process: reset connections and refuse new ones."""
        self._listener.close()
        for connection in list(self._connections):
            connection.abort()

    def stop_responding(self) -> None:
        """Simulate a network blackhole: accept connections and write nothing to any of them."""
        self.is_unresponsive = True
        for connection in self._connections:
            connection.stop_responding()

    def limit_capacity(self, capacity: float) -> None:
        """Limit the calls a second; 0 means no limit."""
        self.capacity = capacity

    def set_version(self, version: int) -> None:
        """Set the version of the list."""
        self.version = version

    def close(self) -> None:
        """Close all connections and timers."""
        if self._keep_alive_timer is not None:
            self._keep_alive_timer.cancel()
        self.crash()

    def publish(self, *endpoints: EndpointEntry) -> None:
        """Publish a new version with these entries to all open watches."""
        self.version += 1
        for endpoint in endpoints:
            self.endpoints[endpoint.name] = endpoint
            self._changed_in[endpoint.name] = self.version
        line = self._encode(endpoints, complete=False)
        for connection in self._connections:
            connection.send_line(line)

    def drain(self, *names: str) -> None:
        """Publish these endpoints as draining."""
        self.publish(*(replace(self.endpoints[name], health="draining") for name in names))

    def first_line(self, since: int | None) -> bytes:
        """Return the first line of a watch: the changes after a version, or the complete list."""
        if since is None or not FIRST_VERSION <= since <= self.version:
            return self._encode(self.endpoints.values(), complete=True)
        changed = [self.endpoints[name] for name, version in self._changed_in.items() if version > since]
        return self._encode(changed, complete=False)

    def _encode(self, endpoints: Iterable[EndpointEntry], *, complete: bool) -> bytes:
        rows = [endpoint.to_json() for endpoint in endpoints if not (complete and endpoint.health == "gone")]
        return json.dumps({"seq": self.version, "whole": complete, "hosts": rows}).encode() + b"\n"

    def accept_call(self) -> float:
        """Count a call that has just arrived; return the seconds until it is served."""
        self.calls += 1
        if not self.capacity:
            return 0.0
        now = time.monotonic()
        self._free_at = max(now, self._free_at) + 1 / self.capacity
        return self._free_at - now

    def _schedule_keep_alive(self) -> None:
        loop = asyncio.get_running_loop()
        self._keep_alive_timer = loop.call_later(KEEP_ALIVE_SECONDS, self._send_keep_alive)

    def _send_keep_alive(self) -> None:
        self._schedule_keep_alive()
        for connection in self._connections:
            connection.send_line(b"\n")


class _DiscoveryConnection(StandInConnection):
    def __init__(self, discovery: DiscoveryStandIn, connections: set[Self]) -> None:
        super().__init__(connections)
        self._discovery = discovery
        self._watching = False
        self._write_ends_at = 0.0  # end of the write of the current line
        self._is_unresponsive = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Mark the connection as unresponsive if discovery is unresponsive now."""
        super().connection_made(transport)
        self._is_unresponsive = self._discovery.is_unresponsive

    def stop_responding(self) -> None:
        """Write nothing more on the connection."""
        self._is_unresponsive = True

    def data_received(self, data: bytes) -> None:
        """Schedule the response to a complete request."""
        self.buffer += data
        if self._is_unresponsive or b"\r\n\r\n" not in self.buffer:
            return
        target = self.buffer.split(b" ", 2)[1].decode()
        self.buffer = b""
        path, _, query = target.partition("?")
        if path != "/v1/servers":
            self.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
            return
        fields = dict(part.partition("=")[::2] for part in query.split("&"))
        since = int(fields["since"]) if fields.get("since", "").isdigit() else None
        respond = partial(self._open_watch, since) if fields.get("follow") == "1" else self._send_list
        asyncio.get_running_loop().call_later(self._discovery.accept_call(), respond)

    def _send_list(self) -> None:
        if not self._is_unresponsive:
            body = self._discovery.first_line(None)
            self.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))

    def _open_watch(self, since: int | None) -> None:
        if self._is_unresponsive:
            return
        self.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self._watching = True
        self.send_line(self._discovery.first_line(since))

    def send_line(self, line: bytes) -> None:
        """Write a line of the watch, at once or in chunks over ``write_seconds``."""
        if self._is_unresponsive or not self._watching:
            return
        duration = self._discovery.write_seconds
        if not duration:
            self._write_chunk(line)
            return
        # Lines are written one after the other. A keep-alive is dropped while a line is written, because it
        # would split the line.
        wait = max(0.0, self._write_ends_at - time.monotonic())
        if line != b"\n":
            self._write_slowly(line, wait, duration)
        elif not wait:
            self._write_chunk(line)

    def _write_slowly(self, line: bytes, wait: float, duration: float) -> None:
        self._write_ends_at = time.monotonic() + wait + duration * (1 + 1 / SLOW_WRITE_CHUNKS)
        size = -(-len(line) // SLOW_WRITE_CHUNKS)
        loop = asyncio.get_running_loop()
        for index in range(SLOW_WRITE_CHUNKS):
            chunk = line[index * size : (index + 1) * size]
            loop.call_later(wait + duration * (index + 1) / SLOW_WRITE_CHUNKS, self._write_chunk, chunk)

    def _write_chunk(self, data: bytes) -> None:
        if data and not self._is_unresponsive:
            self.write(b"%x\r\n%b\r\n" % (len(data), data))
