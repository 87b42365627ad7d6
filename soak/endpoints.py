"""The endpoints of a soak run: they take down each attempt, and go wrong on demand."""

from __future__ import annotations

import asyncio
import contextlib
import time
from dataclasses import dataclass
from itertools import count
from random import Random

from soak.ledger import Ledger, Receipt
from soak.proxy import LOOPBACK, Proxy

MIN_SERVICE_TIME = 0.004  # seconds
MAX_SERVICE_TIME = 0.03
PIECE_GAP = 0.01  # seconds between two pieces of an answer
LONG_ANSWER = 200_000  # bytes
NEVER = 3600.0  # seconds, longer than any run
NOT_PROCESSED = b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"
ERROR = b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"


@dataclass(slots=True)
class Behaviour:
    """How an endpoint goes wrong; each is the share of the requests that it concerns."""

    hangs: bool = False  # takes requests and answers none
    errors: float = 0.0
    turned_away: float = 0.0
    in_pieces: float = 0.0
    resets_after: float = 0.0  # breaks the connection with the request begun
    long_answers: float = 0.0
    endless: float = 0.0  # announces more than it sends
    without_length: float = 0.0  # the end of the connection is the end of the answer
    slow_factor: float = 1.0  # on the service time


class SoakEndpoint:
    """One endpoint behind a proxy of its own."""

    def __init__(self, name: str, zone: str, ledger: Ledger, rng: Random) -> None:
        """``rng`` draws service times and which requests go wrong."""
        self.name = name
        self.zone = zone
        self.behaviour = Behaviour()
        self.incarnation = 0
        self.started_at_ms = 0  # Unix time; 0: long ago
        self.health = "ready"
        self._ledger = ledger
        self._rng = rng
        self._connections = count(1)
        self._server: asyncio.Server | None = None
        self._tasks = set[asyncio.Task[None]]()
        self.proxy: Proxy

    async def open(self) -> str:
        """Listen; gives the address of the proxy."""
        self._server = await asyncio.start_server(self._accept, LOOPBACK, 0, backlog=1024)
        self.proxy = Proxy((LOOPBACK, self._server.sockets[0].getsockname()[1]))
        return await self.proxy.open()

    def restart(self) -> None:
        """Come back cold, as a new incarnation: its connections are reset."""
        self.proxy.reset_all()
        self.incarnation += 1
        self.started_at_ms = int(time.time() * 1000)
        self.behaviour = Behaviour()

    def close(self) -> None:
        """End for good."""
        self.proxy.close()
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        number = next(self._connections)
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
        """Take one request and answer it; whether the connection goes on."""
        first = await reader.readexactly(1)
        first_byte_at = time.monotonic()
        head = first + await reader.readuntil(b"\r\n\r\n")
        _, *lines = head.decode("latin-1").split("\r\n")
        headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
        body_size = await _skip_body(reader, headers)
        if "x-request-id" not in headers:  # a health check
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            return True
        receipt = Receipt(
            id=headers["x-request-id"].lower(),
            endpoint=self.name,
            incarnation=self.incarnation,
            connection=connection,
            first_byte_at=first_byte_at,
            complete_at=time.monotonic(),
            told_timeout=int(headers.get("x-timeout-ms", "0")) / 1000,
            body_size=body_size,
        )
        self._ledger.receipts[receipt.id].append(receipt)
        try:
            return await self._answer(reader, writer, receipt)
        finally:
            receipt.ended_at = receipt.ended_at or time.monotonic()

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, receipt: Receipt
    ) -> bool:
        behaviour = self.behaviour
        draw = self._rng.random
        if (self.health != "ready" and draw() < 0.5) or draw() < behaviour.turned_away:
            receipt.executed = False
            writer.write(NOT_PROCESSED)
            return True
        service_time = self._rng.uniform(MIN_SERVICE_TIME, MAX_SERVICE_TIME) * behaviour.slow_factor
        if await _closes_within(reader, NEVER if behaviour.hangs else service_time):
            return False
        if draw() < behaviour.errors:
            writer.write(ERROR)
            return True
        if draw() < behaviour.resets_after:
            return False
        receipt.answer = f"{receipt.id}:{self.name}:{receipt.connection}".encode()
        if draw() < behaviour.long_answers:
            receipt.answer += b"." * LONG_ANSWER
        return await self._write_answer(reader, writer, receipt)

    async def _write_answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, receipt: Receipt
    ) -> bool:
        behaviour = self.behaviour
        draw = self._rng.random
        if draw() < behaviour.without_length:
            writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + receipt.answer)
            await writer.drain()
            writer.write_eof()
            return False
        missing = 1000 if draw() < behaviour.endless else 0
        size = len(receipt.answer) + missing
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (size, receipt.answer)
        if draw() < behaviour.in_pieces:
            for start in range(0, len(answer), max(20, len(answer) // 8)):
                writer.write(answer[start : start + max(20, len(answer) // 8)])
                await asyncio.sleep(PIECE_GAP)
        else:
            writer.write(answer)
        if missing:
            return not await _closes_within(reader, NEVER)
        await writer.drain()
        return True


async def _skip_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> int:
    """Read a request's body in its framing; its size."""
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
    """Wait; whether the limiter gave the attempt up meanwhile."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(seconds):
            return await reader.read(1) == b""
    return False
