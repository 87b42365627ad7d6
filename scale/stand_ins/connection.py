"""Connections to a stand-in, and the sockets on which it listens."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, cast

LOOPBACK = "127.0.0.1"
BACKLOG = 1024


class StandInConnection(asyncio.Protocol):
    """One connection to a stand-in; it is in ``connections`` as long as it is open."""

    def __init__(self, connections: set[Any]) -> None:  # of the subclass: sets are invariant
        """``connections`` are those that are open."""
        self._connections = connections
        self.buffer = b""
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Join the open connections."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's are no subclass of it
        self._connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Leave the open connections."""
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
    """A listening socket on loopback, on a port that stays the same when it is closed and opened again."""

    def __init__(self, make_connection: Callable[[], StandInConnection]) -> None:
        """``make_connection`` makes the protocol of an accepted connection."""
        self._make_connection = make_connection
        self._server: asyncio.Server | None = None
        self.port = 0  # 0 until it is first opened

    async def open(self) -> str:
        """Listen; gives ``host:port``. ``OSError`` where another program has taken the port meanwhile."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._make_connection, LOOPBACK, self.port, backlog=BACKLOG, reuse_address=True
        )
        self.port = self._server.sockets[0].getsockname()[1]
        return self.address

    @property
    def address(self) -> str:
        """``host:port``."""
        return f"{LOOPBACK}:{self.port}"

    @property
    def is_open(self) -> bool:
        """Whether connections are accepted."""
        return self._server is not None

    def close(self) -> None:
        """Refuse new connections; those that are open stay."""
        if self._server is not None:
            self._server.close()
        self._server = None
