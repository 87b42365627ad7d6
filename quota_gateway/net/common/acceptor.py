"""Accepts connections from listening sockets, and continues after temporary failures of accept(2).

The event loop's own servers close the waiting connections when accept fails. An ``Acceptor`` only pauses: the
connections stay in the accept queue of the system until the pause is over.
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
# Limits the connections that are accepted in one iteration of the event loop: connections that are evicted
# for them release their descriptors only in the next iteration.
MAX_ACCEPTS_PER_ITERATION = 8
RETRY_INTERVAL_SECONDS = 0.01  # the time between a failed call and its retry
MAX_BIND_RETRIES = 100
# Errors of one waiting connection, which do not affect the next one; see accept(2).
CONNECTION_ERRORS = frozenset((errno.ECONNABORTED, errno.EPROTO, errno.EPERM))
# Errors of a call that may succeed when it is retried.
TRANSIENT_ERRORS = frozenset((errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM, errno.EINTR))

ErrorObserver = Callable[[OSError], None]
ProtocolFactory = Callable[[], asyncio.BaseProtocol]


async def create_bound_socket(host: str, port: int, *, reuse_port: bool = False) -> socket.socket:
    """Return a socket that is bound to an address and refuses connections until an ``Acceptor`` has it.

    Retries while descriptors or memory are exhausted, up to ``MAX_BIND_RETRIES`` times. With ``reuse_port``
    other sockets may listen at the same address. Raises ``OSError``, also if the address is in use.
    """
    for _ in range(MAX_BIND_RETRIES):
        try:
            return _bind(host, port, reuse_port=reuse_port)
        except OSError as error:
            if error.errno not in TRANSIENT_ERRORS:
                raise
            log.warning("cannot open a listening socket yet, retrying: %s", error)
        await asyncio.sleep(RETRY_INTERVAL_SECONDS)
    return _bind(host, port, reuse_port=reuse_port)


def _bind(host: str, port: int, *, reuse_port: bool) -> socket.socket:
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    bound = socket.socket(family, socket.SOCK_STREAM)
    try:
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if family is socket.AF_INET6:
            bound.setsockopt(socket.IPPROTO_IPV6, socket.IPV6_V6ONLY, 1)
        if reuse_port:
            bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        bound.bind((host, port))
    except OSError:
        bound.close()
        raise
    return bound


class Acceptor:
    """Accepts connections from one listening socket until it is closed."""

    def __init__(
        self,
        listening: socket.socket,
        make_protocol: ProtocolFactory,
        on_error: ErrorObserver,
        on_accepted: Callable[[socket.socket], None] | None = None,
        may_accept: Callable[[], bool] | None = None,
    ) -> None:
        """Listen at the address of a bound socket; ``on_error`` is called with the error of each failure.

        ``on_accepted`` is called with each accepted socket; its protocol is created later. While
        ``may_accept`` returns False, connections stay in the accept queue. The socket may listen already.
        Raises ``OSError`` if another socket listens at the address.
        """
        if not is_listening(listening):
            listening.listen(ACCEPT_QUEUE_CONNECTIONS)
        listening.setblocking(False)  # noqa: FBT003 - positional only
        self._loop = asyncio.get_running_loop()
        self._listening = listening
        self._make_protocol = make_protocol
        self._on_error = on_error
        self._on_accepted = on_accepted
        self._may_accept = may_accept
        self._retry_timer: asyncio.TimerHandle | None = None
        self._transport_tasks = set[asyncio.Task[None]]()
        self._loop.add_reader(listening, self.accept_waiting)

    @property
    def address(self) -> tuple[str, int]:
        """Host and port of the listening socket."""
        name = self._listening.getsockname()
        return name[0], name[1]

    def accept_waiting(self) -> None:
        """Accept the waiting connections, up to ``MAX_ACCEPTS_PER_ITERATION``."""
        for _ in range(MAX_ACCEPTS_PER_ITERATION):
            if self._may_accept is not None and not self._may_accept():
                self._pause()
                return
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
                self._start_transport(accepted)

    def _start_transport(self, accepted: socket.socket) -> None:
        if self._on_accepted is not None:
            self._on_accepted(accepted)
        task = self._loop.create_task(self._make_transport(accepted))
        self._transport_tasks.add(task)
        task.add_done_callback(self._transport_tasks.discard)

    async def _make_transport(self, accepted: socket.socket) -> None:
        try:
            await self._loop.connect_accepted_socket(self._make_protocol, accepted)
        except OSError as error:
            accepted.close()
            self._on_error(error)

    def _pause(self) -> None:
        """Stop accepting for ``RETRY_INTERVAL_SECONDS``.

        The socket stays readable while the error lasts, so retrying at once would be a busy loop.
        """
        self._loop.remove_reader(self._listening)
        self._retry_timer = self._loop.call_later(RETRY_INTERVAL_SECONDS, self._resume)

    def _resume(self) -> None:
        self._retry_timer = None
        self._loop.add_reader(self._listening, self.accept_waiting)
        self.accept_waiting()

    async def close(self, drain_seconds: float | None = None) -> None:
        """Close the listening socket.

        With ``drain_seconds`` the connections in the accept queue are accepted first; a failing accept is
        retried for this time. Without it, the connections in the queue remain for the other processes that
        share the socket.
        """
        if self._retry_timer is not None:
            self._retry_timer.cancel()
        else:
            self._loop.remove_reader(self._listening)
        if drain_seconds is not None:
            await self._empty_queue(self._loop.time() + drain_seconds)
        self._listening.close()
        if self._transport_tasks:
            await asyncio.wait(self._transport_tasks)

    async def _empty_queue(self, deadline: float) -> None:
        while True:
            try:
                accepted, _address = self._listening.accept()
            except BlockingIOError:
                return
            except OSError as error:
                self._on_error(error)
                if self._loop.time() > deadline:
                    log.error("accept keeps failing, closing the socket before its queue is empty: %r", error)
                    return
                if error.errno not in CONNECTION_ERRORS:
                    await asyncio.sleep(RETRY_INTERVAL_SECONDS)
            else:
                self._start_transport(accepted)


def is_listening(candidate: socket.socket) -> bool:
    """Whether a socket is a stream socket that listens."""
    is_stream = candidate.type is socket.SOCK_STREAM
    return is_stream and bool(candidate.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN))


def errno_name(error: OSError) -> str:
    """Return the symbolic name of an error's number, for logs and counts."""
    return errno.errorcode.get(error.errno or 0, os.strerror(error.errno or 0))
