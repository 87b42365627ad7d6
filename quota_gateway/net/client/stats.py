"""Counts of how clients' connections ended, and who ended them, for one log line."""

from __future__ import annotations

import logging
from collections import Counter
from enum import StrEnum

log = logging.getLogger(__name__)


class CloseReason(StrEnum):
    """Why a client's connection ended; the values are the words of the log line."""

    BY_CLIENT = "ended by the client"
    RESPONSE = "closed with a response"
    IDLE = "closed idle"
    EVICTED = "evicted for a new one"
    OUT_OF_CONNECTIONS = "aborted: all connections are busy"
    CLIENT_GONE = "aborted: the client has gone"
    STALLED = "aborted: the client takes nothing"
    TRUNCATED = "aborted: its response broke off"
    TOO_MUCH_INPUT = "aborted: too much input behind an error"


# Endings that nothing at the client or the endpoint asks for: none may leave a request unanswered.
VOLUNTARY = frozenset(
    (
        CloseReason.RESPONSE,
        CloseReason.IDLE,
        CloseReason.EVICTED,
        CloseReason.OUT_OF_CONNECTIONS,
        CloseReason.TOO_MUCH_INPUT,
    )
)


class ClientStats:
    """Counts since the last log line."""

    __slots__ = ("accept_errors", "accepted", "ended")

    def __init__(self) -> None:
        """Begin with nothing counted."""
        self.accepted = 0
        self.accept_errors = Counter[str]()  # by error
        self.ended = Counter[CloseReason]()

    def log_counts(self, open_connections: int) -> None:
        """Write the counts that are not zero and begin anew; nothing if there are none."""
        counts = [f"{reason} {count}" for reason, count in sorted(self.ended.items())]
        counts += [f"accept failed ({error}) {count}" for error, count in sorted(self.accept_errors.items())]
        if counts or self.accepted:
            shown = ", ".join([f"accepted {self.accepted}", *counts])
            log.info("client connections: %s; open %d", shown, open_connections)
        self.accepted = 0
        self.accept_errors.clear()
        self.ended.clear()
