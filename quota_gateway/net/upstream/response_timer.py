"""Timer that limits the wait for the rest of a response."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from quota_gateway.net.upstream.exchange import Exchange

# Longest time between two parts of the body of a short response. A body that is shorter than its
# Content-Length then leaves time for a retry.
MAX_RESPONSE_GAP_SECONDS = 0.5
# A response that may be long is buffered for this long, which keeps a retry possible. It is then streamed,
# because it may take long to complete and its client needs the first bytes early.
STREAMING_DELAY_SECONDS = 0.2


class ResponseTimer:
    """Calls ``on_expired`` with the exchange whose response has stayed incomplete for too long."""

    __slots__ = ("_handle", "_on_expired")

    def __init__(self, on_expired: Callable[[Exchange], None]) -> None:
        """Create the timer of a connection; it is not running."""
        self._on_expired = on_expired
        self._handle: asyncio.TimerHandle | None = None

    def restart_gap(self, exchange: Exchange) -> None:
        """Wait ``MAX_RESPONSE_GAP_SECONDS`` from now for the next part of the response."""
        self.cancel()
        self._start(MAX_RESPONSE_GAP_SECONDS, exchange)

    def start_streaming_delay(self, exchange: Exchange) -> None:
        """Wait ``STREAMING_DELAY_SECONDS`` before a response that may be long is streamed.

        If the timer is running already, for this or another delay, it continues.
        """
        if self._handle is None:
            self._start(STREAMING_DELAY_SECONDS, exchange)

    def cancel(self) -> None:
        """Stop the timer if it is running."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def _start(self, delay: float, exchange: Exchange) -> None:
        self._handle = asyncio.get_running_loop().call_later(delay, self._expire, exchange)

    def _expire(self, exchange: Exchange) -> None:
        self._handle = None
        self._on_expired(exchange)
