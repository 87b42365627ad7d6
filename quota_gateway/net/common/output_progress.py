"""Measures for how long the peer of a connection has accepted nothing of the output that waits for it."""

from __future__ import annotations

import asyncio

from quota_gateway.net.common import socket_calls


class OutputProgress:
    """The progress of the output on one connection, by the bytes that the peer's system has acknowledged.

    A peer that reads slowly makes progress long before the system accepts more output from this process.
    """

    __slots__ = ("_accepted_bytes", "_last_progress", "_written_bytes")

    def __init__(self) -> None:
        """Begin with a connection on which nothing was written."""
        self._written_bytes = 0
        self._accepted_bytes = 0  # acknowledged bytes at the last call of ``seconds_without_progress``
        self._last_progress: float | None = None  # None before the first call

    def record_written(self, size: int) -> None:
        """Count ``size`` bytes that are passed to the transport."""
        self._written_bytes += size

    def restart(self) -> None:
        """Begin a new measurement with the next call of ``seconds_without_progress``."""
        self._last_progress = None

    def seconds_without_progress(self, transport: asyncio.Transport, now: float) -> float:
        """Return the time since progress was last seen; 0 if the peer's system has acknowledged all output.

        To be called at intervals: progress between two calls is seen by the second one.
        """
        waiting_bytes = transport.get_write_buffer_size() + socket_calls.unacknowledged_size(transport)
        accepted_bytes = self._written_bytes - waiting_bytes
        if self._last_progress is None or not waiting_bytes or accepted_bytes > self._accepted_bytes:
            self._last_progress = now
        self._accepted_bytes = accepted_bytes
        return now - self._last_progress
