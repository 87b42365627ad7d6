"""The endpoints by name, which of them may be used, and how many connections are open to them."""

from __future__ import annotations

import math

from quota_gateway.net.http_common import split_address
from quota_gateway.net.upstream_endpoint import UpstreamEndpoint


class EndpointTable:
    """The endpoints that discovery listed, and those that are gone but still have open connections."""

    __slots__ = ("_by_name", "_excluded", "open_connections")

    def __init__(self) -> None:
        """An empty table."""
        self._by_name = dict[str, UpstreamEndpoint]()
        self._excluded = frozenset[str]()  # suspended by operators
        self.open_connections = 0  # to all endpoints, those being connected too

    def update(self, name: str, address: str, available: bool) -> None:
        """Add or change an endpoint; see ``ConnectionPool.update_endpoint``."""
        new_address = split_address(address) if address else None
        endpoint = self._by_name.get(name)
        if endpoint is None:
            if new_address is not None:
                self._by_name[name] = UpstreamEndpoint(name, new_address, available)
            return
        endpoint.available = available
        if (new_address is not None and new_address != endpoint.address) or not available:
            endpoint.address = new_address or endpoint.address
            endpoint.close_idle()
        self._forget_if_unused(endpoint)

    def retain_only(self, names: set[str]) -> None:
        """Take a complete list: endpoints that it leaves out are gone."""
        for name, endpoint in list(self._by_name.items()):
            if name not in names:
                endpoint.available = False
                endpoint.close_idle()
                self._forget_if_unused(endpoint)

    def exclude(self, names: frozenset[str]) -> None:
        """Make exactly these endpoints unusable, besides those that are not available."""
        self._excluded = names
        for name in names:
            endpoint = self._by_name.get(name)
            if endpoint is not None:
                endpoint.close_idle()

    def find_usable(self, name: str) -> UpstreamEndpoint | None:
        """The endpoint of that name, if new requests may go there."""
        endpoint = self._by_name.get(name)
        if endpoint is None or not endpoint.available or name in self._excluded:
            return None
        return endpoint

    def is_usable(self, endpoint: UpstreamEndpoint) -> bool:
        """Whether new requests may go to the endpoint."""
        return endpoint.available and endpoint.name not in self._excluded

    def count_opened(self, endpoint: UpstreamEndpoint) -> None:
        """A connection to the endpoint is about to be opened."""
        endpoint.open_connections += 1
        self.open_connections += 1

    def count_closed(self, endpoint: UpstreamEndpoint) -> None:
        """A connection to the endpoint has ended, or did not come up."""
        endpoint.open_connections -= 1
        self.open_connections -= 1
        self._forget_if_unused(endpoint)

    def evict_idle(self) -> bool:
        """Close the longest idle connection of all; False if there is none."""
        oldest = min(
            (endpoint.idle[0] for endpoint in self._by_name.values() if endpoint.idle),
            key=lambda connection: connection.idle_since or 0.0,
            default=None,
        )
        if oldest is None:
            return False
        oldest.endpoint.idle.remove(oldest)
        oldest.abort()
        return True

    def close_idle(self, until: float = math.inf) -> None:
        """Close the connections that have been idle since ``until`` or before."""
        for endpoint in self._by_name.values():
            endpoint.close_idle(until)

    def _forget_if_unused(self, endpoint: UpstreamEndpoint) -> None:
        """Drop what is gone once nothing is open there: names are ever new, the table would grow."""
        if endpoint.available or endpoint.open_connections > 0:
            return
        if self._by_name.get(endpoint.name) is endpoint:
            del self._by_name[endpoint.name]
