"""The real limiter and the stand-ins as processes, and a front that sends clients' requests to them."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import socket
import sys
import time
from collections import deque
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any, TypeVar, cast

from scale.model import BrokenRunError
from scale.peers import CounterSpec, Host, ServersSpec

ROOT = Path(__file__).resolve().parents[1]
READY_WITHIN = 30.0  # seconds until a limiter must answer
TOLD = 600  # characters of a dead process's last words
T = TypeVar("T")


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port: int = probe.getsockname()[1]
        return port


def core_wait(pid: int) -> float:
    """Seconds that a process's first thread was ready and waited for a core (Linux: schedstat)."""
    try:
        return int(Path(f"/proc/{pid}/schedstat").read_text().split()[1]) / 1e9
    except (OSError, ValueError, IndexError):
        return 0.0


class Process:
    """A process started here; ``guard`` turns its death into the cause of a broken run."""

    def __init__(self, name: str, process: asyncio.subprocess.Process, log: Path) -> None:
        self.name, self.process, self._log = name, process, log
        self._ended = asyncio.get_running_loop().create_task(process.wait())

    def cause(self) -> str:
        text = self._log.read_text(errors="replace").strip()[-TOLD:] if self._log.exists() else ""
        return f"{self.name} ended with {self.process.returncode}: {text or 'no last words'}"

    def waited(self) -> float:
        """Seconds so far in which the process could run and had no core; 0 where the system does not tell."""
        return core_wait(self.process.pid)

    @property
    def ended(self) -> asyncio.Task[int]:
        return self._ended

    async def stop(self) -> None:
        if self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
        await self._ended


async def guard(work: Awaitable[T], *processes: Process) -> T:
    """The work's result; ``BrokenRunError`` with the cause as soon as one of the processes ends."""
    task = asyncio.ensure_future(work)
    ends = {process.ended: process for process in processes}
    done, _ = await asyncio.wait({task, *ends}, return_when=asyncio.FIRST_COMPLETED)
    for end in done - {task}:
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError, Exception):
            await task
        await asyncio.sleep(0)
        raise BrokenRunError(ends[cast(asyncio.Task[int], end)].cause())
    return task.result()


class Peers(Process):
    """The stand-ins' process."""

    dials: list[str]
    counter: str
    discovery: str

    async def ask(self, do: str, **more: Any) -> dict[str, Any]:
        """One question; ``BrokenRunError`` where the process is dead."""
        return await self.line({"do": do, **more})

    async def line(self, question: dict[str, Any]) -> dict[str, Any]:
        stdin, stdout = self.process.stdin, self.process.stdout
        assert stdin is not None and stdout is not None
        with contextlib.suppress(OSError, RuntimeError):  # uvloop's word for a pipe that has closed
            stdin.write(json.dumps(question).encode() + b"\n")
        if not (answer := await stdout.readline()):
            await self.ended
            raise BrokenRunError(self.cause())
        return cast(dict[str, Any], json.loads(answer))


@asynccontextmanager
async def peers(
    folder: Path, hosts: int, servers: ServersSpec, counter: CounterSpec, seed: int
) -> AsyncIterator[Peers]:
    """Stand-ins in a process of their own, ended at the end."""
    log = folder / "peers.log"
    with log.open("wb") as errors:
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "scale.peers", cwd=ROOT, stderr=errors,
            stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE, limit=1 << 20,
        )  # fmt: skip
    made = Peers("the stand-ins", process, log)
    try:
        told = await made.line(
            {"hosts": hosts, "servers": asdict(servers), "counter": asdict(counter), "seed": seed}
        )
        made.dials, made.counter, made.discovery = told["dials"], told["counter"], told["discovery"]
        yield made
    finally:
        await made.stop()


class Limiter(Process):
    """A real limiter."""

    address: str
    mgmt: str
    path: Path
    raw: dict[str, Any]

    def write(self) -> None:
        """Its configuration, put in place in one step as a deployment would."""
        fresh = self.path.with_suffix(".new")
        fresh.write_text(json.dumps(self.raw))
        fresh.rename(self.path)

    async def metrics(self) -> dict[str, int]:
        """The figures at its second address."""
        host, _, port = self.mgmt.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"METRICS\n")
        text = (await reader.read()).decode()
        writer.close()
        pairs = (line.partition("=") for line in text.splitlines() if "=" in line)
        return {name.removeprefix("app."): int(value) for name, _, value in pairs}


def config(
    index: int, settings: dict[str, Any], counter: str | None, discovery: str, hosts: list[Host], seed: int
) -> dict[str, Any]:
    """A limiter's configuration, with free ports of its own."""
    known = {"seq": 1, "whole": True, "hosts": [host.row() for host in hosts]}
    raw = {
        "name": f"n{index}", "listen": f"127.0.0.1:{free_port()}", "mgmt": f"127.0.0.1:{free_port()}",
        "discovery": discovery, "seed": f"{seed:016x}", "limits": {"sockets": 1024},
        "known": known, "settings": settings | {"me": index},
    }  # fmt: skip
    return raw | ({"counter": counter} if counter else {})


