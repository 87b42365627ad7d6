"""The lifetimes of a limiter's processes: readiness, signals and exit."""

from __future__ import annotations

import time
from collections.abc import Iterable
from dataclasses import dataclass

# After SIGTERM new connections keep arriving for this long; a process without a peer has to accept them.
ACCEPT_SECONDS_AFTER_SIGTERM = 0.4
END_OF_CONNECTION_SECONDS = 0.1  # from the end of a process to the moment at which its clients notice it


@dataclass(slots=True, eq=False)
class ProcessLifetime:
    """The lifetime of one process; a time is 0 where the event has not happened."""

    limiter: int
    started_at: float
    ready_at: float = 0.0
    terminated_at: float = 0.0  # the first SIGTERM
    killed_at: float = 0.0  # SIGKILL
    exited_at: float = 0.0

    def record_ready(self) -> None:
        """Record that the process answers that it is ready."""
        self.ready_at = time.monotonic()

    def record_sigterm(self) -> None:
        """Record that SIGTERM is sent; a second one changes nothing."""
        self.terminated_at = self.terminated_at or time.monotonic()

    def record_sigkill(self) -> None:
        """Record that SIGKILL is sent."""
        self.killed_at = time.monotonic()

    def record_exit(self) -> None:
        """Record that the process has exited."""
        self.exited_at = time.monotonic()

    def accepts_until(self) -> float:
        """Return the time up to which the process has to accept new connections."""
        ends = [self.killed_at, self.exited_at]
        if self.terminated_at:
            ends.append(self.terminated_at + ACCEPT_SECONDS_AFTER_SIGTERM)
        return min((end for end in ends if end), default=float("inf"))

    def was_killed_around(self, at: float, tolerance: float) -> bool:
        """Whether a connection that ended at ``at`` may have ended by the SIGKILL of this process."""
        if not self.killed_at:
            return False
        gone_at = self.exited_at or self.killed_at
        return self.killed_at - tolerance <= at <= gone_at + END_OF_CONNECTION_SECONDS + tolerance


def seconds_without_accepting_process(
    lifetimes: Iterable[ProcessLifetime], start: float, end: float
) -> float:
    """Return the part of the time between ``start`` and ``end`` in which no process has to accept."""
    uncovered = 0.0
    covered_until = start
    spans = sorted((life.ready_at, life.accepts_until()) for life in lifetimes if life.ready_at)
    for ready_at, until in spans:
        if ready_at >= end:
            break
        uncovered += max(0.0, ready_at - covered_until)
        covered_until = max(covered_until, until)
    return uncovered + max(0.0, end - covered_until)
