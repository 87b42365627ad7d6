"""The real limiter and the stand-ins as processes, and the death of one as the cause of a broken run."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import socket
import sys
from collections.abc import AsyncIterator, Awaitable
from contextlib import asynccontextmanager
from dataclasses import asdict
from pathlib import Path
from typing import Any, TypeVar, cast

from scale.model import BrokenRunError
from scale.stand_ins.control import Addresses, HealthChange, Setup, Stats
from scale.stand_ins.discovery import EndpointEntry
from scale.worker import ROOT

READY_TIMEOUT = 30.0  # seconds until a limiter must answer
READY_POLL_INTERVAL = 0.02  # seconds
MAX_LOG_CHARACTERS = 600  # of a dead process, told as the cause
LINE_LIMIT = 1 << 20  # bytes of an answer of the stand-ins
MAX_SOCKETS = 1024  # of a limiter
T = TypeVar("T")


def free_port() -> int:
    """A port of loopback that nothing uses now."""
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        port: int = unused.getsockname()[1]
        return port


def split_address(address: str) -> tuple[str, int]:
    """Host and port of ``host:port``."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def run_queue_seconds(pid: int) -> float:
    """Seconds that a process's first thread was ready and waited for a core (Linux: schedstat)."""
    try:
        return int(Path(f"/proc/{pid}/schedstat").read_text().split()[1]) / 1e9
    except (OSError, ValueError, IndexError):
        return 0.0


class ChildProcess:
    """A process started here; ``guard`` turns its death into the cause of a broken run."""

    def __init__(self, name: str, process: asyncio.subprocess.Process, log: Path) -> None:
        """``log`` is the file that its standard error goes to."""
        self.name = name
        self.process = process
        self._log = log
        self._exit = asyncio.get_running_loop().create_task(process.wait())

    @property
    def exit(self) -> asyncio.Task[int]:
        """Done when the process has ended."""
        return self._exit

    def describe_exit(self) -> str:
        """How it ended, with the end of what it wrote to standard error."""
        text = self._log.read_text(errors="replace").strip() if self._log.exists() else ""
        last_words = text[-MAX_LOG_CHARACTERS:] or "no last words"
        return f"{self.name} ended with {self.process.returncode}: {last_words}"

    def run_queue_seconds(self) -> float:
        """Seconds so far in which it could run and had no core; 0 where the system does not report it."""
        return run_queue_seconds(self.process.pid)

    async def stop(self) -> None:
        """Kill it and wait for its end."""
        if self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
        await self._exit


async def guard(work: Awaitable[T], *processes: ChildProcess) -> T:
    """The work's result; ``BrokenRunError`` with the cause as soon as one of the processes ends."""
    task = asyncio.ensure_future(work)
    by_exit = {process.exit: process for process in processes}
    done, _ = await asyncio.wait({task, *by_exit}, return_when=asyncio.FIRST_COMPLETED)
    for ended in done - {task}:
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError, Exception):
            await task
        await asyncio.sleep(0)
        raise BrokenRunError(by_exit[cast(asyncio.Task[int], ended)].describe_exit())
    return task.result()


class StandIns(ChildProcess):
    """The stand-ins' process."""

    addresses: Addresses

    async def stats(self) -> Stats:
        """What they have seen so far; ``BrokenRunError`` where the process is dead."""
        return Stats.from_json(await self.exchange({}))

    async def change_health(self, port: int, health: str) -> Stats:
        """Publish a new health of the endpoints behind a port; ``BrokenRunError`` as ``stats``."""
        return Stats.from_json(await self.exchange(asdict(HealthChange(port, health))))

    async def exchange(self, question: dict[str, Any]) -> dict[str, Any]:
        """One line to the process, and the line that it answers with."""
        stdin = self.process.stdin
        stdout = self.process.stdout
        assert stdin is not None and stdout is not None
        with contextlib.suppress(OSError, RuntimeError):  # uvloop's error for a pipe that has closed
            stdin.write(json.dumps(question).encode() + b"\n")
        answer = await stdout.readline()
        if not answer:
            await self.exit
            raise BrokenRunError(self.describe_exit())
        return cast(dict[str, Any], json.loads(answer))


