"""Upgrade: the two processes share the limits, and the new one takes over the state of the old one."""

from __future__ import annotations

import asyncio
import json
import signal
import socket
from collections.abc import Iterator
from contextlib import AbstractAsyncContextManager, contextmanager
from pathlib import Path
from typing import Any

import pytest

from quota_gateway import model
from quota_gateway.config import Environment, load_config
from quota_gateway.decisions.gateway import Gateway
from quota_gateway.lifecycle.components import build_components
from quota_gateway.lifecycle.connection_limits import connection_limits
from quota_gateway.lifecycle.startup import start
from quota_gateway.net.process_group.group import ProcessGroup
from quota_gateway.net.process_group.shared_files import FileLock
from quota_gateway.state import Account
from soak.ports import free_port
from tests.admin_client import fetch_metrics, send_command
from tests.gateway_process import LimiterProcess, make_config, running_limiter
from tests.loopback import ScriptedEndpoint, async_test, http_request, read_message, running_server
from tests.simulation import GatewaySimulation, endpoint_list, make_request, make_settings

STEP_SECONDS = 0.05
IDLE_STEP = 170  # no requests from here until the join, so the ceiling's bucket is half full at the join
JOIN_STEP = 200  # a second process of the first limiter starts
SHUTDOWN_STEP = 800  # the old process of the first limiter ends
ENDPOINTS = ("s0", "s1", "s2", "s3")
CEILING_RATE = 4.0  # units per second
CEILING_BURST = 12.0  # units
UNITS = 0.25  # units of one request
CAPPED_PLAN = model.Plan("capped", 1.0, 300.0, 900.0, ceiling_rate=CEILING_RATE, ceiling_burst=CEILING_BURST)


def handover_state(simulation: GatewaySimulation) -> model.HandoverState:
    """Return the state that a process hands over when another one joins."""
    actions = simulation.feed(model.ProcessCountChanged(2))
    (handover,) = (action for action in actions if isinstance(action, model.HandOver))
    return handover.state


def start_successor(
    predecessor: GatewaySimulation, settings: model.Settings, now: float
) -> GatewaySimulation:
    successor = GatewaySimulation(settings, 9, now)
    successor.feed(endpoint_list(*ENDPOINTS))
    successor.feed(model.ProcessCountChanged(2))
    state = handover_state(predecessor)
    for _ in range(2):  # a second handover must change nothing
        successor.feed(state)
    return successor


def send_burst(simulation: GatewaySimulation, first_id: int) -> int:
    """Send nine requests while the counter is unreachable; return how many were forwarded."""
    simulation.reply_to_counter_calls(model.CallStatus.UNREACHABLE)
    forwarded_before = len(simulation.forwarded)
    for request_id in range(first_id, first_id + 9):
        simulation.feed(make_request(request_id, "read", "capped", "acct", 3.0, UNITS))
    return len(simulation.forwarded) - forwarded_before


def test_a_ceiling_is_not_exceeded_while_two_processes_of_one_limiter_run() -> None:
    settings = make_settings(plans=(CAPPED_PLAN,))
    simulations = [GatewaySimulation(settings, seed) for seed in range(3)]
    for simulation in simulations:
        simulation.feed(endpoint_list(*ENDPOINTS))
    tokens = CEILING_BURST
    now = 100.0
    total = 0
    for step in range(1200):
        now += STEP_SECONDS
        tokens = min(CEILING_BURST, tokens + CEILING_RATE * STEP_SECONDS)
        if step == JOIN_STEP:
            simulations.append(start_successor(simulations[0], settings, now))
        if step == SHUTDOWN_STEP:
            simulations[0] = simulations.pop()
            simulations[0].feed(model.ProcessCountChanged(1))
        for index, simulation in enumerate(simulations):
            simulation.advance_to(now)
            simulation.complete_attempts()
            if IDLE_STEP < step < JOIN_STEP:
                continue
            forwarded = send_burst(simulation, 40 * step + 10 * index)
            tokens -= UNITS * forwarded
            total += forwarded
        assert tokens >= -1e-6, "the ceiling was exceeded"
    assert total > 150


@pytest.mark.parametrize("max_descriptors", [256, 384, 1024])
def test_two_processes_split_the_descriptors_and_leave_enough_for_usual_clients(max_descriptors: int) -> None:
    clients, endpoints = connection_limits(max_descriptors, 2)
    limits_alone = connection_limits(max_descriptors, 1)
    assert 2 * (clients + endpoints) + 2 * 20 <= max_descriptors
    assert sum(limits_alone) + 40 <= max_descriptors
    assert clients * 2 > max_descriptors / 3
    assert endpoints >= 32


