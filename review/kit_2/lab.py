"""Stand-ins for the cases 6 to 10: servers, discovery's agent, the counter, clients, and one limiter process.

Everything listens on 127.0.0.1 at ports that the system chooses. The limiter is started with the ``run``
command of ``deploy/balancer.toml``, from the root of the repository, in a temporary folder of its own.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import secrets
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
HELD, BROKEN, NOT_RUN = 0, 1, 2
KEPT_BYTES = 1 << 16


class CannotRunError(Exception):
    """The case could not be run; the text says why."""


def trouble() -> bool:
    """Whether the disruption of the case is on."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Lines of what was sent, answered and run, with the seconds since the start."""

    def __init__(self) -> None:
        self.start = time.monotonic()
        self.lines: list[str] = []

    def now(self) -> float:
        return time.monotonic() - self.start

    def add(self, text: str) -> None:
        self.lines.append(f"{self.now():8.3f} {text}")

    def write(self, path: Path) -> None:
        path.write_text("\n".join(self.lines) + "\n")


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        port: int = probe.getsockname()[1]
        return port


# Servers.


class Received:
    """One request as a server has received it."""

    def __init__(self, server: str, head: bytes, first_byte_at: float) -> None:
        lines = head.split(b"\r\n")
        self.server = server
        self.method, self.target, _ = lines[0].decode("latin-1").split(" ", 2)
        self.headers: dict[str, str] = {}
        for line in lines[1:]:
            name, _, value = line.decode("latin-1").partition(":")
            self.headers[name.strip().lower()] = value.strip()
        self.body = bytearray()  # the first ``KEPT_BYTES`` of it
        self.size = 0  # of the whole body
        self.first_byte_at = first_byte_at
        self.complete_at: float | None = None

    def add(self, part: bytes) -> None:
        self.size += len(part)
        self.body += part[: max(0, KEPT_BYTES - len(self.body))]

    @property
    def id(self) -> str:
        return self.headers.get("x-request-id", "")


Behaviour = Callable[["Server", Received, asyncio.StreamWriter], Awaitable[None]]


def response(body: bytes, status: bytes = b"200 OK", extra: bytes = b"") -> bytes:
    return b"HTTP/1.1 %b\r\nContent-Length: %d\r\n%b\r\n%b" % (status, len(body), extra, body)


async def answer_at_once(server: Server, request: Received, writer: asyncio.StreamWriter) -> None:
    """Answer with the id of the request after some milliseconds of work."""
    await asyncio.sleep(server.work_s)
    writer.write(response(f"{server.name} {request.id}".encode()))


class Server:
    """A server of the shared API: reads one request at a time from each connection."""

    def __init__(self, name: str, record: Record, behaviour: Behaviour = answer_at_once) -> None:
        self.name = name
        self.record = record
        self.behaviour = behaviour
        self.work_s = 0.02
        self.reads = True  # False: the server accepts connections and reads nothing more
        self.burst = 0  # bytes of a body behind which the server pauses reading for ``pause_s``; 0: no pauses
        self.pause_s = 0.0
        self.no_delay = False  # TCP_NODELAY on its connections; a socket begins without it
        self.received: list[Received] = []
        self.port = 0
        self.entry: dict[str, Any] = {}
        self._server: asyncio.Server | None = None

    async def start(self, *, receive_buffer: int = 0) -> None:
        listening = socket.socket()
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if receive_buffer:
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        listening.bind((HOST, 0))
        self._server = await asyncio.start_server(self._serve, sock=listening, limit=1 << 17)
        self.port = listening.getsockname()[1]
        self.entry = {
            "host": self.name, "dial": f"{HOST}:{self.port}", "site": "room-a", "class": "std-3core", "block": 1,
            "health": "ready", "share": 1.0, "born_ms": 0,
        }  # fmt: skip

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = writer.get_extra_info("socket")
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, int(self.no_delay))
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                first = await reader.readexactly(1)
                first_byte_at = self.record.now()
                head = first + await reader.readuntil(b"\r\n\r\n")
                request = Received(self.name, head[:-4], first_byte_at)
                if request.target.partition("?")[0] in ("/healthz", "/load"):
                    writer.write(response(b"inflight=0,queue=0,util=0.1"))
                    continue
                self.received.append(request)
                await self._read_body(reader, request)
                request.complete_at = self.record.now()
                await self.behaviour(self, request, writer)
                await writer.drain()
        writer.close()

    async def _read_body(self, reader: asyncio.StreamReader, request: Received) -> None:
        if "chunked" in request.headers.get("transfer-encoding", ""):
            while True:
                await self._until_reading()
                line = await reader.readline()
                if not line:
                    raise ConnectionError
                size = int(line.partition(b";")[0], 16)
                request.add(await reader.readexactly(size))
                await self._pause(request, size)
                await reader.readexactly(2)
                if not size:
                    return
        missing = int(request.headers.get("content-length", "0"))
        while missing:
            await self._until_reading()
            part = await reader.read(min(missing, 1 << 16))
            if not part:
                raise ConnectionError
            request.add(part)
            missing -= len(part)
            await self._pause(request, len(part))

    async def _pause(self, request: Received, size: int) -> None:
        """Pause each time another ``burst`` bytes of the body have been read."""
        if self.burst and request.size // self.burst > (request.size - size) // self.burst:
            await asyncio.sleep(self.pause_s)

    async def _until_reading(self) -> None:
        while not self.reads:
            await asyncio.sleep(0.05)


