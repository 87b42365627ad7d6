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
    """An endpoint; records are compared by identity.

    An endpoint that is removed and listed again gets a new record, with no open connections.
    """

    name: str
    address: SocketAddress
    available: bool = True  # listed and healthy, according to discovery
    started_at: float = 0.0  # Unix time of its start, according to discovery; 0 if unknown
    open_connections: int = 0  # including those that are being connected

    def update(self, address: SocketAddress | None, *, available: bool, started_at: float) -> bool:
        """Apply an endpoint update; ``address`` is None if the update has none.

        Return whether the connections that are open already are no longer usable.
        """
        self.available = available
        self.started_at = started_at
        address_changed = address is not None and address != self.address
        if address is not None:
            self.address = address
        return address_changed or not available

    def remove(self) -> None:
        """Make the endpoint unavailable: the complete list does not contain it."""
        self.available = False

    def count_opened(self) -> None:
        """Count a connection that is about to be opened."""
        self.open_connections += 1

    def count_closed(self) -> None:
        """Stop counting a connection that has ended or was never established."""
        self.open_connections -= 1
