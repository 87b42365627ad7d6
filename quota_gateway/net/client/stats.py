"""Counts accepted client connections, failed accepts and the reasons of closes, for one log line."""

from __future__ import annotations

import logging
from collections import Counter
from enum import StrEnum

log = logging.getLogger(__name__)


class CloseReason(StrEnum):
    """Why a client connection ended; the values appear in the log line."""

    BY_CLIENT = "ended by the client"
    RESPONSE = "closed with a response"
    IDLE = "closed idle"
    EVICTED = "evicted for a new one"
    OUT_OF_CONNECTIONS = "aborted: all connections are busy"
    CLIENT_DISCONNECTED = "aborted: the client has disconnected"
    STALLED = "aborted: the client accepts no data"
    TRUNCATED = "aborted: its response was truncated"
    TOO_MUCH_INPUT = "aborted: too much input behind an error"


# Closes that neither the client nor the endpoint has caused. Each request that was read must be answered
# before such a close.
CAUSED_BY_LIMITER = frozenset(
    (
        CloseReason.RESPONSE,
        CloseReason.IDLE,
        CloseReason.EVICTED,
        CloseReason.OUT_OF_CONNECTIONS,
        CloseReason.TOO_MUCH_INPUT,
    )
)


class ClientStats:
    """Counts of connections since the last log line."""

    __slots__ = ("accept_errors", "accepted", "ended", "out_of_memory")

    def __init__(self) -> None:
        """Start with all counts at zero."""
        self.accepted = 0
        self.accept_errors = Counter[str]()  # by the symbolic name of the error
        self.ended = Counter[CloseReason]()
        self.out_of_memory = 0

    def record_accepted(self) -> None:
        """Count an accepted connection."""
        self.accepted += 1

    def record_accept_error(self, error_name: str) -> None:
        """Count a failed call of accept."""
        self.accept_errors[error_name] += 1

    def record_out_of_memory(self) -> None:
        """Count a request that was rejected because the memory for peers is used up."""
        self.out_of_memory += 1

    def record_end(self, reason: CloseReason) -> None:
        """Count the end of a connection."""
        self.ended[reason] += 1

    def log_counts(self, open_connections: int) -> None:
        """Log the counts that are not zero, if any, and reset all counts to zero."""
        counts = [f"{reason} {count}" for reason, count in sorted(self.ended.items())]
        counts += [f"accept failed ({error}) {count}" for error, count in sorted(self.accept_errors.items())]
        if self.out_of_memory:
            counts.append(f"rejected for lack of memory {self.out_of_memory}")
        if counts or self.accepted:
            summary = ", ".join([f"accepted {self.accepted}", *counts])
            log.info("client connections: %s; open %d", summary, open_connections)
        self.accepted = 0
        self.accept_errors.clear()
        self.out_of_memory = 0
        self.ended.clear()
