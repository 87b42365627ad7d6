"""Shared directory: a temporary failure must not lose a suspension or the detection of a process."""

from __future__ import annotations

import asyncio
import errno
import signal
import time
from pathlib import Path

import pytest

from soak.fault_control import DirectoryCalls
from soak.ports import free_port
from tests.admin_client import fetch_metrics, send_command
from tests.gateway_process import LimiterProcess, ProcessFaults, make_config, running_limiter
from tests.loopback import ScriptedEndpoint, async_test, http_request, read_message, running_server

MAX_REPLY_SECONDS = 1.0
MAX_SAVE_SECONDS = 1.0  # from the end of the failure until a suspension is saved


async def send_request(limiter: LimiterProcess) -> str:
    """Send one request and return the status line of its response."""
    reader, writer = await limiter.connect()
    writer.write(http_request())
    status_line, _, _ = await read_message(reader)
    writer.close()
    return status_line


async def kill_process(limiter: LimiterProcess) -> None:
    """Kill the process, which leaves its process file in the shared directory."""
    limiter.process.send_signal(signal.SIGKILL)
    await limiter.process.wait()


@pytest.mark.parametrize(
    ("error", "calls"),
    [
        pytest.param(errno.ENOSPC, DirectoryCalls.WRITING, id="full"),
        pytest.param(errno.EIO, DirectoryCalls.WRITING | DirectoryCalls.READING, id="broken"),
        pytest.param(errno.ENOLCK, DirectoryCalls.LOCKING, id="no locks"),
    ],
)
@async_test
async def test_a_suspension_during_a_directory_failure_is_in_force_in_the_next_process(
    error: int, calls: DirectoryCalls, tmp_path: Path, faults: ProcessFaults
) -> None:
    endpoint = ScriptedEndpoint()
    async with running_server(endpoint.handle_connection) as endpoint_address:
        raw = make_config(endpoint_address)
        port = free_port()
        mgmt = f"127.0.0.1:{port}"
        async with running_limiter(raw, tmp_path, environment=faults.environment, LB_MGMT=mgmt) as limiter:
            assert " 200 " in await send_request(limiter)
            faults.control.fail_directory_calls(error, calls)
            called_at = time.monotonic()
            reply = await send_command(port, b"SUSPEND s1")
            assert time.monotonic() - called_at < MAX_REPLY_SECONDS
            assert reply == "FAILURE\n"  # SUCCESS would promise that the suspension is recorded
            # The suspension is in force nevertheless, since it may be recorded at any time.
            assert " 429 " in await send_request(limiter)
            faults.control.fail_directory_calls(0, DirectoryCalls.NONE)
            await asyncio.sleep(MAX_SAVE_SECONDS)
            assert await send_command(port, b"SUSPEND s1") == "SUCCESS\n"
            await kill_process(limiter)
        endpoint.requests.clear()
        async with running_limiter(raw, tmp_path, environment=faults.environment, LB_MGMT=mgmt) as limiter:
            assert " 429 " in await send_request(limiter)
            assert not endpoint.requests
            assert await send_command(port, b"RESTORE s1") == "SUCCESS\n"


@pytest.mark.parametrize("calls", list(DirectoryCalls)[1:], ids=str)
@async_test
async def test_a_process_that_starts_during_a_directory_failure_joins_later(
    calls: DirectoryCalls, tmp_path: Path, faults: ProcessFaults
) -> None:
    """The process becomes ready, applies earlier suspensions, and joins once the failure has ended."""
    async with running_server(ScriptedEndpoint().handle_connection) as endpoint_address:
        raw = make_config(endpoint_address)
        port = free_port()
        mgmt = f"127.0.0.1:{port}"
        async with running_limiter(raw, tmp_path, environment=faults.environment, LB_MGMT=mgmt) as limiter:
            assert await send_command(port, b"SUSPEND s1") == "SUCCESS\n"
            await kill_process(limiter)
        faults.control.fail_directory_calls(errno.EIO, calls)
        asyncio.get_running_loop().call_later(
            1.5, faults.control.fail_directory_calls, 0, DirectoryCalls.NONE
        )
        async with running_limiter(raw, tmp_path, environment=faults.environment, LB_MGMT=mgmt) as limiter:
            assert " 429 " in await send_request(limiter)
            await asyncio.sleep(2.0)
            (directory,) = faults.shared_directory.iterdir()
            assert [path.name for path in directory.iterdir() if path.name.startswith("process-")]
            assert (await fetch_metrics(port))["app.skipped_servers"] == 1
