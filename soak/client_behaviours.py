"""Client behaviours that are not one complete exchange: pipelining, idle connections, incomplete requests."""

from __future__ import annotations

import asyncio
import contextlib
import time
from dataclasses import dataclass
from random import Random

from soak.client_connection import Connection, ConnectionPool, IncompleteResponseError
from soak.client_exchanges import ClientExchanges
from soak.history import (
    TRUNCATED_RESPONSE_STATUS,
    ClientBehaviour,
    ClientRequest,
    History,
    IncompleteRequest,
    RequestOutcome,
)
from soak.request_factory import RequestFactory
from soak.streams import write_data

INCOMPLETE_REQUEST_WAIT_SECONDS = 8.0
INCOMPLETE_HEAD_BYTES = 60
PIPELINED_REQUESTS = 3
MIN_IDLE_SECONDS = 0.2
MAX_IDLE_SECONDS = 4.0  # a limiter may end an idle connection after 2 s
MAX_FLOOD_CONNECT_DELAY_SECONDS = 0.3  # longest delay before a client of a connection flood connects
LONGER_THAN_ANY_RUN_SECONDS = 3600.0
HEALTH_CHECKS = b"GET /healthz HTTP/1.1\r\n\r\n" * 100
READ_BYTES = 65536


@dataclass(frozen=True, slots=True)
class _StoppingPoint:
    """The point of a request at which a client stops sending."""

    name: str
    body_size: int
    sent_body_bytes: int  # 0: the client stops within the head


STOPPING_POINTS = (
    _StoppingPoint("head", 200, 0),
    _StoppingPoint("body", 200, 50),
    _StoppingPoint("body after a fast start", 65_000, 60_000),
    _StoppingPoint("upload", 2_000_000, 1_000_000),
)


