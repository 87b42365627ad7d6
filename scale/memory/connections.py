"""Jobs that measure the memory of open connections, of clients and to endpoints."""

from __future__ import annotations

import asyncio
import selectors
import socket
from contextlib import suppress
from functools import partial
from typing import cast

import uvloop

from quota_gateway import model
from quota_gateway.net.client.listener import ClientListener
from quota_gateway.net.common.unix_clock import unix_clock
from quota_gateway.net.dispatch.dispatcher import Dispatcher
from quota_gateway.net.upstream.exchange import Exchange
from quota_gateway.net.upstream.pool import ConnectionPool
from quota_gateway.settings_parser import parse_settings
from scale.memory.allocation import MemoryUse, allocated_bytes, resident_bytes, start_tracing
from scale.memory.forked_peer import FINISHED, fork_peer, wait_finished
from scale.synthetic_inputs import synthetic_settings

CONNECTIONS_PER_ENDPOINT = 32  # half of the program's limit
CONNECT_TIMEOUT_SECONDS = 0.25
IDLE_TIMEOUT_SECONDS = 30.0
MAX_CONNECTIONS = 64
EXCHANGE_TIMEOUT_SECONDS = 30.0
ENDPOINT_IDLE_TIMEOUT_FACTOR = 10  # idle timeout of the pool divided by the exchange timeout
SPARE_CONNECTIONS = 8
# Capacity of the listener divided by the measured connections: a full listener closes its connections after
# their responses.
CAPACITY_FACTOR = 10
READ_BYTES = 4096
PORT_BYTES = 64
BACKLOG = 1024
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"
RETRY_AFTER_SECONDS = 0.1


class RejectAll:
    """Decisions that reject each request, so that only the connection uses memory."""

    def handle(self, now: float, event: model.Event) -> list[model.Action]:
        """Reject a request; ignore other events."""
        return [model.Reject(event.id, RETRY_AFTER_SECONDS)] if isinstance(event, model.Request) else []


def _send_requests(count: int, channel: socket.socket) -> None:
    """Act as the clients: send one request, which is rejected, on each connection and keep it open."""
    port = int(channel.recv(PORT_BYTES))
    clients = [socket.create_connection(("127.0.0.1", port)) for _ in range(count)]
    for number, client in enumerate(clients):
        client.sendall(
            b"GET /class-0?account=%016x HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: %016x\r\n"
            b"X-Priority-Class: class-0\r\nX-Plan: basic\r\nX-Timeout-Ms: 2000\r\n"
            b"X-Quota: units=1,spread=3,first=1\r\n\r\n" % (number, number)
        )
        if not client.recv(READ_BYTES).startswith(b"HTTP/1.1 429"):
            raise ConnectionError("the limiter responded to a request with another status than 429")
    channel.sendall(FINISHED)
    channel.recv(1)  # keeps the connections open until the other side closes the channel


def memory_of_client_connections(count: int) -> MemoryUse:
    """Return the memory of idle client connections, each of which has received one response."""
    channel = fork_peer(partial(_send_requests, count))
    return uvloop.run(_measure_client_connections(count, channel))


async def _measure_client_connections(count: int, channel: socket.socket) -> MemoryUse:
    parsed = parse_settings(synthetic_settings(3, 1.0))
    pool = ConnectionPool(unix_clock(), CONNECT_TIMEOUT_SECONDS, IDLE_TIMEOUT_SECONDS, MAX_CONNECTIONS)
    dispatcher = Dispatcher(parsed, RejectAll(), unix_clock(), pool, None)
    listener = ClientListener(dispatcher, parsed, CAPACITY_FACTOR * count)
    _, port = await listener.listen("127.0.0.1", 0)
    resident_before = start_tracing()
    with suppress(BrokenPipeError):  # the peer has exited: ``wait_finished`` raises its error
        channel.sendall(b"%d" % port)
    await wait_finished(channel)
    memory = MemoryUse(allocated_bytes(), resident_bytes() - resident_before)
    await listener.close(0.0)
    pool.close()
    return memory


def _serve_requests(listener: socket.socket, channel: socket.socket) -> None:
    """Act as the endpoints: respond to each request until a connection or the channel closes."""
    selector = selectors.DefaultSelector()
    selector.register(listener, selectors.EVENT_READ)
    selector.register(channel, selectors.EVENT_READ)
    while True:
        for key, _ in selector.select():
            ready = cast(socket.socket, key.fileobj)
            if ready is listener:
                connection, _ = listener.accept()
                selector.register(connection, selectors.EVENT_READ)
            elif ready is channel or not ready.recv(READ_BYTES):
                return
            else:
                ready.sendall(RESPONSE)


class _ExchangeCounter:
    """Counts completed exchanges; ``all_completed`` fails as soon as an exchange fails."""

    def __init__(self, expected: int) -> None:
        self._pending = expected
        self.all_completed: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def on_completed(self, exchange: Exchange) -> None:
        """Count a completed exchange."""
        self._pending -= 1
        if self.all_completed.done():
            return
        if exchange.status is not model.CallStatus.OK:
            error = ConnectionError(f"a request to an endpoint ended with status {exchange.status.value}")
            self.all_completed.set_exception(error)
        elif not self._pending:
            self.all_completed.set_result(None)


def _start_exchanges(pool: ConnectionPool, count: int, exchanges: _ExchangeCounter) -> None:
    for number in range(count):
        endpoint = f"s-{number // CONNECTIONS_PER_ENDPOINT * CONNECTIONS_PER_ENDPOINT}"
        deadline = unix_clock()() + EXCHANGE_TIMEOUT_SECONDS
        head = b"GET /class-0 HTTP/1.1\r\nHost: %b\r\n" % endpoint.encode()
        pool.start(Exchange(endpoint, head, b"", deadline, exchanges.on_completed))


def memory_of_endpoint_connections(count: int) -> MemoryUse:
    """Return the memory of idle connections to endpoints, each of which has carried one request."""
    listener = socket.create_server(("127.0.0.1", 0), backlog=BACKLOG)
    address = f"127.0.0.1:{listener.getsockname()[1]}"
    channel = fork_peer(partial(_serve_requests, listener))
    listener.close()
    return uvloop.run(_measure_endpoint_connections(count, address, channel))


async def _measure_endpoint_connections(count: int, address: str, channel: socket.socket) -> MemoryUse:
    idle_timeout = ENDPOINT_IDLE_TIMEOUT_FACTOR * EXCHANGE_TIMEOUT_SECONDS
    pool = ConnectionPool(unix_clock(), EXCHANGE_TIMEOUT_SECONDS, idle_timeout, count + SPARE_CONNECTIONS)
    for number in range(0, count, CONNECTIONS_PER_ENDPOINT):
        pool.update_endpoint(f"s-{number}", address, available=True)
    exchanges = _ExchangeCounter(count)
    resident_before = start_tracing()
    _start_exchanges(pool, count, exchanges)
    try:
        await asyncio.wait_for(exchanges.all_completed, EXCHANGE_TIMEOUT_SECONDS)
    except (ConnectionError, TimeoutError):
        await wait_finished(channel)  # raises the peer's error if the peer has exited
        raise
    memory = MemoryUse(allocated_bytes(), resident_bytes() - resident_before)
    pool.close()
    channel.close()
    return memory
