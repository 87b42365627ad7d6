"""The HTTP connections of the clients: they read responses and are reused while idle."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass
from typing import NamedTuple

from soak.http_bodies import read_body
from soak.proxy import LOOPBACK

HTTP_STATUS_SLICE = slice(9, 12)  # position of the status code in a status line
MIN_FINAL_STATUS = 200


@dataclass(slots=True)
class Connection:
    """A client's connection to a limiter."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    is_new: bool = True

    @property
    def local_port(self) -> int:
        """The client's port."""
        port: int = self.writer.get_extra_info("sockname")[1]
        return port

    def is_reusable(self) -> bool:
        """Whether neither side has closed the connection."""
        return not self.writer.is_closing() and not self.reader.at_eof()

    def mark_reused(self) -> None:
        """Record that the connection has carried a request."""
        self.is_new = False

    def close(self) -> None:
        """Close the connection after the buffered bytes are sent."""
        self.writer.close()

    def abort(self) -> None:
        """Close the connection at once."""
        self.writer.transport.abort()


class Response(NamedTuple):
    """A final response."""

    status: int
    body: bytes
    keeps_connection: bool


class IncompleteResponseError(Exception):
    """The connection ended before its response was complete."""

    def __init__(self, *, has_head: bool) -> None:
        """``has_head``: whether the head of the response was received."""
        super().__init__()
        self.has_head = has_head


async def read_response(reader: asyncio.StreamReader) -> Response:
    """Read the final response, or raise ``IncompleteResponseError``."""
    has_head = False
    try:
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
            status = int(head[HTTP_STATUS_SLICE])
            if status >= MIN_FINAL_STATUS:
                break
        has_head = True
        lines = (line.partition(":") for line in head.split("\r\n")[1:])
        headers = {name: value.strip() for name, _, value in lines}
        body = await read_body(reader, headers)
    except (asyncio.IncompleteReadError, OSError, ValueError):
        raise IncompleteResponseError(has_head=has_head) from None
    has_length = "content-length" in headers or "transfer-encoding" in headers
    return Response(status, body, keeps_connection=has_length and headers.get("connection") != "close")


class ConnectionPool:
    """The idle connections of the clients of one limiter."""

    def __init__(self, port: int) -> None:
        """Connect to ``port`` on the loopback address."""
        self._port = port
        self._idle = deque[Connection]()

    @property
    def has_idle(self) -> bool:
        """Whether there is an idle connection."""
        return bool(self._idle)

    async def connect(self) -> Connection:
        """Open a new connection."""
        return Connection(*await asyncio.open_connection(LOOPBACK, self._port))

    async def acquire(self) -> Connection:
        """Return the connection that has been idle for the longest time, or a new one."""
        while self._idle:
            connection = self._idle.popleft()
            if connection.is_reusable():
                connection.mark_reused()
                return connection
        return await self.connect()

    def release(self, connection: Connection) -> None:
        """Make a connection available for another request."""
        self._idle.append(connection)

    def close(self) -> None:
        """Close the idle connections."""
        for connection in self._idle:
            connection.abort()