async def _ready(limiter: Limiter) -> None:
    host, _, port = limiter.address.rpartition(":")
    while True:
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            await asyncio.sleep(0.02)
            continue
        writer.write(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
        ready = b" 200 " in await reader.readline()
        writer.close()
        if ready:
            return
        await asyncio.sleep(0.02)


@asynccontextmanager
async def limiters(folder: Path, configs: list[dict[str, Any]]) -> AsyncIterator[list[Limiter]]:
    """Real limiters, ready to serve; ``BrokenRunError`` where one ends or is not ready in time."""
    made = list[Limiter]()
    try:
        for raw in configs:
            name = str(raw["name"])
            path, log, scratch = folder / f"{name}.json", folder / f"{name}.log", folder / f"{name}.tmp"
            scratch.mkdir(exist_ok=True)
            path.write_text(json.dumps(raw))
            with log.open("wb") as errors:
                process = await asyncio.create_subprocess_exec(
                    sys.executable, "-m", "quota_gateway", cwd=ROOT, stderr=errors,
                    env={**os.environ, "LB_CONFIG": str(path), "TMPDIR": str(scratch)},
                )  # fmt: skip
            limiter = Limiter(f"limiter {name}", process, log)
            limiter.address, limiter.mgmt, limiter.path, limiter.raw = raw["listen"], raw["mgmt"], path, raw
            made.append(limiter)
        try:
            async with asyncio.timeout(READY_WITHIN):
                await guard(asyncio.gather(*(_ready(limiter) for limiter in made)), *made)
        except TimeoutError:
            raise BrokenRunError(f"no limiter was ready within {READY_WITHIN:.0f} s") from None
        yield made
    finally:
        for limiter in made:
            await limiter.stop()


def request(id: str, path: str, plan: str, ttl: float, spread: int) -> bytes:
    """A client's request for one unit."""
    return (
        f"GET {path} HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: {id}\r\n"
        f"X-Priority-Class: {path[1:].partition('?')[0]}\r\nX-Plan: {plan}\r\n"
        f"X-Timeout-Ms: {int(ttl * 1000)}\r\nX-Quota: units=1,spread={spread},first=0\r\n\r\n"
    ).encode()


@dataclass(slots=True)
class Answer:
    """What a client got: the status (0: broken), when, and what the server tells of it."""

    status: int
    at: float
    served: float = 0.0  # seconds at the server
    first: bool = False  # the first request on the limiter's connection to it


class _Line(asyncio.Protocol):
    """A client's connection: one request at a time."""

    def __init__(self, front: Front) -> None:
        self._front, self._buffer = front, b""
        self.transport: asyncio.Transport | None = None
        self.done: Callable[[Answer], None] | None = None
        self.data, self.again = b"", False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def send(self, data: bytes, done: Callable[[Answer], None], again: bool) -> None:
        assert self.transport is not None
        self.data, self.done, self.again, self._buffer = data, done, again, b""
        self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        self._buffer += data
        head, end, body = self._buffer.partition(b"\r\n\r\n")
        if not end or self.done is None:
            return
        fields = dict(line.partition(b": ")[::2] for line in head.lower().split(b"\r\n")[1:])
        if len(body) < int(fields.get(b"content-length", b"0")):
            return
        answer, done = Answer(int(head[9:12]), time.monotonic()), self.done
        if (told := fields.get(b"x-served")) is not None:
            served, first = told.split(b",")
            answer.served, answer.first = int(served[3:]) / 1e6, first.endswith(b"1")
        self.done = None
        if fields.get(b"connection") != b"close":
            self._front.idle.append(self)
        done(answer)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        if self in self._front.idle:
            self._front.idle.remove(self)
        if (done := self.done) is not None:
            self.done = None
            if self.again or self._buffer:
                done(Answer(0, time.monotonic()))
            else:  # a closing has crossed it: once more on a new connection, as the protocol says
                self._front.dial(self.data, done, True)


class Front:
    """Clients' connections to one address; a request that finds none idle opens one."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._address = host, int(port)
        self.idle, self._tasks, self.dials = deque[_Line](), set[asyncio.Task[None]](), 0

    async def warm(self, number: int) -> None:
        """Open connections beforehand: dialling by the clients is no part of what a limiter adds."""
        loop = asyncio.get_running_loop()
        for _ in range(number):
            _, line = await loop.create_connection(lambda: _Line(self), *self._address)
            self.idle.append(line)

    def send(self, data: bytes, done: Callable[[Answer], None]) -> None:
        """Write a request; ``done`` gets its answer, in any case."""
        while self.idle:
            line = self.idle.popleft()  # in turn, so that none idles until the limiter closes it
            if line.transport is not None and not line.transport.is_closing():
                return line.send(data, done, False)
        self.dial(data, done, False)

    def dial(self, data: bytes, done: Callable[[Answer], None], again: bool) -> None:
        task = asyncio.get_running_loop().create_task(self._dial(data, done, again))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _dial(self, data: bytes, done: Callable[[Answer], None], again: bool) -> None:
        self.dials += 1
        try:
            loop = asyncio.get_running_loop()
            _, line = await loop.create_connection(lambda: _Line(self), *self._address)
        except OSError:
            return done(Answer(0, time.monotonic()))
        if line.transport is None:
            return done(Answer(0, time.monotonic()))
        line.send(data, done, again)

    async def fetch(self, data: bytes) -> Answer:
        """Send, and wait for the answer."""
        got: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()

        def done(answer: Answer) -> None:
            if not got.done():
                got.set_result(answer)

        self.send(data, done)
        return await got

    def close(self) -> None:
        for line in list(self.idle):
            if line.transport is not None:
                line.transport.abort()
