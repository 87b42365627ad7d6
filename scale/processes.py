"""Runs real limiters and the stand-ins as child processes; an unexpected exit of one fails the run."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import sys
from collections.abc import AsyncIterator, Awaitable
from contextlib import ExitStack, asynccontextmanager
from dataclasses import asdict
from pathlib import Path
from typing import Any, TypeVar, cast

from scale.model import RunFailedError
from scale.reserved_port import LOOPBACK, reserved_port
from scale.stand_ins.control import Addresses, HealthChange, Setup, Stats
from scale.stand_ins.discovery import EndpointEntry
from scale.worker import ROOT

READY_TIMEOUT_SECONDS = 30.0
READY_POLL_SECONDS = 0.02
MAX_LOG_CHARACTERS = 600  # length of the end of an exited process's log that the error quotes
MAX_LINE_BYTES = 1 << 20  # maximum length of a reply of the stand-ins
MAX_SOCKETS = 1024  # maximum of open sockets of a limiter
NANOSECONDS_PER_SECOND = 1e9
T = TypeVar("T")


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of ``host:port``."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def run_queue_seconds(pid: int) -> float:
    """Return the seconds that a process's main thread was runnable and waited for a core (schedstat)."""
    try:
        return int(Path(f"/proc/{pid}/schedstat").read_text().split()[1]) / NANOSECONDS_PER_SECOND
    except (OSError, ValueError, IndexError):
        return 0.0


class ChildProcess:
    """A child process; ``guard`` fails the run if it exits."""

    def __init__(self, name: str, process: asyncio.subprocess.Process, log: Path) -> None:
        """``log`` is the file of its standard error."""
        self.name = name
        self.process = process
        self._log = log
        self._exit = asyncio.get_running_loop().create_task(process.wait())

    @property
    def exit(self) -> asyncio.Task[int]:
        """The task that ends with the process; its result is the exit code."""
        return self._exit

    def describe_exit(self) -> str:
        """Return the exit code and the end of standard error."""
        text = self._log.read_text(errors="replace").strip() if self._log.exists() else ""
        log_end = text[-MAX_LOG_CHARACTERS:] or "nothing on standard error"
        return f"{self.name} exited with code {self.process.returncode}: {log_end}"

    def run_queue_seconds(self) -> float:
        """Return the seconds that the main thread has waited for a core; 0 if the system has no schedstat."""
        return run_queue_seconds(self.process.pid)

    async def stop(self) -> None:
        """Kill the process and wait for its exit."""
        if self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
        await self._exit


async def guard(work: Awaitable[T], *processes: ChildProcess) -> T:
    """Await ``work`` and return its result. Raise ``RunFailedError`` as soon as a process exits."""
    task = asyncio.ensure_future(work)
    by_exit = {process.exit: process for process in processes}
    done, _ = await asyncio.wait({task, *by_exit}, return_when=asyncio.FIRST_COMPLETED)
    for ended in done - {task}:
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError, Exception):
            await task
        await asyncio.sleep(0)
        raise RunFailedError(by_exit[cast(asyncio.Task[int], ended)].describe_exit())
    return task.result()


class StandIns(ChildProcess):
    """The process of the stand-ins."""

    addresses: Addresses

    async def stats(self) -> Stats:
        """Return the counts so far. Raise ``RunFailedError`` if the process has exited."""
        return Stats.from_json(await self.exchange({}))

    async def change_health(self, port: int, health: str) -> Stats:
        """Publish ``health`` for all endpoints at a port. Return and raise as ``stats`` does."""
        return Stats.from_json(await self.exchange(asdict(HealthChange(port, health))))

    async def open(self, setup: Setup) -> None:
        """Send the setup, after which the stand-ins listen, and set ``addresses``."""
        self.addresses = Addresses(**await self.exchange(setup.to_json()))

    async def exchange(self, command: dict[str, Any]) -> dict[str, Any]:
        """Send a line to the process, and return its reply."""
        stdin = self.process.stdin
        stdout = self.process.stdout
        assert stdin is not None
        assert stdout is not None
        with contextlib.suppress(OSError, RuntimeError):  # uvloop raises RuntimeError for a closed pipe
            stdin.write(json.dumps(command).encode() + b"\n")
        reply = await stdout.readline()
        if not reply:
            await self.exit
            raise RunFailedError(self.describe_exit())
        return cast(dict[str, Any], json.loads(reply))


