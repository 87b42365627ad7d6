"""Lack of descriptors: idle clients fill them, or the process has none left, on real sockets."""

from __future__ import annotations

import asyncio
import errno
import json
import os
import resource
import signal
import socket
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from pathlib import Path
from typing import Any

import pytest

from quota_gateway import model
from quota_gateway.net.client import listener
from tests.client_helpers import limiter_with_endpoint, on_timer, reject, take_no_action
from tests.gateway_process import Program, config, free_port, started
from tests.loopback import (
    LoopbackLimiter,
    ScriptedDecisions,
    ScriptedEndpoint,
    async_test,
    forward_to_s1,
    http_request,
    read_message,
    running_server,
)

LIST_WITHIN = 6.0  # seconds from discovery's return until the limiter must use its list
DESCRIPTORS = 256  # the smallest limit that the specification names


def connect_silent(program: Program, count: int) -> list[socket.socket]:
    """Clients that connect at once and send nothing."""
    host, port = program._listen.split(":")
    clients = list[socket.socket]()
    for _ in range(count):
        client = socket.socket()
        client.setblocking(False)
        assert client.connect_ex((host, int(port))) in (0, errno.EINPROGRESS)
        clients.append(client)
    return clients


def connect_sending(program: Program) -> socket.socket:
    """A client that connects and sends a request."""
    host, port = program._listen.split(":")
    client = socket.create_connection((host, int(port)))
    client.sendall(http_request())
    return client


async def assert_served(client: socket.socket) -> None:
    """Read the response to a request that was sent."""
    reader, writer = await asyncio.open_connection(sock=client)
    assert " 200 " in (await read_message(reader))[0]
    writer.close()


def open_descriptors(program: Program) -> int:
    """The descriptors that the limiter's process has open."""
    return len(os.listdir(f"/proc/{program.process.pid}/fd"))


