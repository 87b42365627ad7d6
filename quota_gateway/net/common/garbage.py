"""Collects closed connections: their objects refer to each other, so reference counts do not free them."""

from __future__ import annotations

import gc

CONNECTIONS_PER_COLLECTION = 128


class ClosedConnections:
    """Counts closed connections, and collects them before many are garbage."""

    __slots__ = ("_count",)

    def __init__(self) -> None:
        """Begin with no closed connection."""
        self._count = 0

    def record(self) -> None:
        """Count a closed connection."""
        self._count += 1
        if self._count >= CONNECTIONS_PER_COLLECTION:
            self._count = 0
            gc.collect()
