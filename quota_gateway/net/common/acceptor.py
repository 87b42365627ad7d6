"""Accepts connections from listening sockets, also after calls of accept that fail for a short time.

The event loop's own servers close the waiting connections when accept fails. Here a failure only pauses
accepting: the connections stay in the accept queue of the system until the pause is over.
"""

from __future__ import annotations

import asyncio
import errno
import logging
import os
import socket
from collections.abc import Callable

log = logging.getLogger(__name__)

ACCEPT_QUEUE_CONNECTIONS = 1024
# Accepts in one iteration of the event loop: evicted connections release their descriptors in the next one.
MAX_ACCEPTS_PER_ITERATION = 8
RETRY_INTERVAL_SECONDS = 0.01  # between a failed call and its retry
MAX_LISTEN_RETRIES = 100
# Errors of the connection that was to be accepted; the next connection may have none (accept(2)).
CONNECTION_ERRORS = frozenset((errno.ECONNABORTED, errno.EPROTO, errno.EPERM))
# Errors of a call that may succeed a moment later.
TRANSIENT_ERRORS = frozenset((errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM, errno.EINTR))

ErrorObserver = Callable[[OSError], None]
ProtocolFactory = Callable[[], asyncio.BaseProtocol]


async def create_listening_socket(host: str, port: int, *, reuse_port: bool = False) -> socket.socket:
    """Return a socket that listens at an address; wait out a lack of descriptors or memory.

    With ``reuse_port`` other sockets may listen at the same address. Raises ``OSError``.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    for _ in range(MAX_LISTEN_RETRIES):
        try:
            return _listen(host, port, family, reuse_port=reuse_port)
        except OSError as error:
            if error.errno not in TRANSIENT_ERRORS:
                raise
            log.warning("cannot listen yet: %s", error)
        await asyncio.sleep(RETRY_INTERVAL_SECONDS)
    return _listen(host, port, family, reuse_port=reuse_port)


def _listen(host: str, port: int, family: socket.AddressFamily, *, reuse_port: bool) -> socket.socket:
    return socket.create_server(
        (host, port), family=family, backlog=ACCEPT_QUEUE_CONNECTIONS, reuse_port=reuse_port
    )


class Acceptor:
    """Accepts from one listening socket until it is closed."""

    def __init__(
        self, listening: socket.socket, make_protocol: ProtocolFactory, on_error: ErrorObserver
    ) -> None:
        """Accept from now on; ``on_error`` is called with each failure."""
        listening.setblocking(False)  # noqa: FBT003 - positional only
        self._loop = asyncio.get_running_loop()
        self._listening = listening
        self._make_protocol = make_protocol
        self._on_error = on_error
        self._retry_timer: asyncio.TimerHandle | None = None
        self._connecting = set[asyncio.Task[None]]()
        self._loop.add_reader(listening, self._accept)

    @property
    def address(self) -> tuple[str, int]:
        """Host and port of the listening socket."""
        name = self._listening.getsockname()
        return name[0], name[1]

    def _accept(self) -> None:
        """Accept the waiting connections, up to the limit of one iteration."""
        for _ in range(MAX_ACCEPTS_PER_ITERATION):
            try:
                accepted, _address = self._listening.accept()
            except BlockingIOError:
                return
            except OSError as error:
                self._on_error(error)
                if error.errno not in CONNECTION_ERRORS:
                    self._pause()
                    return
            else:
                self._connect(accepted)

    def _connect(self, accepted: socket.socket) -> None:
        task = self._loop.create_task(self._make_transport(accepted))
        self._connecting.add(task)
        task.add_done_callback(self._connecting.discard)

    async def _make_transport(self, accepted: socket.socket) -> None:
        try:
            await self._loop.connect_accepted_socket(self._make_protocol, accepted)
        except OSError as error:
            accepted.close()
            self._on_error(error)

    def _pause(self) -> None:
        """Stop accepting for a while: the socket stays readable as long as the error lasts."""
        self._loop.remove_reader(self._listening)
        self._retry_timer = self._loop.call_later(RETRY_INTERVAL_SECONDS, self._resume)

    def _resume(self) -> None:
        self._retry_timer = None
        self._loop.add_reader(self._listening, self._accept)
        self._accept()

    async def close(self, drain_seconds: float | None = None) -> None:
        """Close the listening socket.

        With ``drain_seconds`` the connections in the accept queue are accepted first; a failing accept is
        retried for this time. Without it the queue is left to the other processes that have the socket.
        """
        if self._retry_timer is not None:
            self._retry_timer.cancel()
        else:
            self._loop.remove_reader(self._listening)
        if drain_seconds is not None:
            await self._empty_queue(self._loop.time() + drain_seconds)
        self._listening.close()
        if self._connecting:
            await asyncio.wait(self._connecting)

    async def _empty_queue(self, deadline: float) -> None:
        while True:
            try:
                accepted, _address = self._listening.accept()
            except BlockingIOError:
                return
            except OSError as error:
                self._on_error(error)
                if self._loop.time() > deadline:
                    log.error("the accept queue could not be emptied: %r", error)
                    return
                if error.errno not in CONNECTION_ERRORS:
                    await asyncio.sleep(RETRY_INTERVAL_SECONDS)
            else:
                self._connect(accepted)


def errno_name(error: OSError) -> str:
    """Return the symbolic name of an error's number, for logs and counts."""
    return errno.errorcode.get(error.errno or 0, os.strerror(error.errno or 0))
