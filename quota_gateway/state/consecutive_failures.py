"""Consecutive failures of one endpoint."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, eq=False)
class ConsecutiveFailures:
    """Connection failures and timeouts of one endpoint since its last response.

    Any response resets both counts, even an error.
    """

    connection_failures: int = 0
    timeouts: int = 0  # timed-out attempts during which the endpoint sent no response at all
    last_connection_failure: float = 0.0  # Unix time

    def record_response(self) -> None:
        """Record a response of any status."""
        self.connection_failures = 0
        self.timeouts = 0

    def record_timeout(self) -> None:
        """Record the timeout of an attempt during which the endpoint sent no response at all."""
        self.timeouts += 1

    def record_connection_failure(self, now: float, elapsed: float, *, is_independent: bool) -> None:
        """Record a lost connection of an attempt that lasted ``elapsed`` seconds.

        Connections that are open at the same time are lost together. The failure of an attempt that began
        before the last failure is therefore not counted, unless it is independent of other connections.
        """
        self.connection_failures += is_independent or elapsed <= now - self.last_connection_failure
        self.last_connection_failure = now

    def reset(self) -> None:
        """Forget all failures."""
        self.connection_failures = 0
        self.timeouts = 0
        self.last_connection_failure = 0.0
