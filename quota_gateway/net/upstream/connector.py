"""Opens connections to endpoints, each for one exchange."""

from __future__ import annotations

import asyncio
import errno
from typing import Protocol

from quota_gateway.model import CallStatus
from quota_gateway.net.upstream.connection import UpstreamConnection
from quota_gateway.net.upstream.endpoint import UpstreamEndpoint
from quota_gateway.net.upstream.exchange import Exchange

# This machine is out of file descriptors, memory or ports: the endpoint was not contacted.
LOCAL_RESOURCE_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)


class ConnectorOwner(Protocol):
    """Receives the results of connecting; implemented by the connection pool."""

    def new_connection(self, endpoint: UpstreamEndpoint) -> UpstreamConnection:
        """Return a new connection that is still to be opened."""

    def on_connected(self, connection: UpstreamConnection, exchange: Exchange) -> None:
        """The connection was established, and may have ended since."""

    def on_never_connected(self, endpoint: UpstreamEndpoint) -> None:
        """A connection was not established; its ``connection_lost`` is not called."""

    def on_connect_failed(self, exchange: Exchange, status: CallStatus) -> None:
        """No connection was established for the exchange; ``status`` shows why."""

    def on_connect_error(self, exchange: Exchange, error: Exception) -> None:
        """An unexpected error occurred while connecting or sending for an exchange."""


class Connector:
    """Opens connections, and owns the tasks that wait for them."""

    __slots__ = ("_connect_timeout", "_owner", "_tasks")

    def __init__(self, owner: ConnectorOwner, connect_timeout: float) -> None:
        """``connect_timeout``: seconds after which connecting fails."""
        self._owner = owner
        self._connect_timeout = connect_timeout
        self._tasks = set[asyncio.Task[None]]()

    def set_connect_timeout(self, connect_timeout: float) -> None:
        """Set the seconds after which connecting fails."""
        self._connect_timeout = connect_timeout

    def start(self, endpoint: UpstreamEndpoint, exchange: Exchange) -> None:
        """Begin to open a connection for the exchange; the owner is notified of the result."""
        task = asyncio.get_running_loop().create_task(self._connect(endpoint, exchange))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def close(self) -> None:
        """Cancel all connects in progress."""
        for task in self._tasks:
            task.cancel()

    async def _connect(self, endpoint: UpstreamEndpoint, exchange: Exchange) -> None:
        try:
            await self._open(endpoint, exchange)
        except Exception as error:  # noqa: BLE001 - the exchange must end after any error
            self._owner.on_connect_error(exchange, error)

    async def _open(self, endpoint: UpstreamEndpoint, exchange: Exchange) -> None:
        connection = self._owner.new_connection(endpoint)
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self._connect_timeout):
                await loop.create_connection(lambda: connection, *endpoint.address)
        except OSError as error:  # TimeoutError is a subclass
            status = _connect_error_status(error, was_established=connection.transport is not None)
            if connection.end_opening():
                self._owner.on_never_connected(endpoint)
            self._owner.on_connect_failed(exchange, status)
            return
        except Exception:
            if connection.end_opening():
                self._owner.on_never_connected(endpoint)
            raise
        self._owner.on_connected(connection, exchange)


def _connect_error_status(error: OSError, *, was_established: bool) -> CallStatus:
    """Return the status of an attempt whose connection could not be opened.

    If the connection was established when the timeout fired, this process has stalled meanwhile.
    """
    if was_established or error.errno in LOCAL_RESOURCE_ERRORS:
        return CallStatus.NOT_SENT
    # A reset shows that the peer had accepted the connection; a port without a listener refuses it.
    if isinstance(error, ConnectionResetError):
        return CallStatus.RESET_BEFORE_REQUEST
    return CallStatus.UNREACHABLE
