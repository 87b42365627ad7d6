"""The work that an endpoint may be given while it is warming up."""

from __future__ import annotations

from dataclasses import dataclass

from quota_gateway.arithmetic import refilled


@dataclass(slots=True, eq=False)
class SlowStartAllowance:
    """A token bucket of work, in seconds at an idle endpoint; its debt is at most one request."""

    work: float = 0.0
    updated_at: float = 0.0  # Unix time

    def reset(self, now: float) -> None:
        """Start with an empty bucket."""
        self.work = 0.0
        self.updated_at = now

    def restart_clock(self, now: float) -> None:
        """Keep the bucket's content, but do not refill it for the time before ``now``."""
        self.updated_at = now

    def refill(self, now: float, rate: float, capacity: float) -> None:
        """Refill the bucket at ``rate`` (work per second) up to ``capacity`` (work)."""
        self.work = refilled(self.work, rate, now - self.updated_at, capacity)
        self.updated_at = now

    def spend(self, work: float) -> None:
        """Take the work of a forwarded request."""
        self.work -= work
