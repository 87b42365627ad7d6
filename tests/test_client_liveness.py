"""``ClientLiveness`` over loopback sockets: no attempt begins for a client that has disconnected.

A half-closed client must still get its response. No test depends on the speed of the machine.
"""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable
from typing import Any, TypeGuard

import pytest

from quota_gateway import model
from quota_gateway.net.client import listener
from quota_gateway.net.client import liveness as client_liveness
from quota_gateway.net.client.liveness import ClientLiveness
from quota_gateway.net.client.request import ClientRequest
from quota_gateway.net.client.response_queue import MAX_PIPELINED_REQUESTS
from quota_gateway.net.upstream import connector, idle_connections
from tests.client_helpers import (
    DISCONNECT_FUNCTIONS,
    LATE_SECONDS,
    execute,
    limiter_with_endpoint,
    read_final_response,
    take_no_action,
)
from tests.loopback import (
    OK_RESPONSE,
    LoopbackLimiter,
    ScriptedDecisions,
    ScriptedEndpoint,
    async_test,
    forward_to_s1,
    http_request,
    read_message,
)


def watch_maybe_disconnected(limiter: LoopbackLimiter) -> asyncio.Event:
    """Return an event that is set when the dispatcher is notified of a possible disconnect."""
    notified = asyncio.Event()
    notify = limiter.dispatcher.on_client_maybe_disconnected

    def notify_and_set(request: ClientRequest) -> None:
        notify(request)
        notified.set()

    limiter.dispatcher.on_client_maybe_disconnected = notify_and_set  # type: ignore[method-assign]
    return notified


@async_test
async def test_half_closed_client_receives_the_response_to_an_attempt_in_flight() -> None:
    release = asyncio.Event()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_message(reader)
        await release.wait()
        writer.write(OK_RESPONSE)
        await reader.read()

    async with limiter_with_endpoint(serve) as limiter:
        maybe_disconnected = watch_maybe_disconnected(limiter)
        reader, writer = await limiter.connect()
        writer.write(http_request(timeout_ms=15000))
        writer.write_eof()
        await maybe_disconnected.wait()
        release.set()
        status, headers, body = await read_final_response(reader)
        assert " 200 " in status
        assert body == b"hi"
        assert headers["connection"] == "close"
        assert await reader.read() == b""


@async_test
async def test_waiting_request_of_a_half_closed_client_is_rejected_at_once_and_not_forwarded() -> None:
    script = ScriptedDecisions(take_no_action)
    endpoint = ScriptedEndpoint()
    async with limiter_with_endpoint(endpoint.handle_connection, script) as limiter:
        maybe_disconnected = watch_maybe_disconnected(limiter)
        reader, writer = await limiter.connect()
        writer.write(http_request(timeout_ms=15000))
        (event,) = await script.wait_for(model.Request)  # the request waits, as for a counter reply
        writer.write_eof()
        await maybe_disconnected.wait()
        execute(limiter, forward_to_s1(event))
        status, _, _ = await read_final_response(reader)
        assert " 429 " in status
        assert not endpoint.requests


@pytest.mark.parametrize("close_client", DISCONNECT_FUNCTIONS)
@pytest.mark.parametrize("request_count", [1, MAX_PIPELINED_REQUESTS])
@async_test
async def test_disconnect_is_detected_while_requests_wait(close_client: Any, request_count: int) -> None:
    """With a full pipeline the limiter does not read the input, and only a poll shows the disconnect."""
    script = ScriptedDecisions(take_no_action)
    async with LoopbackLimiter(script, {}) as limiter:
        client = socket.create_connection(limiter.address)
        for _ in range(request_count):
            client.sendall(http_request(timeout_ms=60000))
        await script.wait_for(model.Request, request_count)
        close_client(client)
        assert len(await script.wait_for(model.ClientDisconnected, request_count)) == request_count
        assert not limiter.dispatcher.open_request_count


