"""The admin address, as a listener alone and in a running limiter: each admin command gets one reply.

Connections that stall must not delay the replies on others.
"""

from __future__ import annotations

import asyncio
import os
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from quota_gateway import model
from quota_gateway.net.admin import listener as admin
from soak.ports import free_port
from tests.admin_client import send_command, stalled_connections
from tests.gateway_process import make_config, running_limiter
from tests.loopback import ScriptedEndpoint, run, running_server

MALFORMED_COMMANDS = (
    b"",
    b"status",
    b"WHAT",
    b"SUSPEND",
    b"SUSPEND ",
    b"SUSPEND s1 s1",
    b"STATUS x",
    b"\xff" * 9,
)
COMMANDS_FOR_UNKNOWN_ENDPOINTS = (b"SUSPEND nobody", b"RESTORE nobody", b"SUSPEND " + b"s" * 100_000)


class EchoHandler:
    """Replies to each command with its name and endpoint in place of metrics."""

    def on_admin_command(
        self, command: model.AdminCommand, endpoint: str, reply: admin.ReplyCallback
    ) -> None:
        reply(admin.CommandReply(succeeded=True, metrics=f"{command.value} {endpoint}\n"))


@asynccontextmanager
async def running_admin_listener() -> AsyncIterator[tuple[str, int]]:
    listener = admin.AdminListener(EchoHandler())
    try:
        yield await listener.listen("127.0.0.1", 0)
    finally:
        await listener.close()


def test_a_command_is_passed_to_the_handler_with_its_endpoint() -> None:
    async def main() -> None:
        async with running_admin_listener() as (_, port):
            assert await send_command(port, b"RESTORE s1") == "RESTORE s1\nEOT\n"
            assert await send_command(port, b"STATUS") == "STATUS \nEOT\n"

    run(main())


@pytest.mark.parametrize("command", MALFORMED_COMMANDS)
def test_a_malformed_command_is_not_passed_to_the_handler(command: bytes) -> None:
    async def main() -> None:
        async with running_admin_listener() as (_, port):
            assert await send_command(port, command) == "FAILURE\n"

    run(main())


def test_the_oldest_connection_is_closed_at_the_connection_limit() -> None:
    async def main() -> None:
        async with running_admin_listener() as (host, port):
            streams = [await asyncio.open_connection(host, port) for _ in range(admin.MAX_CONNECTIONS + 1)]
            oldest_reader, _ = streams[0]
            assert await oldest_reader.read() == b""
            second_reader, second_writer = streams[1]
            second_writer.write(b"STATUS\n")
            assert await second_reader.read() == b"STATUS \nEOT\n"

    run(main())


def test_an_incomplete_command_gets_a_failure_reply_after_the_timeout(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def main() -> None:
        async with running_admin_listener() as (host, port):
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(b"STAT")
            assert await reader.read() == b"FAILURE\n"

    monkeypatch.setattr(admin, "COMMAND_TIMEOUT_SECONDS", 0.05)
    run(main())


def test_commands_get_replies_while_other_connections_stall(tmp_path: Path) -> None:
    async def main() -> None:
        port = free_port()
        async with (
            running_server(ScriptedEndpoint().handle_connection) as address,
            running_limiter(
                make_config(address), tmp_path, LB_MGMT=f"127.0.0.1:{port}", TMPDIR=str(tmp_path)
            ),
            stalled_connections(port),
        ):
            assert await send_command(port, b"STATUS") == "SUCCESS\n"
            assert await send_command(port, b"STATUS\r") == "SUCCESS\n"
            assert await send_command(port, b"STATUS", terminator=b"") == "SUCCESS\n"
            for command in MALFORMED_COMMANDS + COMMANDS_FOR_UNKNOWN_ENDPOINTS:
                assert await send_command(port, command) == "FAILURE\n", command

    run(main())


def test_no_shared_directory_is_created_without_an_admin_address(tmp_path: Path) -> None:
    async def main() -> None:
        async with (
            running_server(ScriptedEndpoint().handle_connection) as address,
            running_limiter(make_config(address), tmp_path, TMPDIR=str(tmp_path)) as limiter,
        ):
            assert " 200 " in await limiter.health()
            assert [path.name for path in tmp_path.iterdir()] == ["config.json"]

    assert "LB_MGMT" not in os.environ
    run(main())
