"""Jobs: what open connections of clients and to endpoints hold."""

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
from quota_gateway.net.dispatch.dispatcher import Dispatcher, unix_clock
from quota_gateway.net.upstream.exchange import Exchange
from quota_gateway.net.upstream.pool import ConnectionPool
from quota_gateway.settings_parser import parse_settings
from scale.memory.allocation import MemoryUse, allocated_bytes, resident_bytes, start_tracing
from scale.memory.forked_peer import FINISHED, fork_peer, wait_finished
from scale.synthetic_inputs import synthetic_settings

PER_ENDPOINT = 32  # connections to one endpoint: the program's bound is 64
CONNECT_TIMEOUT = 0.25  # seconds
IDLE_TIMEOUT = 30.0  # seconds
MAX_CONNECTIONS = 64
EXCHANGE_TIMEOUT = 30.0  # seconds
SPARE_CONNECTIONS = 8
SPARE_CAPACITY = 10  # times the connections: an overcrowded listener closes them with their responses
READ_BYTES = 4096
PORT_BYTES = 64
BACKLOG = 1024
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"
RETRY_AFTER = 0.1  # seconds


class RejectAll:
    """Decisions that reject each request: all that is in memory then is the connection's."""

    def handle(self, now: float, event: model.Event) -> list[model.Action]:
        """Reject a request; nothing follows from other events."""
        return [model.Reject(event.id, RETRY_AFTER)] if isinstance(event, model.Request) else []


def _send_requests(count: int, channel: socket.socket) -> None:
    """The clients: one rejected request on each connection, which then stays open."""
    port = int(channel.recv(PORT_BYTES))
    clients = [socket.create_connection(("127.0.0.1", port)) for _ in range(count)]
    for number, client in enumerate(clients):
        client.sendall(
            b"GET /class-0?account=%016x HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: %016x\r\n"
            b"X-Priority-Class: class-0\r\nX-Plan: basic\r\nX-Timeout-Ms: 2000\r\n"
            b"X-Quota: units=1,spread=3,first=1\r\n\r\n" % (number, number)
        )
        if not client.recv(READ_BYTES).startswith(b"HTTP/1.1 429"):
            raise ConnectionError("a request was not refused")
    channel.sendall(FINISHED)
    channel.recv(1)  # keeps the connections until the other side ends


def memory_of_client_connections(count: int) -> MemoryUse:
    """What so many idle connections of clients hold that have had a response each."""

    async def main() -> MemoryUse:
        parsed = parse_settings(synthetic_settings(3, 1.0))
        pool = ConnectionPool(unix_clock(), CONNECT_TIMEOUT, IDLE_TIMEOUT, MAX_CONNECTIONS)
        dispatcher = Dispatcher(parsed, RejectAll(), unix_clock(), pool, None)
        listener = ClientListener(dispatcher, parsed, SPARE_CAPACITY * count)
        _, port = await listener.listen("127.0.0.1", 0)
        resident_before = start_tracing()
        with suppress(BrokenPipeError):  # it is dead: the wait for its message tells
            channel.sendall(b"%d" % port)
        await wait_finished(channel)
        memory = MemoryUse(allocated_bytes(), resident_bytes() - resident_before)
        await listener.close(0.0)
        pool.close()
        return memory

    channel = fork_peer(partial(_send_requests, count))
    return uvloop.run(main())


def _serve_requests(listener: socket.socket, channel: socket.socket) -> None:
    """The endpoints: respond on each connection until one of them or the channel closes."""
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


class _Exchanges:
    """Counts exchanges; ``all_completed`` fails with the first one that does not end well."""

    def __init__(self, expected: int) -> None:
        self._missing = expected
        self.all_completed: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def on_completed(self, exchange: Exchange) -> None:
        """Count an exchange that has ended."""
        self._missing -= 1
        if self.all_completed.done():
            return
        if exchange.status is not model.CallStatus.OK:
            error = ConnectionError(f"a request ended as {exchange.status.value}")
            self.all_completed.set_exception(error)
        elif not self._missing:
            self.all_completed.set_result(None)


def _start_exchanges(pool: ConnectionPool, count: int, exchanges: _Exchanges) -> None:
    for number in range(count):
        endpoint = f"s-{number // PER_ENDPOINT * PER_ENDPOINT}"
        deadline = unix_clock()() + EXCHANGE_TIMEOUT
        head = b"GET /class-0 HTTP/1.1\r\nHost: %b\r\n" % endpoint.encode()
        pool.start(Exchange(endpoint, head, b"", deadline, exchanges.on_completed))


def memory_of_endpoint_connections(count: int) -> MemoryUse:
    """What so many idle connections to endpoints hold that have carried a request each."""

    async def main() -> MemoryUse:
        idle_timeout = 10 * EXCHANGE_TIMEOUT
        pool = ConnectionPool(unix_clock(), EXCHANGE_TIMEOUT, idle_timeout, count + SPARE_CONNECTIONS)
        for number in range(0, count, PER_ENDPOINT):
            pool.update_endpoint(f"s-{number}", address, available=True)
        exchanges = _Exchanges(count)
        resident_before = start_tracing()
        _start_exchanges(pool, count, exchanges)
        try:
            await asyncio.wait_for(exchanges.all_completed, EXCHANGE_TIMEOUT)
        except (ConnectionError, TimeoutError):
            await wait_finished(channel)  # where the stand-in died, that is the cause
            raise
        memory = MemoryUse(allocated_bytes(), resident_bytes() - resident_before)
        pool.close()
        channel.close()
        return memory

    listener = socket.create_server(("127.0.0.1", 0), backlog=BACKLOG)
    address = f"127.0.0.1:{listener.getsockname()[1]}"
    channel = fork_peer(partial(_serve_requests, listener))
    listener.close()
    return uvloop.run(main())
