"""Detects when this process was stalled: input in its sockets then arrived earlier than it is read."""

from __future__ import annotations

STALL_THRESHOLD_SECONDS = 0.15  # a longer time without a mark is a stall; all timing margins are longer
HEARTBEAT_INTERVAL_SECONDS = 0.1  # between two marks while nothing else happens
AFTERMATH_SECONDS = 1.0  # after a stall, in which the input that is read may have arrived during it
MAX_ACCEPT_QUEUE_SECONDS = 60.0  # the longest time for which a connection may wait until the process starts


class StallDetector:
    """Determines since when the input that is being read may have been waiting.

    It is marked whenever the event loop runs. The start of the process counts as the end of a stall, because
    a listening socket that the platform keeps open may have connections already.
    """

    __slots__ = (
        "_created_at",
        "_has_stalled",
        "_marked_at",
        "_previous_mark",
        "_stall_began",
        "_stall_ended",
    )

    def __init__(self, now: float) -> None:
        """Begin at ``now``, in seconds of the event loop's clock."""
        self._created_at = now
        self._has_stalled = False  # the start of the process apart
        self._marked_at = now
        self._previous_mark = now
        self._stall_began = now - MAX_ACCEPT_QUEUE_SECONDS
        self._stall_ended = now

    def mark(self, now: float) -> None:
        """Record that the event loop runs; all marks of one iteration have the same time."""
        if now <= self._marked_at:
            return
        if now - self._marked_at > STALL_THRESHOLD_SECONDS:
            # Input that arrived during the previous stall may still be unread when another stall begins.
            if not self.is_after_stall(self._marked_at):
                self._stall_began = self._marked_at
            self._stall_ended = now
            self._has_stalled = True
        self._previous_mark = self._marked_at
        self._marked_at = now

    def unread_since(self, now: float) -> float:
        """Return the earliest time at which input that is read at ``now`` may have arrived."""
        return self._stall_began if self.is_after_stall(now) else self._previous_mark

    def signal_sent_after(self, now: float) -> float:
        """Return the earliest time at which a signal that is handled at ``now`` may have been sent.

        One that was sent during a stall is handled as soon as the process runs again.
        """
        if self._has_stalled and now - self._stall_ended < HEARTBEAT_INTERVAL_SECONDS:
            return max(self._created_at, self._stall_began)
        return now

    def is_after_stall(self, now: float) -> bool:
        """Whether input that is read at ``now`` may have arrived during a stall."""
        return now - self._stall_ended < AFTERMATH_SECONDS
