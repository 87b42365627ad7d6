"""One exchange of a client: it sends a request and waits for the response, as its behaviour requires."""

from __future__ import annotations

import asyncio
from random import Random

from soak.client_connection import (
    Connection,
    ConnectionPool,
    IncompleteResponseError,
    Response,
    read_response,
)
from soak.history import TRUNCATED_RESPONSE_STATUS, ClientBehaviour, ClientRequest, RequestOutcome
from soak.request_factory import RequestFactory
from soak.streams import close_sending_side, write_data

# A client waits for a response until this long after the request's timeout.
RESPONSE_WAIT_AFTER_TIMEOUT_SECONDS = 2.0
DISCONNECT_WITHIN_SECONDS = 0.2
CLOSE_ON_DISCONNECT_FRACTION = 0.5  # the other clients reset the connection
HEAD_FRAGMENT_BYTES = 40
HEAD_FRAGMENT_GAP_SECONDS = 0.002
BODY_CHUNK_BYTES = 30_000
UPLOAD_GAP_SECONDS = 0.02


class ClientExchanges:
    """The exchanges of the clients of one limiter."""

    def __init__(self, connections: ConnectionPool, factory: RequestFactory, random: Random) -> None:
        """Return reusable connections to ``connections``; ``factory`` formats the requests."""
        self._connections = connections
        self._factory = factory
        self._random = random

    async def resend(self, request: ClientRequest) -> None:
        """Send a request again on a new connection."""
        request.mark_resent()
        try:
            await self.run(request, await self._connections.connect())
        except OSError:
            request.end(RequestOutcome.CONNECTION_REFUSED)

    async def run(self, request: ClientRequest, connection: Connection) -> None:
        """Run an exchange, then return the connection to the pool or close it."""
        request.begin_exchange(connection.local_port, on_new_connection=connection.is_new)
        response = await self.send_and_wait(request, connection)
        if response is None:
            if request.outcome is not RequestOutcome.DISCONNECTED:
                connection.abort()
        elif response.keeps_connection and request.behaviour is not ClientBehaviour.HALF_CLOSE:
            self._connections.release(connection)
        else:
            connection.close()

    async def send_and_wait(self, request: ClientRequest, connection: Connection) -> Response | None:
        """Send a request and wait for its response; return None and end the request if there is none."""
        try:
            await self.write(request, connection.writer)
            request.mark_sent()
            if request.behaviour is ClientBehaviour.HALF_CLOSE:
                close_sending_side(connection.writer)
            return await self.wait_for_response(request, connection)
        except IncompleteResponseError as error:
            if error.has_head:
                request.receive_response(TRUNCATED_RESPONSE_STATUS)
            else:
                request.end(RequestOutcome.CONNECTION_CLOSED)
        except OSError:
            request.end(RequestOutcome.CONNECTION_CLOSED)
        return None

    async def write(self, request: ClientRequest, writer: asyncio.StreamWriter) -> None:
        """Write a request; write its head in fragments if its behaviour is ``FRAGMENTED_REQUEST``."""
        head = self._factory.format_head(request)
        if request.behaviour is ClientBehaviour.FRAGMENTED_REQUEST:
            for start in range(0, len(head), HEAD_FRAGMENT_BYTES):
                write_data(writer, head[start : start + HEAD_FRAGMENT_BYTES])
                await asyncio.sleep(HEAD_FRAGMENT_GAP_SECONDS)
        else:
            write_data(writer, head)
        for start in range(0, request.body_size, BODY_CHUNK_BYTES):
            write_data(writer, b"x" * min(BODY_CHUNK_BYTES, request.body_size - start))
            await writer.drain()
            if request.body_size > BODY_CHUNK_BYTES:
                await asyncio.sleep(UPLOAD_GAP_SECONDS)

    async def wait_for_response(self, request: ClientRequest, connection: Connection) -> Response | None:
        """Return the response, or None if the client timed out or disconnected before it."""
        disconnects = request.behaviour is ClientBehaviour.DISCONNECT
        max_wait = request.timeout + RESPONSE_WAIT_AFTER_TIMEOUT_SECONDS
        if disconnects:
            max_wait = self._random.uniform(0.0, DISCONNECT_WITHIN_SECONDS)
        try:
            async with asyncio.timeout(max_wait):
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
