"""Connections to a stand-in, and its listening sockets."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, cast

LOOPBACK = "127.0.0.1"
BACKLOG = 1024


class StandInConnection(asyncio.Protocol):
    """A connection to a stand-in, which is in the stand-in's set of connections while it is open."""

    # The parameter is a set of any type, because a set of a subclass is not a subtype of a set of this class.
    def __init__(self, connections: set[Any]) -> None:
        """``connections`` is the set of open connections."""
        self._connections = connections
        self.buffer = b""
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Add the connection to the open connections."""
        # uvloop's transports are not subclasses of ``asyncio.Transport``.
        self.transport = cast(asyncio.Transport, transport)
        self._connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Remove the connection from the open connections."""
        self.transport = None
        self._connections.discard(self)

    def write(self, data: bytes) -> None:
        """Write unless the connection is closed or closing."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def abort(self) -> None:
        """Reset the connection."""
        if self.transport is not None:
            self.transport.abort()


class LoopbackListener:
    """A listening socket on loopback that keeps its port when it is closed and opened again."""

    def __init__(self, make_connection: Callable[[], StandInConnection]) -> None:
        """``make_connection`` creates the protocol of an accepted connection."""
        self._make_connection = make_connection
        self._server: asyncio.Server | None = None
        self.port = 0  # 0 until it is first opened

    async def open(self) -> str:
        """Listen and return ``host:port``. Raise ``OSError`` if another program uses the port."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._make_connection, LOOPBACK, self.port, backlog=BACKLOG, reuse_address=True
        )
        self.port = self._server.sockets[0].getsockname()[1]
        return self.address

    @property
    def address(self) -> str:
        """The address as ``host:port``."""
        return f"{LOOPBACK}:{self.port}"

    @property
    def is_open(self) -> bool:
        """Whether connections are accepted."""
        return self._server is not None

    def close(self) -> None:
        """Refuse new connections; open connections stay open."""
        if self._server is not None:
            self._server.close()
        self._server = None
