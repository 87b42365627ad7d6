"""The clients of a run: they send the traffic of one limiter, plain or with a faulty behaviour."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from random import Random

from soak.client_connection import (
    Connection,
    ConnectionPool,
    IncompleteResponseError,
    Response,
    read_response,
)
from soak.history import (
    TRUNCATED_RESPONSE_STATUS,
    ClientBehaviour,
    ClientRequest,
    History,
    IncompleteRequest,
    RequestOutcome,
)
from soak.request_factory import RequestFactory
from soak.streams import write_end, write_open

REQUESTS_PER_SECOND = 12.0
RESPONSE_PATIENCE_SECONDS = 2.0  # after the request's timeout
DISCONNECT_WITHIN_SECONDS = 0.2
CLOSE_ON_DISCONNECT_FRACTION = 0.5  # the other clients reset the connection
INCOMPLETE_REQUEST_PATIENCE_SECONDS = 8.0
MAX_RETRIES = 2
RETRYABLE_STATUSES = (429, 503)
MIN_RETRY_DELAY_SECONDS = 0.01
MAX_RETRY_DELAY_SECONDS = 0.1
PIPELINED_REQUESTS = 3
HEAD_FRAGMENT_BYTES = 40
HEAD_FRAGMENT_GAP_SECONDS = 0.002
BODY_CHUNK_BYTES = 30_000
UPLOAD_GAP_SECONDS = 0.02
INCOMPLETE_HEAD_BYTES = 60
MIN_REST_SECONDS = 0.2
MAX_REST_SECONDS = 4.0  # a limiter may end an idle connection after 2 s
MAX_CROWD_GAP_SECONDS = 0.3  # between two connections of one client of a crowd
LONGER_THAN_ANY_RUN_SECONDS = 3600.0


@dataclass(frozen=True, slots=True)
class _StoppingPoint:
    """The point of a request at which a client stops; without body bytes it is within the head."""

    name: str
    body_size: int
    sent_body_bytes: int


STOPPING_POINTS = (
    _StoppingPoint("head", 200, 0),
    _StoppingPoint("body", 200, 50),
    _StoppingPoint("body after a fast start", 65_000, 60_000),
    _StoppingPoint("upload", 2_000_000, 1_000_000),
)


class LimiterClients:
    """All clients of one limiter.

    Behaviours are drawn by their fractions for each request; the other requests are plain. While new
    connections are blocked, requests use idle connections only.
    """

    def __init__(
        self,
        limiter: int,
        connections: ConnectionPool,
        factory: RequestFactory,
        history: History,
        random: Random,
    ) -> None:
        """Send the requests of ``factory`` over ``connections``."""
        self._limiter = limiter
        self._connections = connections
        self._factory = factory
        self._history = history
        self._random = random
        self._rate = REQUESTS_PER_SECOND
        self._fractions = dict[ClientBehaviour, float]()
        self._may_connect = True
        self._tasks = set[asyncio.Task[None]]()

    def scale_rate(self, factor: float) -> None:
        """Multiply the request rate."""
        self._rate *= factor

    def start_behaviour(self, behaviour: ClientBehaviour, fraction: float) -> None:
        """Let a fraction of the requests show a behaviour."""
        self._fractions[behaviour] = fraction

    def end_behaviour(self, behaviour: ClientBehaviour) -> None:
        """Let no further request show a behaviour."""
        self._fractions.pop(behaviour, None)

    def block_connects(self) -> None:
        """Open no new connections."""
        self._may_connect = False

    def allow_connects(self) -> None:
        """Open new connections again."""
        self._may_connect = True

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            await asyncio.sleep(self._random.expovariate(self._rate))
            if self._may_connect or self._connections.has_idle:
                self._start_request(self._draw_behaviour())

    async def finish(self) -> None:
        """Wait for the open requests, then close the connections."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=2 * INCOMPLETE_REQUEST_PATIENCE_SECONDS)
        for task in self._tasks:
            task.cancel()
        self._connections.close()

    def _draw_behaviour(self) -> ClientBehaviour:
        draw = self._random.random()
        for behaviour, fraction in self._fractions.items():
            draw -= fraction
            if draw < 0:
                return behaviour
        return ClientBehaviour.PLAIN

    def _start_request(self, behaviour: ClientBehaviour) -> None:
        if behaviour is ClientBehaviour.INCOMPLETE_REQUEST:
            sending = self._send_incomplete_request()
        elif behaviour is ClientBehaviour.PIPELINING:
            sending = self._send_pipelined_requests()
        elif behaviour is ClientBehaviour.RESTING:
            sending = self._rest_between_requests()
        else:
            sending = self._send_request(behaviour, MAX_RETRIES)
        task = asyncio.create_task(sending)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._history.record_runner_error("a client failed", task.exception())

    async def _send_request(self, behaviour: ClientBehaviour, retries: int) -> None:
        request = self._factory.make(behaviour)
        try:
            connection = await self._connections.acquire()
        except OSError:
            request.end(RequestOutcome.CONNECTION_REFUSED)
            return
        await self._exchange(request, connection)
        if request.outcome is RequestOutcome.CONNECTION_CLOSED and not request.on_new_connection:
            await self._resend(request)  # the limiter may have closed the idle connection before the request
        is_rejected = request.status in RETRYABLE_STATUSES
        if behaviour is ClientBehaviour.IMMEDIATE_RETRIES and retries and is_rejected:
            await asyncio.sleep(self._random.uniform(MIN_RETRY_DELAY_SECONDS, MAX_RETRY_DELAY_SECONDS))
            await self._send_request(behaviour, retries - 1)

    async def _exchange(self, request: ClientRequest, connection: Connection) -> None:
        request.begin_exchange(connection.local_port, on_new_connection=connection.is_new)
        response = await self._exchange_once(request, connection)
        if response is None:
            if request.outcome is not RequestOutcome.DISCONNECTED:
                connection.abort()
        elif response.keeps_connection and request.behaviour is not ClientBehaviour.HALF_CLOSE:
            self._connections.release(connection)
        else:
            connection.close()

    async def _exchange_once(self, request: ClientRequest, connection: Connection) -> Response | None:
        """Send a request and wait for its response; return None and end the request if there is none."""
        try:
            await self._write(request, connection.writer)
            request.mark_sent()
            if request.behaviour is ClientBehaviour.HALF_CLOSE:
                write_end(connection.writer)
            return await self._wait_for_response(request, connection)
        except IncompleteResponseError as error:
            if error.has_head:
                request.receive_response(TRUNCATED_RESPONSE_STATUS)
            else:
                request.end(RequestOutcome.CONNECTION_CLOSED)
        except OSError:
            request.end(RequestOutcome.CONNECTION_CLOSED)
        return None

    async def _write(self, request: ClientRequest, writer: asyncio.StreamWriter) -> None:
        head = self._factory.format_head(request)
        if request.behaviour is ClientBehaviour.FRAGMENTED_REQUEST:
            for start in range(0, len(head), HEAD_FRAGMENT_BYTES):
                write_open(writer, head[start : start + HEAD_FRAGMENT_BYTES])
                await asyncio.sleep(HEAD_FRAGMENT_GAP_SECONDS)
        else:
            write_open(writer, head)
        for start in range(0, request.body_size, BODY_CHUNK_BYTES):
            write_open(writer, b"x" * min(BODY_CHUNK_BYTES, request.body_size - start))
            await writer.drain()
            if request.body_size > BODY_CHUNK_BYTES:
                await asyncio.sleep(UPLOAD_GAP_SECONDS)

    async def _wait_for_response(self, request: ClientRequest, connection: Connection) -> Response | None:
        """Wait as long as the client's behaviour says; return None if it gave up."""
        disconnects = request.behaviour is ClientBehaviour.DISCONNECT
        patience = request.timeout + RESPONSE_PATIENCE_SECONDS
        if disconnects:
            patience = self._random.uniform(0.0, DISCONNECT_WITHIN_SECONDS)
        try:
            async with asyncio.timeout(patience):
                response = await read_response(connection.reader)
        except TimeoutError:
            request.end(RequestOutcome.DISCONNECTED if disconnects else RequestOutcome.TIMED_OUT)
            if disconnects:
                self._disconnect(connection)
            return None
        request.receive_response(response.status, response.body)
        return response

    def _disconnect(self, connection: Connection) -> None:
        if self._random.random() < CLOSE_ON_DISCONNECT_FRACTION:
            connection.close()
        else:
            connection.abort()

    async def _send_pipelined_requests(self) -> None:
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
                await self._write(request, connection.writer)
                request.mark_sent()
            for request in requests:
                if await self._wait_for_response(request, connection) is None:
                    break
        except IncompleteResponseError as error:
            if error.has_head:
                _first_open(requests).receive_response(TRUNCATED_RESPONSE_STATUS)
        except OSError:
            pass
        connection.abort()
        await self._end_pipelined(requests)

    async def _end_pipelined(self, requests: list[ClientRequest]) -> None:
        """End the requests whose connection has ended.

        The close of the limiter may have crossed all but the first one: these are sent again.
        """
        for request in requests:
            if request.outcome is not RequestOutcome.OPEN:
                continue
            if request.on_new_connection or not request.sent_at:
                request.end(RequestOutcome.CONNECTION_CLOSED)
            else:
                await self._resend(request)

    async def _resend(self, request: ClientRequest) -> None:
        """Send a request again on a new connection."""
        request.mark_resent()
        try:
            await self._exchange(request, await self._connections.connect())
        except OSError:
            request.end(RequestOutcome.CONNECTION_REFUSED)

    async def _rest_between_requests(self) -> None:
        """Send a request, rest until the limiter ends the connection or a while, and send another one.

        The second one may cross the limiter's end of the connection, and is sent again then.
        """
        first = self._factory.make(ClientBehaviour.RESTING)
        try:
            connection = await self._connections.connect()
        except OSError:
            first.end(RequestOutcome.CONNECTION_REFUSED)
            return
        first.begin_exchange(connection.local_port, on_new_connection=True)
        response = await self._exchange_once(first, connection)
        if response is None or not response.keeps_connection:
            connection.abort()
            return
        connection.mark_reused()
        if await _ends_within(connection, self._random.uniform(MIN_REST_SECONDS, MAX_REST_SECONDS)):
            connection.abort()
            return
        second = self._factory.make(ClientBehaviour.RESTING)
        await self._exchange(second, connection)
        if second.outcome is RequestOutcome.CONNECTION_CLOSED:
            await self._resend(second)

    async def crowd(self, count: int, seconds: float) -> None:
        """Hold idle connections open for a time; those that the limiter closes are replaced."""
        crowd = [asyncio.create_task(self._hold_idle_connections()) for _ in range(count)]
        for member in crowd:
            self._tasks.add(member)
            member.add_done_callback(self._on_task_done)
        await asyncio.sleep(seconds)
        for member in crowd:
            member.cancel()

    async def _hold_idle_connections(self) -> None:
        while True:
            await asyncio.sleep(self._random.uniform(0.0, MAX_CROWD_GAP_SECONDS))
            if not self._may_connect:
                continue
            try:
                connection = await self._connections.connect()
            except OSError:
                continue
            try:
                await _ends_within(connection, LONGER_THAN_ANY_RUN_SECONDS)
            finally:
                connection.abort()

    async def _send_incomplete_request(self) -> None:
        """Stop within a request, stay connected, and record when the limiter ends the exchange."""
        point = self._random.choice(STOPPING_POINTS)
        request = self._factory.make_incomplete(point.body_size)
        head = self._factory.format_head(request)
        sent = head + b"x" * point.sent_body_bytes if point.sent_body_bytes else head[:INCOMPLETE_HEAD_BYTES]
        try:
            connection = await self._connections.connect()
            write_open(connection.writer, sent)
            await connection.writer.drain()
        except OSError:
            request.end(RequestOutcome.CONNECTION_REFUSED)
            return
        stopped_at = time.monotonic()
        ended_at = await _wait_for_end(connection)
        request.end(RequestOutcome.NOT_COMPLETED)
        self._history.incomplete_requests.append(
            IncompleteRequest(self._limiter, point.name, stopped_at, ended_at)
        )
        connection.abort()


def _first_open(requests: list[ClientRequest]) -> ClientRequest:
    return next(request for request in requests if request.outcome is RequestOutcome.OPEN)


async def _ends_within(connection: Connection, seconds: float) -> bool:
    """Return whether the limiter ends an idle connection within a time."""
    try:
        async with asyncio.timeout(seconds):
            await connection.reader.read(1)
    except TimeoutError:
        return False
    except OSError:
        pass
    return True


async def _wait_for_end(connection: Connection) -> float:
    """Return when the first byte of a response or the close arrives; 0 if neither does in time."""
    try:
        async with asyncio.timeout(INCOMPLETE_REQUEST_PATIENCE_SECONDS):
            await connection.reader.read(1)
    except TimeoutError:
        return 0.0
    except OSError:
        pass
    return time.monotonic()
