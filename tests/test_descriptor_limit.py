"""Descriptor exhaustion: neither idle clients at the limit nor a lack of descriptors may stop the service."""

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
from soak.ports import free_port
from tests.client_helpers import limiter_with_endpoint, on_timer, reject, take_no_action
from tests.gateway_process import LimiterProcess, make_config, running_limiter
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

# The limiter must use the endpoint list within this time after discovery becomes reachable.
LIST_DEADLINE_SECONDS = 6.0
MIN_DESCRIPTORS = 256  # the smallest limit in the specification


def connect_without_sending(limiter: LimiterProcess, count: int) -> list[socket.socket]:
    """Return clients that have begun to connect and send nothing."""
    host, port = limiter.listen_address.split(":")
    clients = list[socket.socket]()
    for _ in range(count):
        client = socket.socket()
        client.setblocking(False)  # noqa: FBT003 - positional only
        assert client.connect_ex((host, int(port))) in (0, errno.EINPROGRESS)
        clients.append(client)
    return clients


def connect_sending(limiter: LimiterProcess) -> socket.socket:
    """Return a client that has connected and sent a request."""
    host, port = limiter.listen_address.split(":")
    client = socket.create_connection((host, int(port)))
    client.sendall(http_request())
    return client


async def assert_served(client: socket.socket) -> None:
    """Assert that the request of a client receives its response."""
    reader, writer = await asyncio.open_connection(sock=client)
    assert " 200 " in (await read_message(reader))[0]
    writer.close()


def open_descriptors(limiter: LimiterProcess) -> int:
    """Return the number of open descriptors of the limiter's process."""
    return len(os.listdir(f"/proc/{limiter.process.pid}/fd"))


class RecoveringServices:
    """Discovery and the counter, unreachable until ``start``; the endpoint list contains ``endpoint``."""

    def __init__(self, endpoint: str) -> None:
        self._endpoint = endpoint
        self._servers = list[asyncio.Server]()
        self.ports = (free_port(), free_port())  # ports of discovery and the counter
        self.list_sent = asyncio.Event()
        self.counter_reached = asyncio.Event()

    async def serve_list(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Send the endpoint list, and keep the watch open."""
        await reader.readuntil(b"\r\n\r\n")
        event = json.dumps(make_config(self._endpoint)["known"] | {"seq": 42}).encode() + b"\n"
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        writer.write(head + b"%x\r\n%b\r\n" % (len(event), event))
        self.list_sent.set()
        await reader.read()

    async def accept_counter(self, reader: asyncio.StreamReader, _writer: asyncio.StreamWriter) -> None:
        """Accept a connection to the counter, and send no reply."""
        self.counter_reached.set()
        await reader.read()

    async def start(self) -> None:
        """Start listening."""
        discovery_port, counter_port = self.ports
        self._servers = [
            await asyncio.start_server(self.serve_list, "127.0.0.1", discovery_port),
            await asyncio.start_server(self.accept_counter, "127.0.0.1", counter_port),
        ]

    def close(self) -> None:
        """Stop listening."""
        for server in self._servers:
            server.close()


def limited_config(endpoint: str, services: RecoveringServices) -> dict[str, Any]:
    """Return a configuration with the lowest descriptor limit, and quotas that reject no request."""
    discovery_port, counter_port = services.ports
    raw = make_config(endpoint, f"127.0.0.1:{discovery_port}") | {"counter": f"127.0.0.1:{counter_port}"}
    raw["limits"] = {"sockets": MIN_DESCRIPTORS}
    raw["settings"] = raw["settings"] | {"specifics": {"has_counter": False, "count_wait_s": 0.05}}
    raw["settings"]["tariffs"] = [{"name": "basic", "quota_rate": 1e5, "store_size": 1e5}]
    return raw


async def connect_clients_while_stopped(limiter: LimiterProcess) -> list[socket.socket]:
    """Connect about twice as many clients as the limit while the process is stopped; a few send a request."""
    resource.prlimit(limiter.process.pid, resource.RLIMIT_NOFILE, (MIN_DESCRIPTORS, MIN_DESCRIPTORS))
    limiter.process.send_signal(signal.SIGSTOP)
    idle_clients = list[socket.socket]()
    sending_clients = list[socket.socket]()
    for _ in range(20):
        idle_clients += connect_without_sending(limiter, MIN_DESCRIPTORS // 10)
        sending_clients.append(connect_sending(limiter))
    limiter.process.send_signal(signal.SIGCONT)
    await asyncio.gather(*map(assert_served, sending_clients))
    return idle_clients


@async_test
async def test_idle_clients_at_the_descriptor_limit_do_not_block_discovery_counter_or_requests(
    tmp_path: Path,
) -> None:
    """Many more clients than the limit connect, and a few of them send requests throughout."""
    known_endpoint = ScriptedEndpoint()
    listed_endpoint = ScriptedEndpoint()
    async with (
        running_server(known_endpoint.handle_connection) as known_address,
        running_server(listed_endpoint.handle_connection) as listed_address,
    ):
        services = RecoveringServices(listed_address)
        async with running_limiter(limited_config(known_address, services), tmp_path) as limiter:
            idle_clients = await connect_clients_while_stopped(limiter)
            max_descriptors = 0
            for _ in range(10):
                idle_clients += connect_without_sending(limiter, MIN_DESCRIPTORS // 5)
                await asyncio.gather(*(assert_served(connect_sending(limiter)) for _ in range(4)))
                max_descriptors = max(max_descriptors, open_descriptors(limiter))
            await services.start()
            reachable_at = asyncio.get_running_loop().time()
            while not (
                services.list_sent.is_set() and services.counter_reached.is_set() and listed_endpoint.requests
            ):
                idle_clients += connect_without_sending(limiter, 5)
                await assert_served(connect_sending(limiter))
                max_descriptors = max(max_descriptors, open_descriptors(limiter))
                assert asyncio.get_running_loop().time() < reachable_at + LIST_DEADLINE_SECONDS
            assert limiter.process.returncode is None
            assert max_descriptors < MIN_DESCRIPTORS
            assert len(idle_clients) > 5 * MIN_DESCRIPTORS // 2
            services.close()
            for client in idle_clients:
                client.close()


@contextmanager
def no_free_descriptor() -> Iterator[None]:
    """Prevent this process from opening descriptors, as a leak or a limit below the configured one would."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    lowest_free = os.dup(0)  # the lowest unused descriptor number
    os.close(lowest_free)
    resource.setrlimit(resource.RLIMIT_NOFILE, (lowest_free, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


@async_test
async def test_lack_of_descriptors_does_not_count_as_an_endpoint_failure() -> None:
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
async def test_closing_listener_empties_its_accept_queue_after_a_lack_of_descriptors(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Waiting connections are accepted once descriptors are available again, and closing does not fail."""
    monkeypatch.setattr(listener, "DESCRIPTOR_WAIT_SECONDS", 10.0)  # more than a slow machine needs

    async with LoopbackLimiter(ScriptedDecisions(reject), {}) as limiter:
        acceptor = limiter.listener._acceptor
        assert acceptor is not None
        # The connections are still in the accept queue when the listener closes.
        asyncio.get_running_loop().remove_reader(acceptor._listening)
        clients = [socket.create_connection(limiter.address) for _ in range(3)]
        for client in clients:
            client.sendall(http_request())
        limiter.listener.start_draining()
        close = acceptor.close
        shortage = ExitStack()
        closing_began = asyncio.Event()

        async def close_at_the_limit(drain_seconds: float | None) -> None:
            """Use up the descriptors immediately before the close."""
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
