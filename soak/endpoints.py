"""The endpoints of a run: they record each attempt, and behave faultily while a fault is injected."""

from __future__ import annotations

import asyncio
import contextlib
import time
from dataclasses import dataclass
from itertools import count
from random import Random

from soak.history import Attempt, EndpointHealth, History
from soak.proxy import LOOPBACK, Address, Proxy
from soak.streams import close_sending_side, write_data

MIN_SERVICE_SECONDS = 0.004
MAX_SERVICE_SECONDS = 0.03
DRAINING_REJECTION_FRACTION = 0.5
FRAGMENTS_PER_RESPONSE = 8
MIN_FRAGMENT_BYTES = 20
FRAGMENT_GAP_SECONDS = 0.01
LONG_RESPONSE_BYTES = 200_000
MIN_BODY_DELAY_SECONDS = 0.6
MAX_BODY_DELAY_SECONDS = 1.2
MISSING_BYTES = 1000  # Content-Length of an incomplete response minus the size of its body
LONGER_THAN_ANY_RUN_SECONDS = 3600.0
HEALTH_CHECK_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
REJECTION = b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"
LATE_BODY_HEADS = {
    "length": b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n",
    "chunked": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
}
ERROR_RESPONSE = b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"


@dataclass(frozen=True, slots=True)
class EndpointBehaviour:
    """The faulty behaviour of an endpoint; the fractions are fractions of its requests."""

    hangs: bool = False  # True: the endpoint accepts requests and sends no response
    error_fraction: float = 0.0
    rejection_fraction: float = 0.0
    fragmented_fraction: float = 0.0
    reset_fraction: float = 0.0  # the endpoint closes the connection while it executes the request
    long_response_fraction: float = 0.0
    incomplete_fraction: float = 0.0  # the response is shorter than its Content-Length
    without_length_fraction: float = 0.0  # the close of the connection marks the end of the response
    service_time_factor: float = 1.0
    late_body_fraction: float = 0.0  # the response is long, and its body follows its head after a pause


