"""Stand-in of the endpoints: HTTP servers that respond after a random service time and report it."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from random import Random
from typing import Self

from scale.stand_ins.connection import LoopbackListener, StandInConnection
from scale.stand_ins.timers import PreciseTimers

MIN_IDLE_CHECK_SECONDS = 0.05  # shortest interval between two checks of an idle connection
SENDER_BYTES = 4  # the first bytes of a request id are the number of its client
MICROSECONDS_PER_SECOND = 1e6


@dataclass(frozen=True, slots=True)
class EndpointsSpec:
    """The ports of the endpoints and their behaviour.

    The first ``idle_closing_ports`` close idle connections; the next ``slow_setup_ports`` need longer for the
    first request of a connection.
    """

    ports: int = 16
    min_service_time: float = 0.004  # seconds
    max_service_time: float = 0.016  # seconds
    idle_closing_ports: int = 1
    idle_timeout: float = 0.3  # seconds
    slow_setup_ports: int = 1
    setup_time: float = 0.0015  # additional seconds of the first request of a connection
    keep_alive: bool = True  # False: each response closes its connection


class EndpointsStandIn:
    """Responds to each request after its service time, and reports that in ``X-Served``."""

    def __init__(self, spec: EndpointsSpec, timers: PreciseTimers, seed: int = 1) -> None:
        """``seed`` determines the service times."""
        self.spec = spec
        self.timers = timers
        self.rng = Random(seed)
        self.last_request_at = dict[str, float]()  # time by "port sender", in seconds of ``time.monotonic``
        self._connections = set[_EndpointConnection]()

    async def open(self) -> list[str]:
        """Listen; return ``host:port`` of each port in the order of the indices."""
        return [
            await LoopbackListener(self._connection_maker(port)).open() for port in range(self.spec.ports)
        ]

    def record_request(self, port: int, sender: str, at: float) -> None:
        """Record the time of the last request of a sender to a port."""
        self.last_request_at[f"{port} {sender}"] = at

    def _connection_maker(self, port: int) -> Callable[[], StandInConnection]:
        return lambda: _EndpointConnection(self, port, self._connections)


class _EndpointConnection(StandInConnection):
    def __init__(self, endpoints: EndpointsStandIn, port: int, connections: set[Self]) -> None:
        super().__init__(connections)
        self._endpoints = endpoints
        self._port = port
        self._is_new = True
        self._is_busy = False
        self._last_used = time.monotonic()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the idle timeout if the port closes idle connections."""
        super().connection_made(transport)
        if self._port < self._endpoints.spec.idle_closing_ports:
            self._close_when_idle()

    def _close_when_idle(self) -> None:
        if self.transport is None:
            return
        remaining = self._last_used + self._endpoints.spec.idle_timeout - time.monotonic()
        if remaining <= 0 and not self._is_busy:
            self.transport.close()
        else:
            loop = asyncio.get_running_loop()
            loop.call_later(max(MIN_IDLE_CHECK_SECONDS, remaining), self._close_when_idle)

    def data_received(self, data: bytes) -> None:
        """Schedule the response to a complete request."""
        self.buffer += data
        if b"\r\n\r\n" not in self.buffer:
            return
        now = time.monotonic()
        head = self.buffer.lower()
        self.buffer = b""
        sender = head.partition(b"x-request-id: ")[2][:SENDER_BYTES].decode()
        self._endpoints.record_request(self._port, sender, now)
        setup = self._setup_time()
        is_first = self._is_new
        self._is_new = False
        self._is_busy = True
        spec = self._endpoints.spec
        due = now + setup + self._endpoints.rng.uniform(spec.min_service_time, spec.max_service_time)
        self._endpoints.timers.call_at(due, partial(self._respond, now + setup, is_first=is_first))

    def _setup_time(self) -> float:
        spec = self._endpoints.spec
        first_slow = spec.idle_closing_ports
        is_slow = first_slow <= self._port < first_slow + spec.slow_setup_ports
        return spec.setup_time if self._is_new and is_slow else 0.0

    def _respond(self, started_at: float, *, is_first: bool) -> None:
        self._last_used = time.monotonic()
        self._is_busy = False
        served_us = (self._last_used - started_at) * MICROSECONDS_PER_SECOND
        close = b"" if self._endpoints.spec.keep_alive else b"Connection: close\r\n"
        self.write(
            b"HTTP/1.1 200 OK\r\nX-Served: us=%d,first=%d\r\n%bContent-Length: 2\r\n\r\nhi"
            % (served_us, is_first, close)
        )
        if close and self.transport is not None:
            self.transport.close()
