"""The endpoints by name, which of them may be used, and how many connections are open to them."""

from __future__ import annotations

import logging
import math

from quota_gateway.net.common.http_common import split_address
from quota_gateway.net.upstream.endpoint import UpstreamEndpoint

log = logging.getLogger(__name__)

MAX_NAMES = 5  # of endpoints, in one part of a log line


class EndpointTable:
    """The endpoints that discovery listed, and those that are gone but still have open connections."""

    __slots__ = ("_by_name", "_excluded", "_transitions", "open_connections")

    def __init__(self) -> None:
        """An empty table."""
        self._by_name = dict[str, UpstreamEndpoint]()
        self._transitions = dict[str, list[str]]()  # names by what the list has changed
        self._excluded = frozenset[str]()  # suspended by operators
        self.open_connections = 0  # to all endpoints, those being connected too

    def update(self, name: str, address: str, available: bool, started_at: float = 0.0) -> None:
        """Add or change an endpoint; see ``ConnectionPool.update_endpoint``."""
        self._log_transition(name, available, started_at)
        new_address = split_address(address) if address else None
        endpoint = self._by_name.get(name)
        if endpoint is None:
            if new_address is not None:
                self._by_name[name] = UpstreamEndpoint(name, new_address, available, started_at)
            return
        endpoint.available = available
        endpoint.started_at = started_at
        if (new_address is not None and new_address != endpoint.address) or not available:
            endpoint.address = new_address or endpoint.address
            endpoint.close_idle()
        self._forget_if_unused(endpoint)

    def _log_transition(self, name: str, available: bool, started_at: float) -> None:
        """Collect what the list changes, for the line that ``log_transitions`` writes."""
        endpoint = self._by_name.get(name)
        if endpoint is None:
            transition = "new" if available else ""
        elif endpoint.available != available:
            transition = "back" if available else "draining or removed"
        else:
            transition = "restarted" if endpoint.started_at != started_at else ""
        if transition:
            self._transitions.setdefault(transition, []).append(name)

    def log_transitions(self) -> None:
        """Write what the last updates have changed, in one line; nothing if that is nothing."""
        if len(self._transitions.get("new", ())) == len(self._by_name):
            self._transitions.clear()  # the first list: nothing has changed
        if not self._transitions:
            return
        parts = list[str]()
        for transition, names in self._transitions.items():
            shown = ", ".join(names[:MAX_NAMES]) + ", ..." * (len(names) > MAX_NAMES)
            parts.append(f"{transition} {len(names)} ({shown})")
        log.info("endpoint list: %s", "; ".join(parts))
        self._transitions.clear()

    def retain_only(self, names: set[str]) -> None:
        """Take a complete list: endpoints that it leaves out are gone."""
        for name, endpoint in list(self._by_name.items()):
            if name not in names:
                if endpoint.available:
                    self._transitions.setdefault("left out", []).append(name)
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
