"""``CounterClient`` over loopback sockets: each call completes once, with its own result, in call order.

The faults are timeouts, lost connections, malformed replies and changes of the address.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from random import Random
from typing import NamedTuple

import pytest

from quota_gateway.model import CallStatus
from quota_gateway.net.counter import client as counter_client
from quota_gateway.net.counter import connections as counter_connections
from quota_gateway.net.counter.client import CounterClient
from quota_gateway.net.counter.line_protocol import CallResult
from tests.loopback import async_test, running_server


class CounterServer:
    """A counter whose replies the tests write; ``requests`` are the lines that it has received."""

    def __init__(self) -> None:
        self.requests = asyncio.Queue[bytes]()
        self.connections = asyncio.Queue[asyncio.StreamWriter]()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Read the requests of one connection."""
        self.connections.put_nowait(writer)
        while request := await reader.readline():
            self.requests.put_nowait(request)


class ConnectedClient(NamedTuple):
    """A client, its counter and the counter's side of their connection."""

    server: CounterServer
    writer: asyncio.StreamWriter
    client: CounterClient


@asynccontextmanager
async def connected(
    timeout: float,
) -> AsyncIterator[ConnectedClient]:
    """Run a client with an open connection, and its counter."""
    server = CounterServer()
    async with running_server(server.serve) as address:
        host, port = address.split(":")
        client = CounterClient(host, int(port), timeout)
        client.start()
        try:
            yield ConnectedClient(server, await server.connections.get(), client)
        finally:
            client.close()


def increment(client: CounterClient, counter_id: int, amount: float = 1.0) -> asyncio.Future[CallResult]:
    """Make a call; return a future of its result."""
    result = asyncio.get_running_loop().create_future()
    client.increment(counter_id, amount, 4.0, result.set_result)
    return result


@async_test
async def test_calls_are_pipelined_and_get_their_replies_in_order() -> None:
    async with connected(10.0) as (server, writer, client):
        results = [
            increment(client, 7, -2.5),
            increment(client, 8),
            increment(client, 9),
            increment(client, 10),
        ]
        assert await server.requests.get() == b"tally 7 -2.500000 4000\r\n"
        for _ in range(3):
            await server.requests.get()
        for chunk in (b"ok 1", b"2.5\r", b"\nbusy\r\ner", b"ror\r\nok 3e2\r\n"):
            writer.write(chunk)
            await asyncio.sleep(0)
        assert [await result for result in results] == [
            (CallStatus.OK, 12.5),
            (CallStatus.OVERLOADED, 0.0),
            (CallStatus.ERROR, 0.0),
            (CallStatus.OK, 300.0),
        ]


