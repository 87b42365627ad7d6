"""Counts of counter calls by status and of connection events, for a periodic log line."""

from __future__ import annotations

import logging
from collections import Counter

from quota_gateway.model import CallStatus

log = logging.getLogger(__name__)

MALFORMED_LINES = "malformed lines"
CONNECTIONS_CLOSED = "connections closed"
FAILOVERS = "failovers to standby"


class CounterStats:
    """Counts since the last log line; the keys are the words in that line."""

    __slots__ = ("_counts",)

    def __init__(self) -> None:
        """Start with no counts."""
        self._counts = Counter[str]()

    def record_call(self, status: CallStatus) -> None:
        """Count a completed call by its status."""
        self._counts[status.name.lower()] += 1

    def record_connection_closed(self) -> None:
        """Count a connection that was closed or lost."""
        self._counts[CONNECTIONS_CLOSED] += 1

    def record_failover(self) -> None:
        """Count a failover from an unresponsive connection to the standby."""
        self._counts[FAILOVERS] += 1

    def record_malformed_reply(self, line: bytes) -> None:
        """Count a malformed reply; log it if it is the first one since the last log line."""
        if not self._counts[MALFORMED_LINES]:
            log.warning("malformed reply from the counter, reconnecting: %.80r", line)
        self._counts[MALFORMED_LINES] += 1

    def log_and_reset(self) -> None:
        """Log the counts and reset them; log nothing if there are none."""
        if self._counts:
            shown = ", ".join(f"{event} {count}" for event, count in sorted(self._counts.items()))
            log.info("counter calls: %s", shown)
            self._counts.clear()
