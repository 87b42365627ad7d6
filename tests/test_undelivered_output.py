"""A connection is closed by the limiter only when nothing is owed on it: no output, no response, no input."""

from __future__ import annotations

import asyncio
import os
import socket
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from quota_gateway import model
from quota_gateway.net.client import connection as client_connection
from quota_gateway.net.client import listener, request_body, request_reader, transport
from quota_gateway.net.client.connection import ClientConnection
from quota_gateway.net.client.eviction import NEW_SECONDS
from quota_gateway.net.client.stall_detector import STALL_THRESHOLD_SECONDS, StallDetector
from tests.body_transfers import SEGMENT_BYTES
from tests.client_helpers import (
    execute,
    limiter_with_endpoint,
    reject,
    take_no_action,
    wait_for_connections,
    wait_for_partial_request,
)
from tests.http_bodies import POST_PATH, upload
from tests.loopback import (
    LoopbackLimiter,
    ScriptedDecisions,
    ScriptedEndpoint,
    async_test,
    forward_to_s1,
    http_request,
    read_message,
)
from tests.recording_endpoint import RecordingEndpoint

CLIENT_BUFFER_BYTES = 16 * 1024
BODY_BYTES = 60_000
# Responses to one client that reads nothing: the system does not accept all of eight, but it does accept one.
WAITS_IN_PROCESS = 8
WAITS_IN_SYSTEM = 1
WAIT_SECONDS = 0.3
SCAN_SECONDS = 0.01
STALL_SECONDS = 0.8
CLIENT_TIMEOUT_SECONDS = 0.4  # shorter than the stall


class SlowClient:
    """A client that has read nothing of its responses, and its connection in the limiter."""

    def __init__(self, limiter: LoopbackLimiter, client: socket.socket, connection: ClientConnection) -> None:
        self.limiter = limiter
        self.socket = client
        self.connection = connection

    async def read_bodies(self, size: int) -> int:
        """Read up to ``size`` bytes of bodies, or to the end; return how many there were."""
        loop = asyncio.get_running_loop()
        count = 0
        while count < size and (data := await loop.sock_recv(self.socket, SEGMENT_BYTES)):
            count += data.count(b"~")
        return count


LONG_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % BODY_BYTES + b"~" * BODY_BYTES


@asynccontextmanager
async def slow_client(responses: int, *, closes: bool) -> AsyncIterator[SlowClient]:
    """Connect a client whose responses are written and not delivered; the last may close the connection."""
    requests = [http_request() for _ in range(responses - 1)]
    requests.append(http_request(Connection="close" if closes else ""))
    endpoint = ScriptedEndpoint(lambda _number: LONG_RESPONSE)
    script = ScriptedDecisions(take_no_action)
    async with limiter_with_endpoint(endpoint.handle_connection, script) as limiter:
        with socket.socket() as client:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, CLIENT_BUFFER_BYTES)
            client.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
            client.connect(limiter.address)
            client.setblocking(False)  # noqa: FBT003 - positional only
            client.send(b"".join(requests))
            (connection,) = await wait_for_connections(limiter)
            events = await script.wait_for(model.Request, responses)
            execute(limiter, [action for event in events for action in forward_to_s1(event)])
            while connection.pipeline.queue:
                await asyncio.sleep(SCAN_SECONDS)
            assert connection.transport.is_lingering is closes
            assert bool(connection.transport.unwritten_size()) is (responses == WAITS_IN_PROCESS)
            yield SlowClient(limiter, client, connection)


@pytest.mark.parametrize("closes", [True, False])
@pytest.mark.parametrize("responses", [WAITS_IN_PROCESS, WAITS_IN_SYSTEM])
@async_test
async def test_connection_whose_responses_are_not_delivered_is_not_evicted(
    responses: int, closes: bool
) -> None:
    """Guards against responses that are cut off at the connection limit (review/9)."""
    async with slow_client(responses, closes=closes) as client:
        client.socket.send(b"GET /lookup")  # unread when the connection is evicted, which would reset it
        client.limiter.listener.set_max_connections(0)
        await asyncio.sleep(WAIT_SECONDS)
        assert await client.read_bodies(responses * BODY_BYTES) == responses * BODY_BYTES


