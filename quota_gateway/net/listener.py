"""The clients' side: takes requests off connections and writes exactly one answer to each."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import socket
from collections.abc import Callable
from typing import TypeVar

from quota_gateway import model
from quota_gateway.net.client_connection import _Client
from quota_gateway.net.client_request import RequestHandler
from quota_gateway.net.metrics import Metrics
from quota_gateway.net.request_parser import RequestParser

log = logging.getLogger(__name__)
T = TypeVar("T")

BACKLOG = 1024
SWEEP = 0.2  # seconds between two looks for silent and slow clients: one timer for all of them
ROOM = 0.1  # seconds that the last clients of a closing listener may wait for a descriptor
# Of the most connections; where more have asked something, every answer closes its own. Clients that ask once
# and keep their connection for good use up what their side may open here, and then ask elsewhere or nowhere:
# so many a second come as connections end by IDLE. It guards as well against leaks in a client's pool and
# against more clients than there are descriptors. It could do harm where that many clients ask all the time
# and connecting is dear (TLS, long ways): each request beyond the share then pays for a connection.
CROWDED = 0.5


class ClientListener:
    """The listener and its connections."""

    def __init__(
        self,
        handler: RequestHandler,
        settings: model.Settings,
        max_connections: int,
        figures: Metrics | None = None,
    ) -> None:
        self.clock = asyncio.get_running_loop().time
        self.handler, self.parser = handler, RequestParser(settings, self.clock)
        self.metrics = figures or Metrics()
        self.draining = False
        self.ending = False  # no idle connection is kept any more
        self.open_request_ids = set[bytes]()
        self._max = max_connections
        self._crowd = CROWDED * max_connections
        self.active_connections = 0  # connections that have sent something
        self._sweep_at: asyncio.TimerHandle | None = None
        self._clients = dict[_Client, None]()  # in the order of their coming
        self._server: asyncio.Server | None = None
        self._queue: socket.socket | None = None  # the same listening socket, for its last clients
        self._handed = False
        self._empty = asyncio.Event()

    async def listen(
        self, host: str, port: int, inherited: socket.socket | None = None, beside: bool = False
    ) -> tuple[str, int]:
        """Take connections at an address, which another process may have too, or from a listening socket."""
        loop = asyncio.get_running_loop()
        self._handed = inherited is not None
        if inherited is None:
            self._server = await loop.create_server(
                lambda: _Client(self), host, port, backlog=BACKLOG, reuse_port=beside or None
            )
            # Held from the start: in want of a descriptor there would be none to empty it by.
            self._queue = socket.socket(fileno=os.dup(self._server.sockets[0].fileno()))
            self._queue.setblocking(False)
        else:
            inherited.setblocking(False)
            self._server = await loop.create_server(lambda: _Client(self), sock=inherited, backlog=BACKLOG)
        self._sweep()
        address = self._server.sockets[0].getsockname()
        return address[0], address[1]

    def connected(self, client: _Client) -> None:
        """Count a connection; at the limit another one makes room, and with all busy the new one goes."""
        if len(self._clients) >= self._max:
            ranked = [(rank, c) for c in self._clients if (rank := c.rank) is not None]
            if not any(other.evict() for _, other in sorted(ranked, key=lambda each: each[0])):
                log.warning("out of client connections")
                client.abort()
        self._clients[client] = None

    def _sweep(self) -> None:
        if self._sweep_at is not None:
            self._sweep_at.cancel()
        self._sweep_at = asyncio.get_running_loop().call_later(SWEEP, self._sweep)
        now = self.clock()
        for client in list(self._clients):
            client.check(now)

    def disconnected(self, client: _Client) -> None:
        self._clients.pop(client, None)
        if not self._clients:
            self._empty.set()

    @property
    def closes_connections(self) -> bool:
        """Whether answers say that their connection closes."""
        return self.draining or self.active_connections > self._crowd

    def start_draining(self) -> None:
        """From now on every answer says that its connection closes."""
        self.draining = True

    def set_max_connections(self, max_connections: int) -> None:
        """Another bound, while another process holds the rest: clients leave the old one for good then, so
        that closing behind every answer would only make them connect twice."""
        self._max = max_connections

    async def stop_accepting(self) -> None:
        """Take no more connections; the socket stays with whoever else holds it. Where nobody does, those in
        the accept queue are up already for their clients, and would be reset with what they have sent."""
        server, self._server = self._server, None
        if server is None:
            return
        if self._handed:
            return server.close()
        server.close()
        loop, until = asyncio.get_running_loop(), self.clock() + ROOM
        assert self._queue is not None
        with self._queue as queue:
            try:
                while True:
                    taken, _ = await self._with_room(queue.accept, until)
                    await loop.connect_accepted_socket(lambda: _Client(self), taken)
            except BlockingIOError:
                pass
            except OSError as error:
                log.error("the accept queue could not be emptied: %r", error)

    async def _with_room(self, take: Callable[[], T], until: float) -> T:
        """What needs a descriptor; where none is left, the answers under way soon leave one."""
        while True:
            try:
                return take()
            except BlockingIOError:
                raise
            except OSError:
                if self.clock() > until:
                    raise
            await asyncio.sleep(0.01)

    async def wait_until_empty(self, grace: float) -> None:
        """Wait for all connections to end by their answers, or idle as on any day."""
        self._empty.clear()
        if self._clients:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._empty.wait(), grace)

    async def close(self, grace: float) -> None:
        """Stop listening, close what is idle, and wait for the rest to be answered and closed. The sweep
        goes on: a connection may become idle only now, and a slow sender is still owed its error."""
        await self.stop_accepting()
        await asyncio.sleep(0)  # what has just been accepted is known here then
        self.ending = True
        self._sweep()
        await self.wait_until_empty(grace)
        if self._sweep_at is not None:
            self._sweep_at.cancel()
