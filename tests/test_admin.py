"""Tests of the admin address of a running limiter."""

from __future__ import annotations

import os
from pathlib import Path

from tests.admin_client import send_command, stalled_connections
from tests.loopback import Origin, listening, run
from tests.test_program import config, free_port, started

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


def test_commands_are_answered_beside_stalled_connections(tmp_path: Path) -> None:
    async def main() -> None:
        port = free_port()
        async with (
            listening(Origin().talk) as address,
            started(config(address), tmp_path, LB_MGMT=f"127.0.0.1:{port}", TMPDIR=str(tmp_path)),
            stalled_connections(port),
        ):
            assert await send_command(port, b"STATUS") == "SUCCESS\n"
            assert await send_command(port, b"STATUS\r") == "SUCCESS\n"
            assert await send_command(port, b"STATUS", terminator=b"") == "SUCCESS\n"
            for command in MALFORMED_COMMANDS + COMMANDS_FOR_UNKNOWN_ENDPOINTS:
                assert await send_command(port, command) == "FAILURE\n", command

    run(main())


def test_nothing_is_shared_without_an_admin_address(tmp_path: Path) -> None:
    async def main() -> None:
        async with (
            listening(Origin().talk) as address,
            started(config(address), tmp_path, TMPDIR=str(tmp_path)) as program,
        ):
            assert " 200 " in await program.health()
            assert [path.name for path in tmp_path.iterdir()] == ["config.json"]

    assert "LB_MGMT" not in os.environ
    run(main())
