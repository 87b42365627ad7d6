"""Whether the client of a connection is still there: ends of input, half-closed clients and resets."""

from __future__ import annotations

import asyncio
import enum
from collections.abc import Callable
from typing import Protocol

from quota_gateway.net.common.socket_calls import PeerState

RESET_WAIT_SECONDS = 0.1  # a disconnected client's reset arrives within a round trip and an event loop delay
# An attempt may begin until 0.1 s after the end of the client's input; the rest is left to a slow event loop.
# A client that was seen within this time is not polled either.
PRESENCE_GRACE_SECONDS = 0.05


class WatchedTransport(Protocol):
    """The transport of the client that is watched."""

    @property
    def is_open(self) -> bool:
        """Whether the connection has not been ended."""

    @property
    def is_writable(self) -> bool:
        """Whether the connection has neither been ended nor failed."""

    def poll_peer(self) -> PeerState:
        """Return what the socket shows of the client."""

    def has_error(self) -> bool:
        """Whether a reset was received."""


class LivenessObserver(Protocol):
    """Receives the findings on its client."""

    def on_client_reset(self) -> None:
        """Abort the connection: its client has disconnected."""

    def on_confirmation_needed(self) -> None:
        """Send an interim response if one is allowed; a disconnected client responds with a reset."""

    def on_client_maybe_disconnected(self) -> None:
        """Withdraw the attempts that have not been sent; those in flight may still answer the client."""

    def on_client_confirmed(self) -> None:
        """Resume an upload that was deferred until the client proved to be half-closed."""

    def has_queued_requests(self) -> bool:
        """Whether the client still waits for a response."""


class Confirmation(enum.Enum):
    """Whether a client that ended its input has proved to be half-closed."""

    NOT_STARTED = enum.auto()
    RUNNING = enum.auto()  # the interim response was sent, and a reset may follow
    CONFIRMED = enum.auto()  # no reset followed


class ClientLiveness:
    """The knowledge about the presence of one client.

    A client that ends its input has disconnected, or is half-closed and waits for its responses. To
    distinguish these, an interim response is sent: a disconnected client responds to it with a reset, which
    the socket shows ``RESET_WAIT_SECONDS`` later.
    """

    __slots__ = (
        "_clock",
        "_confirmation",
        "_input_ended_at",
        "_last_seen_at",
        "_observer",
        "_transport",
        "input_ended",
    )

    def __init__(
        self, transport: WatchedTransport, observer: LivenessObserver, clock: Callable[[], float]
    ) -> None:
        """Watch the client of a new connection, which counts as seen now."""
        self._transport = transport
        self._observer = observer
        self._clock = clock
        self._confirmation = Confirmation.NOT_STARTED
        self._input_ended_at: float | None = None  # the earliest possible time
        self._last_seen_at = clock()  # when the input had not ended
        self.input_ended = False  # the event loop has read the end of the input

    def record_seen(self, at: float) -> None:
        """Record that the input had not ended at a time of the clock."""
        self._last_seen_at = at

    def is_possibly_disconnected(self) -> bool:
        """Whether the client is known to have disconnected, or may have and is not confirmed half-closed.

        A client that was not seen recently is polled.
        """
        if not self._transport.is_open or self._was_seen_recently():
            return False
        self.poll()
        if not self._transport.is_open:
            return True
        return self._input_ended_at is not None and self._confirmation is not Confirmation.CONFIRMED

    def is_connected(self) -> bool:
        """Whether an attempt may begin for the client.

        The socket is polled, because the event loop may not have read the end of the input yet. A client that
        ended its input within ``PRESENCE_GRACE_SECONDS`` may be half-closed and is served. If it ended its
        input earlier, its unsent attempts are withdrawn; if it sent a reset, its connection is aborted.
        """
        if not self._transport.is_writable:
            return False
        if self._input_ended_at is None and self._was_seen_recently():
            return True
        self.poll()
        if not self._transport.is_open:
            return False
        ended_at = self._input_ended_at
        if ended_at is not None and self._clock() - ended_at > PRESENCE_GRACE_SECONDS:
            self._observer.on_client_maybe_disconnected()
            return False
        return True

    def _was_seen_recently(self) -> bool:
        return self._clock() - self._last_seen_at <= PRESENCE_GRACE_SECONDS

    def poll(self) -> None:
        """Examine the socket: while input is not read, nothing else shows that the client disconnected."""
        now = self._clock()
        state = self._transport.poll_peer()
        if state is PeerState.CONNECTED:
            self._last_seen_at = now
        elif state is PeerState.RESET:
            self._observer.on_client_reset()
        else:
            if self._input_ended_at is None:
                self._input_ended_at = self._last_seen_at
            self._start_confirmation()

    def on_input_ended(self, not_before: float) -> None:
        """Record that the event loop has read the end of the input while responses are pending.

        ``not_before`` is the earliest time at which it may have arrived.
        """
        self.input_ended = True
        if self._input_ended_at is None:
            self._input_ended_at = max(not_before, self._last_seen_at)
        self._start_confirmation()

    def _start_confirmation(self) -> None:
        if self._confirmation is not Confirmation.NOT_STARTED:
            return
        self._confirmation = Confirmation.RUNNING
        self._observer.on_confirmation_needed()
        asyncio.get_running_loop().call_later(RESET_WAIT_SECONDS, self._finish_confirmation)

    def _finish_confirmation(self) -> None:
        if not self._transport.is_writable or not self._observer.has_queued_requests():
            return
        if self._transport.has_error():
            self._observer.on_client_reset()
            return
        self._confirmation = Confirmation.CONFIRMED
        self._observer.on_client_maybe_disconnected()
        self._observer.on_client_confirmed()
