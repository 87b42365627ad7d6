"""Opens connections to the shared counter, with backoff after failures."""

from __future__ import annotations

import asyncio
import logging
from random import Random
from typing import Protocol

from quota_gateway.net.common.backoff import reconnect_delay
from quota_gateway.net.counter.connection import Address, CounterConnection

log = logging.getLogger(__name__)

CONNECT_TIMEOUT_SECONDS = 0.25
# The minimum time between two connects prevents a busy loop if the counter closes each connection at once.
MIN_RECONNECT_INTERVAL_SECONDS = 0.05


class ConnectorOwner(Protocol):
    """Creates the connections and receives the opened ones."""

    def new_connection(self, address: Address) -> CounterConnection:
        """Create a connection, which the connector opens."""

    def on_connected(self, connection: CounterConnection) -> None:
        """Handle a connection that was opened and may have been lost since."""


class CounterConnector:
    """Opens connections to the current address, one at a time; owns the task that opens one."""

    def __init__(self, address: Address, owner: ConnectorOwner, rng: Random) -> None:
        """``rng`` draws the jitter of the delays."""
        self.address = address
        self.consecutive_failures = 0
        self.last_connect_at = 0.0  # seconds of the event loop's clock
        self.next_connect_at = 0.0
        self._owner = owner
        self._rng = rng
        self._loop = asyncio.get_running_loop()
        self._task: asyncio.Task[None] | None = None
        self._failure_logged = False

    def set_address(self, address: Address) -> None:
        """Use another address from now on: cancel a connect in progress and reset the backoff."""
        self.address = address
        self.consecutive_failures = 0
        self.next_connect_at = 0.0
        self.cancel()

    def cancel(self) -> None:
        """Cancel the connect in progress."""
        if self._task is not None:
            self._task.cancel()
            self._task = None

    def connect(self) -> None:
        """Start to connect, unless a connect is in progress or the backoff delay has not passed."""
        if self._task is not None or self._loop.time() < self.next_connect_at:
            return
        self.last_connect_at = self._loop.time()
        self._task = self._loop.create_task(self._connect(self.address))

    def seconds_until_reconnect(self) -> float:
        """Return the seconds until a lost connection may be replaced."""
        return max(0.0, self.last_connect_at + MIN_RECONNECT_INTERVAL_SECONDS - self._loop.time())

    async def _connect(self, address: Address) -> None:
        connection = self._owner.new_connection(address)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                await self._loop.create_connection(lambda: connection, *address)
        except OSError as error:  # TimeoutError is a subclass
            self._on_failure(error)
            connection.abort()
        except Exception as error:
            log.exception("unexpected error while connecting to the counter; retrying with backoff")
            self._on_failure(error)
            connection.abort()
        except asyncio.CancelledError:
            connection.abort()  # ``cancel`` has already reset ``_task``
        else:
            self._on_success(connection)

    def _on_success(self, connection: CounterConnection) -> None:
        self._task = None
        self._failure_logged = False
        self.consecutive_failures = 0
        connection.mark_opened(self._loop.time())
        self._owner.on_connected(connection)

    def _on_failure(self, error: Exception) -> None:
        if not self._failure_logged:  # only the first of consecutive failures is logged
            log.warning("no connection to the counter: %r", error)
        self._failure_logged = True
        self._task = None
        self.consecutive_failures += 1
        delay = reconnect_delay(self.consecutive_failures, self._rng.random())
        self.next_connect_at = self._loop.time() + delay
