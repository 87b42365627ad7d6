"""A shared folder that fails for a while: what operators were promised is still owed."""

from __future__ import annotations

import asyncio
import errno
import signal
import time
from pathlib import Path

import pytest

from soak.fault_control import DirectoryCalls
from tests.admin_client import fetch_metrics, send_command
from tests.gateway_process import ProcessFaults, Program, config, free_port, started
from tests.loopback import ScriptedEndpoint, async_test, http_request, read_message, running_server

REPLY_LIMIT = 1.0  # seconds
SAVED_WITHIN = 1.0  # seconds after the folder is sound again


async def first_line(program: Program) -> str:
    """The first line of the response to one request."""
    reader, writer = await program.connect()
    writer.write(http_request())
    status_line, _, _ = await read_message(reader)
    writer.close()
    return status_line


async def restart_beside(program: Program) -> None:
    """End the process; the next one has its folder."""
    program.process.send_signal(signal.SIGKILL)
    await program.process.wait()


@pytest.mark.parametrize(
    ("error", "calls"),
    [
        pytest.param(errno.ENOSPC, DirectoryCalls.WRITING, id="full"),
        pytest.param(errno.EIO, DirectoryCalls.WRITING | DirectoryCalls.READING, id="broken"),
        pytest.param(errno.ENOLCK, DirectoryCalls.LOCKING, id="no locks"),
    ],
)
@async_test
async def test_a_suspension_made_while_the_folder_fails_holds_in_the_next_process(
    error: int, calls: DirectoryCalls, tmp_path: Path, faults: ProcessFaults
) -> None:
    origin = ScriptedEndpoint()
    async with running_server(origin.handle_connection) as endpoint:
        raw = config(endpoint)
        port = free_port()
        mgmt = f"127.0.0.1:{port}"
        async with started(raw, tmp_path, environment=faults.environment, LB_MGMT=mgmt) as program:
            assert " 200 " in await first_line(program)
            faults.control.fail_directory_calls(error, calls)
            called_at = time.monotonic()
            reply = await send_command(port, b"SUSPEND s1")
            assert time.monotonic() - called_at < REPLY_LIMIT
            assert reply == "FAILURE\n"  # it is not recorded, and a yes would be a promise
            assert " 429 " in await first_line(
                program
            )  # in force all the same: it may be recorded any moment
            faults.control.fail_directory_calls(0, DirectoryCalls.NONE)
            await asyncio.sleep(SAVED_WITHIN)
            assert await send_command(port, b"SUSPEND s1") == "SUCCESS\n"
            await restart_beside(program)
        origin.requests.clear()
        async with started(raw, tmp_path, environment=faults.environment, LB_MGMT=mgmt) as program:
            assert " 429 " in await first_line(program)
            assert not origin.requests
            assert await send_command(port, b"RESTORE s1") == "SUCCESS\n"


@pytest.mark.parametrize("calls", list(DirectoryCalls)[1:], ids=str)
@async_test
async def test_a_process_that_starts_while_the_folder_fails_joins_later(
    calls: DirectoryCalls, tmp_path: Path, faults: ProcessFaults
) -> None:
    """It starts, keeps to what was suspended, and is seen by the next process once the folder is sound."""
    async with running_server(ScriptedEndpoint().handle_connection) as endpoint:
        raw = config(endpoint)
        port = free_port()
        mgmt = f"127.0.0.1:{port}"
        async with started(raw, tmp_path, environment=faults.environment, LB_MGMT=mgmt) as program:
            assert await send_command(port, b"SUSPEND s1") == "SUCCESS\n"
            await restart_beside(program)
        faults.control.fail_directory_calls(errno.EIO, calls)
        asyncio.get_running_loop().call_later(
            1.5, faults.control.fail_directory_calls, 0, DirectoryCalls.NONE
        )
        async with started(raw, tmp_path, environment=faults.environment, LB_MGMT=mgmt) as program:
            assert " 429 " in await first_line(program)
            await asyncio.sleep(2.0)
            (folder,) = faults.shared_folder.iterdir()
            assert [path.name for path in folder.iterdir() if path.name.startswith("process-")]
            assert (await fetch_metrics(port))["app.skipped_servers"] == 1