class SoakEndpoint:
    """One endpoint, which the limiters reach through its own proxy."""

    def __init__(self, name: str, zone: str, history: History, random: Random) -> None:
        """``random`` draws the service times, and the requests that a fault affects."""
        self.name = name
        self.zone = zone
        self.incarnation = 0
        self.started_at_ms = 0  # Unix time; 0: unknown, because the endpoint started long before the run
        self.health = EndpointHealth.READY
        self.proxy: Proxy
        self._behaviour = EndpointBehaviour()
        self._history = history
        self._random = random
        self._connection_numbers = count(1)
        self._server: asyncio.Server | None = None
        self._tasks = set[asyncio.Task[None]]()

    async def open(self) -> None:
        """Start to listen, and open the proxy that forwards to this endpoint."""
        self._server = await asyncio.start_server(self._accept, LOOPBACK, 0, backlog=1024)
        self.proxy = Proxy(Address(LOOPBACK, self._server.sockets[0].getsockname()[1]))
        await self.proxy.open()

    def restart(self, start_time_offset: float = 0.0) -> None:
        """Reset all connections and warm up as a new incarnation.

        ``start_time_offset`` seconds are added to the start time that the endpoint reports.
        """
        self.proxy.reset_all()
        self.incarnation += 1
        self.started_at_ms = int(time.time() * 1000) + int(start_time_offset * 1000)
        self.end_fault()

    def start_draining(self) -> None:
        """Reject half of the requests, and report draining in the next endpoint update."""
        self.health = EndpointHealth.DRAINING

    def end_draining(self) -> None:
        """Accept all requests again."""
        self.health = EndpointHealth.READY

    def start_fault(self, behaviour: EndpointBehaviour) -> None:
        """Behave as ``behaviour`` describes, until the next call or ``end_fault``."""
        self._behaviour = behaviour

    def end_fault(self) -> None:
        """Return to normal behaviour."""
        self._behaviour = EndpointBehaviour()

    def close(self) -> None:
        """Close the listening socket and all connections."""
        self.proxy.close()
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        number = next(self._connection_numbers)
        try:
            while await self._serve(reader, writer, number):
                pass
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, connection: int
    ) -> bool:
        """Read one request and respond; return whether the connection stays open."""
        first_byte = await reader.readexactly(1)
        first_byte_at = time.monotonic()
        head = first_byte + await reader.readuntil(b"\r\n\r\n")
        headers = _parse_headers(head)
        body_size = await _skip_body(reader, headers)
        if "x-request-id" not in headers:
            write_data(writer, HEALTH_CHECK_RESPONSE)
            return True
        attempt = Attempt(
            request_id=headers["x-request-id"].lower(),
            endpoint=self.name,
            incarnation=self.incarnation,
            connection=connection,
            first_byte_at=first_byte_at,
            complete_at=time.monotonic(),
            propagated_deadline=int(headers.get("x-timeout-ms", "0")) / 1000,
            body_size=body_size,
        )
        self._history.attempts[attempt.request_id].append(attempt)
        try:
            return await self._respond(reader, writer, attempt)
        finally:
            attempt.end()

    async def _respond(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, attempt: Attempt
    ) -> bool:
        behaviour = self._behaviour
        if self._rejects(behaviour):
            attempt.reject()
            write_data(writer, REJECTION)
            return True
        service_time = self._random.uniform(MIN_SERVICE_SECONDS, MAX_SERVICE_SECONDS)
        if behaviour.hangs:
            service_time = LONGER_THAN_ANY_RUN_SECONDS
        if await _closes_within(reader, service_time * behaviour.service_time_factor):
            return False
        if self._draw(behaviour.error_fraction):
            write_data(writer, ERROR_RESPONSE)
            return True
        if self._draw(behaviour.reset_fraction):
            return False
        body = f"{attempt.request_id}:{self.name}:{attempt.connection}".encode()
        if self._draw(behaviour.long_response_fraction):
            body += b"." * LONG_RESPONSE_BYTES
        if self._draw(behaviour.late_body_fraction):
            body += b"." * LONG_RESPONSE_BYTES
            attempt.respond(body)
            return await self._write_late_body(reader, writer, body)
        attempt.respond(body)
        return await self._write_response(reader, writer, body)

    async def _write_late_body(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, body: bytes
    ) -> bool:
        """Write a head and, after a pause, the body, in a random framing."""
        framing = self._random.choice(list(LATE_BODY_HEADS))
        head = LATE_BODY_HEADS[framing]
        write_data(writer, head % len(body) if framing == "length" else head)
        if await _closes_within(reader, self._random.uniform(MIN_BODY_DELAY_SECONDS, MAX_BODY_DELAY_SECONDS)):
            return False
        is_chunked = framing == "chunked"
        write_data(writer, b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body) if is_chunked else body)
        await writer.drain()
        return True

    def _draw(self, fraction: float) -> bool:
        return self._random.random() < fraction

    def _rejects(self, behaviour: EndpointBehaviour) -> bool:
        if self.health is not EndpointHealth.READY and self._draw(DRAINING_REJECTION_FRACTION):
            return True
        return self._draw(behaviour.rejection_fraction)

    async def _write_response(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, body: bytes
    ) -> bool:
        behaviour = self._behaviour
        if self._draw(behaviour.without_length_fraction):
            write_data(writer, b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body)
            await writer.drain()
            close_sending_side(writer)
            return False
        missing = MISSING_BYTES if self._draw(behaviour.incomplete_fraction) else 0
        response = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body) + missing, body)
        if self._draw(behaviour.fragmented_fraction):
            await _write_fragments(writer, response)
        else:
            write_data(writer, response)
        if missing:
            return not await _closes_within(reader, LONGER_THAN_ANY_RUN_SECONDS)
        await writer.drain()
        return True


async def _write_fragments(writer: asyncio.StreamWriter, response: bytes) -> None:
    size = max(MIN_FRAGMENT_BYTES, len(response) // FRAGMENTS_PER_RESPONSE)
    for start in range(0, len(response), size):
        write_data(writer, response[start : start + size])
        await asyncio.sleep(FRAGMENT_GAP_SECONDS)


def _parse_headers(head: bytes) -> dict[str, str]:
    _, *lines = head.decode("latin-1").split("\r\n")
    fields = (line.partition(":") for line in lines)
    return {name.lower(): value.strip() for name, _, value in fields}


async def _skip_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> int:
    """Read a request's body in its framing; return its size in bytes."""
    if headers.get("transfer-encoding") != "chunked":
        size = int(headers.get("content-length", "0"))
        await reader.readexactly(size)
        return size
    total = 0
    while size := int((await reader.readline()).partition(b";")[0], 16):
        await reader.readexactly(size + 2)
        total += size
    await reader.readline()
    return total


async def _closes_within(reader: asyncio.StreamReader, seconds: float) -> bool:
    """Return whether the limiter closes the connection, and so abandons the attempt, within ``seconds``."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(seconds):
            return await reader.read(1) == b""
    return False