@asynccontextmanager
async def start_stand_ins(folder: Path, setup: Setup) -> AsyncIterator[StandIns]:
    """Stand-ins in a process of their own, killed at the end."""
    log = folder / "stand_ins.log"
    with log.open("wb") as errors:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "scale.stand_ins",
            cwd=ROOT,
            stderr=errors,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            limit=LINE_LIMIT,
        )
    stand_ins = StandIns("the stand-ins", process, log)
    try:
        stand_ins.addresses = Addresses(**await stand_ins.exchange(setup.to_json()))
        yield stand_ins
    finally:
        await stand_ins.stop()


class Limiter(ChildProcess):
    """A real limiter."""

    def __init__(self, process: asyncio.subprocess.Process, config: dict[str, Any], path: Path) -> None:
        """``config`` is what the file ``path`` has; the log is beside it."""
        super().__init__(f"limiter {config['name']}", process, path.with_suffix(".log"))
        self.config = config  # as in its file
        self.address = str(config["listen"])
        self._path = path

    def write_config(self) -> None:
        """Put its configuration in place in one step, as a deployment would."""
        temporary = self._path.with_suffix(".new")
        temporary.write_text(json.dumps(self.config))
        temporary.rename(self._path)

    async def metrics(self) -> dict[str, int]:
        """The metrics at its admin address, by name without the prefix."""
        reader, writer = await asyncio.open_connection(*split_address(self.config["mgmt"]))
        writer.write(b"METRICS\n")
        text = (await reader.read()).decode()
        writer.close()
        pairs = (line.partition("=") for line in text.splitlines() if "=" in line)
        return {name.removeprefix("app."): int(value) for name, _, value in pairs}

    async def wait_ready(self) -> None:
        """Return when it serves."""
        while True:
            try:
                reader, writer = await asyncio.open_connection(*split_address(self.address))
            except OSError:
                await asyncio.sleep(READY_POLL_INTERVAL)
                continue
            writer.write(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
            is_ready = b" 200 " in await reader.readline()
            writer.close()
            if is_ready:
                return
            await asyncio.sleep(READY_POLL_INTERVAL)


def limiter_config(
    index: int,
    settings: dict[str, Any],
    addresses: Addresses,
    endpoints: list[EndpointEntry],
    seed: int,
    with_counter: bool,
) -> dict[str, Any]:
    """A limiter's configuration as its file has it, with free ports of its own."""
    known = {"seq": 1, "whole": True, "hosts": [endpoint.to_json() for endpoint in endpoints]}
    config = {
        "name": f"n{index}",
        "listen": f"127.0.0.1:{free_port()}",
        "mgmt": f"127.0.0.1:{free_port()}",
        "discovery": addresses.discovery,
        "seed": f"{seed:016x}",
        "limits": {"sockets": MAX_SOCKETS},
        "known": known,
        "settings": settings | {"me": index},
    }
    return config | ({"counter": addresses.counter} if with_counter else {})


async def _start_limiter(folder: Path, config: dict[str, Any]) -> Limiter:
    path = folder / f"{config['name']}.json"
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
async def start_limiters(folder: Path, configs: list[dict[str, Any]]) -> AsyncIterator[list[Limiter]]:
    """Real limiters, ready to serve; ``BrokenRunError`` where one ends or is not ready in time."""
    limiters = list[Limiter]()
    try:
        for config in configs:
            limiters.append(await _start_limiter(folder, config))
        try:
            async with asyncio.timeout(READY_TIMEOUT):
                await guard(asyncio.gather(*(limiter.wait_ready() for limiter in limiters)), *limiters)
        except TimeoutError:
            raise BrokenRunError(f"no limiter was ready within {READY_TIMEOUT:.0f} s") from None
        yield limiters
    finally:
        for limiter in limiters:
            await limiter.stop()