@pytest.mark.parametrize("responses", [WAITS_IN_PROCESS, WAITS_IN_SYSTEM])
@async_test
async def test_connection_lingers_until_its_responses_are_delivered(
    responses: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against responses that the end of the linger time cuts off."""
    monkeypatch.setattr(transport, "LINGER_SECONDS", 0.05)
    async with slow_client(responses, closes=True) as client:
        await asyncio.sleep(WAIT_SECONDS)
        client.socket.send(b"x" * 1000)
        assert await client.read_bodies(responses * BODY_BYTES) == responses * BODY_BYTES
        await asyncio.sleep(WAIT_SECONDS)
        assert not client.limiter.listener.connections  # and no longer


@async_test
async def test_connection_does_not_linger_for_a_client_that_accepts_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(client_connection, "BODY_STALL_TIMEOUT_SECONDS", WAIT_SECONDS)
    async with slow_client(WAITS_IN_SYSTEM, closes=True) as client, asyncio.timeout(10 * WAIT_SECONDS):
        while client.limiter.listener.connections:
            await asyncio.sleep(SCAN_SECONDS)


@async_test
async def test_too_much_input_behind_a_response_does_not_cut_it_off() -> None:
    """Guards against responses that are lost because their client goes on sending."""
    async with slow_client(WAITS_IN_PROCESS, closes=True) as client:
        loop = asyncio.get_running_loop()
        sending = loop.create_task(loop.sock_sendall(client.socket, b"x" * 2 * transport.MAX_DISCARDED_BYTES))
        await asyncio.sleep(WAIT_SECONDS)
        assert await client.read_bodies(WAITS_IN_PROCESS * BODY_BYTES) == WAITS_IN_PROCESS * BODY_BYTES
        sending.cancel()


@pytest.mark.parametrize("responses", [WAITS_IN_PROCESS, WAITS_IN_SYSTEM])
@async_test
async def test_idle_connection_is_not_closed_before_its_responses_are_delivered(
    responses: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an idle close that resets the connection, as the next request arrives meanwhile."""
    monkeypatch.setattr(listener, "SCAN_INTERVAL_SECONDS", SCAN_SECONDS)
    monkeypatch.setattr(client_connection, "IDLE_TIMEOUT_SECONDS", 0.1)
    async with slow_client(responses, closes=False) as client:
        await asyncio.sleep(WAIT_SECONDS)
        client.socket.send(http_request())
        expected = (responses + 1) * BODY_BYTES
        assert await client.read_bodies(expected) == expected
        assert await client.read_bodies(1) == 0  # closed as idle now


HEAD = http_request()
POST = http_request(POST_PATH, b"x" * 1000)
UPLOAD = upload("length", b"x" * 200_000)


@pytest.mark.parametrize(
    ("request_bytes", "sent_before"),
    [(HEAD, 20), (POST, len(POST) - 500), (UPLOAD, len(UPLOAD) - 60_000)],
    ids=["head", "body", "upload"],
)
@pytest.mark.parametrize("is_first", [True, False])
@async_test
async def test_client_whose_input_arrives_while_the_process_is_busy_is_not_too_slow(
    request_bytes: bytes, sent_before: int, is_first: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against errors to clients whose input was not read in time."""
    monkeypatch.setattr(request_reader, "HEAD_TIMEOUT_SECONDS", CLIENT_TIMEOUT_SECONDS)
    monkeypatch.setattr(request_body, "BODY_TIMEOUT_SECONDS", CLIENT_TIMEOUT_SECONDS)
    monkeypatch.setattr(request_body, "SILENCE_TIMEOUT_SECONDS", CLIENT_TIMEOUT_SECONDS)
    endpoint = RecordingEndpoint()
    async with limiter_with_endpoint(endpoint.serve) as limiter:
        client = socket.create_connection(limiter.address)
        reader, writer = await asyncio.open_connection(sock=client)
        if not is_first:
            writer.write(http_request())
            await read_message(reader)
        writer.write(request_bytes[:sent_before])
        await writer.drain()
        await wait_for_partial_request(limiter)
        await asyncio.sleep(2 * SCAN_SECONDS)
        os.write(client.fileno(), request_bytes[sent_before:])
        time.sleep(STALL_SECONDS)  # the process is busy
        (connection,) = limiter.listener.connections
        connection.check_timeouts(time.monotonic())  # before the input is read
        assert " 200 " in (await read_message(reader))[0]
        writer.close()


@pytest.mark.parametrize("stall_seconds", [0.0, STALL_SECONDS])
@async_test
async def test_connection_with_the_unread_rest_of_a_request_is_not_evicted(stall_seconds: float) -> None:
    """Guards against requests that arrived completely and are reset at the connection limit."""
    async with LoopbackLimiter(ScriptedDecisions(reject), {}) as limiter:
        client = socket.create_connection(limiter.address)
        request = http_request()
        client.sendall(request[:20])
        await wait_for_partial_request(limiter)
        await asyncio.sleep(2 * NEW_SECONDS)
        client.sendall(request[20:])
        time.sleep(stall_seconds)
        limiter.listener.set_max_connections(0)
        limiter.listener.on_connected(ClientConnection(limiter.listener))
        reader, writer = await asyncio.open_connection(sock=client)
        assert " 429 " in (await read_message(reader))[0]
        writer.close()


@pytest.mark.parametrize("other_sends", [b"", b"GET /lookup"])
@async_test
async def test_new_client_is_accepted_although_the_output_of_another_one_is_not_delivered(
    other_sends: bytes,
) -> None:
    async with slow_client(WAITS_IN_SYSTEM, closes=False) as client:
        client.socket.send(other_sends)
        idle, idle_writer = await client.limiter.connect()
        idle_writer.write(b"GET /healthz HTTP/1.1\r\n\r\n")
        await read_message(idle)
        await asyncio.sleep(2 * NEW_SECONDS)
        client.limiter.listener.set_max_connections(2)
        reader, writer = await client.limiter.connect()
        writer.write(b"GET /healthz HTTP/1.1\r\n\r\n")
        assert " 200 " in (await read_message(reader))[0]
        assert await idle.read() == b""
        assert await client.read_bodies(BODY_BYTES) == BODY_BYTES
        writer.close()
        idle_writer.close()


def test_time_of_clients_passes_only_while_the_process_runs() -> None:
    stalls = StallDetector(100.0)
    for now in (100.1, 100.2, 105.2, 105.3, 106.3):
        stalls.record_iteration(now)
    assert stalls.without_stalls(106.3) == pytest.approx(100.3 + 2 * STALL_THRESHOLD_SECONDS)
