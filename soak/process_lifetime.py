"""Records when a process of a limiter was ready, was sent signals and exited."""

from __future__ import annotations

import time
from collections.abc import Iterable
from dataclasses import dataclass

# New connections keep arriving for this long after SIGTERM. The process has to accept them, unless another
# process of its limiter does.
ACCEPT_SECONDS_AFTER_SIGTERM = 0.4
END_OF_CONNECTION_SECONDS = 0.1  # from the exit of a process until its clients see their connections end


@dataclass(slots=True, eq=False)
class ProcessLifetime:
    """The times of the events of one process; 0 for an event that has not happened."""

    limiter: int
    started_at: float
    ready_at: float = 0.0
    sigterm_at: float = 0.0  # time of the first SIGTERM
    sigkill_at: float = 0.0  # time of the last SIGKILL
    exited_at: float = 0.0
    memory_mb: int = 0  # limit of the configuration; 0: none is stated
    peak_memory_bytes: int = 0  # largest resident memory that was seen

    def record_peak_memory(self, peak_bytes: int) -> None:
        """Record the largest resident memory so far."""
        self.peak_memory_bytes = peak_bytes

    def record_ready(self) -> None:
        """Record that the process has reported that it is ready."""
        self.ready_at = time.monotonic()

    def record_sigterm(self) -> None:
        """Record that SIGTERM is sent; only the first one counts."""
        self.sigterm_at = self.sigterm_at or time.monotonic()

    def record_sigkill(self) -> None:
        """Record that SIGKILL is sent."""
        self.sigkill_at = time.monotonic()

    def record_exit(self) -> None:
        """Record that the process has exited."""
        self.exited_at = time.monotonic()

    def is_running_at(self, at: float) -> bool:
        """Whether the process had started and had not exited."""
        return self.started_at <= at and (not self.exited_at or at <= self.exited_at)

    def accepts_until(self) -> float:
        """Return the time until which the process has to accept new connections."""
        ends = [self.sigkill_at, self.exited_at]
        if self.sigterm_at:
            ends.append(self.sigterm_at + ACCEPT_SECONDS_AFTER_SIGTERM)
        return min((end for end in ends if end), default=float("inf"))

    def was_killed_around(self, at: float, tolerance: float) -> bool:
        """Whether SIGKILL to this process may have ended a connection that ended at ``at``."""
        if not self.sigkill_at:
            return False
        gone_at = self.exited_at or self.sigkill_at
        return self.sigkill_at - tolerance <= at <= gone_at + END_OF_CONNECTION_SECONDS + tolerance


def seconds_without_accepting_process(
    lifetimes: Iterable[ProcessLifetime], start: float, end: float
) -> float:
    """Return the seconds between ``start`` and ``end`` in which no process had to accept connections."""
    uncovered = 0.0
    covered_until = start
    spans = sorted((life.ready_at, life.accepts_until()) for life in lifetimes if life.ready_at)
    for ready_at, until in spans:
        if ready_at >= end:
            break
        uncovered += max(0.0, ready_at - covered_until)
        covered_until = max(covered_until, until)
    return uncovered + max(0.0, end - covered_until)
