"""The asyncio protocol of one client connection: opening, idle timeout, eviction and closing."""

from __future__ import annotations

import asyncio
import logging
from typing import Protocol, cast

from quota_gateway.net.client.eviction import NEW_SECONDS, EvictionPriority, EvictionRank
from quota_gateway.net.client.request_intake import RequestIntake
from quota_gateway.net.client.request_pipeline import RequestPipeline
from quota_gateway.net.client.shared_state import SharedState
from quota_gateway.net.client.stats import CAUSED_BY_LIMITER, CloseReason
from quota_gateway.net.client.transport import ClientTransport
from quota_gateway.net.common.body_stream import BODY_STALL_TIMEOUT_SECONDS
from quota_gateway.net.common.invariants import Invariant

log = logging.getLogger(__name__)

# An idle connection may be closed after 2 s, and a faulty client's connection must be closed within 3 s.
IDLE_TIMEOUT_SECONDS = 2.05


class ConnectionOwner(Protocol):
    """The listener that accepted a connection."""

    shared: SharedState
    intake: RequestIntake

    def on_connected(self, connection: ClientConnection) -> None:
        """Register an established connection."""

    def on_disconnected(self, connection: ClientConnection) -> None:
        """Unregister a connection whose transport is closed."""


class ClientConnection(asyncio.BufferedProtocol):
    """Passes input to the request pipeline, and closes the connection.

    Each close by the limiter calls ``_record_close``, the guard of the invariant that the limiter does not
    close a connection that has an unanswered request.
    """

    __slots__ = (
        "_close_reason",
        "_has_received_data",
        "_owner",
        "_shared",
        "pipeline",
        "transport",
    )

    def __init__(self, owner: ConnectionOwner) -> None:
        """Create the protocol of a connection that ``owner`` is accepting."""
        self._owner = owner
        self._shared = owner.shared
        self._close_reason = CloseReason.BY_CLIENT  # until the limiter closes the connection
        self._has_received_data = False  # whether the client has sent anything
        self.transport = ClientTransport()
        self.pipeline = RequestPipeline(self.transport, self, owner.intake, owner.shared)

    # Callbacks of the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register with the listener."""
        self.transport.on_connected(cast(asyncio.Transport, transport))  # uvloop's is not a subclass
        self._owner.on_connected(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Unregister from the listener, and end the requests that have no response yet."""
        self.transport.on_closed()
        self._shared.stats.record_end(self._close_reason)
        if self._has_received_data:
            self._shared.remove_active_connection()
        self._owner.on_disconnected(self)
        self.pipeline.disconnect()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read, whose size the memory budget limits."""
        return self._shared.read_buffer.writable()

    def buffer_updated(self, nbytes: int) -> None:
        """Pass received bytes on to the pipeline."""
        data = self._shared.read_buffer.take(nbytes)
        if not self._has_received_data:
            self._has_received_data = True
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

    @property
    def is_responding(self) -> bool:
        """Whether a response has begun or is due, and has not been delivered completely."""
        return bool(self.pipeline.queue) or self.transport.has_undelivered_output

    # Timeouts and eviction.

    def check_timeouts(self, now: float) -> None:
        """Close an idle connection, and send an error to a slow client: both use a descriptor and memory.

        A client that accepts no output is disconnected, also while its connection is closing.
        """
        if self.transport.seconds_without_progress(now) > BODY_STALL_TIMEOUT_SECONDS:
            log.warning("a client accepted no data of its response")
            self.abort(CloseReason.STALLED)
        if not self.transport.is_open:
            return
        if not self.pipeline.is_idle:
            self.pipeline.check_timeouts(now)
        elif self._shared.closes_idle_connections or self._idle_seconds(now) > IDLE_TIMEOUT_SECONDS:
            self._close_idle(CloseReason.IDLE)

    def _idle_seconds(self, now: float) -> float:
        return self._shared.stalls.without_stalls(now) - self.pipeline.queue.active_at

    def eviction_rank(self) -> EvictionRank | None:
        """Return the rank of the connection in the eviction order; None if it has an open request.

        Whether it ``is_evictable`` takes system calls, and is not checked here.
        """
        is_new = self._shared.client_clock() - self.pipeline.queue.active_at < NEW_SECONDS
        if self.transport.is_lingering:
            priority = EvictionPriority.LINGERING
        elif not self.transport.is_open or self.pipeline.queue:
            return None
        elif not self._has_received_data:
            priority = EvictionPriority.NEW_WITHOUT_DATA if is_new else EvictionPriority.NEVER_SENT_DATA
        elif self.pipeline.reader.in_request:
            priority = EvictionPriority.NEW_PARTIAL_REQUEST if is_new else EvictionPriority.PARTIAL_REQUEST
        else:
            priority = EvictionPriority.IDLE
        return EvictionRank(priority, self.pipeline.queue.active_at)

    @property
    def is_evictable(self) -> bool:
        """Whether nothing is owed on a connection that has a rank: no output, and no request that was sent.

        Once a connection is half-closed, its input is discarded.
        """
        return not self.transport.has_undelivered_output and not self.has_waiting_request

    @property
    def has_waiting_request(self) -> bool:
        """Whether a request that was sent has not been parsed."""
        return self.transport.is_open and self.pipeline.has_request_in_input()

    def evict(self) -> bool:
        """Close or reset the connection if nothing is owed on it; return whether that was done."""
        if not self.is_evictable:
            return False
        if self.transport.is_open and not self.pipeline.reader.in_request:
            return self._close_idle(CloseReason.EVICTED)
        self.abort(CloseReason.EVICTED)
        return True

    # Closing.

    def close_after_response(self) -> None:
        """Half-close after a response, and discard input for a limited time (lingering close)."""
        if not self.transport.is_open:
            return
        self._record_close(CloseReason.RESPONSE)
        self.pipeline.reader.stop()
        self.transport.half_close()
        self.pipeline.disconnect()

    def _close_idle(self, reason: CloseReason) -> bool:
        """Close an idle connection, unless something is owed on it; return whether it was closed."""
        if not self.transport.close_idle():
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
        if reason not in CAUSED_BY_LIMITER:
            return
        unanswered = self.pipeline.queue.unanswered_ids()
        if unanswered:
            description = f"{reason} with unanswered requests: {', '.join(unanswered)}"
            self._shared.metrics.invariants.report(Invariant.ANSWERED_BEFORE_CLOSE, description)