# Discovery's agent and the counter.


class Agent:
    """The agent of a discovery that pushes: holds a list, and writes its changes to the open watches."""

    def __init__(self, record: Record, entries: list[dict[str, Any]]) -> None:
        self.record = record
        self.entries = {entry["host"]: dict(entry) for entry in entries}
        self.seq = 41
        self.encode: Callable[[dict[str, Any]], bytes] = lambda message: json.dumps(message).encode()
        self.port = 0
        self._watches: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def whole(self) -> dict[str, Any]:
        return {"seq": self.seq, "whole": True, "hosts": list(self.entries.values())}

    def change(self, *entries: dict[str, Any], leave_out: bool = False, as_whole: bool = False) -> None:
        """Change entries, and tell the open watches: the changes alone, or the whole list."""
        self.seq += 1
        for entry in entries:
            if entry["health"] == "gone" or leave_out:
                self.entries.pop(entry["host"], None)
            else:
                self.entries[entry["host"]] = dict(entry)
        message = self.whole() if as_whole else {"seq": self.seq, "whole": False, "hosts": list(entries)}
        self.record.add(f"agent tells {json.dumps(message)}")
        for writer in self._watches:
            _write_chunk(writer, self.encode(message) + b"\n")

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            head = await reader.readuntil(b"\r\n\r\n")
            target = head.split(b" ", 2)[1].decode()
            self.record.add(f"agent is asked {target}")
            if "follow=1" not in target:
                writer.write(response(self.encode(self.whole())))
                await writer.drain()
                writer.close()
                return
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            _write_chunk(writer, self.encode(self.whole()) + b"\n")
            self._watches.add(writer)
            while not writer.is_closing():
                await asyncio.sleep(2.0)
                _write_chunk(writer, b"\n")
                await writer.drain()
        self._watches.discard(writer)
        writer.close()


def _write_chunk(writer: asyncio.StreamWriter, data: bytes) -> None:
    if not writer.is_closing():
        writer.write(b"%x\r\n%b\r\n" % (len(data), data))


class Counter:
    """The counter: adds to named totals."""

    def __init__(self) -> None:
        self.totals: dict[bytes, float] = {}
        self.port = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError):
            while line := await reader.readline():
                words = line.split()
                if words[:1] == [b"ping"]:
                    writer.write(b"pong\r\n")
                elif len(words) == 4 and words[0] == b"tally":
                    total = self.totals[words[1]] = self.totals.get(words[1], 0.0) + float(words[2])
                    writer.write(b"ok %.6f\r\n" % total)
                else:
                    writer.write(b"error\r\n")
        writer.close()


# The limiter.


