"""A TCP proxy on loopback with network faults: delay, fragmentation, blackhole, truncation, resets."""

from __future__ import annotations

import asyncio
import contextlib
from typing import NamedTuple

from soak.streams import write_open

READ_BYTES = 65536
BLACKHOLE_POLL_SECONDS = 0.02
FRAGMENT_GAP_SECONDS = 0.001
LOOPBACK = "127.0.0.1"


class Address(NamedTuple):
    """A TCP address."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> Address:
        """Parse ``host:port``."""
        host, _, port = text.rpartition(":")
        return cls(host, int(port))

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class Proxy:
    """Accepts connections on its own loopback port and forwards them to one target address.

    A network fault applies to all open and new connections until it is changed or cleared.
    """

    def __init__(self, target: Address) -> None:
        """Forward connections to ``target``."""
        self._port = 0
        self._target = target
        self._delay = 0.0  # seconds, each way
        self._fragment_bytes = 0  # 0: no fragmentation
        self._is_blackhole = False
        self._max_response_bytes = 0  # per connection; 0: no limit
        self._server: asyncio.Server | None = None
        self._tasks = set[asyncio.Task[None]]()
        self._writers = set[asyncio.StreamWriter]()

    @property
    def address(self) -> str:
        """The address on which the proxy listens, ``host:port``."""
        return f"{LOOPBACK}:{self._port}"

    async def open(self) -> str:
        """Start listening, on the same port as before if reopened; return the address."""
        self._server = await asyncio.start_server(self._accept, LOOPBACK, self._port, backlog=1024)
        self._port = self._server.sockets[0].getsockname()[1]
        return self.address

    def refuse(self) -> None:
        """Refuse new connections; open connections stay open."""
        if self._server is not None:
            self._server.close()
        self._server = None

    def reset_all(self) -> None:
        """Reset all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    def close(self) -> None:
        """Close the listening socket and all connections."""
        self.refuse()
        self.reset_all()
        for task in list(self._tasks):
            task.cancel()

    def delay_data(self, seconds: float) -> None:
        """Delay data by ``seconds`` each way."""
        self._delay = seconds

    def fragment_data(self, fragment_bytes: int) -> None:
        """Forward data in fragments of ``fragment_bytes``; 0 ends the fault."""
        self._fragment_bytes = fragment_bytes

    def block_data(self) -> None:
        """Stop forwarding data, but keep the connections open."""
        self._is_blackhole = True

    def unblock_data(self) -> None:
        """Forward data again after ``block_data``."""
        self._is_blackhole = False

    def truncate_responses(self, max_bytes: int) -> None:
        """Reset each connection after ``max_bytes`` from the target; 0 ends the fault."""
        self._max_response_bytes = max_bytes

    def clear_faults(self) -> None:
        """End all faults that delay, fragment, block or truncate data."""
        self.delay_data(0.0)
        self.fragment_data(0)
        self.unblock_data()
        self.truncate_responses(0)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            await self._serve(reader, writer)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        target_reader, target_writer = await asyncio.open_connection(*self._target)
        self._writers.add(target_writer)
        requests = asyncio.create_task(self._forward(reader, target_writer))
        responses = asyncio.create_task(self._forward_responses(target_reader, writer))
        try:
            await asyncio.wait((requests, responses), return_when=asyncio.FIRST_COMPLETED)
            if responses.done():  # the target closed: send the buffered bytes, then close
                writer.close()
                with contextlib.suppress(OSError):
                    await writer.wait_closed()
        finally:
            requests.cancel()
            responses.cancel()
            self._writers.discard(target_writer)
            target_writer.transport.abort()

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(READ_BYTES):
            await self._apply_delay_and_blackhole()
            await self._write(writer, data)

    async def _forward_responses(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        forwarded = 0
        while data := await reader.read(READ_BYTES):
            await self._apply_delay_and_blackhole()
            limit = self._max_response_bytes
            if limit and forwarded + len(data) > limit:
                write_open(writer, data[: max(0, limit - forwarded)])
                await writer.drain()
                writer.transport.abort()  # a FIN would look like the end of a response without a length
                return
            forwarded += len(data)
            await self._write(writer, data)

    async def _apply_delay_and_blackhole(self) -> None:
        if self._delay:
            await asyncio.sleep(self._delay)
        while self._is_blackhole:
            await asyncio.sleep(BLACKHOLE_POLL_SECONDS)

    async def _write(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        size = self._fragment_bytes
        if not size:
            write_open(writer, data)
        else:
            for start in range(0, len(data), size):
                write_open(writer, data[start : start + size])
                await asyncio.sleep(FRAGMENT_GAP_SECONDS)
        await writer.drain()
