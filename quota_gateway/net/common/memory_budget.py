"""The memory that peers may make this process use: for input, bodies, requests and responses that wait.

All connections of a process share one budget. What each of them uses is counted by ``MemoryUsage``. While the
budget is exhausted, connections read less at once, pass on what they would buffer, and reject requests.
"""

from __future__ import annotations

import math

MAX_READ_BYTES = 64 * 1024  # of one read, while there is ample memory
MIN_READ_BYTES = 1024  # of one read, while the budget is exhausted
READ_BUDGET_FRACTION = 1 / 64  # of the free part of the budget, for one read
# What a body that is read ahead may use. Its client's timeout starts with the last byte, which must be seen.
MAX_READ_AHEAD_BYTES = 4 * 1024 * 1024
READ_AHEAD_BUDGET_FRACTION = 1 / 8  # of the free part of the budget


class MemoryBudget:
    """Counts the bytes that are used for peers against a limit."""

    __slots__ = ("_limit", "used_bytes")

    def __init__(self, limit: float = math.inf) -> None:
        """``limit`` is in bytes."""
        self._limit = limit
        self.used_bytes = 0

    def set_limit(self, limit: float) -> None:
        """Change the limit; what is in use already stays."""
        self._limit = limit

    def count(self, difference: int) -> None:
        """Add the bytes by which a usage has grown; negative if it has become less."""
        self.used_bytes += difference

    @property
    def is_exhausted(self) -> bool:
        """Whether the limit is reached."""
        return self.used_bytes >= self._limit

    def read_size(self) -> int:
        """Return how many bytes the next read of a connection may return."""
        free_share = (self._limit - self.used_bytes) * READ_BUDGET_FRACTION
        return int(min(MAX_READ_BYTES, max(MIN_READ_BYTES, free_share)))

    def read_ahead_size(self) -> int:
        """Return how many bytes of a body may be read before its receiver accepts them."""
        free_share = (self._limit - self.used_bytes) * READ_AHEAD_BUDGET_FRACTION
        return int(min(MAX_READ_AHEAD_BYTES, max(MIN_READ_BYTES, free_share)))


class MemoryUsage:
    """The part of a budget that one connection uses."""

    __slots__ = ("_budget", "_size")

    def __init__(self, budget: MemoryBudget) -> None:
        """Use nothing at first."""
        self._budget = budget
        self._size = 0

    def update(self, size: int) -> None:
        """Use ``size`` bytes from now on."""
        if size != self._size:
            self._budget.count(size - self._size)
            self._size = size


class ReadBuffer:
    """The buffer into which the connections of a process read, one after the other.

    An event loop that read into a buffer of its own would pass on hundreds of kilobytes at once.
    """

    __slots__ = ("_budget", "_view")

    def __init__(self, budget: MemoryBudget) -> None:
        """Limit each read by ``budget``."""
        self._budget = budget
        self._view = memoryview(bytearray(MAX_READ_BYTES))

    def writable(self) -> memoryview:
        """Return the part into which the next read may write."""
        return self._view[: self._budget.read_size()]

    def take(self, size: int) -> bytes:
        """Return a copy of what the last read has written."""
        return bytes(self._view[:size])
