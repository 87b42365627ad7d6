"""Counts of how counter calls ended and what happened to the connections, for one log line."""

from __future__ import annotations

import logging
from collections import Counter

from quota_gateway.model import CallStatus

log = logging.getLogger(__name__)

MALFORMED_LINES = "malformed lines"
CONNECTIONS_CLOSED = "connections closed"
FAILOVERS = "failovers to standby"


class CounterStats:
    """Counts since the last log line, by the words in that line."""

    __slots__ = ("_counts",)

    def __init__(self) -> None:
        """Begin without counts."""
        self._counts = Counter[str]()

    def record_call(self, status: CallStatus) -> None:
        """Count a call by how it ended."""
        self._counts[status.name.lower()] += 1

    def record_connection_closed(self) -> None:
        """Count a connection that has ended."""
        self._counts[CONNECTIONS_CLOSED] += 1

    def record_failover(self) -> None:
        """Count a failover from an unresponsive connection to the standby."""
        self._counts[FAILOVERS] += 1

    def record_malformed_reply(self, line: bytes) -> None:
        """Count a malformed reply; log it if it is the first one since the last log line."""
        if not self._counts[MALFORMED_LINES]:
            log.warning("malformed reply of the counter, reconnecting: %.80r", line)
        self._counts[MALFORMED_LINES] += 1

    def log_and_reset(self) -> None:
        """Write the counts and begin again; write nothing if there are none."""
        if self._counts:
            shown = ", ".join(f"{event} {count}" for event, count in sorted(self._counts.items()))
            log.info("counter calls: %s", shown)
            self._counts.clear()