class ReturningPeers:
    """Discovery and the counter, which are away at first; an endpoint list leads to ``endpoint``."""

    def __init__(self, endpoint: str) -> None:
        self._endpoint = endpoint
        self._servers = list[asyncio.Server]()
        self.ports = (free_port(), free_port())  # of discovery and of the counter
        self.list_sent = asyncio.Event()
        self.counter_reached = asyncio.Event()

    async def serve_list(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Send the endpoint list, and keep the watch open."""
        await reader.readuntil(b"\r\n\r\n")
        event = json.dumps(config(self._endpoint)["known"] | {"seq": 42}).encode() + b"\n"
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        writer.write(head + b"%x\r\n%b\r\n" % (len(event), event))
        self.list_sent.set()
        await reader.read()

    async def accept_counter(self, reader: asyncio.StreamReader, _writer: asyncio.StreamWriter) -> None:
        """Take the counter's connection, and answer nothing."""
        self.counter_reached.set()
        await reader.read()

    async def start(self) -> None:
        """Come back."""
        discovery_port, counter_port = self.ports
        self._servers = [
            await asyncio.start_server(self.serve_list, "127.0.0.1", discovery_port),
            await asyncio.start_server(self.accept_counter, "127.0.0.1", counter_port),
        ]

    def close(self) -> None:
        """Listen no more."""
        for server in self._servers:
            server.close()


def limited_config(endpoint: str, peers: ReturningPeers) -> dict[str, Any]:
    """A configuration with the least descriptors, and quotas that reject nothing."""
    discovery_port, counter_port = peers.ports
    raw = config(endpoint, f"127.0.0.1:{discovery_port}") | {"counter": f"127.0.0.1:{counter_port}"}
    raw["limits"] = {"sockets": DESCRIPTORS}
    raw["settings"] = raw["settings"] | {"specifics": {"has_counter": False, "count_wait_s": 0.05}}
    raw["settings"]["tariffs"] = [{"name": "basic", "quota_rate": 1e5, "store_size": 1e5}]
    return raw


async def crowd_in_one_step(program: Program) -> list[socket.socket]:
    """Twice the clients of the limit, and senders among them, wait when the process runs again."""
    resource.prlimit(program.process.pid, resource.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS))
    program.process.send_signal(signal.SIGSTOP)
    silent = list[socket.socket]()
    senders = list[socket.socket]()
    for _ in range(20):
        silent += connect_silent(program, DESCRIPTORS // 10)
        senders.append(connect_sending(program))
    program.process.send_signal(signal.SIGCONT)
    await asyncio.gather(*map(assert_served, senders))
    return silent


@async_test
async def test_idle_clients_at_the_limit_obstruct_neither_discovery_nor_the_counter_nor_requests(
    tmp_path: Path,
) -> None:
    """Far more clients than the limit allows connect; a few among them send requests throughout."""
    known = ScriptedEndpoint()
    listed = ScriptedEndpoint()
    async with (
        running_server(known.handle_connection) as known_address,
        running_server(listed.handle_connection) as listed_address,
    ):
        peers = ReturningPeers(listed_address)
        async with started(limited_config(known_address, peers), tmp_path) as program:
            silent = await crowd_in_one_step(program)
            max_descriptors = 0
            for _ in range(10):
                silent += connect_silent(program, DESCRIPTORS // 5)
                await asyncio.gather(*(assert_served(connect_sending(program)) for _ in range(4)))
                max_descriptors = max(max_descriptors, open_descriptors(program))
            await peers.start()
            returned_at = asyncio.get_running_loop().time()
            while not (peers.list_sent.is_set() and peers.counter_reached.is_set() and listed.requests):
                silent += connect_silent(program, 5)
                await assert_served(connect_sending(program))
                max_descriptors = max(max_descriptors, open_descriptors(program))
                assert asyncio.get_running_loop().time() < returned_at + LIST_WITHIN
            assert program.process.returncode is None
            assert max_descriptors < DESCRIPTORS
            assert len(silent) > 5 * DESCRIPTORS // 2
            peers.close()
            for client in silent:
                client.close()


@contextmanager
def no_free_descriptor() -> Iterator[None]:
    """Let this process open nothing more, as under a leak or a limit below the one configured."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    lowest_free = os.dup(0)  # the lowest number that is not in use
    os.close(lowest_free)
    resource.setrlimit(resource.RLIMIT_NOFILE, (lowest_free, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


@async_test
async def test_lack_of_descriptors_does_not_count_as_a_fault_of_the_endpoint() -> None:
    script = ScriptedDecisions(take_no_action)
    endpoint = ScriptedEndpoint()
    async with limiter_with_endpoint(endpoint.handle_connection, script) as limiter:
        reader, writer = await limiter.connect()
        writer.write(http_request())
        (event,) = await script.wait_for(model.Request)
        script.decide = on_timer(forward_to_s1(event))
        with no_free_descriptor():
            limiter.dispatcher.dispatch(model.TimerFired(1))
            (outcome,) = await script.wait_for(model.AttemptCompleted)
        assert outcome.status is model.CallStatus.NOT_SENT
        assert " 429 " in (await read_message(reader))[0]
        assert limiter.pool.open_connections == 0
        script.decide = forward_to_s1
        assert " 200 " in (await limiter.fetch(http_request()))[0]
        writer.close()


@async_test
async def test_closing_listener_accepts_its_queue_after_a_lack_of_descriptors(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Connections are accepted once there are descriptors again, and closing does not fail."""
    monkeypatch.setattr(listener, "DESCRIPTOR_WAIT_SECONDS", 10.0)  # a slow machine must not make it late

    async with LoopbackLimiter(ScriptedDecisions(reject), {}) as limiter:
        acceptor = limiter.listener._acceptor
        assert acceptor is not None
        asyncio.get_running_loop().remove_reader(acceptor._listening)  # it has not seen them when it closes
        clients = [socket.create_connection(limiter.address) for _ in range(3)]
        for client in clients:
            client.sendall(http_request())
        limiter.listener.start_draining()
        close = acceptor.close
        shortage = ExitStack()
        closing_began = asyncio.Event()

        async def close_at_the_limit(drain_seconds: float | None) -> None:
            """Leave no descriptor free in the step that closes."""
            shortage.enter_context(no_free_descriptor())
            closing_began.set()
            await close(drain_seconds)

        monkeypatch.setattr(acceptor, "close", close_at_the_limit)
        closing = asyncio.create_task(limiter.listener.close(1000))
        await closing_began.wait()
        for _ in range(20):
            await asyncio.sleep(0)
        assert len(limiter.listener.connections) < len(clients)
        shortage.close()
        for client in clients:
            reader, writer = await asyncio.open_connection(sock=client)
            assert " 429 " in (await read_message(reader))[0]
            writer.close()
        await closing
