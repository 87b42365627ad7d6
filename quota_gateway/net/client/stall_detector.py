"""When this process stood still: what waits in its sockets then came earlier than it is read."""

from __future__ import annotations

STALL = 0.15  # seconds without a mark above which the process has stood still; less is within all slacks
HEARTBEAT_INTERVAL = 0.1  # seconds between two marks while nothing else happens
AFTERMATH = 1.0  # seconds after a stall in which what is read may have waited for its end
LONGEST_WAIT = 60.0  # seconds that a connection may have waited in the accept queue before the start


class StallDetector:
    """Told whenever the event loop runs; knows since when what is read now may have waited.

    The start counts as the end of a stall: a listening socket that the platform holds has clients already.
    """

    __slots__ = ("_marked_at", "_previous_mark", "_stall_began", "_stall_ended")

    def __init__(self, now: float) -> None:
        """Begin at ``now``, in seconds of the event loop's clock."""
        self._marked_at = now
        self._previous_mark = now
        self._stall_began = now - LONGEST_WAIT
        self._stall_ended = now

    def mark(self, now: float) -> None:
        """The event loop runs; all marks of one turn have the same time."""
        if now <= self._marked_at:
            return
        if now - self._marked_at > STALL:
            # Not all that waited for the end of a stall is read when the next one begins.
            if not self.is_after_stall(self._marked_at):
                self._stall_began = self._marked_at
            self._stall_ended = now
        self._previous_mark = self._marked_at
        self._marked_at = now

    def unread_since(self, now: float) -> float:
        """The earliest time at which what is read at ``now`` may have come."""
        return self._stall_began if self.is_after_stall(now) else self._previous_mark

    def is_after_stall(self, now: float) -> bool:
        """Whether what is read at ``now`` may have waited for the end of a stall."""
        return now - self._stall_ended < AFTERMATH