def test_the_tokens_of_a_ceiling_are_split_with_a_joining_process_and_never_copied() -> None:
    plan = model.Plan("capped", 1.0, 3.0, 9.0, ceiling_rate=4.0, ceiling_burst=12.0)
    old = Account(100.0, plan, "acct", 3, started_at=0.0, max_units=4.0)
    new = Account(100.0, plan, "acct", 3, started_at=100.0, max_units=4.0, process_count=2)
    old.ceiling_tokens = 2.0
    new.take_over(100.0, old.set_process_count(100.0, 2))
    assert old.ceiling_tokens == new.ceiling_tokens == 1.0
    assert old.set_process_count(100.0, 1).ceiling_tokens == 0.0
    assert old.ceiling_tokens == 1.0


@pytest.mark.parametrize("stall_seconds", [0.5, 1.5, 3.0, 10.0])
def test_a_process_that_stalled_while_another_joined_keeps_only_its_part_of_the_ceiling(
    stall_seconds: float,
) -> None:
    """The new process may have refilled its part since the last poll of the stalled process."""
    plan = model.Plan("capped", 1.0, 30.0, 90.0, ceiling_rate=CEILING_RATE, ceiling_burst=CEILING_BURST)
    old = Account(100.0, plan, "acct", 1, started_at=0.0, max_units=4.0)
    old.ceiling_tokens = 0.0  # the bucket is empty when the process stalls
    new = Account(100.0, plan, "acct", 1, started_at=100.0, max_units=4.0, process_count=2)
    now = 100.0 + stall_seconds
    new.take_over(now, old.set_process_count(now, 2, alone_until=100.0))
    assert old.ceiling_tokens + new.ceiling_tokens <= min(CEILING_BURST, CEILING_RATE * stall_seconds) + 1e-9


def test_a_new_process_takes_over_the_state_of_the_old_one() -> None:
    old = GatewaySimulation(make_settings())
    new = GatewaySimulation(make_settings(), 2)
    for simulation in (old, new):
        simulation.feed(endpoint_list("s0", "s1"))
    for request_id in range(100):
        old.feed(make_request(request_id, plan="small"))
        old.advance_to(old.now + 0.05)
        old.complete_attempts()
        old.reply_to_counter_calls()
    old.feed(model.AdminRequest(1, model.AdminCommand.SUSPEND, "s1"))
    # The command begins a slow start that the endpoint list does not show.
    old.feed(model.AdminRequest(2, model.AdminCommand.RESTORE, "s1"))
    new.now = old.now
    new.gateway = Gateway(make_settings(), 3, old.now)
    new.feed(endpoint_list("s0", "s1"))
    new.feed(model.ProcessCountChanged(2))
    new.feed(handover_state(old))
    assert new.gateway.endpoints.by_name["s1"].warming_since == old.now
    assert new.gateway.slow_start.completion_rate == old.gateway.slow_start.completion_rate > 0
    (before,) = old.gateway.account_table.accounts.values()
    (after,) = new.gateway.account_table.accounts.values()
    assert after.counter_total == before.counter_total is not None
    assert after.counter_id == before.counter_id
    assert after.tokens == pytest.approx(before.tokens + before.unreported_usage)
    assert new.gateway.controller.integral is None  # the load controller starts from its initial state


class BlockingEndpoint:
    """An endpoint that responds to requests once it is released."""

    def __init__(self) -> None:
        self.received = asyncio.Event()
        self.released = asyncio.Event()

    async def handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            await read_message(reader)
            self.received.set()
            await self.released.wait()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")


class Deployment:
    """Starts processes of one limiter, which share the address for clients and $TMPDIR."""

    def __init__(self, directory: Path, listener: socket.socket, *, inherited: bool) -> None:
        """Without ``inherited`` the listening socket is closed, and each process binds its address."""
        self._directory = directory
        host, port = listener.getsockname()
        self._address = f"{host}:{port}"
        self._environment = {"TMPDIR": str(directory)}
        self._descriptors: tuple[int, ...] = ()
        if inherited:
            self._environment["LB_LISTEN_FD"] = str(listener.fileno())
            self._descriptors = (listener.fileno(),)
        else:
            listener.close()

    def start(
        self, endpoint_address: str, admin_port: int, raw: dict[str, Any] | None = None
    ) -> AbstractAsyncContextManager[LimiterProcess]:
        """Start a process; ``raw`` replaces the usual configuration, but for the addresses."""
        addresses = {"listen": self._address, "mgmt": f"127.0.0.1:{admin_port}"}
        directory = self._directory / str(admin_port)
        directory.mkdir()
        config = raw or make_config(endpoint_address)
        return running_limiter(config | addresses, directory, self._descriptors, self._environment)


