"""The life of a gateway process: readiness, reload, graceful shutdown, SIGKILL and restart."""

from __future__ import annotations

import asyncio
import errno
import json
import signal
from pathlib import Path

from soak.fault_control import DirectoryCalls
from tests.gateway_process import WIRE_SETTINGS, ProcessFaults, Program, config, started
from tests.loopback import (
    ConnectionHandler,
    ScriptedEndpoint,
    async_test,
    http_request,
    read_message,
    running_server,
)


def pushing_agent(endpoint: str, version: int, connected: asyncio.Queue[str]) -> ConnectionHandler:
    """An agent of discovery that pushes one endpoint list and then keeps the watch open."""

    async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        connected.put_nowait("agent")
        line = json.dumps(config(endpoint)["known"] | {"seq": version}).encode() + b"\n"
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        writer.write(head + b"%x\r\n%b\r\n" % (len(line), line))
        await asyncio.Event().wait()

    return talk


def unresponsive_counter(connected: asyncio.Queue[str]) -> ConnectionHandler:
    """A counter that accepts connections and never responds."""

    async def talk(reader: asyncio.StreamReader, _writer: asyncio.StreamWriter) -> None:
        connected.put_nowait("counter")
        await reader.read()

    return talk


async def send_until_received(program: Program, origin: ScriptedEndpoint) -> None:
    """Send requests until one is forwarded to an endpoint."""
    while not origin.requests:
        reader, writer = await program.connect()
        writer.write(http_request())
        await read_message(reader)


@async_test
async def test_sigterm_drains_accepted_requests_and_accepts_late_clients(tmp_path: Path) -> None:
    received = asyncio.Event()
    release = asyncio.Event()

    async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            await read_message(reader)
            received.set()
            await release.wait()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")

    async with running_server(talk) as endpoint, started(config(endpoint), tmp_path) as program:
        early_reader, early_writer = await program.connect()
        early_writer.write(http_request())
        await received.wait()
        program.process.send_signal(signal.SIGTERM)
        while " 200 " in await program.health():
            pass
        late_reader, late_writer = await program.connect()
        late_writer.write(http_request())
        release.set()
        for reader in (early_reader, late_reader):
            status, headers, body = await read_message(reader)
            assert " 200 " in status
            assert body == b"hi"
            assert await reader.read() == b""
            assert headers["connection"] == "close"
        assert await program.process.wait() == 0


@async_test
async def test_sighup_switches_to_new_addresses_and_a_malformed_file_changes_nothing(tmp_path: Path) -> None:
    origin = ScriptedEndpoint()
    connected = asyncio.Queue[str]()
    path = tmp_path / "config.json"

    async with (
        running_server(origin.handle_connection) as endpoint,
        running_server(pushing_agent(endpoint, 1, connected)) as discovery,
        running_server(unresponsive_counter(connected)) as counter,
    ):
        raw = config("127.0.0.1:1") | {"counter": "127.0.0.1:1"}
        raw["settings"] = WIRE_SETTINGS | {"specifics": {"has_counter": True, "count_wait_s": 0.05}}
        async with started(raw, tmp_path) as program:
            for text in ("{", "[]", json.dumps(raw | {"counter": 5})):
                path.write_text(text)
                program.process.send_signal(signal.SIGHUP)
                assert " 200 " in await program.health()
            path.write_text(json.dumps(raw | {"discovery": discovery, "counter": counter}))
            program.process.send_signal(signal.SIGHUP)
            peers = set[str]()
            while peers != {"agent", "counter"}:  # a second connection to the counter may come first
                peers.add(await connected.get())
            await send_until_received(program, origin)  # the pushed list holds the right address
            program.process.send_signal(signal.SIGTERM)
            program.process.send_signal(signal.SIGHUP)
            assert await program.process.wait() == 0


@async_test
async def test_sigkill_and_a_restart_at_the_same_address(tmp_path: Path) -> None:
    async with running_server(ScriptedEndpoint().handle_connection) as endpoint:
        raw = config(endpoint)
        for _ in range(2):
            async with started(raw, tmp_path) as program:
                reader, writer = await program.connect()
                writer.write(http_request())
                assert (await read_message(reader))[2] == b"hi"
                program.process.kill()
                assert await program.process.wait() == -signal.SIGKILL


@async_test
async def test_a_list_from_discovery_replaces_the_initial_one(tmp_path: Path) -> None:
    origin = ScriptedEndpoint()
    connected = asyncio.Queue[str]()
    async with (
        running_server(origin.handle_connection) as endpoint,
        running_server(pushing_agent(endpoint, 42, connected)) as discovery,
        started(config("127.0.0.1:1", discovery), tmp_path) as program,
    ):
        await connected.get()
        await send_until_received(program, origin)


@async_test
async def test_processes_started_together_are_ready_and_serve_while_discovery_does_not_respond(
    tmp_path: Path,
) -> None:
    """A restart of most of the fleet overloads discovery: no process waits for it to start."""

    async def unresponsive(reader: asyncio.StreamReader, _writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        await asyncio.Event().wait()

    async def start_and_send(index: int, endpoint: str, discovery: str) -> None:
        folder = tmp_path / str(index)
        folder.mkdir()
        raw = config(endpoint, discovery)
        raw["settings"] = WIRE_SETTINGS | {"discovery": "ask", "n_instances": 200}
        async with started(raw, folder) as program:
            reader, writer = await program.connect()
            writer.write(http_request(timeout_ms=10_000))
            assert " 200 " in (await read_message(reader))[0]
            writer.close()

    async with (
        running_server(ScriptedEndpoint().handle_connection) as endpoint,
        running_server(unresponsive) as discovery,
    ):
        await asyncio.gather(*(start_and_send(index, endpoint, discovery) for index in range(6)))


@async_test
async def test_a_configuration_that_cannot_be_read_for_a_moment_is_read_later(
    faults: ProcessFaults,
) -> None:
    """An error of the system says nothing of the file: what discovery tells binds 4 s after the signal."""
    connected = asyncio.Queue[str]()
    folder = faults.shared_folder
    async with running_server(pushing_agent("127.0.0.1:1", 42, connected)) as discovery:
        raw = config("127.0.0.1:1")
        async with started(raw, folder, environment=faults.environment) as program:
            (folder / "config.json").write_text(json.dumps(raw | {"discovery": discovery}))
            faults.control.fail_directory_calls(errno.ENFILE, DirectoryCalls.READING)
            program.process.send_signal(signal.SIGHUP)
            assert " 200 " in await program.health()
            await asyncio.sleep(0.5)
            faults.control.fail_directory_calls(0, DirectoryCalls.NONE)
            async with asyncio.timeout(3.0):
                assert await connected.get() == "agent"
