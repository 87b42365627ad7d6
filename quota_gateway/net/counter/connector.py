"""Opening connections to the shared counter, with back-off after failures."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from random import Random

from quota_gateway.net.common.backoff import reconnect_delay
from quota_gateway.net.counter.connection import Address, ConnectionOwner, CounterConnection

log = logging.getLogger(__name__)

CONNECT_TIMEOUT = 0.25  # seconds
MIN_RECONNECT_INTERVAL = 0.05  # seconds between attempts, so that a peer that only closes is no busy loop


class CounterConnector:
    """Opens connections to the newest address, one at a time.

    Opened connections go to ``on_connected``; they report to ``owner``.
    """

    def __init__(
        self,
        address: Address,
        owner: ConnectionOwner,
        on_connected: Callable[[CounterConnection], None],
        rng: Random,
    ) -> None:
        """Prepare connections to ``address``; ``rng`` draws the jitter of delays."""
        self.address = address
        self.consecutive_failures = 0
        self.last_attempt_at = 0.0  # seconds of the event loop's clock
        self.next_attempt_at = 0.0
        self._owner = owner
        self._on_connected = on_connected
        self._rng = rng
        self._loop = asyncio.get_running_loop()
        self._task: asyncio.Task[None] | None = None
        self._failure_logged = False

    def set_address(self, address: Address) -> None:
        """Give up the attempt under way and connect to another address from now on, without delay."""
        self.address = address
        self.consecutive_failures = 0
        self.next_attempt_at = 0.0
        self.cancel()

    def cancel(self) -> None:
        """Give up the attempt under way."""
        if self._task is not None:
            self._task.cancel()
            self._task = None

    def connect(self) -> None:
        """Open a connection, unless an attempt is under way or the back-off has not passed."""
        if self._task is not None or self._loop.time() < self.next_attempt_at:
            return
        self.last_attempt_at = self._loop.time()
        self._task = self._loop.create_task(self._connect(self.address))

    def remaining_interval(self) -> float:
        """Return the seconds until a lost connection may be replaced."""
        return max(0.0, self.last_attempt_at + MIN_RECONNECT_INTERVAL - self._loop.time())

    async def _connect(self, address: Address) -> None:
        connection = CounterConnection(self._owner, address)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                await self._loop.create_connection(lambda: connection, *address)
        except (OSError, TimeoutError) as error:
            self._on_failure(error)
            connection.abort()
        except Exception as error:
            log.exception("connecting to the counter failed unexpectedly")
            self._on_failure(error)
            connection.abort()
        except asyncio.CancelledError:
            connection.abort()  # whoever cancelled the task has dropped it already
        else:
            self._task = None
            self._failure_logged = False
            self.consecutive_failures = 0
            connection.last_used_at = self._loop.time()
            self._on_connected(connection)

    def _on_failure(self, error: Exception) -> None:
        if not self._failure_logged:  # one line for consecutive failures
            log.warning("no connection to the counter: %r", error)
        self._failure_logged = True
        self._task = None
        self.consecutive_failures += 1
        delay = reconnect_delay(self.consecutive_failures, self._rng.random())
        self.next_attempt_at = self._loop.time() + delay
