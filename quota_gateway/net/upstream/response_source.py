"""Flow control of a streamed response."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from quota_gateway.net.common.body_stream import BODY_STALL_TIMEOUT_SECONDS
from quota_gateway.net.common.socket_calls import has_unread_input
from quota_gateway.net.upstream.exchange import Clock


class SourceConnection(Protocol):
    """The connection that a streamed response is read from."""

    transport: asyncio.Transport | None


class ResponseSource:
    """The source of the streamed responses on one connection (``body_stream.BodySource``).

    Reading is paused while the client does not accept the bytes that have been read.
    """

    __slots__ = ("_clock", "_connection", "_last_progress", "_on_abandoned", "is_paused")

    def __init__(self, connection: SourceConnection, clock: Clock, on_abandoned: Callable[[], None]) -> None:
        """Create the source of a connection; ``clock`` returns seconds.

        ``on_abandoned`` is called when the client no longer reads a response.
        """
        self._connection = connection
        self._clock = clock
        self._on_abandoned = on_abandoned
        self._last_progress = 0.0  # when a streamed response last advanced, in seconds of the clock
        self.is_paused = False

    def record_progress(self) -> None:
        """Record that a part of the response has been received."""
        self._last_progress = self._clock()

    def is_stalled(self, now: float) -> bool:
        """Whether the endpoint has sent nothing of the response for ``BODY_STALL_TIMEOUT_SECONDS``."""
        if self.is_paused or now - self._last_progress <= BODY_STALL_TIMEOUT_SECONDS:
            return False
        transport = self._connection.transport
        # After a stall of this process, a part of the response may be unread.
        return transport is None or not has_unread_input(transport)

    def set_paused(self, *, paused: bool) -> None:
        """Pause or resume reading."""
        transport = self._connection.transport
        if transport is None or transport.is_closing() or paused is self.is_paused:
            return
        self.is_paused = paused
        self.record_progress()
        if paused:
            transport.pause_reading()
        else:
            transport.resume_reading()

    def defer_reading(self) -> None:
        """Read no more in this iteration of the event loop."""
        transport = self._connection.transport
        if transport is None or transport.is_closing() or self.is_paused:
            return
        transport.pause_reading()
        asyncio.get_running_loop().call_soon(self._resume_deferred)

    def _resume_deferred(self) -> None:
        transport = self._connection.transport
        if transport is not None and not transport.is_closing() and not self.is_paused:
            transport.resume_reading()

    def abandon(self) -> None:
        """Drop the rest of the response, which the client no longer reads."""
        self._on_abandoned()
