"""An HTTP client of a limiter, with at most one open request on each connection."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import cast

from scale.processes import split_address

NO_RESPONSE = 0  # status if no complete response was received
STATUS_CODE_SLICE = slice(9, 12)  # position of the status code in a status line
MICROSECONDS_PER_SECOND = 1e6


@dataclass(frozen=True, slots=True)
class Response:
    """A response as its client received it, with the endpoint's report."""

    status: int  # or ``NO_RESPONSE``
    received_at: float  # seconds of ``time.monotonic``
    service_time: float = 0.0  # seconds at the endpoint
    # Whether the request was the first on the limiter's connection to the endpoint.
    on_new_connection: bool = False

    @property
    def is_served(self) -> bool:
        """Whether an endpoint served the request."""
        return self.status == HTTPStatus.OK

    @property
    def is_rejected(self) -> bool:
        """Whether the limiter rejected the request."""
        return self.status == HTTPStatus.TOO_MANY_REQUESTS


OnResponse = Callable[[Response], None]


@dataclass(frozen=True, slots=True)
class _EndpointReport:
    """An endpoint's report on a request."""

    service_time: float  # seconds
    on_new_connection: bool


@dataclass(frozen=True, slots=True)
class _ParsedResponse:
    """A complete response, and whether its connection closes."""

    response: Response
    closes_connection: bool


def encode_request(request_id: str, path: str, plan: str, timeout: float, serving_gateways: int) -> bytes:
    """Return a request for one unit; its priority class is the first part of the path.

    ``timeout`` is in seconds; ``serving_gateways`` is the number of limiters that serve the tenant.
    """
    priority_class = path[1:].partition("?")[0]
    return (
        f"GET {path} HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: {request_id}\r\n"
        f"X-Priority-Class: {priority_class}\r\nX-Plan: {plan}\r\n"
        f"X-Timeout-Ms: {int(timeout * 1000)}\r\n"
        f"X-Quota: units=1,spread={serving_gateways},first=0\r\n\r\n"
    ).encode()


def _parse_response(data: bytes) -> _ParsedResponse | None:
    """Parse a response; return None if it is not complete yet."""
    head, end, body = data.partition(b"\r\n\r\n")
    if not end:
        return None
    fields = dict(line.partition(b": ")[::2] for line in head.lower().split(b"\r\n")[1:])
    if len(body) < int(fields.get(b"content-length", b"0")):
        return None
    report = _parse_report(fields.get(b"x-served"))
    response = Response(
        int(head[STATUS_CODE_SLICE]), time.monotonic(), report.service_time, report.on_new_connection
    )
    return _ParsedResponse(response, closes_connection=fields.get(b"connection") == b"close")


def _parse_report(report: bytes | None) -> _EndpointReport:
    """Parse ``us=MICROSECONDS,first=F``, where F is 1 on a new connection and 0 otherwise."""
    if report is None:
        return _EndpointReport(0.0, on_new_connection=False)
    service_time, first = report.split(b",")
    seconds = int(service_time.removeprefix(b"us=")) / MICROSECONDS_PER_SECOND
    return _EndpointReport(seconds, on_new_connection=first.endswith(b"1"))


class _ClientConnection(asyncio.Protocol):
    """One connection, with one open request at a time."""

    def __init__(self, client: HttpClient) -> None:
        self._client = client
        self._buffer = b""
        self._request = b""
        self._is_retry = False
        self._on_response: OnResponse | None = None
        self.transport: asyncio.Transport | None = None

    @property
    def is_open(self) -> bool:
        """Whether a request can be sent."""
        return self.transport is not None and not self.transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        # uvloop's transports are not subclasses of ``asyncio.Transport``.
        self.transport = cast(asyncio.Transport, transport)

    def send(self, request: bytes, on_response: OnResponse, *, is_retry: bool) -> None:
        """Send a request; the connection must be open and idle."""
        assert self.transport is not None
        self._request = request
        self._on_response = on_response
        self._is_retry = is_retry
        self._buffer = b""
        self.transport.write(request)

    def data_received(self, data: bytes) -> None:
        """Deliver a complete response, after making the connection idle unless the response closes it."""
        self._buffer += data
        on_response = self._on_response
        if on_response is None:
            return
        parsed = _parse_response(self._buffer)
        if parsed is None:
            return
        self._on_response = None
        if not parsed.closes_connection:
            self._client.add_idle(self)
        on_response(parsed.response)

    def connection_lost(self, exc: Exception | None) -> None:
        """Retry an open request once if no byte of its response has arrived; else deliver ``NO_RESPONSE``."""
        self.transport = None
        self._client.remove_idle(self)
        on_response = self._on_response
        if on_response is None:
            return
        self._on_response = None
        if self._is_retry or self._buffer:
            on_response(Response(NO_RESPONSE, time.monotonic()))
        else:
            # The limiter may have closed an idle connection, in which case the protocol allows a retry.
            self._client.send_on_new_connection(self._request, on_response, is_retry=True)


class HttpClient:
    """A pool of connections to one address; a request opens a connection if none is idle."""

    def __init__(self, address: str) -> None:
        """``address`` is ``host:port``."""
        self._host, self._port = split_address(address)
        self._idle = deque[_ClientConnection]()
        self._tasks = set[asyncio.Task[None]]()

    async def open_connections(self, number: int) -> None:
        """Open connections in advance, so that connecting does not count as added latency."""
        for _ in range(number):
            self._idle.append(await self._connect())

    def add_idle(self, connection: _ClientConnection) -> None:
        """Make a connection available for another request."""
        self._idle.append(connection)

    def remove_idle(self, connection: _ClientConnection) -> None:
        """Remove a closed connection from the idle connections, if it is one of them."""
        if connection in self._idle:
            self._idle.remove(connection)

    def send(self, request: bytes, on_response: OnResponse) -> None:
        """Send a request; ``on_response`` gets its response, with status ``NO_RESPONSE`` if there is none."""
        while self._idle:
            # Takes the connection that has been idle longest, before the limiter closes it.
            connection = self._idle.popleft()
            if connection.is_open:
                connection.send(request, on_response, is_retry=False)
                return
        self.send_on_new_connection(request, on_response, is_retry=False)

    def send_on_new_connection(self, request: bytes, on_response: OnResponse, *, is_retry: bool) -> None:
        """Open a connection and send a request on it; ``on_response`` gets the response, as in ``send``."""
        sending = self._connect_and_send(request, on_response, is_retry=is_retry)
        task = asyncio.get_running_loop().create_task(sending)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connect(self) -> _ClientConnection:
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(lambda: _ClientConnection(self), self._host, self._port)
        return connection

    async def _connect_and_send(self, request: bytes, on_response: OnResponse, *, is_retry: bool) -> None:
        try:
            connection = await self._connect()
        except OSError:
            on_response(Response(NO_RESPONSE, time.monotonic()))
            return
        if connection.transport is None:
            on_response(Response(NO_RESPONSE, time.monotonic()))
        else:
            connection.send(request, on_response, is_retry=is_retry)

    async def fetch(self, request: bytes) -> Response:
        """Send a request and return its response."""
        received: asyncio.Future[Response] = asyncio.get_running_loop().create_future()

        def on_response(response: Response) -> None:
            if not received.done():
                received.set_result(response)

        self.send(request, on_response)
        return await received

    def close(self) -> None:
        """Reset the idle connections."""
        for connection in list(self._idle):
            if connection.transport is not None:
                connection.transport.abort()