def default_settings() -> dict[str, Any]:
    """Return settings like the example of the wire page: two safe classes and one with a key."""
    return {
        "classes": [
            {"name": "loan-status", "aim_s": 0.75, "hard_limit_s": 2.0, "worth": 2.0, "late_worth": 0.0,
             "effect": "idempotent", "group": "all", "window_s": 5.0, "streaming": False},
            {"name": "offer-quote", "aim_s": 0.8, "hard_limit_s": 3.0, "worth": 3.0, "late_worth": 0.2,
             "effect": "idempotent", "group": "all", "window_s": 5.0, "streaming": False},
            {"name": "loan-apply", "aim_s": 0.6, "hard_limit_s": 1.5, "worth": 2.0, "late_worth": 0.0,
             "effect": "deduplicated", "group": "cell", "window_s": 1.5, "streaming": False},
        ],
        "clients": {"marks_retry": True},
        "contract": {"answer_slack_s": 0.008, "cold_from": 0.23, "fall_multiple": 2.5, "fall_s": 1.0,
                     "must_ask_in_s": 10.0, "stop_sending_within_s": 2.0, "warm_after_s": 17.0},
        "discovery": "push",
        "failure_domains": ["room-a", "room-b"],
        "limits": {"cancel": True, "conn_idle_s": 30.0, "dial_timeout_s": 0.25, "max_attempts": 4,
                   "max_retry_after_s": 0.5, "max_streams": 1, "may_duplicate": False, "peers": False,
                   "probes": True, "retry_after": True},
        "me": 0,
        "my_zone": "room-a",
        "n_instances": 2,
        "report": {"fields": ["queue", "qps", "util"], "how": "on_probe"},
        "specifics": {"cost_after": True, "count_wait_s": 0.03, "has_counter": True, "max_units": 4},
        "tariffs": [{"name": "basic", "quota_rate": 500.0, "store_size": 1000.0, "price": 1.3, "over_cost": 0.5,
                     "over_worth": 0.0, "never_over_rate": 0.0, "hard_burst": 0.0, "tolerance": 0.0,
                     "parallel": 0}],
        "weights": "off",
    }  # fmt: skip


