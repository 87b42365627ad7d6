"""Accepts client connections, limits their number, and ends them when the process drains."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket

from quota_gateway import model
from quota_gateway.net.client.closing import ConnectionCloser
from quota_gateway.net.client.connection import ClientConnection
from quota_gateway.net.client.request import RequestHandler
from quota_gateway.net.client.request_parser import RequestParser
from quota_gateway.net.client.stall_detector import HEARTBEAT_INTERVAL, StallDetector
from quota_gateway.net.client.stats import ClientStats, CloseReason
from quota_gateway.net.common.acceptor import Acceptor, create_listening_socket, errno_name
from quota_gateway.net.common.metrics import Metrics

log = logging.getLogger(__name__)

SCANS_PER_LOG_LINE = 50
SCAN_INTERVAL = 0.2  # seconds between two scans for idle and slow clients: one timer for all of them
DESCRIPTOR_WAIT = 0.1  # seconds that the last clients of a closing listener may wait for a descriptor
# Share of the connection limit. Where more connections have sent data, every response closes its own: clients
# that ask once and keep their connection for good would use up the limit. It guards as well against leaks in
# a client's pool. The price is a connect for each request, where that many clients ask all the time.
CROWDED_FRACTION = 0.5


class ClientListener:
    """The listening socket and its connections, with the state that these share."""

    def __init__(
        self,
        handler: RequestHandler,
        settings: model.Settings,
        max_connections: int,
        metrics: Metrics | None = None,
    ) -> None:
        """Create a listener that does not listen yet; needs a running event loop."""
        self.clock = asyncio.get_running_loop().time
        self.handler = handler
        self.parser = RequestParser(settings, self.clock)
        self.metrics = metrics or Metrics()
        self.stats = ClientStats()
        self.draining = False
        self.closes_idle_connections = False  # no idle connection is kept any more
        self.open_request_ids = set[bytes]()
        self.active_connections = 0  # connections that have sent data
        self._max_connections = max_connections
        self._crowded_above = CROWDED_FRACTION * max_connections
        self._scan_timer: asyncio.TimerHandle | None = None
        self._scan_count = 0
        self.stalls = StallDetector(self.clock())
        self._heartbeat_timer: asyncio.TimerHandle | None = None
        self.connections = dict[ClientConnection, None]()  # in the order of their connecting
        self._acceptor: Acceptor | None = None
        self._is_inherited = False
        self._is_empty = asyncio.Event()

    async def listen(
        self, host: str, port: int, inherited: socket.socket | None = None, beside: bool = False
    ) -> tuple[str, int]:
        """Accept connections at an address or from an inherited listening socket; returns the address.

        With ``beside`` other processes may listen at the same address. Raises OSError.
        """
        self._is_inherited = inherited is not None
        listening = inherited or await create_listening_socket(host, port, reuse_port=beside)
        self._acceptor = Acceptor(listening, self._new_connection, self._on_accept_error)
        self.stalls = StallDetector(self.clock())  # from now on clients are served
        self._scan()
        self._beat()
        return self._acceptor.address

    def _on_accept_error(self, error: OSError) -> None:
        self.stats.accept_errors[errno_name(error)] += 1

    def _new_connection(self) -> ClientConnection:
        return ClientConnection(self)

    def connected(self, client: ClientConnection) -> None:
        """Register a connection; at the limit another one is evicted or, with all busy, this one aborted."""
        if len(self.connections) >= self._max_connections and not self._evict_one():
            log.warning("out of client connections")
            client.abort(CloseReason.OUT_OF_CONNECTIONS)
        self.stats.accepted += 1
        self.connections[client] = None

    def _evict_one(self) -> bool:
        return any(closer.evict() for closer in self._eviction_candidates())

    def _eviction_candidates(self) -> list[ConnectionCloser]:
        """The connections that may be evicted, the first one first."""
        candidates = [
            (order, client.closer)
            for client in self.connections
            if (order := client.closer.eviction_order) is not None
        ]
        candidates.sort(key=lambda candidate: candidate[0])
        return [closer for _, closer in candidates]

    def disconnected(self, client: ClientConnection) -> None:
        """Forget a connection."""
        self.connections.pop(client, None)
        if not self.connections:
            self._is_empty.set()

    def _scan(self) -> None:
        """Check the timeouts of all connections, now and in each ``SCAN_INTERVAL``."""
        if self._scan_timer is not None:
            self._scan_timer.cancel()
        self._scan_timer = asyncio.get_running_loop().call_later(SCAN_INTERVAL, self._scan)
        now = self.clock()
        for client in list(self.connections):
            try:
                client.check_timeouts(now)
            except Exception:
                log.exception("a client's time-outs could not be checked")
        self._scan_count += 1
        if self._scan_count % SCANS_PER_LOG_LINE == 0:
            self.stats.log_counts(len(self.connections))

    def _beat(self) -> None:
        """Note that the event loop runs, also while no client sends."""
        self.stalls.mark(self.clock())
        self._heartbeat_timer = asyncio.get_running_loop().call_later(HEARTBEAT_INTERVAL, self._beat)

    @property
    def closes_connections(self) -> bool:
        """Whether responses say that their connection closes."""
        return self.draining or self.active_connections > self._crowded_above

    def start_draining(self) -> None:
        """From now on every response says that its connection closes."""
        self.draining = True

    def set_max_connections(self, max_connections: int) -> None:
        """Set another limit, while another process serves the other connections; evict what is beyond it.

        The crowded share stays: clients leave the old process for good then, and would only connect twice.
        """
        self._max_connections = max_connections
        open_connections = sum(not client.closer.is_closed for client in self.connections)
        excess = open_connections - max_connections
        for closer in self._eviction_candidates():
            if excess <= 0:
                return
            excess -= closer.evict()

    async def stop_accepting(self) -> None:
        """Accept no more connections; an inherited socket stays with whoever else holds it.

        Where nobody does, the connections in the accept queue are established already for their clients and
        would be reset with what they have sent: they are taken.
        """
        acceptor = self._acceptor
        self._acceptor = None
        if acceptor is not None:
            await acceptor.close(None if self._is_inherited else DESCRIPTOR_WAIT)

    async def wait_until_empty(self, grace: float) -> None:
        """Wait at most ``grace`` seconds for all connections to end with their responses, or idle."""
        self._is_empty.clear()
        if self.connections:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._is_empty.wait(), grace)

    async def close(self, grace: float) -> None:
        """Stop accepting, close idle connections, and wait ``grace`` seconds for the others to end.

        The scans go on: a connection may become idle only now, and a slow sender is still owed its error.
        """
        await self.stop_accepting()
        await asyncio.sleep(0)  # what has just been accepted is registered then
        self.closes_idle_connections = True
        self._scan()
        await self.wait_until_empty(grace)
        for timer in (self._scan_timer, self._heartbeat_timer):
            if timer is not None:
                timer.cancel()
