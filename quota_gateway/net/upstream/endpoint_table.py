"""The endpoints by name: those that discovery listed, and which of them may be used."""

from __future__ import annotations

import logging
from enum import StrEnum

from quota_gateway.net.common.http_common import split_address
from quota_gateway.net.upstream.endpoint import SocketAddress, UpstreamEndpoint
from quota_gateway.net.upstream.idle_connections import IdleConnections

log = logging.getLogger(__name__)

MAX_LOGGED_NAMES = 5  # of endpoints for each kind of transition, in a log line


class Transition(StrEnum):
    """How an endpoint list changed an endpoint; the values are the words in the log."""

    NEW = "new"
    BACK = "back"
    DRAINING_OR_REMOVED = "draining or removed"
    RESTARTED = "restarted"
    LEFT_OUT = "left out"


class EndpointTable:
    """The listed endpoints, and removed ones as long as connections to them are open.

    An endpoint is usable if it is available according to discovery and not excluded by operators. An endpoint
    that stops being usable, or changes its address, has no idle connections from then on.
    """

    __slots__ = ("_by_name", "_excluded", "_idle", "_transitions")

    def __init__(self, idle: IdleConnections) -> None:
        """Begin without endpoints; ``idle`` holds the idle connections to them."""
        self._idle = idle
        self._by_name = dict[str, UpstreamEndpoint]()
        self._transitions = dict[Transition, list[str]]()  # names of endpoints, since the last log line
        self._excluded = frozenset[str]()  # names of the endpoints that operators have suspended

    def names(self) -> frozenset[str]:
        """Return the names of the listed endpoints, and of removed ones with open connections."""
        return frozenset(self._by_name)

    def update(self, name: str, address: str, *, available: bool, started_at: float = 0.0) -> None:
        """Add or change an endpoint; see ``ConnectionPool.update_endpoint``."""
        self._record_update(name, available=available, started_at=started_at)
        new_address = SocketAddress(*split_address(address)) if address else None
        endpoint = self._by_name.get(name)
        if endpoint is not None:
            if endpoint.update(new_address, available=available, started_at=started_at):
                self._idle.close_all(endpoint)
            self.remove_if_unused(endpoint)
        elif new_address is not None:
            self._by_name[name] = UpstreamEndpoint(name, new_address, available, started_at)

    def retain_only(self, names: set[str]) -> None:
        """Make the endpoints unavailable that a complete list, with these names, does not contain."""
        for name, endpoint in list(self._by_name.items()):
            if name not in names:
                if endpoint.available:
                    self._record_transition(Transition.LEFT_OUT, name)
                endpoint.remove()
                self._idle.close_all(endpoint)
                self.remove_if_unused(endpoint)

    def exclude(self, names: frozenset[str]) -> None:
        """Exclude exactly these endpoints from use, whether they are available or not."""
        self._excluded = names
        for name in names:
            endpoint = self._by_name.get(name)
            if endpoint is not None:
                self._idle.close_all(endpoint)

    def find_usable(self, name: str) -> UpstreamEndpoint | None:
        """Return the endpoint of that name if new requests may be sent to it, None otherwise."""
        endpoint = self._by_name.get(name)
        if endpoint is None or not endpoint.available or name in self._excluded:
            return None
        return endpoint

    def is_usable(self, endpoint: UpstreamEndpoint) -> bool:
        """Whether new requests may be sent to the endpoint."""
        return endpoint.available and endpoint.name not in self._excluded

    def remove_if_unused(self, endpoint: UpstreamEndpoint) -> None:
        """Remove an unavailable endpoint without open connections.

        Endpoint names are not reused in general, so the table would grow without limit.
        """
        if endpoint.available or endpoint.open_connections > 0:
            return
        if self._by_name.get(endpoint.name) is endpoint:
            del self._by_name[endpoint.name]

    def log_transitions(self) -> None:
        """Write the transitions since the last call in one line; write nothing if there are none."""
        if len(self._transitions.get(Transition.NEW, ())) == len(self._by_name):
            self._transitions.clear()  # the first list: its endpoints are no change
        if not self._transitions:
            return
        parts = list[str]()
        for transition, names in self._transitions.items():
            shown = ", ".join(names[:MAX_LOGGED_NAMES]) + ", ..." * (len(names) > MAX_LOGGED_NAMES)
            parts.append(f"{transition.value} {len(names)} ({shown})")
        log.info("endpoint list: %s", "; ".join(parts))
        self._transitions.clear()

    def _record_update(self, name: str, *, available: bool, started_at: float) -> None:
        endpoint = self._by_name.get(name)
        if endpoint is None:
            if available:
                self._record_transition(Transition.NEW, name)
        elif endpoint.available != available:
            self._record_transition(Transition.BACK if available else Transition.DRAINING_OR_REMOVED, name)
        elif endpoint.started_at != started_at:
            self._record_transition(Transition.RESTARTED, name)

    def _record_transition(self, transition: Transition, name: str) -> None:
        self._transitions.setdefault(transition, []).append(name)
