"""Accepts connections from listening sockets, whatever accept fails with for a moment.

The event loop's own servers close the clients that wait when accept fails. Here a failure only pauses
accepting: the connections stay in the queue of the system and are taken when the pause is over.
"""

from __future__ import annotations

import asyncio
import errno
import logging
import os
import socket
from collections.abc import Callable

log = logging.getLogger(__name__)

BACKLOG = 1024  # connections in the queue of the system
MAX_ACCEPTS = 8  # in one turn of the event loop: evicted connections release their descriptors in the next
RETRY_INTERVAL = 0.01  # seconds until accept is tried again after it has failed
# Errors of the connection that was to be accepted: the next one may be sound (accept(2)).
CONNECTION_ERRORS = frozenset((errno.ECONNABORTED, errno.EPROTO, errno.EPERM))
# Errors of a call that may succeed a moment later.
TRANSIENT_ERRORS = frozenset((errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM, errno.EINTR))
START_RETRIES = 100  # of a listening socket whose creation fails with one of these, ``RETRY_INTERVAL`` apart

OnError = Callable[[OSError], None]
ProtocolFactory = Callable[[], asyncio.BaseProtocol]


async def create_listening_socket(host: str, port: int, reuse_port: bool = False) -> socket.socket:
    """Listen at an address; a want of descriptors or memory is waited out. Raises ``OSError``."""
    for _ in range(START_RETRIES):
        try:
            return socket.create_server(
                (host, port), family=_family(host), backlog=BACKLOG, reuse_port=reuse_port
            )
        except OSError as error:
            if error.errno not in TRANSIENT_ERRORS:
                raise
            log.warning("cannot listen yet: %s", error)
        await asyncio.sleep(RETRY_INTERVAL)
    return socket.create_server((host, port), family=_family(host), backlog=BACKLOG, reuse_port=reuse_port)


def _family(host: str) -> socket.AddressFamily:
    return socket.AF_INET6 if ":" in host else socket.AF_INET


class Acceptor:
    """Accepts from one listening socket until it is closed."""

    def __init__(self, listening: socket.socket, make_protocol: ProtocolFactory, on_error: OnError) -> None:
        """Accept from now on; ``on_error`` is told of each failure."""
        listening.setblocking(False)
        self._loop = asyncio.get_running_loop()
        self._listening = listening
        self._make_protocol = make_protocol
        self._on_error = on_error
        self._retry_timer: asyncio.TimerHandle | None = None
        self._connecting = set[asyncio.Task[None]]()
        self._loop.add_reader(listening, self._accept)

    @property
    def address(self) -> tuple[str, int]:
        """Host and port that it listens at."""
        name = self._listening.getsockname()
        return name[0], name[1]

    def _accept(self) -> None:
        """Accept what waits."""
        for _ in range(MAX_ACCEPTS):
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
        """Do not spin on an error that stays."""
        self._loop.remove_reader(self._listening)
        self._retry_timer = self._loop.call_later(RETRY_INTERVAL, self._resume)

    def _resume(self) -> None:
        self._retry_timer = None
        self._loop.add_reader(self._listening, self._accept)
        self._accept()

    async def close(self, drain_time: float | None = None) -> None:
        """Accept no more. With ``drain_time`` what waits in the queue is taken first.

        So many seconds are waited at most for an error to pass. Without it the queue is left to whoever else
        has the socket.
        """
        if self._retry_timer is not None:
            self._retry_timer.cancel()
        else:
            self._loop.remove_reader(self._listening)
        if drain_time is not None:
            await self._empty_queue(self._loop.time() + drain_time)
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
                    await asyncio.sleep(RETRY_INTERVAL)
            else:
                self._connect(accepted)


def errno_name(error: OSError) -> str:
    """The symbolic name of an error's number, for logs and counts."""
    return errno.errorcode.get(error.errno or 0, os.strerror(error.errno or 0))