class Limiter:
    """One limiter: its configuration, its temporary folder and its process."""

    def __init__(self, record: Record, agent: Agent, counter: Counter, settings: dict[str, Any]) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="case-"))
        self.port = free_port()
        self.admin_port = free_port()
        self.limits: dict[str, Any] = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
        self.agent = agent
        self.counter = counter
        self.settings = settings
        self.process: asyncio.subprocess.Process | None = None

    def write_config(self) -> None:
        config = {
            "name": "n0", "listen": f"{HOST}:{self.port}", "mgmt": f"{HOST}:{self.admin_port}",
            "discovery": f"{HOST}:{self.agent.port}", "counter": f"{HOST}:{self.counter.port}",
            "seed": "8c1f30d27a5be964", "limits": self.limits, "known": self.agent.whole(),
            "settings": self.settings,
        }  # fmt: skip
        (self.folder / "config.json").write_text(json.dumps(config))

    async def start(self) -> None:
        """Start the process with the deploy file's command; return when it answers ``/healthz`` with 200."""
        if not (ROOT / ".venv").is_dir():
            raise CannotRunError("no .venv: run the build command of the deploy file first")
        self.write_config()
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        temporary = self.folder / "tmp"
        temporary.mkdir(exist_ok=True)
        environment = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"), "TMPDIR": str(temporary), "LB_NAME": "n0",
            "LB_CONFIG": str(self.folder / "config.json"), "LB_LISTEN": f"{HOST}:{self.port}",
            "LB_DISCOVERY": f"{HOST}:{self.agent.port}",
        }  # fmt: skip
        with (self.folder / "log.txt").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                run,
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                stdin=asyncio.subprocess.DEVNULL,
            )
        for _ in range(300):
            if self.process.returncode is not None:
                raise CannotRunError(f"the limiter ended with code {self.process.returncode}:\n{self.log()}")
            with contextlib.suppress(OSError, EOFError):
                client = await Client.connect(self.port)
                client.write(b"GET /healthz HTTP/1.1\r\nHost: origin.svc\r\n\r\n")
                answer = await client.read_answer(1.0)
                client.close()
                if answer is not None and answer.status == 200:
                    self.record.add("limiter is ready")
                    return
            await asyncio.sleep(0.1)
        raise CannotRunError(f"the limiter was not ready within 30 s:\n{self.log()}")

    def log(self) -> str:
        return (self.folder / "log.txt").read_text(errors="replace")

    async def stop(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()

    def clean(self) -> None:
        for line in self.log().splitlines() if (self.folder / "log.txt").exists() else ():
            self.record.lines.append(f"   limiter {line}")
        shutil.rmtree(self.folder, ignore_errors=True)


# Clients.


class Answer:
    """A whole answer."""

    def __init__(self, status: int, headers: dict[str, str], body: bytes, at: float) -> None:
        self.status = status
        self.headers = headers
        self.body = body
        self.at = at


class Client:
    """One connection of a client."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    @classmethod
    async def connect(cls, port: int) -> Client:
        return cls(*await asyncio.open_connection(HOST, port))

    def write(self, data: bytes) -> None:
        self.writer.write(data)

    async def read_answer(self, timeout: float) -> Answer | None:
        """Return the next answer that is not interim; None if it is not whole in time or the connection ends."""
        try:
            async with asyncio.timeout(timeout):
                return await self._read_answer()
        except (TimeoutError, ConnectionError, asyncio.IncompleteReadError):
            return None

    async def _read_answer(self) -> Answer:
        while True:
            head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
            status = int(head[0].split(" ")[1])
            if status >= 200:
                break
        headers = {}
        for line in head[1:]:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
        body = b""
        if "content-length" in headers:
            body = await self.reader.readexactly(int(headers["content-length"]))
        elif headers.get("transfer-encoding") == "chunked":
            while size := int(await self.reader.readline(), 16):
                body += await self.reader.readexactly(size)
                await self.reader.readexactly(2)
            await self.reader.readline()
        else:
            body = await self.reader.read(-1)
        return Answer(status, headers, body, time.monotonic())

    def close(self) -> None:
        self.writer.close()


def new_id() -> str:
    return secrets.token_hex(8)


def request_head(
    request_class: str,
    request_id: str,
    timeout_ms: int,
    *,
    method: str = "GET",
    account: str = "00000000b4d65521",
    plan: str = "basic",
    extra: str = "",
    length: int | None = None,
) -> bytes:
    """Return the head of a request as on the protocol page; ``extra`` holds further header lines."""
    key = f"Idempotency-Key: {secrets.token_hex(16)}\r\n" if method == "POST" else ""
    framing = "" if length is None else f"Content-Length: {length}\r\n"
    return (
        f"{method} /{request_class}?account={account} HTTP/1.1\r\nHost: origin.svc\r\n"
        f"X-Request-ID: {request_id}\r\nX-Priority-Class: {request_class}\r\nX-Plan: {plan}\r\n"
        f"X-Timeout-Ms: {timeout_ms}\r\n{key}{framing}X-Quota: units=1,spread=2,first=0\r\n{extra}\r\n"
    ).encode()


# The run of a case.


def run_case(folder: Path, case: Callable[[Record], Awaitable[int]], seconds: float = 110.0) -> None:
    """Run a case, write its record, and exit with 0 (held), 1 (broken) or 2 (could not run)."""
    record = Record()
    record.add(f"trouble {'on' if trouble() else 'off'}")

    async def limited() -> int:
        async with asyncio.timeout(seconds):
            return await case(record)

    try:
        code = asyncio.run(limited())
    except TimeoutError:
        record.add(f"the case did not end within {seconds:.0f} s")
        code = NOT_RUN
    except (CannotRunError, OSError) as error:
        record.add(f"the case could not run: {error}")
        code = NOT_RUN
    record.add({HELD: "the rule held", BROKEN: "THE RULE WAS BROKEN", NOT_RUN: "no verdict"}[code])
    record.write(folder / "record.txt")
    for line in record.lines:
        if "limiter " not in line[:12]:
            print(line if len(line) < 200 else line[:200] + " ...")
    sys.stdout.flush()
    os._exit(code)  # at once: the connections that are still open need no farewell


class Lateness:
    """How late the stand-ins themselves ran: a case has no verdict if they were late."""

    STEP = 0.02

    def __init__(self) -> None:
        self.worst = 0.0
        self._task = asyncio.get_running_loop().create_task(self._watch())

    async def _watch(self) -> None:
        while True:
            before = time.monotonic()
            await asyncio.sleep(self.STEP)
            self.worst = max(self.worst, time.monotonic() - before - self.STEP)