@asynccontextmanager
async def start_stand_ins(directory: Path, setup: Setup) -> AsyncIterator[StandIns]:
    """Start the stand-ins in one process, and kill it at the end."""
    log = directory / "stand_ins.log"
    with log.open("wb") as errors:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "scale.stand_ins",
            cwd=ROOT,
            stderr=errors,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            limit=MAX_LINE_BYTES,
        )
    stand_ins = StandIns("the stand-ins", process, log)
    try:
        await stand_ins.open(setup)
        yield stand_ins
    finally:
        await stand_ins.stop()


class Limiter(ChildProcess):
    """The process of a real limiter."""

    def __init__(self, process: asyncio.subprocess.Process, config: dict[str, Any], path: Path) -> None:
        """``config`` is the content of the file ``path``; the log is in the same directory."""
        super().__init__(f"limiter {config['name']}", process, path.with_suffix(".log"))
        self.config = config
        self.address = str(config["listen"])
        self._path = path

    def write_settings(self, settings: dict[str, Any]) -> None:
        """Replace the settings in the configuration file."""
        self.config["settings"] = settings
        self.write_config()

    def write_config(self) -> None:
        """Replace the configuration file atomically, as a deployment does."""
        temporary = self._path.with_suffix(".new")
        temporary.write_text(json.dumps(self.config))
        temporary.rename(self._path)

    async def metrics(self) -> dict[str, int]:
        """Return the metrics by name, without the prefix ``app.``."""
        reader, writer = await asyncio.open_connection(*split_address(self.config["mgmt"]))
        writer.write(b"METRICS\n")
        text = (await reader.read()).decode()
        writer.close()
        pairs = (line.partition("=") for line in text.splitlines() if "=" in line)
        return {name.removeprefix("app."): int(value) for name, _, value in pairs}

    async def wait_ready(self) -> None:
        """Wait until the limiter is ready to serve."""
        while not await self._is_ready():
            await asyncio.sleep(READY_POLL_SECONDS)

    async def _is_ready(self) -> bool:
        """Whether ``/healthz`` returns 200. A connection error means that the limiter is not listening."""
        try:
            reader, writer = await asyncio.open_connection(*split_address(self.address))
            writer.write(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
            status_line = await reader.readline()
        except OSError:
            return False
        writer.close()
        return b" 200 " in status_line


def limiter_config(
    index: int,
    settings: dict[str, Any],
    addresses: Addresses,
    endpoints: list[EndpointEntry],
    seed: int,
    *,
    with_counter: bool,
) -> dict[str, Any]:
    """Return a limiter's configuration without ``listen`` and ``mgmt``, which ``start_limiters`` adds."""
    known = {"seq": 1, "whole": True, "hosts": [endpoint.to_json() for endpoint in endpoints]}
    config = {
        "name": f"n{index}",
        "discovery": addresses.discovery,
        "seed": f"{seed:016x}",
        "limits": {"sockets": MAX_SOCKETS},
        "known": known,
        "settings": settings | {"me": index},
    }
    return config | ({"counter": addresses.counter} if with_counter else {})


async def _start_limiter(directory: Path, config: dict[str, Any]) -> Limiter:
    path = directory / f"{config['name']}.json"
    scratch = path.with_suffix(".tmp")
    scratch.mkdir(exist_ok=True)
    path.write_text(json.dumps(config))
    with path.with_suffix(".log").open("wb") as errors:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "quota_gateway",
            cwd=ROOT,
            stderr=errors,
            env={**os.environ, "LB_CONFIG": str(path), "TMPDIR": str(scratch)},
        )
    return Limiter(process, config, path)


@asynccontextmanager
async def start_limiters(directory: Path, configs: list[dict[str, Any]]) -> AsyncIterator[list[Limiter]]:
    """Start real limiters, wait until they are ready to serve, and kill them at the end.

    Raise ``RunFailedError`` if one exits or is not ready in time.
    """
    limiters = list[Limiter]()
    with ExitStack() as reservations:
        for config in configs:
            config["listen"] = f"{LOOPBACK}:{reservations.enter_context(reserved_port())}"
            config["mgmt"] = f"{LOOPBACK}:{reservations.enter_context(reserved_port())}"
        try:
            for config in configs:
                limiters.append(await _start_limiter(directory, config))
            await _wait_until_ready(limiters)
            yield limiters
        finally:
            for limiter in limiters:
                await limiter.stop()


async def _wait_until_ready(limiters: list[Limiter]) -> None:
    """Wait until all limiters are ready. Raise ``RunFailedError`` if one exits or is not ready in time."""
    try:
        async with asyncio.timeout(READY_TIMEOUT_SECONDS):
            await guard(asyncio.gather(*(limiter.wait_ready() for limiter in limiters)), *limiters)
    except TimeoutError:
        raise RunFailedError(f"not all limiters were ready within {READY_TIMEOUT_SECONDS:.0f} s") from None
