"""Harness for tests of the connection pool and its parts: a pool with one endpoint."""

from __future__ import annotations

import asyncio
from typing import NamedTuple, Self

from quota_gateway.net.common.late_input import LateInput
from quota_gateway.net.common.unix_clock import unix_clock
from quota_gateway.net.upstream.exchange import Exchange
from quota_gateway.net.upstream.pool import ConnectionPool

ENDPOINT = "s1"
REQUEST_HEAD = b"GET /lookup HTTP/1.1\r\nHost: x\r\n"


def empty_response(status: str, extra_headers: str = "") -> bytes:
    """Return a response without a body."""
    return f"HTTP/1.1 {status}\r\nContent-Length: 0\r\n{extra_headers}\r\n".encode()


class StartedExchange(NamedTuple):
    """An exchange, and a future that resolves to it when it completes."""

    exchange: Exchange
    completed: asyncio.Future[Exchange]


class PoolHarness:
    """A pool with the endpoint ``ENDPOINT``, closed at the end of ``async with``."""

    def __init__(
        self,
        address: str,
        idle_timeout: float = 30.0,
        max_connections: int = 200,
        connect_timeout: float = 5.0,
        late_input: LateInput | None = None,
    ) -> None:
        self._running_clock = unix_clock()
        self._stopped_at: float | None = None
        self.pool = ConnectionPool(
            self.clock, connect_timeout, idle_timeout, max_connections, late_input=late_input
        )
        self.pool.update_endpoint(ENDPOINT, address, available=True)

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(self, *_: object) -> None:
        self.pool.close()

    def clock(self) -> float:
        """Return the time of the pool's clock, in seconds."""
        return self._running_clock() if self._stopped_at is None else self._stopped_at

    def set_clock(self, now: float) -> None:
        """Set the pool's clock to ``now`` and stop it."""
        self._stopped_at = now

    def start(self, timeout: float = 10.0, endpoint: str = ENDPOINT, body: bytes = b"") -> StartedExchange:
        """Start an exchange without waiting for its completion."""
        future: asyncio.Future[Exchange] = asyncio.get_running_loop().create_future()
        head = REQUEST_HEAD
        if body:
            head += b"Content-Length: %d\r\n" % len(body)
        exchange = Exchange(endpoint, head, body, self.clock() + timeout, future.set_result)
        self.pool.start(exchange)
        return StartedExchange(exchange, future)

    async def fetch(self, timeout: float = 10.0, endpoint: str = ENDPOINT) -> Exchange:
        """Start an exchange and return it once it is complete."""
        return await self.start(timeout, endpoint).completed
