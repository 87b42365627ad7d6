"""Counters of this process, which start at 0, and the text in which operators read them."""

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
    """Requests by class and outcome, attempts, reloads, and violations of invariants."""

    def __init__(self, classes: Iterable[str] = ()) -> None:
        """Show the request classes of these names from the start."""
        self._requests_by_class = dict[str, _RequestCounts]()
        self.upstream_attempts = 0
        self._reloads = 0
        self._reload_errors = 0
        self.in_progress = 0  # accepted requests without a complete response
        self.invariants = InvariantMonitor()
        self.streaming_responses = 0  # of those in progress
        self.register_classes(classes)

    def register_classes(self, classes: Iterable[str]) -> None:
        """Show these request classes from now on; removed classes keep their counts."""
        for request_class in classes:
            if request_class not in self._requests_by_class:
                self._requests_by_class[request_class] = _RequestCounts()

    def record_request(self, request_class: str, status: int) -> None:
        """Count a request by the HTTP status of its response; any other number counts as failed.

        Requests of unregistered classes are not counted.
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

    def record_reload(self, *, succeeded: bool) -> None:
        """Count a configuration reload that was applied, or rejected."""
        if succeeded:
            self._reloads += 1
        else:
            self._reload_errors += 1

    def render(self, known_endpoints: int, avoided_endpoints: int) -> str:
        """Return the reply to METRICS without its last line, with the names of the wire format."""
        lines = list[str]()
        for request_class, counts in self._requests_by_class.items():
            prefix = f"app.handled.{request_class}"
            lines.append(f"{prefix}.passed={counts.passed}")
            lines.append(f"{prefix}.dropped={counts.dropped}")
            lines.append(f"{prefix}.bad_gateway={counts.bad_gateway}")
        lines.append(f"app.upstream_tries={self.upstream_attempts}")
        lines.append(f"app.in_progress={self.in_progress}")
        lines.append(f"app.known_servers={known_endpoints}")
        lines.append(f"app.skipped_servers={avoided_endpoints}")
        lines.append(f"app.loads={self._reloads}")
        lines.append(f"app.load_errors={self._reload_errors}")
        for invariant, count in self.invariants.counts.items():
            lines.append(f"app.violations.{invariant}={count}")
        return "\n".join(lines) + "\n"
