"""One endpoint as discovery lists it, and the number of connections to it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple


class SocketAddress(NamedTuple):
    """Host and port that an endpoint listens at."""

    host: str
    port: int


@dataclass(slots=True, eq=False)
class UpstreamEndpoint:
    """An endpoint; two records are the same only if they are one object.

    An endpoint that is removed and listed again gets a new record, with no open connections.
    """

    name: str
    address: SocketAddress
    available: bool = True  # listed and healthy, according to discovery
    started_at: float = 0.0  # Unix time of its start, according to discovery; 0 where that is unknown
    open_connections: int = 0  # including those that are being connected

    def update(self, address: SocketAddress | None, *, available: bool, started_at: float) -> bool:
        """Apply a listing; ``address`` is None where it names none.

        Return whether connections that were opened before it are unusable.
        """
        self.available = available
        self.started_at = started_at
        has_moved = address is not None and address != self.address
        if address is not None:
            self.address = address
        return has_moved or not available

    def remove(self) -> None:
        """Make the endpoint unavailable: the complete list does not contain it."""
        self.available = False

    def count_opened(self) -> None:
        """Count a connection that is about to be opened."""
        self.open_connections += 1

    def count_closed(self) -> None:
        """Stop counting a connection that has ended or was never established."""
        self.open_connections -= 1
