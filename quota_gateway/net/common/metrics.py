"""Counters of this process, from 0 at its start, and the text in which operators read them."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from quota_gateway.net.common.invariants import InvariantMonitor

STATUS_OK = 200
REJECTION_STATUSES = (429, 503)


@dataclass(slots=True)
class _RequestCounts:
    """Requests of one class by how they ended; the names are those of the text."""

    passed: int = 0
    dropped: int = 0  # rejected
    bad_gateway: int = 0  # failed, or the response broke off


class Metrics:
    """Requests by class and by how they ended, attempts, reloads, and violations of invariants."""

    def __init__(self, classes: Iterable[str] = ()) -> None:
        """``classes`` are the names of the request classes that are shown from the start."""
        self._requests_by_class = dict[str, _RequestCounts]()
        self.upstream_attempts = 0
        self.reloads = 0
        self.reload_errors = 0
        self.in_progress = 0  # requests that were accepted and have not ended
        self.invariants = InvariantMonitor()
        self.streaming_responses = 0  # of them those whose response body is streamed
        self.register_classes(classes)

    def register_classes(self, classes: Iterable[str]) -> None:
        """Show these request classes from now on; classes that were removed keep their counts."""
        for request_class in classes:
            if request_class not in self._requests_by_class:
                self._requests_by_class[request_class] = _RequestCounts()

    def record_request(self, request_class: str, status: int) -> None:
        """Count a request by the HTTP status of its response, or by any other number where that broke off.

        Requests of classes that were never registered are not counted.
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

    def render(self, known_endpoints: int, avoided_endpoints: int) -> str:
        """The reply to the admin command METRICS without its last line; the names are the wire format's."""
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
        lines.append(f"app.loads={self.reloads}")
        lines.append(f"app.load_errors={self.reload_errors}")
        for invariant, count in self.invariants.counts.items():
            lines.append(f"app.violations.{invariant}={count}")
        return "\n".join(lines) + "\n"