@async_test
async def test_half_closed_client_whose_input_is_not_read_receives_one_interim_response(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(listener, "SCAN_INTERVAL_SECONDS", 0.01)

    script = ScriptedDecisions(take_no_action)
    async with LoopbackLimiter(script, {}) as limiter:
        polls = asyncio.Queue[None]()
        poll = ClientLiveness.poll

        def counting_poll(self: ClientLiveness) -> None:
            poll(self)
            polls.put_nowait(None)

        monkeypatch.setattr(ClientLiveness, "poll", counting_poll)
        reader, writer = await limiter.connect()
        for _ in range(MAX_PIPELINED_REQUESTS):
            writer.write(http_request(timeout_ms=60000))
        events = await script.wait_for(model.Request, MAX_PIPELINED_REQUESTS)
        writer.write_eof()
        for _ in range(20):
            await polls.get()
        execute(limiter, [model.Fail(event.id) for event in events])
        responses = await reader.read()
        assert responses.count(b"HTTP/1.1 100 ") == 1
        assert responses.count(b"HTTP/1.1 502 ") == MAX_PIPELINED_REQUESTS


def close_with_unread_input(client: socket.socket) -> None:
    """Close the connection with unread input, which resets it."""
    client.setblocking(True)  # noqa: FBT003 - positional only
    assert client.recv(1, socket.MSG_PEEK)
    client.close()


def disconnect(client: socket.socket, close_client: Callable[[socket.socket], None]) -> None:
    """Disconnect, and block the event loop until it is too late for an attempt to begin.

    No timer or callback of the event loop can detect the disconnect in this time.
    """
    close_client(client)
    time.sleep(LATE_SECONDS)


async def keep_endpoint_connection(limiter: LoopbackLimiter, monkeypatch: pytest.MonkeyPatch) -> None:
    """Leave an idle connection to the endpoint, so that the next attempt is sent as soon as it is decided."""
    monkeypatch.setattr(idle_connections, "SETTLE_DELAY_SECONDS", 0.0)
    decide = limiter.decisions.decide
    limiter.decisions.decide = forward_to_s1
    assert " 200 " in (await limiter.fetch(http_request()))[0]
    limiter.decisions.decide = decide
    limiter.decisions.events.clear()


async def assert_only_a_new_request_is_forwarded(
    limiter: LoopbackLimiter, endpoint: ScriptedEndpoint, already_forwarded: int = 0
) -> None:
    """Send a new request; assert that only it and ``already_forwarded`` earlier ones reached the endpoint."""
    limiter.decisions.decide = forward_to_s1
    request = http_request()
    assert " 200 " in (await limiter.fetch(request))[0]
    assert len(endpoint.requests) == already_forwarded + 1
    assert endpoint.requests[-1][1]["x-request-id"].encode() in request


@pytest.mark.parametrize("close_client", DISCONNECT_FUNCTIONS)
@pytest.mark.parametrize("request_count", [1, MAX_PIPELINED_REQUESTS])
@async_test
async def test_no_attempt_begins_for_a_client_that_disconnected_while_its_requests_waited(
    close_client: Any, request_count: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The requests wait as for a counter reply; with a full pipeline the limiter does not read the input."""
    script = ScriptedDecisions(take_no_action)
    endpoint = ScriptedEndpoint()
    async with limiter_with_endpoint(endpoint.handle_connection, script) as limiter:
        await keep_endpoint_connection(limiter, monkeypatch)
        client = socket.create_connection(limiter.address)
        for _ in range(request_count):
            client.sendall(http_request(timeout_ms=60000))
        events = await script.wait_for(model.Request, request_count)
        disconnect(client, close_client)
        execute(limiter, [action for event in events for action in forward_to_s1(event)])
        await assert_only_a_new_request_is_forwarded(limiter, endpoint, 1)
        assert not limiter.dispatcher.open_request_count


@async_test
async def test_no_attempt_begins_for_a_client_that_closed_with_an_unread_response(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    script = ScriptedDecisions(take_no_action)
    endpoint = ScriptedEndpoint()
    async with limiter_with_endpoint(endpoint.handle_connection, script) as limiter:
        await keep_endpoint_connection(limiter, monkeypatch)
        client = socket.create_connection(limiter.address)
        client.sendall(http_request(timeout_ms=60000) + http_request(timeout_ms=60000))
        first, second = await script.wait_for(model.Request, 2)
        execute(limiter, [model.Reject(first.id, 0.1)])
        disconnect(client, close_with_unread_input)
        execute(limiter, forward_to_s1(second))
        await assert_only_a_new_request_is_forwarded(limiter, endpoint, 1)


async def assert_half_closed_client_is_not_served(
    monkeypatch: pytest.MonkeyPatch, *, stall_before_read: float = 0.0, stall_after_read: float = 0.0
) -> None:
    """Stall the process before or after it reads the end of the input of a client whose request waits."""
    script = ScriptedDecisions(take_no_action)
    endpoint = ScriptedEndpoint()
    async with limiter_with_endpoint(endpoint.handle_connection, script) as limiter:
        await keep_endpoint_connection(limiter, monkeypatch)
        reader, writer = await limiter.connect()
        writer.write(http_request(timeout_ms=60000))
        (event,) = await script.wait_for(model.Request)
        client = list(limiter.listener.connections)[-1]
        writer.write_eof()
        time.sleep(stall_before_read)
        while not client.pipeline.liveness.input_ended:
            await asyncio.sleep(0)
        time.sleep(stall_after_read)
        execute(limiter, forward_to_s1(event))
        status, _, _ = await read_final_response(reader)
        assert " 429 " in status
        writer.close()
        await assert_only_a_new_request_is_forwarded(limiter, endpoint, 1)


@async_test
async def test_no_attempt_begins_for_a_half_closed_client_that_is_confirmed_late(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The limiter stalls between its interim response to the end of the input and the check for a reset."""
    await assert_half_closed_client_is_not_served(monkeypatch, stall_after_read=LATE_SECONDS)


@async_test
async def test_no_attempt_begins_for_a_client_whose_input_ended_during_a_stall(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The end of the input is read as soon as the process runs again, but it arrived earlier."""
    await assert_half_closed_client_is_not_served(monkeypatch, stall_before_read=4 * LATE_SECONDS)


@async_test
async def test_request_of_a_client_that_has_just_half_closed_is_still_forwarded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(client_liveness, "LIVENESS_GRACE_SECONDS", 10.0)  # more than a slow machine needs

    script = ScriptedDecisions(take_no_action)
    endpoint = ScriptedEndpoint()
    async with limiter_with_endpoint(endpoint.handle_connection, script) as limiter:
        reader, writer = await limiter.connect()
        writer.write(http_request(timeout_ms=60000))
        (event,) = await script.wait_for(model.Request)
        (client,) = limiter.listener.connections
        writer.write_eof()
        while not client.pipeline.liveness.input_ended:
            await asyncio.sleep(0)
        # The confirmation could otherwise finish while the attempt waits for its connection.
        monkeypatch.setattr(client_liveness, "RESET_WAIT_SECONDS", 10.0)
        execute(limiter, forward_to_s1(event))
        status, _, body = await read_final_response(reader)
        assert " 200 " in status
        assert body == b"hi"


@async_test
async def test_request_of_a_client_that_half_closes_right_after_the_start_is_forwarded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """After a start or a stall, unread input may be old; the operating system reports its age."""
    monkeypatch.setattr(client_liveness, "LIVENESS_GRACE_SECONDS", 10.0)  # more than a slow machine needs
    monkeypatch.setattr(client_liveness, "RESET_WAIT_SECONDS", 10.0)
    endpoint = ScriptedEndpoint()
    async with limiter_with_endpoint(endpoint.handle_connection) as limiter:
        await keep_endpoint_connection(limiter, monkeypatch)
        client = socket.create_connection(limiter.address)
        client.sendall(http_request(timeout_ms=60000))
        client.shutdown(socket.SHUT_WR)
        reader, writer = await asyncio.open_connection(sock=client)
        status, _, body = await read_final_response(reader)
        assert " 200 " in status
        assert body == b"hi"
        writer.close()


def is_failed_attempt(event: model.Event) -> TypeGuard[model.AttemptCompleted]:
    """Whether the event is an attempt that got an error response and whose request is still open."""
    return (
        isinstance(event, model.AttemptCompleted)
        and not event.request_finished
        and event.status is model.CallStatus.ERROR
    )


@pytest.mark.parametrize("close_client", DISCONNECT_FUNCTIONS)
@pytest.mark.parametrize("request_count", [1, MAX_PIPELINED_REQUESTS])
@async_test
async def test_no_retry_begins_for_a_client_that_disconnected_during_the_previous_attempt(
    close_client: Any, request_count: int
) -> None:
    clients = list[socket.socket]()

    def fail_first(count: int) -> bytes:
        return b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n" if count <= request_count else OK_RESPONSE

    def retry_errors(event: model.Event) -> list[model.Action]:
        if not is_failed_attempt(event):
            return forward_to_s1(event)
        if clients:
            disconnect(clients.pop(), close_client)
        return [model.Forward(event.request_id, "s1", 60.0)]

    script = ScriptedDecisions(retry_errors)
    endpoint = ScriptedEndpoint(fail_first)
    async with limiter_with_endpoint(endpoint.handle_connection, script) as limiter:
        client = socket.create_connection(limiter.address)
        clients.append(client)
        client.sendall(b"".join(http_request(timeout_ms=60000) for _ in range(request_count)))
        outcomes = await script.wait_for(model.AttemptCompleted, 2)
        assert outcomes[0].status is model.CallStatus.ERROR
        assert not clients
        while limiter.dispatcher.open_request_count:
            await asyncio.sleep(0)
        endpoint.response_for = lambda _n: OK_RESPONSE
        script.decide = forward_to_s1
        # The endpoint receives this request after all others that were forwarded.
        assert " 200 " in (await limiter.fetch(http_request()))[0]
        ids = [headers["x-request-id"] for _, headers, _ in endpoint.requests]
        assert len(ids) == len(set(ids)) <= request_count + 1


class LoopWithConnectHook:
    """The running event loop, whose ``create_connection`` calls ``before_return`` before it returns."""

    def __init__(self, before_return: Callable[[], None]) -> None:
        self._before_return = before_return

    def __getattr__(self, name: str) -> Any:
        return getattr(asyncio.get_running_loop(), name)

    async def create_connection(self, *args: Any) -> Any:
        """Connect, and call ``before_return`` before returning."""
        connected = await asyncio.get_running_loop().create_connection(*args)
        self._before_return()
        return connected


class AsyncioWithConnectHook:
    """The asyncio module, whose running event loop calls ``before_return`` after each connect."""

    def __init__(self, before_return: Callable[[], None]) -> None:
        self._loop = LoopWithConnectHook(before_return)

    def __getattr__(self, name: str) -> Any:
        return getattr(asyncio, name)

    def get_running_loop(self) -> LoopWithConnectHook:
        """Return the event loop with the hook."""
        return self._loop


@pytest.mark.parametrize("close_client", DISCONNECT_FUNCTIONS)
@async_test
async def test_no_attempt_begins_for_a_client_that_disconnected_during_the_connect(
    close_client: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    clients = list[socket.socket]()

    def disconnect_client() -> None:
        if clients:
            disconnect(clients.pop(), close_client)

    script = ScriptedDecisions(forward_to_s1)
    endpoint = ScriptedEndpoint()
    async with limiter_with_endpoint(endpoint.handle_connection, script) as limiter:
        monkeypatch.setattr(connector, "asyncio", AsyncioWithConnectHook(disconnect_client))
        client = socket.create_connection(limiter.address)
        clients.append(client)
        client.sendall(http_request(timeout_ms=60000))
        (outcome,) = await script.wait_for(model.AttemptCompleted)
        assert outcome.status in (model.CallStatus.NOT_SENT, model.CallStatus.CANCELLED)
        await assert_only_a_new_request_is_forwarded(limiter, endpoint)
