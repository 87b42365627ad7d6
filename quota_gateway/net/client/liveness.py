"""Detects whether the client of a connection has disconnected, is half-closed or is still connected."""

from __future__ import annotations

import asyncio
import enum
from collections.abc import Callable
from typing import Protocol

from quota_gateway.net.common.socket_calls import PeerState

# The reset of a disconnected client arrives within one round trip and one delay of the event loop.
RESET_WAIT_SECONDS = 0.1
# An attempt may begin up to 0.1 s after the end of the client's input; the limiter uses half of that, which
# leaves the other half for delays of the event loop. A client that was seen connected within this time is not
# polled.
LIVENESS_GRACE_SECONDS = 0.05


class PollableTransport(Protocol):
    """The part of a client's transport that the liveness check uses."""

    @property
    def is_open(self) -> bool:
        """Whether neither the limiter nor the event loop has ended the connection."""

    @property
    def is_writable(self) -> bool:
        """Whether the connection is open and has not failed."""

    def poll_peer(self) -> PeerState:
        """Return the state of the client as the socket shows it."""

    def has_error(self) -> bool:
        """Whether a reset was received."""


class LivenessObserver(Protocol):
    """Receives the changes of one client's liveness."""

    def on_client_reset(self) -> None:
        """Abort the connection: its client has disconnected."""

    def on_confirmation_needed(self) -> None:
        """Send an interim response if one is allowed; a disconnected client responds with a reset."""

    def on_client_maybe_disconnected(self) -> None:
        """Withdraw the unsent attempts; the responses to those in flight may still reach the client."""

    def on_client_confirmed(self) -> None:
        """Resume an upload that was paused until the client was confirmed to be half-closed."""

    def has_queued_requests(self) -> bool:
        """Whether the client still waits for a response."""


class Confirmation(enum.Enum):
    """The progress of confirming that a client that ended its input is half-closed and not disconnected."""

    NOT_STARTED = enum.auto()
    RUNNING = enum.auto()  # an interim response was sent if one is allowed, and a reset may arrive
    CONFIRMED = enum.auto()  # no reset arrived in time


class ClientLiveness:
    """Tracks whether one client is connected, half-closed or disconnected.

    A client whose input has ended is either disconnected, or half-closed and waiting for its responses. An
    interim response distinguishes the two: the host of a disconnected client replies to it with a reset,
    which is checked for ``RESET_WAIT_SECONDS`` later.
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
        self, transport: PollableTransport, observer: LivenessObserver, clock: Callable[[], float]
    ) -> None:
        """Track the client of a new connection, which counts as seen now."""
        self._transport = transport
        self._observer = observer
        self._clock = clock
        self._confirmation = Confirmation.NOT_STARTED
        self._input_ended_at: float | None = None  # the earliest time at which the input may have ended
        self._last_seen_at = clock()  # the latest time at which the input is known not to have ended
        self.input_ended = False  # whether the event loop has read the end of the input

    def record_seen(self, at: float) -> None:
        """Record that the client's input had not ended at the time ``at``."""
        self._last_seen_at = at

    def is_possibly_disconnected(self) -> bool:
        """Whether the client has disconnected, or has ended its input and is not confirmed to be half-closed.

        Polls the socket unless the client was seen recently.
        """
        if not self._transport.is_open or self._was_seen_recently():
            return False
        self.poll()
        if not self._transport.is_open:
            return True
        return self._input_ended_at is not None and self._confirmation is not Confirmation.CONFIRMED

    def may_begin_attempt(self) -> bool:
        """Whether an attempt may begin for the client.

        Polls the socket unless the client was seen recently, because the event loop may not have read the end
        of the input yet. A client that ended its input at most ``LIVENESS_GRACE_SECONDS`` ago may be
        half-closed and is served. If it ended its input earlier, its unsent attempts are withdrawn; if it
        sent a reset, its connection is aborted.
        """
        if not self._transport.is_writable:
            return False
        if self._input_ended_at is None and self._was_seen_recently():
            return True
        self.poll()
        if not self._transport.is_open:
            return False
        ended_at = self._input_ended_at
        if ended_at is not None and self._clock() - ended_at > LIVENESS_GRACE_SECONDS:
            self._observer.on_client_maybe_disconnected()
            return False
        return True

    def _was_seen_recently(self) -> bool:
        return self._clock() - self._last_seen_at <= LIVENESS_GRACE_SECONDS

    def poll(self) -> None:
        """Poll the socket, which shows a disconnect even while the event loop does not read the input."""
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

        ``not_before`` is the earliest time at which the end of the input may have arrived.
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