@async_test
async def test_late_reply_to_a_timed_out_call_does_not_complete_the_next_call(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with connected(0.05) as (server, writer, client):
        # The connection is slow, not unresponsive.
        monkeypatch.setattr(client.connections, "fail_over_if_unresponsive", lambda _call: None)
        assert await increment(client, 1) == (CallStatus.TIMEOUT, 0.0)
        client.set_timeout(10.0)
        second = increment(client, 2)
        for _ in range(2):
            await server.requests.get()
        writer.write(b"ok 1\r\nok 2\r\n")
        assert await second == (CallStatus.OK, 2.0)


@async_test
async def test_unresponsive_connection_is_replaced_by_the_standby() -> None:
    async with connected(0.05) as (server, _unresponsive, client):
        standby = await server.connections.get()  # opened before any call
        while client.connections.standby is None:
            await asyncio.sleep(0.001)
        timed_out = increment(client, 1)
        await server.requests.get()
        assert await timed_out == (CallStatus.TIMEOUT, 0.0)
        client.set_timeout(10.0)
        served = increment(client, 1)
        await server.requests.get()
        standby.write(b"ok 2\r\n")  # the unresponsive connection is still open
        assert await served == (CallStatus.OK, 2.0)
        await server.connections.get()  # the next standby


@async_test
async def test_standby_is_replaced_when_it_is_lost_or_the_address_changes() -> None:
    async with connected(10.0) as (server, _active, client):
        standby = await server.connections.get()
        standby.transport.abort()
        await server.connections.get()
        other_server = CounterServer()
        async with running_server(other_server.serve) as address:
            host, port = address.split(":")
            client.set_address(host, int(port))
            writer = await other_server.connections.get()
            await other_server.connections.get()
            served = increment(client, 5)
            await other_server.requests.get()
            writer.write(b"ok 9\r\n")
            assert await served == (CallStatus.OK, 9.0)


@async_test
async def test_lost_connection_resets_written_calls_and_keeps_unsent_ones() -> None:
    async with connected(10.0) as (server, writer, client):
        written = increment(client, 1)
        await server.requests.get()
        connection = client.connections.active
        assert connection is not None
        connection.pause_writing()  # as with a full socket buffer
        partly_written = increment(client, 2)
        connection.resume_writing()
        connection.pause_writing()
        unsent = increment(client, 3)
        await server.requests.get()
        writer.transport.abort()
        assert (await written)[0] is CallStatus.RESET_AFTER_REQUEST
        # Writing was paused after this request, so the request counts as not written completely.
        assert (await partly_written)[0] is CallStatus.UNREACHABLE
        new_writer = await server.connections.get()  # reconnected at once
        assert (await server.requests.get()).startswith(b"tally 3 ")
        new_writer.write(b"ok 4\r\n")
        assert await unsent == (CallStatus.OK, 4.0)


@async_test
async def test_call_without_a_connection_times_out_unsent() -> None:
    client = CounterClient("127.0.0.1", 1, 0.05)
    client.start()
    assert await increment(client, 1) == (CallStatus.UNREACHABLE, 0.0)
    client.close()


@pytest.mark.parametrize(
    "reply",
    [
        b"ok many\r\n",
        b"ok nan\r\n",
        b"ok\r\n",
        b"what\r\n",
        b"\xff\r\n",
        b"noise without an end",
        b"ok 1_0\r\n",
    ],
)
@async_test
async def test_malformed_reply_fails_calls_in_flight_and_a_new_connection_is_used(reply: bytes) -> None:
    async with connected(10.0) as (server, writer, client):
        first = increment(client, 1)
        second = increment(client, 2)
        for _ in range(2):
            await server.requests.get()
        # After a malformed line, "ok 5" must not be taken for the reply to the second call.
        writer.write(reply + b"ok 5\r\n" * reply.endswith(b"\n"))
        assert [await first, await second] == [(CallStatus.MALFORMED, 0.0)] * 2
        third = increment(client, 3)  # sent on the new connection
        new_writer = await server.connections.get()
        assert (await server.requests.get()).startswith(b"tally 3 ")
        new_writer.write(b"ok 7\r\n")
        assert await third == (CallStatus.OK, 7.0)


@async_test
async def test_old_connection_is_used_until_the_new_one_is_open_and_results_stay_in_order() -> None:
    new_server = CounterServer()
    async with connected(10.0) as (old_server, old, client), running_server(new_server.serve) as address:
        in_flight = increment(client, 7)
        await old_server.requests.get()
        host, port = address.split(":")
        client.set_address(host, int(port))
        sent_on_old = increment(client, 8)  # the new connection is not open: the old one is still used
        assert (await old_server.requests.get()).startswith(b"tally 8 ")
        new = await new_server.connections.get()
        while (active := client.connections.active) is None or active.address.port != int(port):
            await asyncio.sleep(0.001)
        later = increment(client, 7)
        other = increment(client, 9)
        assert (await new_server.requests.get()).startswith(b"tally 7 ")
        await new_server.requests.get()
        new.write(b"ok 2\r\nok 9\r\n")
        assert await other == (CallStatus.OK, 9.0)
        assert not later.done()  # an earlier call for this counter is in flight on the old connection
        old.write(b"ok 1\r\nok 8\r\n")
        results = [await in_flight, await later, await sent_on_old]
        assert results == [(CallStatus.OK, 1.0), (CallStatus.OK, 2.0), (CallStatus.OK, 8.0)]
        assert not client.pending_counters
        while client.connections.draining:  # the old connection closes by itself
            await asyncio.sleep(0.001)


@async_test
async def test_old_connection_is_used_until_a_reachable_address_is_set() -> None:
    new_server = CounterServer()
    async with connected(10.0) as (old_server, old, client), running_server(new_server.serve) as address:
        host, port = address.split(":")
        client.set_address("127.0.0.1", 1)
        first = increment(client, 1)
        await old_server.requests.get()
        old.write(b"ok 1\r\n")
        assert await first == (CallStatus.OK, 1.0)
        client.set_address("127.0.0.1", 2)
        client.set_address(host, int(port))
        (await new_server.connections.get()).write(b"")


@async_test
async def test_idle_connection_is_pinged_and_an_unresponsive_one_replaced(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(counter_client, "CONNECTION_CHECK_INTERVAL_SECONDS", 0.01)
    monkeypatch.setattr(counter_connections, "PING_INTERVAL_SECONDS", 0.02)
    monkeypatch.setattr(counter_client, "REPLY_TIMEOUT_FACTOR", 0.01)
    async with connected(10.0) as (server, _, _):
        assert await server.requests.get() == b"ping\r\n"
        await server.connections.get()  # a new connection, because no pong was sent on the first one


@async_test
async def test_malformed_replies_are_logged_once(caplog: pytest.LogCaptureFixture) -> None:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readline()
        writer.write(b"ok nan\r\n")

    async with running_server(serve) as address:
        host, port = address.split(":")
        client = CounterClient(host, int(port), 10.0)
        client.start()
        for counter_id in range(3):
            assert (await increment(client, counter_id))[0] is CallStatus.MALFORMED
        client.close()
    assert sum("malformed reply from the counter" in record.getMessage() for record in caplog.records) == 1


@pytest.mark.parametrize(
    ("timeout", "waited", "closed"),
    [(0.03, 0.1, False), (0.03, 0.4, True), (0.2, 1.5, False), (0.2, 2.5, True), (0.005, 0.1, True)],
)
@async_test
async def test_connection_with_a_call_in_flight_for_many_timeouts_is_closed(
    timeout: float, waited: float, closed: bool
) -> None:
    async with connected(timeout) as (_, _, client):
        client.increment(1, 1.0, 10.0, lambda _result: None)
        while (connection := client.connections.active) is None or not connection.in_flight:
            await asyncio.sleep(0.001)
        call = connection.in_flight[0]
        call.mark_sent(call.sent_at - waited)
        client.check()
        assert connection.usable is not closed


@async_test
async def test_failed_connects_are_retried_with_backoff() -> None:
    client = CounterClient("127.0.0.1", 1, 0.05, Random(1))  # no counter listens there
    client.start()
    connector = client.connections.connector
    while connector.consecutive_failures < 4:
        await asyncio.sleep(0.01)
    assert connector.next_connect_at - connector.last_connect_at >= 0.4
    client.close()
