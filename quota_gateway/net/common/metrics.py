"""The metrics of this process, whose counters start at 0, and their text format for operators."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from quota_gateway.net.common.invariants import InvariantMonitor

STATUS_OK = 200
REJECTION_STATUSES = (429, 503)


@dataclass(slots=True)
class _RequestCounts:
    """Requests of one class by outcome; the field names are those of the wire format."""

    passed: int = 0
    dropped: int = 0  # rejected
    bad_gateway: int = 0  # failed, or answered with a truncated response


class Metrics:
    """Counts requests by class and outcome, attempts, reloads, and violations of invariants."""

    def __init__(self, classes: Iterable[str] = ()) -> None:
        """Create metrics that include the request classes of these names."""
        self._requests_by_class = dict[str, _RequestCounts]()
        self.streaming_responses = 0  # accepted requests whose response body is being streamed
        self._upstream_attempts = 0
        self._reloads = 0
        self._reload_errors = 0
        self.invariants = InvariantMonitor()
        self.register_classes(classes)

    def register_classes(self, classes: Iterable[str]) -> None:
        """Include these request classes from now on; the counts of all other classes are retained."""
        for request_class in classes:
            if request_class not in self._requests_by_class:
                self._requests_by_class[request_class] = _RequestCounts()

    def record_request(self, request_class: str, status: int) -> None:
        """Count a request by the HTTP status of its response.

        Status 200 counts as passed, 429 and 503 as dropped, and any other number as failed. Requests of
        unregistered classes are not counted.
        """
        counts = self._requests_by_class.get(request_class)
        if counts is None:
            return
        if status == STATUS_OK:
            counts.passed += 1
        elif status in REJECTION_STATUSES:
            counts.dropped += 1
        else:
            counts.bad_gateway += 1

    def record_attempt(self) -> None:
        """Count an attempt whose request has been written completely."""
        self._upstream_attempts += 1

    def record_streaming_started(self) -> None:
        """Count a response whose body is streamed from now on."""
        self.streaming_responses += 1

    def record_streaming_ended(self) -> None:
        """Record the end of a streamed response."""
        self.streaming_responses -= 1

    def record_reload(self, *, succeeded: bool) -> None:
        """Count a configuration reload by whether it was applied or rejected."""
        if succeeded:
            self._reloads += 1
        else:
            self._reload_errors += 1

    def render(self, *, open_requests: int, known_endpoints: int, avoided_endpoints: int) -> str:
        """Return the reply to METRICS without its last line, with the names of the wire format.

        ``open_requests`` is the number of requests that have been received completely and have no final
        response yet.
        """
        lines = list[str]()
        for request_class, counts in self._requests_by_class.items():
            prefix = f"app.handled.{request_class}"
            lines.append(f"{prefix}.passed={counts.passed}")
            lines.append(f"{prefix}.dropped={counts.dropped}")
            lines.append(f"{prefix}.bad_gateway={counts.bad_gateway}")
        lines.append(f"app.upstream_tries={self._upstream_attempts}")
        lines.append(f"app.in_progress={open_requests + self.streaming_responses}")
        lines.append(f"app.known_servers={known_endpoints}")
        lines.append(f"app.skipped_servers={avoided_endpoints}")
        lines.append(f"app.loads={self._reloads}")
        lines.append(f"app.load_errors={self._reload_errors}")
        for invariant, count in self.invariants.counts.items():
            lines.append(f"app.violations.{invariant}={count}")
        return "\n".join(lines) + "\n"
