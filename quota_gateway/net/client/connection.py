"""The event loop's protocol of one client connection: opening, idle timeout, eviction and closing."""

from __future__ import annotations

import asyncio
from typing import Protocol, cast

from quota_gateway.net.client.eviction import EvictionOrder, EvictionPriority
from quota_gateway.net.client.request_intake import RequestIntake
from quota_gateway.net.client.request_pipeline import RequestPipeline
from quota_gateway.net.client.shared_state import SharedState
from quota_gateway.net.client.stats import VOLUNTARY, CloseReason
from quota_gateway.net.client.transport import ClientTransport
from quota_gateway.net.common.invariants import Invariant

IDLE_TIMEOUT_SECONDS = 2.05  # an idle connection may be closed after 2 s; a faulty client's must be by 3 s


class ConnectionOwner(Protocol):
    """The listener of a connection."""

    shared: SharedState
    intake: RequestIntake

    def on_connected(self, connection: ClientConnection) -> None:
        """Register an established connection."""

    def on_disconnected(self, connection: ClientConnection) -> None:
        """Unregister a connection whose transport is closed."""


class ClientConnection(asyncio.Protocol):
    """Closes its connection in the ways that the pipeline, the listener and the client require.

    Every close by the limiter records its reason in ``_record_close``, which guards the invariant that no
    unanswered request is closed on.
    """

    __slots__ = (
        "_close_reason",
        "_has_sent_data",
        "_owner",
        "_shared",
        "pipeline",
        "transport",
    )

    def __init__(self, owner: ConnectionOwner) -> None:
        """Create the protocol of a connection that ``owner`` accepts."""
        self._owner = owner
        self._shared = owner.shared
        self._close_reason = CloseReason.BY_CLIENT  # until the limiter closes the connection
        self._has_sent_data = False
        self.transport = ClientTransport()
        self.pipeline = RequestPipeline(self.transport, self, owner.intake, owner.shared)

    # Callbacks of the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register with the listener."""
        self.transport.on_connected(cast(asyncio.Transport, transport))  # uvloop's is not a subclass
        self._owner.on_connected(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Unregister, and end the requests without a response."""
        self.transport.on_closed()
        self._shared.stats.record_end(self._close_reason)
        if self._has_sent_data:
            self._shared.remove_active_connection()
        self._owner.on_disconnected(self)
        self.pipeline.disconnect()

    def data_received(self, data: bytes) -> None:
        """Pass received bytes on to the pipeline."""
        if not self._has_sent_data:
            self._has_sent_data = True
            self._shared.add_active_connection()
        self.pipeline.receive(data)

    def eof_received(self) -> bool:
        """Return whether the connection stays open because its client may be half-closed."""
        return self.transport.is_open and self.pipeline.end_input()

    def pause_writing(self) -> None:
        """Stop producing output: the write buffer is full."""
        self.pipeline.set_write_blocked(blocked=True)

    def resume_writing(self) -> None:
        """Produce output again: the write buffer has drained."""
        self.pipeline.set_write_blocked(blocked=False)

    # Timeouts and eviction.

    def check_timeouts(self, now: float) -> None:
        """Close an idle connection and respond to a slow client: both hold a descriptor and memory."""
        if not self.transport.is_open:
            return
        if not self.pipeline.is_idle:
            self.pipeline.check_timeouts(now)
        elif (
            now - self.pipeline.queue.active_at > IDLE_TIMEOUT_SECONDS or self._shared.closes_idle_connections
        ):
            self._close_idle(CloseReason.IDLE)

    def eviction_order(self) -> EvictionOrder | None:
        """Return the place in the order of eviction; None if the connection must not be evicted."""
        if self.transport.is_lingering:
            priority = EvictionPriority.LINGERING
        elif not self.transport.is_open or self.pipeline.queue:
            return None
        elif not self._has_sent_data:
            priority = EvictionPriority.NEVER_SENT_DATA
        elif self.pipeline.reader.in_request:
            priority = EvictionPriority.PARTIAL_REQUEST
        else:
            priority = EvictionPriority.IDLE
        return EvictionOrder(priority, self.pipeline.queue.active_at)

    def evict(self) -> bool:
        """Close or reset unless a request, or the rest of one, is unread; return whether that was done."""
        if self.transport.is_open and not self.pipeline.reader.in_request:
            return self._close_idle(CloseReason.EVICTED)
        if self.transport.is_open and self.transport.has_unread_input:
            return False
        self.abort(CloseReason.EVICTED)
        return True

    # Closing.

    def close_after_response(self) -> None:
        """Half-close behind a response, and discard input for a while (lingering close)."""
        if not self.transport.is_open:
            return
        self._record_close(CloseReason.RESPONSE)
        self.pipeline.reader.stop()
        self.transport.half_close()
        self.pipeline.disconnect()

    def _close_idle(self, reason: CloseReason) -> bool:
        """Close between two requests, unless input is unread; return whether the connection was closed."""
        if not self.transport.close_without_input():
            return False
        self._record_close(reason)
        self.pipeline.reader.stop()
        return True

    def abort(self, reason: CloseReason) -> None:
        """Reset the connection at once."""
        self._record_close(reason)
        self.pipeline.disconnect()
        self.transport.abort()

    def _record_close(self, reason: CloseReason) -> None:
        if self._close_reason is CloseReason.BY_CLIENT:
            self._close_reason = reason
        if reason not in VOLUNTARY:
            return
        unanswered = self.pipeline.queue.unanswered_ids()
        if unanswered:
            story = f"{reason} with unanswered requests: {', '.join(unanswered)}"
            self._shared.metrics.invariants.report(Invariant.ANSWERED_BEFORE_CLOSE, story)
