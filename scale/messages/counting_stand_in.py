"""A stand-in that counts the bytes of a conversation."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import TypeVar

REPLY_TIMEOUT = 10.0  # seconds for a reply of the real code
RESULT_TIMEOUT = 0.1  # seconds for a result that is there

T = TypeVar("T")


class CountingStandIn:
    """A server on a port of its own; counts what it receives and sends."""

    def __init__(self) -> None:
        """For the running event loop."""
        self.received = 0  # bytes
        self.sent = 0  # bytes
        self._failure: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    @property
    def total(self) -> int:
        """Bytes both ways."""
        return self.received + self.sent

    async def wait(self, result: asyncio.Future[T]) -> T:
        """The result; an error of the stand-in's own, or ``TimeoutError``, ends the wait for it."""
        await asyncio.wait(
            (result, self._failure), timeout=REPLY_TIMEOUT, return_when=asyncio.FIRST_COMPLETED
        )
        if self._failure.done():
            raise ConnectionError(f"a stand-in died: {self._failure.exception()!r}")
        return await asyncio.wait_for(result, RESULT_TIMEOUT)

    async def read_until(self, reader: asyncio.StreamReader, end: bytes) -> bytes:
        """The next bytes up to ``end``, counted."""
        data = await reader.readuntil(end)
        self.received += len(data)
        return data

    def write(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        """Send, counted."""
        self.sent += len(data)
        writer.write(data)

    @asynccontextmanager
    async def serve(self, converse: Conversation) -> AsyncIterator[tuple[str, int]]:
        """Listen, and hold this conversation on each connection; gives host and port."""

        async def on_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            try:
                await converse(self, reader, writer)
            except (OSError, EOFError, asyncio.CancelledError):
                pass  # the limiter's side ended it
            except Exception as error:
                if not self._failure.done():
                    self._failure.set_exception(error)
            writer.transport.abort()

        server = await asyncio.start_server(on_connection, "127.0.0.1", 0)
        try:
            yield server.sockets[0].getsockname()
        finally:
            server.close()


Conversation = Callable[[CountingStandIn, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def encode_chunk(text: str) -> bytes:
    """A line of a watch as a chunk of its response."""
    data = text.encode() + b"\n"
    return b"%x\r\n%b\r\n" % (len(data), data)
