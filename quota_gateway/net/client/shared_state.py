"""The state that a listener and all its connections share."""

from __future__ import annotations

import asyncio

from quota_gateway import model
from quota_gateway.net.client.input_scheduler import InputScheduler
from quota_gateway.net.client.request_parser import RequestParser
from quota_gateway.net.client.stall_detector import StallDetector
from quota_gateway.net.client.stats import ClientStats
from quota_gateway.net.common.executed_ids import ExecutedIds
from quota_gateway.net.common.memory_budget import MemoryBudget, ReadBuffer
from quota_gateway.net.common.metrics import Metrics

# If the active connections exceed this fraction of the limit, each response closes its connection. Otherwise
# clients that send one request and keep the connection open, or a client whose pool leaks connections, would
# use up the limit. The cost is that clients that send requests continuously then connect again for each
# request.
MAX_KEEP_ALIVE_FRACTION = 0.5


class SharedState:
    """Parser, metrics, statistics and flags of one listener; the flags only change from False to True."""

    __slots__ = (
        "_max_keep_alive_connections",
        "active_connections",
        "budget",
        "clock",
        "closes_idle_connections",
        "draining",
        "executed_ids",
        "input_scheduler",
        "metrics",
        "open_request_ids",
        "parser",
        "read_buffer",
        "reports_data_age",
        "stalls",
        "stats",
    )

    def __init__(
        self,
        settings: model.Settings,
        max_connections: int,
        metrics: Metrics | None,
        budget: MemoryBudget | None,
        executed_ids: ExecutedIds | None,
    ) -> None:
        """Create the state of a new listener in a running event loop; no budget means no limit."""
        self.clock = asyncio.get_running_loop().time
        self.parser = RequestParser(settings, self.clock)
        self.metrics = metrics or Metrics()
        self.stats = ClientStats()
        self.budget = budget or MemoryBudget()
        self.read_buffer = ReadBuffer(self.budget)
        self.input_scheduler = InputScheduler()
        self.stalls = StallDetector(self.clock())
        self.draining = False
        self.closes_idle_connections = False
        self.executed_ids = executed_ids or ExecutedIds()
        self.open_request_ids = set[bytes]()  # ids of the requests that have no final response yet
        # Whether the operating system reports when the last data arrived; None before the first connection.
        self.reports_data_age: bool | None = None
        self.active_connections = 0  # open connections that have received data
        self._max_keep_alive_connections = MAX_KEEP_ALIVE_FRACTION * max_connections

    def client_clock(self) -> float:
        """Return the seconds in which input could be read, by which clients are timed."""
        now = self.clock()
        self.stalls.record_iteration(now)
        return self.stalls.without_stalls(now)

    @property
    def closes_after_response(self) -> bool:
        """Whether each response announces the close of its connection, which then closes."""
        return self.draining or self.active_connections > self._max_keep_alive_connections

    def start_serving(self) -> None:
        """Record that the listener accepts connections from now on."""
        self.stalls = StallDetector(self.clock())

    def record_data_age_support(self, *, reports_data_age: bool) -> None:
        """Record whether the operating system reports the age of the last data from a client."""
        self.reports_data_age = reports_data_age

    def start_draining(self) -> None:
        """From now on, close each connection after its next response."""
        self.draining = True

    def start_closing_idle_connections(self) -> None:
        """From now on, close each connection as soon as it is idle."""
        self.closes_idle_connections = True

    def add_active_connection(self) -> None:
        """Count a connection that has received its first data."""
        self.active_connections += 1

    def remove_active_connection(self) -> None:
        """Subtract an active connection that has closed."""
        self.active_connections -= 1
