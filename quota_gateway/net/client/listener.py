"""Accepts client connections, limits their number, and closes them when the process drains."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket

from quota_gateway import model
from quota_gateway.net.client.connection import ClientConnection
from quota_gateway.net.client.eviction import EVICTED_FIRST, NEW_PRIORITIES, EvictionPriority, EvictionRank
from quota_gateway.net.client.request import RequestHandler
from quota_gateway.net.client.request_intake import RequestIntake
from quota_gateway.net.client.shared_state import SharedState
from quota_gateway.net.client.stall_detector import HEARTBEAT_INTERVAL_SECONDS
from quota_gateway.net.client.stats import CloseReason
from quota_gateway.net.common.acceptor import Acceptor, create_bound_socket, errno_name
from quota_gateway.net.common.executed_ids import ExecutedIds
from quota_gateway.net.common.garbage import ClosedConnections
from quota_gateway.net.common.memory_budget import MemoryBudget
from quota_gateway.net.common.metrics import Metrics

log = logging.getLogger(__name__)

# A scan checks the timeouts of all connections, so that one timer serves all of them.
SCAN_INTERVAL_SECONDS = 0.2
SCANS_PER_LOG_LINE = 50
# How long a closing listener waits for free descriptors to accept the connections in its accept queue.
DESCRIPTOR_WAIT_SECONDS = 0.1
RESPONSES_POLL_SECONDS = 0.02  # between two checks whether all responses are written


class ClientListener:
    """The listening socket for clients and the connections accepted from it."""

    def __init__(
        self,
        handler: RequestHandler,
        settings: model.Settings,
        max_connections: int,
        metrics: Metrics | None = None,
        budget: MemoryBudget | None = None,
        executed_ids: ExecutedIds | None = None,
    ) -> None:
        """Create a listener that does not listen yet; needs a running event loop."""
        self.shared = SharedState(settings, max_connections, metrics, budget, executed_ids)
        self.parser = self.shared.parser
        self.intake = RequestIntake(handler, self.shared)
        self.connections = dict[ClientConnection, None]()  # oldest first
        self._closed = ClosedConnections()
        self._max_connections = max_connections
        self._scan_timer: asyncio.TimerHandle | None = None
        self._scan_count = 0
        self._heartbeat_timer: asyncio.TimerHandle | None = None
        self._socket: socket.socket | None = None  # bound, or inherited
        self._acceptor: Acceptor | None = None
        self._is_inherited = False  # whether the listening socket is inherited
        self._all_closed = asyncio.Event()

    async def listen(
        self, host: str, port: int, inherited: socket.socket | None = None, *, reuse_port: bool = False
    ) -> tuple[str, int]:
        """Bind, and accept connections at once; return the address. Raises OSError."""
        await self.bind(host, port, inherited, reuse_port=reuse_port)
        return self.start_accepting()

    async def bind(
        self, host: str, port: int, inherited: socket.socket | None = None, *, reuse_port: bool = False
    ) -> None:
        """Reserve an address, or take an inherited listening socket, without accepting connections.

        With ``reuse_port`` other processes may listen at the same address. Raises OSError.
        """
        self._is_inherited = inherited is not None
        self._socket = inherited or await create_bound_socket(host, port, reuse_port=reuse_port)

    def start_accepting(self) -> tuple[str, int]:
        """Accept connections at the bound address from now on, and return it. Raises OSError."""
        assert self._socket is not None
        self._acceptor = Acceptor(
            self._socket, self._new_connection, self._on_accept_error, may_accept=self._may_accept
        )
        self.shared.start_serving()
        self._scan()
        self._record_heartbeat()
        return self._acceptor.address

    def _on_accept_error(self, error: OSError) -> None:
        self.shared.stats.record_accept_error(errno_name(error))

    def _new_connection(self) -> ClientConnection:
        return ClientConnection(self)

    def on_connected(self, connection: ClientConnection) -> None:
        """Register a connection; at the limit, evict another one, or abort this one if all are busy."""
        if len(self.connections) >= self._max_connections and not self._evict_one():
            log.warning("out of client connections")
            connection.abort(CloseReason.OUT_OF_CONNECTIONS)
        if self.shared.reports_data_age is None:
            self.shared.record_data_age_support(reports_data_age=connection.transport.reports_data_age())
        self.shared.stats.record_accepted()
        self.connections[connection] = None

    def on_disconnected(self, connection: ClientConnection) -> None:
        """Remove a closed connection."""
        self.connections.pop(connection, None)
        self._closed.record()
        if not self.connections:
            self._all_closed.set()

    def _may_accept(self) -> bool:
        """Whether there is room for a connection, without evicting one that is new.

        It also waits if requests are about to be parsed, and there is no idle connection to evict instead.

        If none can be evicted at all, the connection is accepted and aborted.
        """
        if len(self.connections) < self._max_connections:
            return True
        has_new = has_waiting_request = has_idle = False
        for connection in self.connections:  # oldest first, so that the first ones are mostly not new
            rank = connection.eviction_rank()
            if rank is None:
                continue
            if rank.priority in EVICTED_FIRST:
                if connection.is_evictable:
                    return True
                has_waiting_request = has_waiting_request or connection.has_waiting_request
            has_new = has_new or rank.priority in NEW_PRIORITIES
            has_idle = has_idle or rank.priority is EvictionPriority.IDLE
        return not has_new and (has_idle or not has_waiting_request)

    def _evict_one(self) -> bool:
        return any(connection.evict() for _, connection in self._eviction_candidates())

    def _eviction_candidates(self) -> list[tuple[EvictionRank, ClientConnection]]:
        """Return the connections that may be evicted with their ranks, in the eviction order."""
        candidates = list[tuple[EvictionRank, ClientConnection]]()
        for connection in self.connections:
            rank = connection.eviction_rank()
            if rank is not None:
                candidates.append((rank, connection))
        candidates.sort(key=lambda candidate: candidate[0])
        return candidates

    def _scan(self) -> None:
        """Check the timeouts of all connections, now and every ``SCAN_INTERVAL_SECONDS``."""
        if self._scan_timer is not None:
            self._scan_timer.cancel()
        self._scan_timer = asyncio.get_running_loop().call_later(SCAN_INTERVAL_SECONDS, self._scan)
        now = self.shared.clock()
        self.shared.stalls.record_iteration(now)
        for connection in list(self.connections):
            try:
                connection.check_timeouts(now)
            except Exception:
                log.exception(
                    "could not check the timeouts of a client connection; the next scan tries again"
                )
        self._scan_count += 1
        if self._scan_count % SCANS_PER_LOG_LINE == 0:
            self.shared.stats.log_counts(len(self.connections))

    def _record_heartbeat(self) -> None:
        """Record regularly that the event loop runs, even if no client sends anything."""
        self.shared.stalls.record_iteration(self.shared.clock())
        self._heartbeat_timer = asyncio.get_running_loop().call_later(
            HEARTBEAT_INTERVAL_SECONDS, self._record_heartbeat
        )

    def signal_sent_after(self) -> float:
        """Return the earliest time at which the signal that is being handled may have been sent."""
        now = self.shared.clock()
        self.shared.stalls.record_iteration(now)
        return self.shared.stalls.signal_sent_after(now)

    def start_draining(self) -> None:
        """From now on, close each connection after its next response."""
        self.shared.start_draining()

    def set_max_connections(self, max_connections: int) -> None:
        """Change the connection limit, and evict the connections in excess of it.

        The limit changes while another process of this limiter serves clients too. The number of active
        connections above which responses close their connection does not change with it: clients move to
        the other process at that time, and a lower number would make some of them connect a second time.
        """
        self._max_connections = max_connections
        open_connections = sum(not connection.transport.is_closed for connection in self.connections)
        excess = open_connections - max_connections
        for _, connection in self._eviction_candidates():
            if excess <= 0:
                return
            excess -= connection.evict()

    async def stop_accepting(self) -> None:
        """Accept no more connections; another process may continue to accept from an inherited socket.

        If the socket is not inherited, no other process has it, and closing it would reset the connections in
        its accept queue. These are already established for their clients and are therefore accepted first.
        """
        acceptor = self._acceptor
        self._acceptor = None
        if acceptor is not None:
            await acceptor.close(None if self._is_inherited else DESCRIPTOR_WAIT_SECONDS)

    async def wait_until_empty(self, grace: float) -> None:
        """Wait at most ``grace`` seconds until all connections are closed."""
        self._all_closed.clear()
        if self.connections:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._all_closed.wait(), grace)

    async def finish_responses(self, timeout: float) -> int:
        """Wait at most ``timeout`` seconds until all responses are written; return how many are not.

        Idle connections are closed meanwhile, and the timeouts of the others are checked.
        """
        deadline = self.shared.clock() + timeout
        self.shared.start_closing_idle_connections()
        self._scan()
        while (unfinished := self._responding_count()) and self.shared.clock() < deadline:
            await asyncio.sleep(RESPONSES_POLL_SECONDS)
        return unfinished

    def _responding_count(self) -> int:
        return sum(connection.is_responding for connection in self.connections)

    async def close(self, grace: float) -> None:
        """Stop accepting, close idle connections, and wait at most ``grace`` seconds for the others to close.

        The scans continue meanwhile: they close connections that become idle, and slow clients still
        receive an error.
        """
        await self.stop_accepting()
        await asyncio.sleep(0)  # lets the event loop register the connections that have just been accepted
        self.shared.start_closing_idle_connections()
        self._scan()
        await self.wait_until_empty(grace)
        for timer in (self._scan_timer, self._heartbeat_timer):
            if timer is not None:
                timer.cancel()
