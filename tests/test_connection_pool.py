"""``ConnectionPool`` over loopback sockets: no request goes to an endpoint that is draining or suspended.

No response may answer the request of another exchange, and the number of connections is limited.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager

import pytest

from quota_gateway.model import CallStatus
from quota_gateway.net.common.body_stream import BodyStream
from quota_gateway.net.common.invariants import Invariant, Violation
from quota_gateway.net.upstream import idle_connections
from quota_gateway.net.upstream.connection_limits import MAX_CONNECTIONS_PER_ENDPOINT
from quota_gateway.net.upstream.exchange import Exchange
from quota_gateway.net.upstream.pool import ConnectionPool
from tests.loopback import OK_RESPONSE, ScriptedEndpoint, async_test, read_message, running_server
from tests.pool_harness import ENDPOINT, REQUEST_HEAD, PoolHarness

OTHER_RESPONSE = OK_RESPONSE.replace(b"hi", b"no")


@async_test
async def test_a_refused_connection_proves_that_the_request_was_not_executed() -> None:
    with socket.socket() as bound:
        bound.bind(("127.0.0.1", 0))  # bound but not listening, so connections are refused
        async with PoolHarness(f"127.0.0.1:{bound.getsockname()[1]}") as harness:
            assert (await harness.fetch()).status is CallStatus.UNREACHABLE


@contextmanager
def full_backlog() -> Iterator[str]:
    """Yield the address of a listener with a full backlog, where connecting never completes."""
    with ExitStack() as sockets:
        listener = sockets.enter_context(socket.socket())
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        for _ in range(8):
            client = sockets.enter_context(socket.socket())
            client.setblocking(False)  # noqa: FBT003 - positional only
            client.connect_ex(listener.getsockname())
        host, port = listener.getsockname()
        yield f"{host}:{port}"


@pytest.mark.parametrize(
    ("connect_timeout", "timeout", "status"),
    [(0.1, 10.0, CallStatus.UNREACHABLE), (10.0, 0.1, CallStatus.NOT_SENT)],
)
@async_test
async def test_a_connect_that_never_completes_proves_that_the_request_was_not_executed(
    connect_timeout: float, timeout: float, status: CallStatus
) -> None:
    with full_backlog() as address:
        async with PoolHarness(address, connect_timeout=connect_timeout) as harness:
            assert (await harness.fetch(timeout)).status is status


@async_test
async def test_a_timeout_closes_the_connection_so_that_no_late_response_answers_the_next_request() -> None:
    endpoint = ScriptedEndpoint(lambda number: None if number == 1 else OK_RESPONSE)
    async with running_server(endpoint.handle_connection) as address, PoolHarness(address) as harness:
        assert (await harness.fetch(0.1)).status is CallStatus.TIMEOUT
        await endpoint.disconnected.wait()
        assert (await harness.fetch()).status is CallStatus.OK
        assert endpoint.connection_count == 2


@async_test
async def test_a_late_duplicate_of_a_response_does_not_answer_the_next_request() -> None:
    release = asyncio.Event()

    async def respond_twice(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_message(reader)
        writer.write(OK_RESPONSE)
        await release.wait()
        writer.write(OTHER_RESPONSE)
        await reader.read()

    async with running_server(respond_twice) as address, PoolHarness(address) as harness:
        assert (await harness.fetch()).response_body == b"hi"
        _, completed = harness.start()  # the duplicate has not arrived yet
        release.set()
        assert (await completed).response_body == b"hi"


@async_test
async def test_a_duplicate_response_that_is_still_unread_does_not_answer_the_next_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Simulates the state after a stall of the process: the settle delay is over and the duplicate is unread.
    monkeypatch.setattr(idle_connections, "SETTLE_DELAY_SECONDS", 0.0)
    loop = asyncio.get_running_loop()
    with socket.create_server(("127.0.0.1", 0)) as listener:
        listener.setblocking(False)  # noqa: FBT003 - positional only
        async with PoolHarness(f"127.0.0.1:{listener.getsockname()[1]}") as harness:
            for _ in range(2):
                _, completed = harness.start()
                server, _ = await loop.sock_accept(listener)
                await loop.sock_recv(server, 4096)
                await loop.sock_sendall(server, OK_RESPONSE)
                assert (await completed).response_body == b"hi"
                server.send(OTHER_RESPONSE)  # the event loop does not run before the next request


@async_test
async def test_the_most_recently_used_connection_is_reused_until_it_has_been_idle_for_too_long(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(idle_connections, "SETTLE_DELAY_SECONDS", 0.0)
    endpoint = ScriptedEndpoint()
    async with (
        running_server(endpoint.handle_connection) as address,
        PoolHarness(address, idle_timeout=30.0) as harness,
    ):
        await asyncio.gather(harness.fetch(), harness.fetch())
        await harness.fetch()
        assert endpoint.connection_count == 2
        harness.set_clock(harness.clock() + 16.0)  # over half of idle_timeout
        await harness.fetch()
        assert endpoint.connection_count == 3


@async_test
async def test_a_connection_is_not_reused_after_a_response_with_connection_close() -> None:
    closing = OK_RESPONSE.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")
    endpoint = ScriptedEndpoint(lambda _number: closing)
    async with running_server(endpoint.handle_connection) as address, PoolHarness(address) as harness:
        assert [(await harness.fetch()).status for _ in range(2)] == [CallStatus.OK, CallStatus.OK]
        assert endpoint.connection_count == 2


@pytest.mark.parametrize(
    "drain",
    [
        lambda pool: pool.update_endpoint(ENDPOINT, "127.0.0.1:1", available=False),
        lambda pool: pool.update_endpoint(ENDPOINT, "", available=False),
        lambda pool: pool.retain_only({"s2"}),
    ],
)
@async_test
async def test_draining_closes_idle_connections_and_stops_new_requests_at_once(
    drain: Callable[[ConnectionPool], None],
) -> None:
    endpoint = ScriptedEndpoint()
    async with running_server(endpoint.handle_connection) as address, PoolHarness(address) as harness:
        await harness.fetch()
        drain(harness.pool)
        await endpoint.disconnected.wait()
        assert (await harness.fetch()).status is CallStatus.NOT_SENT
        assert len(endpoint.requests) == 1


@async_test
async def test_an_endpoint_that_starts_draining_during_a_connect_gets_no_request() -> None:
    endpoint = ScriptedEndpoint()
    async with running_server(endpoint.handle_connection) as address, PoolHarness(address) as harness:
        _, completed = harness.start()
        harness.pool.update_endpoint(ENDPOINT, address, available=False)
        assert (await completed).status is CallStatus.NOT_SENT
        assert not endpoint.requests


@async_test
async def test_after_an_address_change_the_next_request_goes_to_the_new_address() -> None:
    old = ScriptedEndpoint()
    new = ScriptedEndpoint()
    async with (
        running_server(old.handle_connection) as old_address,
        running_server(new.handle_connection) as new_address,
        PoolHarness(old_address) as harness,
    ):
        await harness.fetch()
        harness.pool.update_endpoint(ENDPOINT, new_address, available=True)
        await harness.fetch()
        assert (len(old.requests), len(new.requests)) == (1, 1)


@async_test
async def test_connections_are_limited_per_endpoint_and_in_total() -> None:
    unresponsive = ScriptedEndpoint(lambda _number: None)
    limit = MAX_CONNECTIONS_PER_ENDPOINT
    async with (
        running_server(unresponsive.handle_connection) as address,
        PoolHarness(address, max_connections=limit + 1) as harness,
    ):
        exchanges = [harness.start()[0] for _ in range(limit)]
        assert (await harness.fetch()).status is CallStatus.OVERLOADED
        harness.pool.update_endpoint("s2", address, available=True)
        exchanges.append(harness.start(endpoint="s2")[0])
        assert (await harness.fetch(endpoint="s2")).status is CallStatus.OVERLOADED
        for exchange in exchanges:
            harness.pool.exchanges.cancel(exchange)
        assert all(exchange.status is CallStatus.CANCELLED for exchange in exchanges)


@async_test
async def test_at_the_total_limit_an_idle_connection_is_evicted_for_a_new_one() -> None:
    endpoint = ScriptedEndpoint()
    async with (
        running_server(endpoint.handle_connection) as address,
        PoolHarness(address, max_connections=1) as harness,
    ):
        harness.pool.update_endpoint("s2", address, available=True)
        assert (await harness.fetch()).status is CallStatus.OK
        assert (await harness.fetch(endpoint="s2")).status is CallStatus.OK


@async_test
async def test_a_removed_endpoint_is_dropped_once_its_last_connection_is_closed() -> None:
    release = asyncio.Event()

    async def respond_when_released(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_message(reader)
        await release.wait()
        writer.write(OK_RESPONSE)
        await reader.read()

    async with running_server(respond_when_released) as address, PoolHarness(address) as harness:
        pool = harness.pool
        exchange, completed = harness.start()
        while not exchange.request_written:
            await asyncio.sleep(0.001)
        for number in range(100):
            pool.update_endpoint(f"t{number}", address, available=True)
            pool.retain_only({f"t{number}"})
        assert pool.endpoint_names() == {ENDPOINT, "t99"}
        release.set()
        assert (await completed).status is CallStatus.OK  # an exchange in progress may complete
        while ENDPOINT in pool.endpoint_names():
            await asyncio.sleep(0.001)
        assert (await harness.fetch()).status is CallStatus.NOT_SENT
        pool.update_endpoint(ENDPOINT, address, available=True)  # listed again, at the same address
        assert pool.open_connections == 0
        assert (await harness.fetch()).status is CallStatus.OK


@async_test
async def test_a_suspended_endpoint_gets_no_connection_until_it_is_restored() -> None:
    endpoint = ScriptedEndpoint()
    async with running_server(endpoint.handle_connection) as address, PoolHarness(address) as harness:
        await harness.fetch()
        harness.pool.set_suspended_endpoints(frozenset({ENDPOINT}))
        await endpoint.disconnected.wait()
        assert (await harness.fetch()).status is CallStatus.NOT_SENT
        assert endpoint.connection_count == 1
        harness.pool.set_suspended_endpoints(frozenset())
        assert (await harness.fetch()).status is CallStatus.OK


@async_test
async def test_an_exchange_is_withdrawn_only_while_no_connection_carries_it() -> None:
    unresponsive = ScriptedEndpoint(lambda _number: None)
    async with running_server(unresponsive.handle_connection) as address, PoolHarness(address) as harness:
        connecting, completed = harness.start()
        harness.pool.exchanges.withdraw_unsent(connecting)
        assert (await completed).status is CallStatus.NOT_SENT
        sent, _ = harness.start()
        await unresponsive.request_received.wait()
        harness.pool.exchanges.withdraw_unsent(sent)
        assert not sent.completed
        harness.pool.exchanges.cancel(sent)


@async_test
async def test_an_exchange_that_is_started_twice_is_a_violation_and_is_sent_once(
    no_violations: list[Violation],
) -> None:
    unresponsive = ScriptedEndpoint(lambda _number: None)
    async with running_server(unresponsive.handle_connection) as address, PoolHarness(address) as harness:
        exchange, completed = harness.start(timeout=0.3)
        await unresponsive.request_received.wait()
        harness.pool.start(exchange)
        assert (await completed).status is CallStatus.TIMEOUT
        assert len(unresponsive.requests) == 1
    assert [violation.invariant for violation in no_violations] == [Invariant.SENT_WHILE_OPEN]
    no_violations.clear()


class UploadSource:
    """The source of an upload that is never paused."""

    def set_paused(self, *, paused: bool) -> None:
        """Ignore the request."""

    def abandon(self) -> None:
        """Ignore the request."""


@async_test
async def test_the_elapsed_time_of_an_exchange_counts_from_the_last_byte_of_its_upload() -> None:
    endpoint = ScriptedEndpoint()
    async with running_server(endpoint.handle_connection) as address, PoolHarness(address) as harness:
        harness.set_clock(harness.clock())
        upload = BodyStream(UploadSource(), content_length=4)
        completed = asyncio.get_running_loop().create_future()
        head = REQUEST_HEAD + b"Content-Length: 4\r\n"
        expires_at = harness.clock() + 10
        exchange = Exchange(ENDPOINT, head, b"", expires_at, completed.set_result, upload=upload)
        harness.pool.start(exchange)
        harness.set_clock(harness.clock() + 5)
        upload.write(b"body")
        upload.finish()
        assert (await completed).elapsed == 0
        assert endpoint.requests[0][2] == b"body"
