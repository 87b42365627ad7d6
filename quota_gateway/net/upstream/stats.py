"""Counts of what became of the connections to endpoints, for one log line."""

from __future__ import annotations

import logging
from dataclasses import asdict, dataclass

log = logging.getLogger(__name__)


@dataclass(slots=True)
class ConnectionStats:
    """Counts since the last log line."""

    opened: int = 0
    reused: int = 0
    broken_on_first_request: int = 0
    broken_on_reuse: int = 0
    closed_while_idle: int = 0  # of those broken on reuse: they broke as soon as they were written to
    idle_too_long: int = 0  # closed here instead of being reused
    malformed_responses: int = 0

    def record_broken(self, reused: bool) -> None:
        """A connection broke under an exchange."""
        if reused:
            self.broken_on_reuse += 1
        else:
            self.broken_on_first_request += 1

    def record_malformed_response(self, endpoint: str, error: Exception) -> None:
        """Log the first malformed response; the others are counted until the next log line."""
        if self.malformed_responses == 0:
            log.warning("malformed response from %s: %s", endpoint, error)
        self.malformed_responses += 1

    def log_counts(self, open_connections: int) -> None:
        """Write the counts that are not zero, by name; nothing if there are none."""
        counts = sorted(asdict(self).items())
        shown = [f"{name.replace('_', ' ')} {count}" for name, count in counts if count]
        if shown:
            log.info("connections: %s; open %d", ", ".join(shown), open_connections)
