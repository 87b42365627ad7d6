"""A stand-in that counts the bytes of its connections."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import TypeVar

REPLY_TIMEOUT_SECONDS = 10.0  # timeout of the measured clients
RESULT_TIMEOUT_SECONDS = 0.1  # timeout for a result that should have arrived already

T = TypeVar("T")


class CountingStandIn:
    """A server that counts received and sent bytes; it listens on its own port."""

    def __init__(self) -> None:
        """Create the stand-in for the running event loop."""
        self.received = 0  # bytes
        self.sent = 0  # bytes
        self._failure: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    @property
    def total(self) -> int:
        """The received and sent bytes."""
        return self.received + self.sent

    async def wait(self, result: asyncio.Future[T]) -> T:
        """Return the result. Raise ``ConnectionError`` if the stand-in failed, or ``TimeoutError``."""
        await asyncio.wait(
            (result, self._failure), timeout=REPLY_TIMEOUT_SECONDS, return_when=asyncio.FIRST_COMPLETED
        )
        if self._failure.done():
            raise ConnectionError(f"the stand-in failed: {self._failure.exception()!r}")
        return await asyncio.wait_for(result, RESULT_TIMEOUT_SECONDS)

    async def read_until(self, reader: asyncio.StreamReader, end: bytes) -> bytes:
        """Read up to ``end``, and count the bytes."""
        data = await reader.readuntil(end)
        self.received += len(data)
        return data

    def write(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        """Send data, and count the bytes."""
        self.sent += len(data)
        writer.write(data)

    @asynccontextmanager
    async def serve(self, handler: ConnectionHandler) -> AsyncIterator[tuple[str, int]]:
        """Listen, and run ``handler`` on each connection; yield host and port."""

        async def handle_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            """Run ``handler``, and store its first unexpected error."""
            try:
                await handler(self, reader, writer)
            except (OSError, EOFError, asyncio.CancelledError):
                pass  # closed by the client
            except Exception as error:  # noqa: BLE001 - raised in ``wait``
                if not self._failure.done():
                    self._failure.set_exception(error)
            writer.transport.abort()

        server = await asyncio.start_server(handle_connection, "127.0.0.1", 0)
        try:
            yield server.sockets[0].getsockname()
        finally:
            server.close()


ConnectionHandler = Callable[[CountingStandIn, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def encode_chunk(text: str) -> bytes:
    """Encode a line of a watch as a chunk of the response."""
    data = text.encode() + b"\n"
    return b"%x\r\n%b\r\n" % (len(data), data)
