"""Counts of connections to endpoints and of the results of attempts, each logged in one line."""

from __future__ import annotations

import logging
from collections import Counter
from dataclasses import asdict, dataclass, fields

from quota_gateway.model import CallStatus

log = logging.getLogger(__name__)


@dataclass(slots=True)
class ConnectionStats:
    """Counts since the last log line, which shows them under the names of the fields."""

    opened: int = 0
    reused: int = 0
    broken_on_first_request: int = 0
    broken_on_reuse: int = 0
    closed_while_idle: int = 0  # part of broken_on_reuse: broke as soon as a request was written
    idle_too_long: int = 0  # closed instead of being reused: idle for too long, or with unread input
    malformed_responses: int = 0

    def record_opened(self) -> None:
        """Count a connection that is being opened."""
        self.opened += 1

    def record_reused(self) -> None:
        """Count an idle connection that carries another exchange."""
        self.reused += 1

    def record_broken(self, *, reused: bool) -> None:
        """Count a connection that broke while it carried an exchange."""
        if reused:
            self.broken_on_reuse += 1
        else:
            self.broken_on_first_request += 1

    def record_closed_while_idle(self) -> None:
        """Count a reused connection that had been closed silently while it was idle."""
        self.closed_while_idle += 1

    def record_idle_too_long(self) -> None:
        """Count an idle connection that is closed instead of being reused."""
        self.idle_too_long += 1

    def record_malformed_response(self, endpoint: str, error: Exception) -> None:
        """Count a malformed response; log it if it is the first one since the last log line."""
        if self.malformed_responses == 0:
            log.warning("malformed response from %s: %s", endpoint, error)
        self.malformed_responses += 1

    def log_and_reset(self, open_connections: int) -> None:
        """Log the counts that are not zero, if any, and reset all of them."""
        counts = sorted(asdict(self).items())
        shown = [f"{name.replace('_', ' ')} {count}" for name, count in counts if count]
        if shown:
            log.info("connections: %s; open %d", ", ".join(shown), open_connections)
        for count_field in fields(self):
            setattr(self, count_field.name, 0)


class AttemptStats:
    """Counts of attempts and health checks by how they ended, since the last log line."""

    __slots__ = ("_counts",)

    def __init__(self) -> None:
        """Begin with no attempts."""
        self._counts = Counter[CallStatus]()

    def record(self, status: CallStatus) -> None:
        """Count an attempt or health check that ended with ``status``."""
        self._counts[status] += 1

    def log_and_reset(self) -> None:
        """Log the counts by status, if any, and reset them."""
        if self._counts:
            shown = [f"{status.value} {count}" for status, count in self._counts.items()]
            log.info("attempts and health checks: %s", ", ".join(sorted(shown)))
        self._counts.clear()
