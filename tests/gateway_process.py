"""Helpers for tests of a whole limiter: they start its process with a configuration."""

from __future__ import annotations

import asyncio
import json
import os
import sys
import tempfile
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

from soak.fault_control import FaultControl
from soak.ports import free_port
from tests.loopback import read_message

POLL_INTERVAL = 0.02  # seconds between two attempts to connect to a limiter that is starting
WIRE_SETTINGS: dict[str, Any] = {
    "classes": [{"name": "lookup", "aim_s": 5.0, "effect": "idempotent", "worth": 1.0, "group": "all"}],
    "tariffs": [{"name": "basic", "quota_rate": 100.0, "store_size": 100.0}],
    "n_instances": 3, "me": 0, "my_zone": "a",
    "limits": {"max_attempts": 2, "retry_after": True, "max_retry_after_s": 1.0, "dial_timeout_s": 1.0},
}  # fmt: skip


def make_config(endpoint: str, discovery: str = "127.0.0.1:1") -> dict[str, Any]:
    """Return a configuration whose initial endpoint list has one endpoint, at the given address."""
    host = {"host": "s1", "dial": endpoint, "site": "a", "block": 0, "health": "ready", "born_ms": 0}
    return {
        "name": "n0", "listen": f"127.0.0.1:{free_port()}", "discovery": discovery,
        "seed": "8c1f30d27a5be964", "limits": {"sockets": 256},
        "known": {"seq": 41, "whole": True, "hosts": [host]}, "settings": WIRE_SETTINGS,
    }  # fmt: skip


class ProcessFaults:
    """Injects faults into a process that is started with ``environment``."""

    def __init__(self, library: Path, directory: Path) -> None:
        self.control = FaultControl(directory / "fault-control")
        self.shared_directory = directory / "shared"
        self.shared_directory.mkdir()
        self.environment = {
            "LD_PRELOAD": str(library),
            "SOAK_FAULT_CONTROL": str(self.control.path),
            "SOAK_FAULT_DIRECTORY": str(self.shared_directory),
            "TMPDIR": str(self.shared_directory),
        }


class LimiterProcess:
    """A running limiter process."""

    def __init__(self, process: asyncio.subprocess.Process, listen_address: str) -> None:
        self.process = process
        self.listen_address = listen_address

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a client connection."""
        host, port = self.listen_address.split(":")
        return await asyncio.open_connection(host, int(port))

    async def health(self) -> str:
        """Return the status line of the response to GET /healthz."""
        reader, writer = await self.connect()
        writer.write(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
        status_line, _, _ = await read_message(reader)
        writer.close()
        return status_line

    async def wait_until_ready(self) -> None:
        """Wait until the limiter accepts clients."""
        while True:
            try:
                assert " 200 " in await self.health()
                return
            except ConnectionRefusedError:
                await asyncio.sleep(POLL_INTERVAL)


@asynccontextmanager
async def running_limiter(
    raw: dict[str, Any],
    directory: Path,
    fds: tuple[int, ...] = (),
    environment: Mapping[str, str] | None = None,
    **variables: str,
) -> AsyncIterator[LimiterProcess]:
    """Start a limiter and wait until it is ready; after the block, kill it and check its log for violations.

    ``environment`` and ``variables`` are both added to the environment of the process.
    """
    async with starting_limiter(raw, directory, fds, environment, **variables) as limiter:
        await limiter.wait_until_ready()
        yield limiter


@asynccontextmanager
async def starting_limiter(
    raw: dict[str, Any],
    directory: Path,
    fds: tuple[int, ...] = (),
    environment: Mapping[str, str] | None = None,
    **variables: str,
) -> AsyncIterator[LimiterProcess]:
    """Do the same without waiting until the limiter is ready."""
    path = directory / "config.json"
    path.write_text(json.dumps(raw))
    process_environment = {**os.environ, "LB_CONFIG": str(path), **(environment or {}), **variables}
    with tempfile.TemporaryFile() as log:
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "quota_gateway", env=process_environment, pass_fds=fds, stderr=log
        )
        limiter = LimiterProcess(process, raw["listen"])
        try:
            yield limiter
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()
            log.seek(0)
            text = log.read().decode()
            print(text, file=sys.stderr)
        assert "invariant violated" not in text