async def check_takeover(old: LimiterProcess, old_port: int, new_port: int) -> None:
    """Terminate the old process once the new one is ready; restore the endpoint through the new one."""
    while await send_command(new_port, b"STATUS") != "SUCCESS\n":
        pass
    assert (await fetch_metrics(new_port))["app.skipped_servers"] == 1
    old.process.send_signal(signal.SIGTERM)
    while await send_command(old_port, b"STATUS") == "SUCCESS\n":
        pass
    assert await send_command(new_port, b"RESTORE s1") == "SUCCESS\n"


async def check_last_response(reader: asyncio.StreamReader) -> None:
    status_line, headers, body = await read_message(reader)
    assert " 200 " in status_line
    assert body == b"hi"
    assert headers["connection"] == "close"


async def check_service(limiter: LimiterProcess, admin_port: int) -> None:
    reader, writer = await limiter.connect()
    writer.write(http_request())
    _, _, body = await read_message(reader)
    assert body == b"hi"
    assert await send_command(admin_port, b"STATUS") == "SUCCESS\n"


@pytest.mark.parametrize("inherited", [True, False])
@async_test
async def test_a_new_version_takes_over_the_address_and_the_suspensions(
    inherited: bool, tmp_path: Path
) -> None:
    endpoint = BlockingEndpoint()
    old_port = free_port()
    new_port = free_port()
    with socket.create_server(("127.0.0.1", 0)) as listener:
        deployment = Deployment(tmp_path, listener, inherited=inherited)
        async with (
            running_server(endpoint.handle_connection) as address,
            deployment.start(address, old_port) as old,
        ):
            assert await send_command(old_port, b"STATUS") == "SUCCESS\n"
            reader, writer = await old.connect()
            writer.write(http_request())
            await endpoint.received.wait()
            assert await send_command(old_port, b"SUSPEND s1") == "SUCCESS\n"
            async with deployment.start(address, new_port) as new:
                await check_takeover(old, old_port, new_port)
                endpoint.released.set()
                await check_last_response(reader)
                assert await old.process.wait() == 0
                await check_service(new, new_port)


@contextmanager
def process_that_does_not_accept(directory: Path) -> Iterator[None]:
    """Simulate another process that has joined but does not accept clients, as it is starting or draining."""
    (group_directory,) = directory.glob("cypresspulley-*")
    with FileLock(group_directory / "process-1-00000000") as lock:
        assert lock.acquired
        yield


@async_test
async def test_a_draining_process_accepts_clients_while_no_other_process_does(tmp_path: Path) -> None:
    endpoint = ScriptedEndpoint()
    port = free_port()
    with socket.create_server(("127.0.0.1", free_port())) as listener:
        deployment = Deployment(tmp_path, listener, inherited=False)
    async with (
        running_server(endpoint.handle_connection) as address,
        deployment.start(address, port) as limiter,
    ):
        with process_that_does_not_accept(tmp_path):
            limiter.process.send_signal(signal.SIGTERM)
            while await send_command(port, b"STATUS") == "SUCCESS\n":
                pass
            reader, writer = await limiter.connect()  # clients cannot know of the shutdown yet
            writer.write(http_request())
            assert " 200 " in (await read_message(reader))[0]
            assert await limiter.process.wait() == 0


@async_test
async def test_a_handover_present_at_startup_is_applied_after_the_initial_endpoint_list(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The old process may write the handover before the new one first reads the shared directory."""
    handled = list[model.Event]()
    handle = Gateway.handle

    def record(gateway: Gateway, now: float, event: model.Event) -> list[model.Action]:
        handled.append(event)
        return handle(gateway, now, event)

    monkeypatch.setattr(Gateway, "handle", record)
    config_path = tmp_path / "config.json"
    config_path.write_text(json.dumps(make_config("127.0.0.1:1")))
    environment = Environment(
        str(config_path), admin_address=f"127.0.0.1:{free_port()}", shared_directory=str(tmp_path)
    )
    loaded = load_config(environment)
    components = build_components(loaded, environment)
    old = ProcessGroup(str(tmp_path), loaded.name)
    old.write_handover(model.HandoverState(1.0, 0.1, 1.0, {}, (), ()))
    try:
        await start(components, loaded, environment)
        kinds = [type(event) for event in handled]
        assert kinds.index(model.EndpointUpdate) < kinds.index(model.HandoverState)
    finally:
        components.process_group.close()
        old.close()
        await components.listener.close(0.0)
