"""The clients of a limiter: connections that send requests without waiting for each other's responses."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import cast

from scale.processes import split_address

BROKEN = 0  # status of a response that did not come
STATUS_CODE = slice(9, 12)  # of a status line


@dataclass(slots=True)
class Response:
    """What a client got: the status, when, and what the endpoint reports of it."""

    status: int  # ``BROKEN`` where there is none
    received_at: float  # seconds of ``time.monotonic``
    service_time: float = 0.0  # seconds at the endpoint
    on_new_connection: bool = False  # the first request on the limiter's connection to the endpoint

    @property
    def is_served(self) -> bool:
        """Whether an endpoint answered."""
        return self.status == HTTPStatus.OK

    @property
    def is_rejected(self) -> bool:
        """Whether the limiter rejected the request."""
        return self.status == HTTPStatus.TOO_MANY_REQUESTS


OnResponse = Callable[[Response], None]


def encode_request(request_id: str, path: str, plan: str, timeout: float, serving_gateways: int) -> bytes:
    """A client's request for one unit; its priority class is the first part of the path.

    ``timeout`` is in seconds; ``serving_gateways`` is how many limiters serve the tenant.
    """
    priority_class = path[1:].partition("?")[0]
    return (
        f"GET {path} HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: {request_id}\r\n"
        f"X-Priority-Class: {priority_class}\r\nX-Plan: {plan}\r\n"
        f"X-Timeout-Ms: {int(timeout * 1000)}\r\n"
        f"X-Quota: units=1,spread={serving_gateways},first=0\r\n\r\n"
    ).encode()


def _parse_response(data: bytes) -> tuple[Response, bool] | None:
    """The response and whether its connection closes; None while it is not complete."""
    head, end, body = data.partition(b"\r\n\r\n")
    if not end:
        return None
    fields = dict(line.partition(b": ")[::2] for line in head.lower().split(b"\r\n")[1:])
    if len(body) < int(fields.get(b"content-length", b"0")):
        return None
    response = Response(int(head[STATUS_CODE]), time.monotonic())
    report = fields.get(b"x-served")
    if report is not None:  # us=MICROSECONDS,first=0 or 1
        service_time, first = report.split(b",")
        response.service_time = int(service_time.removeprefix(b"us=")) / 1e6
        response.on_new_connection = first.endswith(b"1")
    return response, fields.get(b"connection") == b"close"


class _ClientConnection(asyncio.Protocol):
    """One connection; one request at a time."""

    def __init__(self, client: HttpClient) -> None:
        self._client = client
        self._buffer = b""
        self._request = b""
        self._is_retry = False
        self._on_response: OnResponse | None = None
        self.transport: asyncio.Transport | None = None

    @property
    def is_open(self) -> bool:
        """Whether a request can be written."""
        return self.transport is not None and not self.transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Ready for requests."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's are no subclass of it

    def send(self, request: bytes, on_response: OnResponse, is_retry: bool) -> None:
        """Write a request; the connection must be open and idle."""
        assert self.transport is not None
        self._request = request
        self._on_response = on_response
        self._is_retry = is_retry
        self._buffer = b""
        self.transport.write(request)

    def data_received(self, data: bytes) -> None:
        """Pass a complete response on; the connection is idle then, unless the response closes it."""
        self._buffer += data
        on_response = self._on_response
        if on_response is None:
            return
        parsed = _parse_response(self._buffer)
        if parsed is None:
            return
        response, closes = parsed
        self._on_response = None
        if not closes:
            self._client.idle.append(self)
        on_response(response)

    def connection_lost(self, exc: Exception | None) -> None:
        """Retry a request of which nothing has come back; report a broken response for another one."""
        self.transport = None
        if self in self._client.idle:
            self._client.idle.remove(self)
        on_response = self._on_response
        if on_response is None:
            return
        self._on_response = None
        if self._is_retry or self._buffer:
            on_response(Response(BROKEN, time.monotonic()))
        else:  # the other side closed it meanwhile: once more on a new connection, as the protocol says
            self._client.send_on_new_connection(self._request, on_response, is_retry=True)


class HttpClient:
    """Connections to one address; a request that finds none idle opens one."""

    def __init__(self, address: str) -> None:
        """``address`` is ``host:port``."""
        self._host, self._port = split_address(address)
        self.idle = deque[_ClientConnection]()
        self._tasks = set[asyncio.Task[None]]()

    async def open_connections(self, number: int) -> None:
        """Open connections beforehand: connecting by the clients is no part of what a limiter adds."""
        for _ in range(number):
            self.idle.append(await self._connect())

    def send(self, request: bytes, on_response: OnResponse) -> None:
        """Write a request; ``on_response`` gets its response, a ``BROKEN`` one where none comes."""
        while self.idle:
            connection = self.idle.popleft()  # in turn, so that none idles until the limiter closes it
            if connection.is_open:
                connection.send(request, on_response, is_retry=False)
                return
        self.send_on_new_connection(request, on_response, is_retry=False)

    def send_on_new_connection(self, request: bytes, on_response: OnResponse, is_retry: bool) -> None:
        """Connect and write a request there, as ``send``."""
        work = self._connect_and_send(request, on_response, is_retry)
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connect(self) -> _ClientConnection:
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(lambda: _ClientConnection(self), self._host, self._port)
        return connection

    async def _connect_and_send(self, request: bytes, on_response: OnResponse, is_retry: bool) -> None:
        try:
            connection = await self._connect()
        except OSError:
            on_response(Response(BROKEN, time.monotonic()))
            return
        if connection.transport is None:
            on_response(Response(BROKEN, time.monotonic()))
        else:
            connection.send(request, on_response, is_retry)

    async def fetch(self, request: bytes) -> Response:
        """Send, and wait for the response."""
        received: asyncio.Future[Response] = asyncio.get_running_loop().create_future()

        def on_response(response: Response) -> None:
            if not received.done():
                received.set_result(response)

        self.send(request, on_response)
        return await received

    def close(self) -> None:
        """Reset the idle connections."""
        for connection in list(self.idle):
            if connection.transport is not None:
                connection.transport.abort()
