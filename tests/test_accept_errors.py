"""``Acceptor``: after a temporary failure of accept it must continue to accept, and lose no connection."""

from __future__ import annotations

import errno
from pathlib import Path

import pytest

from soak.fault_control import SystemCall
from soak.ports import free_port
from tests.admin_client import send_command
from tests.gateway_process import ProcessFaults, make_config, running_limiter
from tests.loopback import ScriptedEndpoint, async_test, http_request, read_message, running_server


@pytest.mark.parametrize(
    "error", [errno.ECONNABORTED, errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM, errno.EPROTO]
)
@async_test
async def test_transient_accept_error_loses_no_connection_and_does_not_stop_accepting(
    error: int, tmp_path: Path, faults: ProcessFaults
) -> None:
    """The first calls of accept fail, at the client address and at the admin address."""
    port = free_port()
    async with (
        running_server(ScriptedEndpoint().handle_connection) as endpoint,
        running_limiter(
            make_config(endpoint), tmp_path, LB_MGMT=f"127.0.0.1:{port}", environment=faults.environment
        ) as limiter,
    ):
        for _ in range(2):
            faults.control.fail_calls(SystemCall.ACCEPT, error, 3)
            reader, writer = await limiter.connect()
            writer.write(http_request())
            assert " 200 " in (await read_message(reader))[0]
            writer.close()
            faults.control.fail_calls(SystemCall.ACCEPT, error, 1)
            assert await send_command(port, b"STATUS") == "SUCCESS\n"
