"""The endpoints that discovery has listed, by name, and whether they may receive requests."""

from __future__ import annotations

import logging
from enum import StrEnum

from quota_gateway.net.common.http_common import split_address
from quota_gateway.net.upstream.endpoint import SocketAddress, UpstreamEndpoint
from quota_gateway.net.upstream.idle_connections import IdleConnections

log = logging.getLogger(__name__)

MAX_LOGGED_NAMES = 5  # endpoint names in a log line, for each kind of transition


class Transition(StrEnum):
    """How an endpoint update changed an endpoint; the log shows the value."""

    NEW = "new"
    BACK = "back"
    DRAINING_OR_REMOVED = "draining or removed"
    RESTARTED = "restarted"
    LEFT_OUT = "left out"


class EndpointTable:
    """The listed endpoints, and removed ones while connections to them are open.

    An endpoint is usable if it is available according to discovery and not suspended by operators. When it
    stops being usable or its address changes, its idle connections are closed.
    """

    __slots__ = ("_by_name", "_idle", "_suspended", "_transitions")

    def __init__(self, idle: IdleConnections) -> None:
        """Begin with no endpoints; ``idle`` holds the idle connections to them."""
        self._idle = idle
        self._by_name = dict[str, UpstreamEndpoint]()
        self._transitions = dict[Transition, list[str]]()  # names of endpoints, since the last log line
        self._suspended = frozenset[str]()  # names of the endpoints that operators have suspended

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
                self._idle.close_connections_to(endpoint)
            self.remove_if_unused(endpoint)
        elif new_address is not None:
            self._by_name[name] = UpstreamEndpoint(name, new_address, available, started_at)

    def retain_only(self, names: set[str]) -> None:
        """Make all endpoints unavailable except those in ``names``, the names in a complete endpoint list."""
        for name, endpoint in list(self._by_name.items()):
            if name not in names:
                if endpoint.available:
                    self._record_transition(Transition.LEFT_OUT, name)
                endpoint.remove()
                self._idle.close_connections_to(endpoint)
                self.remove_if_unused(endpoint)

    def set_suspended_endpoints(self, names: frozenset[str]) -> None:
        """Replace the names of the suspended endpoints, and close the idle connections to them."""
        self._suspended = names
        for name in names:
            endpoint = self._by_name.get(name)
            if endpoint is not None:
                self._idle.close_connections_to(endpoint)

    def find_usable(self, name: str) -> UpstreamEndpoint | None:
        """Return the endpoint of that name if new requests may be sent to it, None otherwise."""
        endpoint = self._by_name.get(name)
        if endpoint is None or not endpoint.available or name in self._suspended:
            return None
        return endpoint

    def is_usable(self, endpoint: UpstreamEndpoint) -> bool:
        """Whether new requests may be sent to the endpoint."""
        return endpoint.available and endpoint.name not in self._suspended

    def remove_if_unused(self, endpoint: UpstreamEndpoint) -> None:
        """Remove an unavailable endpoint without open connections.

        The table would otherwise grow without limit, since endpoint names are generally not reused.
        """
        if endpoint.available or endpoint.open_connections > 0:
            return
        if self._by_name.get(endpoint.name) is endpoint:
            del self._by_name[endpoint.name]

    def log_transitions(self, version: int) -> None:
        """Log the transitions since the last call, by ``version`` of the list, unless there are none."""
        if len(self._transitions.get(Transition.NEW, ())) == len(self._by_name):
            self._transitions.clear()  # all endpoints are new: the first list is not a change
        if not self._transitions:
            return
        parts = [f"version {version}"]
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
