"""A server that counts the bytes of its connections."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import TypeVar

REPLY_TIMEOUT_SECONDS = 10.0  # of the real clients
RESULT_TIMEOUT_SECONDS = 0.1  # for a result that has arrived

T = TypeVar("T")


class CountingStandIn:
    """A server on a port of its own that counts received and sent bytes."""

    def __init__(self) -> None:
        """Create the server for the running event loop."""
        self.received = 0  # bytes
        self.sent = 0  # bytes
        self._failure: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    @property
    def total(self) -> int:
        """The bytes in both directions."""
        return self.received + self.sent

    async def wait(self, result: asyncio.Future[T]) -> T:
        """Return the result. Raise ``ConnectionError`` if the server failed, or ``TimeoutError``."""
        await asyncio.wait(
            (result, self._failure), timeout=REPLY_TIMEOUT_SECONDS, return_when=asyncio.FIRST_COMPLETED
        )
        if self._failure.done():
            raise ConnectionError(f"a stand-in died: {self._failure.exception()!r}")
        return await asyncio.wait_for(result, RESULT_TIMEOUT_SECONDS)

    async def read_until(self, reader: asyncio.StreamReader, end: bytes) -> bytes:
        """Read up to ``end``, and count the bytes."""
        data = await reader.readuntil(end)
        self.received += len(data)
        return data

    def write(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        """Send, and count the bytes."""
        self.sent += len(data)
        writer.write(data)

    @asynccontextmanager
    async def serve(self, converse: Conversation) -> AsyncIterator[tuple[str, int]]:
        """Listen, and run ``converse`` on each connection; yield host and port."""

        async def handle_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            """Run ``converse``, and keep its first unexpected error."""
            try:
                await converse(self, reader, writer)
            except (OSError, EOFError, asyncio.CancelledError):
                pass  # closed by the client
            except Exception as error:  # noqa: BLE001 - raised to the measurement by the future
                if not self._failure.done():
                    self._failure.set_exception(error)
            writer.transport.abort()

        server = await asyncio.start_server(handle_connection, "127.0.0.1", 0)
        try:
            yield server.sockets[0].getsockname()
        finally:
            server.close()


Conversation = Callable[[CountingStandIn, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def encode_chunk(text: str) -> bytes:
    """Return a line of a watch as a chunk of its response."""
    data = text.encode() + b"\n"
    return b"%x\r\n%b\r\n" % (len(data), data)
