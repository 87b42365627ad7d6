"""Detects stalls of this process: input that arrives during a stall is read only after it."""

from __future__ import annotations

# A longer interval between two recorded iterations is a stall. All timing margins are longer than this.
STALL_THRESHOLD_SECONDS = 0.15
# Interval of the timer that records iterations of the event loop even if no client sends anything.
HEARTBEAT_INTERVAL_SECONDS = 0.1
# For this long after the end of a stall, the input that is read may have arrived during the stall.
STALL_RECOVERY_SECONDS = 1.0
# The longest time that a connection may wait in the accept queue before the process starts.
MAX_ACCEPT_QUEUE_SECONDS = 60.0


class StallDetector:
    """Determines the earliest time at which the input that is being read may have arrived.

    ``record_iteration`` is called whenever the event loop runs. The start of the process counts as the end of
    a stall, because a listening socket that the platform keeps open may already have connections in its
    accept queue.
    """

    __slots__ = (
        "_created_at",
        "_has_stalled",
        "_last_iteration_at",
        "_previous_iteration_at",
        "_stall_began_at",
        "_stall_ended_at",
        "_stalled_seconds",
    )

    def __init__(self, now: float) -> None:
        """Treat ``now``, in seconds of the event loop's clock, as the end of a stall."""
        self._created_at = now
        self._has_stalled = False  # whether a stall was detected since the start of the process
        self._last_iteration_at = now
        self._previous_iteration_at = now
        self._stall_began_at = now - MAX_ACCEPT_QUEUE_SECONDS
        self._stall_ended_at = now
        self._stalled_seconds = 0.0  # of all stalls, beyond the threshold

    def record_iteration(self, now: float) -> None:
        """Record that the event loop runs at ``now``; all calls in one iteration pass the same time."""
        if now <= self._last_iteration_at:
            return
        if now - self._last_iteration_at > STALL_THRESHOLD_SECONDS:
            # Input that arrived during the previous stall may still be unread when another stall begins.
            if not self.is_after_stall(self._last_iteration_at):
                self._stall_began_at = self._last_iteration_at
            self._stall_ended_at = now
            self._stalled_seconds += now - self._last_iteration_at - STALL_THRESHOLD_SECONDS
            self._has_stalled = True
        self._previous_iteration_at = self._last_iteration_at
        self._last_iteration_at = now

    def has_stalled_since(self, at: float) -> bool:
        """Whether the process stood still at ``at`` or later."""
        return self._stall_ended_at > at

    def without_stalls(self, now: float) -> float:
        """Return ``now`` less the time in which the process stood still.

        Clients are timed by this clock: what they sent during a stall has not been read.
        """
        return now - self._stalled_seconds

    def input_arrived_after(self, now: float) -> float:
        """Return the earliest time at which input that is read at ``now`` may have arrived."""
        return self._stall_began_at if self.is_after_stall(now) else self._previous_iteration_at

    def signal_sent_after(self, now: float) -> float:
        """Return the earliest time at which a signal that is handled at ``now`` may have been sent.

        A signal that was sent during a stall is handled as soon as the process runs again.
        """
        if self._has_stalled and now - self._stall_ended_at < HEARTBEAT_INTERVAL_SECONDS:
            return max(self._created_at, self._stall_began_at)
        return now

    def is_after_stall(self, now: float) -> bool:
        """Whether input that is read at ``now`` may have arrived during a stall."""
        return now - self._stall_ended_at < STALL_RECOVERY_SECONDS
