"""The state that a listener and all its connections share."""

from __future__ import annotations

import asyncio

from quota_gateway import model
from quota_gateway.net.client.request_parser import RequestParser
from quota_gateway.net.client.stall_detector import StallDetector
from quota_gateway.net.client.stats import ClientStats
from quota_gateway.net.common.metrics import Metrics

# With more active connections than this fraction of the limit, every response closes its connection. Clients
# that send one request and keep the connection open, or a leak in a client's pool, would use up the limit
# otherwise. The price is a connect for each request of the clients that send requests all the time.
CROWDED_FRACTION = 0.5


class SharedState:
    """Metrics, settings and counts of one listener; its flags only ever change from False to True."""

    __slots__ = (
        "_crowded_above",
        "active_connections",
        "clock",
        "closes_idle_connections",
        "draining",
        "metrics",
        "open_request_ids",
        "parser",
        "reports_data_age",
        "stalls",
        "stats",
    )

    def __init__(self, settings: model.Settings, max_connections: int, metrics: Metrics | None) -> None:
        """Create the state of a new listener in a running event loop."""
        self.clock = asyncio.get_running_loop().time
        self.parser = RequestParser(settings, self.clock)
        self.metrics = metrics or Metrics()
        self.stats = ClientStats()
        self.stalls = StallDetector(self.clock())
        self.draining = False
        self.closes_idle_connections = False
        self.open_request_ids = set[bytes]()  # of requests that have no final response yet
        self.reports_data_age: bool | None = None  # whether the system does; None before the first connection
        self.active_connections = 0  # open connections that have sent data
        self._crowded_above = CROWDED_FRACTION * max_connections

    @property
    def closes_connections(self) -> bool:
        """Whether responses announce that their connection closes, and close it."""
        return self.draining or self.active_connections > self._crowded_above

    def start_serving(self) -> None:
        """Record that the listener accepts connections from now on."""
        self.stalls = StallDetector(self.clock())

    def record_data_age_support(self, *, reports_data_age: bool) -> None:
        """Record whether the system reports the age of the last data that a client sent."""
        self.reports_data_age = reports_data_age

    def start_draining(self) -> None:
        """Close each connection with its next response from now on."""
        self.draining = True

    def start_closing_idle_connections(self) -> None:
        """Keep no idle connection open from now on."""
        self.closes_idle_connections = True

    def add_active_connection(self) -> None:
        """Count a connection that has sent its first data."""
        self.active_connections += 1

    def remove_active_connection(self) -> None:
        """Count an active connection as closed."""
        self.active_connections -= 1