class ClientBehaviours:
    """Runs these behaviours for the clients of one limiter."""

    def __init__(
        self,
        connections: ConnectionPool,
        exchanges: ClientExchanges,
        factory: RequestFactory,
        history: History,
        random: Random,
    ) -> None:
        """Send requests of ``factory``, and record incomplete ones in ``history``."""
        self._connections = connections
        self._exchanges = exchanges
        self._factory = factory
        self._history = history
        self._random = random

    async def send_pipelined_requests(self) -> None:
        """Send several requests at once on one connection; the responses arrive in the same order."""
        requests = [self._factory.make(ClientBehaviour.PIPELINING) for _ in range(PIPELINED_REQUESTS)]
        try:
            connection = await self._connections.connect()
        except OSError:
            for request in requests:
                request.end(RequestOutcome.CONNECTION_REFUSED)
            return
        try:
            for request in requests:
                request.begin_exchange(connection.local_port, on_new_connection=request is requests[0])
                await self._exchanges.write(request, connection.writer)
                request.mark_sent()
            for request in requests:
                if await self._exchanges.wait_for_response(request, connection) is None:
                    _mark_disconnected(requests)
                    break
        except IncompleteResponseError as error:
            if error.has_head:
                _first_open(requests).receive_response(TRUNCATED_RESPONSE_STATUS)
        except OSError:
            pass
        connection.abort()
        await self._end_pipelined(requests)

    async def _end_pipelined(self, requests: list[ClientRequest]) -> None:
        """End the open requests of a connection that has ended, or send them again.

        The limiter must answer the first request of a new connection. The others are sent again on new
        connections, because the limiter may have closed the connection before they reached it.
        """
        for request in requests:
            if request.outcome is not RequestOutcome.OPEN:
                continue
            if request.on_new_connection or not request.sent_at:
                request.end(RequestOutcome.CONNECTION_CLOSED)
            else:
                await self._exchanges.resend(request)

    async def idle_between_requests(self) -> None:
        """Send a request, leave the connection idle for a random time, and send a second request on it.

        No second request is sent if the limiter ends the connection while it is idle. If the limiter ends it
        before the second request arrives, this request is sent again on a new connection.
        """
        first = self._factory.make(ClientBehaviour.IDLE_BETWEEN_REQUESTS)
        try:
            connection = await self._connections.connect()
        except OSError:
            first.end(RequestOutcome.CONNECTION_REFUSED)
            return
        first.begin_exchange(connection.local_port, on_new_connection=True)
        response = await self._exchanges.send_and_wait(first, connection)
        if response is None or not response.keeps_connection:
            connection.abort()
            return
        connection.mark_reused()
        if await _ends_within(connection, self._random.uniform(MIN_IDLE_SECONDS, MAX_IDLE_SECONDS)):
            connection.abort()
            return
        second = self._factory.make(ClientBehaviour.IDLE_BETWEEN_REQUESTS)
        await self._exchanges.run(second, connection)
        if second.outcome is RequestOutcome.CONNECTION_CLOSED:
            await self._exchanges.resend(second)

    async def send_incomplete_request(self) -> None:
        """Stop sending within a request, stay connected, and record when the limiter ends the exchange."""
        point = self._random.choice(STOPPING_POINTS)
        request = self._factory.make_incomplete(point.body_size)
        head = self._factory.format_head(request)
        sent = head + b"x" * point.sent_body_bytes if point.sent_body_bytes else head[:INCOMPLETE_HEAD_BYTES]
        try:
            connection = await self._connections.connect()
            write_data(connection.writer, sent)
            await connection.writer.drain()
        except OSError:
            request.end(RequestOutcome.CONNECTION_REFUSED)
            return
        stopped_at = time.monotonic()
        ended_at = await _wait_for_end(connection)
        request.end(RequestOutcome.NOT_COMPLETED)
        self._history.incomplete_requests.append(
            IncompleteRequest(request.limiter, point.name, stopped_at, ended_at)
        )
        connection.abort()

    async def keep_idle_connection(self) -> None:
        """Keep one idle connection open until cancelled; connect again when the limiter closes it."""
        while True:
            await asyncio.sleep(self._random.uniform(0.0, MAX_FLOOD_CONNECT_DELAY_SECONDS))
            try:
                connection = await self._connections.connect()
            except OSError:
                continue
            try:
                await _ends_within(connection, LONGER_THAN_ANY_RUN_SECONDS)
            finally:
                connection.abort()

    async def send_hostile_payload(self, payload: bytes) -> None:
        """Send an incomplete request until cancelled; connect again when the limiter ends the connection."""
        while True:
            await asyncio.sleep(self._random.uniform(0.0, MAX_FLOOD_CONNECT_DELAY_SECONDS))
            try:
                connection = await self._connections.connect()
            except OSError:
                continue
            try:
                write_data(connection.writer, payload)
                await _ends_within(connection, LONGER_THAN_ANY_RUN_SECONDS)
            finally:
                connection.abort()

    async def flood_with_health_checks(self) -> None:
        """Send health checks on one connection until cancelled; connect again if the limiter closes it."""
        while True:
            await asyncio.sleep(self._random.uniform(0.0, MAX_FLOOD_CONNECT_DELAY_SECONDS))
            try:
                connection = await self._connections.connect()
            except OSError:
                continue
            reading = asyncio.create_task(_read_to_end(connection))
            try:
                while not reading.done():
                    write_data(connection.writer, HEALTH_CHECKS)
                    await connection.writer.drain()
            except OSError:
                pass
            finally:
                reading.cancel()
                connection.abort()


async def _read_to_end(connection: Connection) -> None:
    with contextlib.suppress(OSError):
        while await connection.reader.read(READ_BYTES):
            pass


def _first_open(requests: list[ClientRequest]) -> ClientRequest:
    return next(request for request in requests if request.outcome is RequestOutcome.OPEN)


def _mark_disconnected(requests: list[ClientRequest]) -> None:
    """End the requests of a client that gives up and closes its connection."""
    for request in requests:
        if request.outcome is RequestOutcome.OPEN:
            request.end(RequestOutcome.DISCONNECTED)


async def _ends_within(connection: Connection, seconds: float) -> bool:
    """Return whether the limiter ends an idle connection within ``seconds``."""
    try:
        async with asyncio.timeout(seconds):
            await connection.reader.read(1)
    except TimeoutError:
        return False
    except OSError:
        pass
    return True


async def _wait_for_end(connection: Connection) -> float:
    """Return the time of the first byte of a response or of the close; 0 if neither arrives in time."""
    try:
        async with asyncio.timeout(INCOMPLETE_REQUEST_WAIT_SECONDS):
            await connection.reader.read(1)
    except TimeoutError:
        return 0.0
    except OSError:
        pass
    return time.monotonic()
