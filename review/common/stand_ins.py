"""Stand-ins for servers, discovery's agent, the counter and clients, written from the operators' pages.

Everything listens on 127.0.0.1 at free ports. Times in the record are seconds since the start of the case.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import re
import secrets
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
HEARTBEAT_SECONDS = 2.0  # "While nothing changes, an empty line arrives every 2 s."
READY_TIMEOUT_SECONDS = 30.0
READ_BYTES = 16384
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class CaseError(Exception):
    """The case could not run: nothing can be said about the rule."""


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self._started_at

    def write(self, text: str) -> None:
        """Write one line with its time."""
        self._file.write(f"{self.now():8.3f}  {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


def free_port() -> int:
    """Return a port that was free a moment ago."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


def new_id() -> str:
    """Return a fresh 16-digit id."""
    return secrets.token_hex(8)


# Settings: those of the example in WIRE-pearswitch.md, which are of the site landshut-office.


def landshut_settings(index: int, limiters: int) -> dict[str, Any]:
    """Return the settings object of one limiter."""
    return {
        "classes": [
            {"aim_s": 0.75, "effect": "idempotent", "group": "all", "hard_limit_s": 2.0, "late_worth": 0.0,
             "name": "loan-status", "streaming": False, "window_s": 5.0, "worth": 2.0},
            {"aim_s": 0.8, "effect": "idempotent", "group": "all", "hard_limit_s": 3.0, "late_worth": 0.2,
             "name": "offer-quote", "streaming": False, "window_s": 5.0, "worth": 3.0},
            {"aim_s": 0.6, "effect": "deduplicated", "group": "cell", "hard_limit_s": 1.5, "late_worth": 0.0,
             "name": "loan-apply", "streaming": False, "window_s": 1.5, "worth": 2.0},
        ],
        "clients": {"marks_retry": True},
        "contract": {"answer_slack_s": 0.008, "cold_from": 0.23, "fall_multiple": 2.5, "fall_s": 1.0,
                     "must_ask_in_s": 10.0, "stop_sending_within_s": 2.0, "warm_after_s": 17.0},
        "discovery": "push",
        "failure_domains": ["room-a", "room-b"],
        "family": "gate",
        "kinds": ["std-3core"],
        "layers": ["loan-api"],
        "limits": {"cancel": True, "conn_idle_s": 30.0, "cpu_us_per_request": 0.0, "cpu_us_per_s": 451985,
                   "dial_timeout_s": 0.25, "max_attempts": 4, "max_retry_after_s": 0.5, "max_streams": 1,
                   "may_duplicate": True, "open_cap": 22599, "peers": False, "probes": True,
                   "retry_after": True},
        "me": index,
        "my_zone": "room-b",
        "n_instances": limiters,
        "period_s": 0.002,
        "prices": {"connection": 0.0, "cross_zone": 0.02, "discovery": 0.0, "handshake": 0.0,
                   "late_fail": 0.08, "moves": 0.0, "origin": 0.0, "peer": 0.0, "probe": 0.01, "waste": 0.03},
        "report": {"fields": ["queue", "qps", "util"], "how": "on_probe"},
        "result_mix": {"whole": 0.5, "worst_class": 0.1, "worst_tenant": 0.15, "worst_window": 0.25},
        "specifics": {"call_price": 0.005, "cost_after": True, "count_wait_s": 0.03, "has_counter": True,
                      "inbox_per_s": 0.0, "max_units": 4, "meter_s": 0.0},
        "tariffs": [
            {"hard_burst": 0.0, "name": "basic", "never_over_rate": 0.0, "over_cost": 0.5, "over_worth": 0.0,
             "parallel": 0, "price": 1.3, "quota_rate": 9.0, "store_size": 28.0, "tolerance": 0.0},
            {"hard_burst": 181.0, "name": "volume", "never_over_rate": 100.0, "over_cost": 1.0,
             "over_worth": 0.0, "parallel": 0, "price": 1.8, "quota_rate": 50.0, "store_size": 91.0,
             "tolerance": 18.0},
        ],
        "tier": 0,
        "weights": "off",
    }  # fmt: skip


# HTTP.


@dataclass
class Request:
    """A request as a server has read it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    server: str
    first_byte_at: float
    last_byte_at: float

    @property
    def request_id(self) -> str:
        """Return the id that the client gave it."""
        return self.headers.get("x-request-id", "")


async def read_request(reader: asyncio.StreamReader, server: Server) -> Request | None:
    """Read one request with a length or in chunks; None at the end of the connection."""
    first = await reader.read(1)
    if not first:
        return None
    first_byte_at = server.world.record.now()
    head = first + await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.lower()] = value.strip()
    if headers.get("transfer-encoding") == "chunked":
        body = b""
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readuntil(b"\r\n")
    else:
        body = b""
        remaining = int(headers.get("content-length", "0"))
        while remaining:
            await server.running.wait()  # a hung server reads nothing
            piece = await reader.readexactly(min(remaining, READ_BYTES))
            body += piece
            remaining -= len(piece)
    return Request(method, target, headers, body, server.name, first_byte_at, server.world.record.now())


Behaviour = Callable[["Server", Request, asyncio.StreamWriter], Awaitable[bool]]


async def answer_soundly(server: Server, request: Request, writer: asyncio.StreamWriter) -> bool:
    """Answer 200 after the server's usual work; return whether the connection stays."""
    await asyncio.sleep(server.work_seconds)
    body = f"answer of {server.name} to {request.request_id}".encode()
    writer.write(b"HTTP/1.1 200 OK\r\nX-Units-Charged: 1\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
    await writer.drain()
    return True


@dataclass
class Server:
    """An api node: answers probes, records what it gets, and answers by its behaviour."""

    world: World
    name: str
    zone: str
    block: int
    work_seconds: float = 0.1
    behaviour: Behaviour = answer_soundly
    health: str = "ready"
    born_ms: int = 0
    receive_buffer: int = 0
    segment_bytes: int = 0  # largest TCP segment that it accepts; 0: that of the loopback interface
    running: asyncio.Event = field(default_factory=asyncio.Event)  # not set while the server hangs
    port: int = 0
    requests: list[Request] = field(default_factory=list)
    _listener: asyncio.Server | None = None
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def start(self) -> None:
        """Listen at a free port, or at the last one again."""
        self.running.set()
        listening = socket.socket()
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if self.receive_buffer:
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer)
        if self.segment_bytes:
            listening.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, self.segment_bytes)
        listening.bind((HOST, self.port))
        self.port = listening.getsockname()[1]
        self._listener = await asyncio.start_server(self._serve, sock=listening, backlog=512)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while (request := await read_request(reader, self)) is not None:
                if request.target in ("/healthz", "/load"):
                    body = b"queue=0,qps=10,util=0.3"
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
                    continue
                self.requests.append(request)
                self.world.record.write(
                    f"{self.name} got {request.request_id} {request.method} {request.target.split('?')[0]}"
                    f" ({len(request.body)} bytes, X-Timeout-Ms {request.headers.get('x-timeout-ms')})"
                )
                await self.running.wait()
                if not await self.behaviour(self, request, writer):
                    break
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            with contextlib.suppress(Exception):
                writer.close()

    def stop(self) -> None:
        """Stop listening and end all connections."""
        if self._listener is not None:
            self._listener.close()
        for task in list(self._tasks):
            task.cancel()

    def entry(self) -> dict[str, Any]:
        """Return the entry of discovery's list."""
        return {"host": self.name, "dial": f"{HOST}:{self.port}", "site": self.zone, "class": "std-3core",
                "block": self.block, "health": self.health, "share": 1.0, "born_ms": self.born_ms}  # fmt: skip


class Discovery:
    """The agent of a discovery that pushes: replies at once, follows with changes and heartbeats."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.seq = 41
        self.entries: dict[str, dict[str, Any]] = {}
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self.port = 0
        self.render: Callable[[dict[str, Any]], bytes] = lambda message: json.dumps(message).encode()
        self._followers: set[asyncio.Event] = set()  # set when there is a change to send
        self._listener: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Take the servers' entries and listen."""
        for server in self.world.servers:
            self.entries[server.name] = server.entry()
        self._listener = await asyncio.start_server(self._serve, HOST, self.port, backlog=512)
        self.port = self._listener.sockets[0].getsockname()[1]

    def whole(self) -> dict[str, Any]:
        """Return the whole list."""
        return {"seq": self.seq, "whole": True, "hosts": list(self.entries.values())}

    def tell(self, *servers: Server) -> None:
        """Tell the present state of some servers."""
        self.seq += 1
        for server in servers:
            entry = server.entry()
            self.changes.append((self.seq, entry))
            self.world.record.write(f"discovery has {server.name} {server.health} in version {self.seq}")
            if server.health == "gone":
                self.entries.pop(server.name, None)
            else:
                self.entries[server.name] = entry
        for follower in self._followers:
            follower.set()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                target = head.split(" ")[1]
                if "follow=1" in target:
                    await self._follow(target, writer)
                    return
                body = self.render(self.whole())
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _follow(self, target: str, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        since = re.search(r"since=(\d+)", target)
        known = int(since[1]) if since else None
        sent = self.seq
        self._send(writer, self.whole() if known is None else self._changes_since(known))
        changed = asyncio.Event()
        self._followers.add(changed)
        try:
            while True:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(changed.wait(), HEARTBEAT_SECONDS)
                changed.clear()
                if self.seq > sent:
                    message = self._changes_since(sent)
                    sent = self.seq
                    self._send(writer, message)
                else:
                    self._write_chunk(writer, b"\n")
                await writer.drain()
        finally:
            self._followers.discard(changed)

    def _changes_since(self, version: int) -> dict[str, Any]:
        hosts = {entry["host"]: entry for seq, entry in self.changes if seq > version}
        return {"seq": self.seq, "whole": False, "hosts": list(hosts.values())}

    def _send(self, writer: asyncio.StreamWriter, message: dict[str, Any]) -> None:
        self._write_chunk(writer, self.render(message) + b"\n")

    @staticmethod
    def _write_chunk(writer: asyncio.StreamWriter, data: bytes) -> None:
        writer.write(b"%x\r\n%b\r\n" % (len(data), data))

    def stop(self) -> None:
        """Stop listening and end all connections."""
        if self._listener is not None:
            self._listener.close()
        for task in list(self._tasks):
            task.cancel()


class Counter:
    """The counter: ``tally NAME AMOUNT LIFE`` and ``ping``."""

    def __init__(self) -> None:
        self.port = 0
        self.totals: dict[str, tuple[float, float]] = {}  # total and end of life
        self._listener: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen at a free port."""
        self._listener = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._listener.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while line := await reader.readline():
                words = line.split()
                if words == [b"ping"]:
                    writer.write(b"pong\r\n")
                    continue
                name, amount, life = words[1].decode(), float(words[2]), float(words[3])
                now = time.monotonic()
                total, ends_at = self.totals.get(name, (0.0, 0.0))
                if now >= ends_at:
                    total, ends_at = 0.0, now + min(60_000.0, life) / 1000
                self.totals[name] = (total + amount, ends_at)
                writer.write(b"ok %.6f\r\n" % (total + amount))
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    def stop(self) -> None:
        """Stop listening and end all connections."""
        if self._listener is not None:
            self._listener.close()
        for task in list(self._tasks):
            task.cancel()


class Limiter:
    """One limiter, started by the deploy file's ``run``."""

    def __init__(self, world: World, index: int) -> None:
        self.world = world
        self.index = index
        self.name = f"n{index}"
        self.port = free_port()
        self.process: subprocess.Popen[bytes] | None = None
        self.starts = 0
        self.folder = Path(world.folder) / self.name
        self.folder.mkdir()
        self.config_path = self.folder / "config.json"

    def config(self) -> dict[str, Any]:
        """Return the configuration file's content."""
        return {
            "name": self.name, "listen": f"{HOST}:{self.port}",
            "discovery": f"{HOST}:{self.world.discovery.port}", "seed": secrets.token_hex(8),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "counter": f"{HOST}:{self.world.counter.port}",
            "known": self.world.discovery.whole(), "settings": self.world.settings(self.index),
        }  # fmt: skip

    def write_config(self) -> None:
        """Replace the configuration file."""
        temporary = self.config_path.with_suffix(".new")
        temporary.write_text(json.dumps(self.config()))
        temporary.rename(self.config_path)

    async def start(self) -> None:
        """Start the program and wait until it is ready."""
        self.starts += 1
        self.write_config()
        scratch = self.folder / f"tmp{self.starts}"
        scratch.mkdir()
        with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
            run = tomllib.load(file)["run"]
        environment = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"), "LB_NAME": self.name,
            "LB_LISTEN": f"{HOST}:{self.port}", "LB_DISCOVERY": f"{HOST}:{self.world.discovery.port}",
            "LB_CONFIG": str(self.config_path), "TMPDIR": str(scratch),
        }  # fmt: skip
        with (self.folder / "log").open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
                stdout=log, stderr=log, start_new_session=True,
            )  # fmt: skip
        self.world.record.write(f"{self.name} started, process {self.process.pid}")
        deadline = time.monotonic() + READY_TIMEOUT_SECONDS
        while time.monotonic() < deadline:
            if self.process.poll() is not None:
                raise CaseError(f"{self.name} ended at its start: {self.log()[-500:]}")
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(HOST, self.port)
                try:
                    writer.write(b"GET /healthz HTTP/1.1\r\nHost: origin.svc\r\nConnection: close\r\n\r\n")
                    status = await asyncio.wait_for(reader.readline(), 1.0)
                finally:
                    writer.close()
                if b" 200 " in status:
                    self.world.record.write(f"{self.name} is ready")
                    return
            await asyncio.sleep(0.05)
        raise CaseError(f"{self.name} is not ready after {READY_TIMEOUT_SECONDS:.0f} s")

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the program."""
        assert self.process is not None
        self.world.record.write(f"{number.name} to {self.name}")
        self.process.send_signal(number)

    def has_ended(self) -> bool:
        """Whether the program has ended."""
        return self.process is None or self.process.poll() is not None

    def log(self) -> str:
        """Return what the program has written."""
        return (self.folder / "log").read_text(errors="replace")

    def end(self) -> None:
        """End the program at the end of the case."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


@dataclass
class World:
    """One small deployment: limiters, servers, discovery's agent and the counter."""

    record: Record
    folder: str
    limiter_count: int = 2
    server_count: int = 9
    change_settings: Callable[[dict[str, Any]], None] = lambda _settings: None
    servers: list[Server] = field(default_factory=list)
    limiters: list[Limiter] = field(default_factory=list)

    async def start(self, prepare: Callable[[World], None] | None = None) -> None:
        """Start everything; ``prepare`` may change the servers before they start."""
        for number in range(self.server_count):
            zone = ("room-a", "room-b")[number % 2]
            # Cells of three to five servers; no two zones share a cell.
            self.servers.append(Server(self, f"s-{number}", zone, 1 + number % 2))
        if prepare is not None:
            prepare(self)
        for server in self.servers:
            await server.start()
        self.discovery = Discovery(self)
        await self.discovery.start()
        self.counter = Counter()
        await self.counter.start()
        self.limiters = [Limiter(self, index) for index in range(self.limiter_count)]
        await asyncio.gather(*(limiter.start() for limiter in self.limiters))

    def settings(self, index: int) -> dict[str, Any]:
        """Return the settings of one limiter."""
        settings = landshut_settings(index, self.limiter_count)
        self.change_settings(settings)
        return settings

    def stop(self) -> None:
        """End all processes and listeners."""
        for limiter in self.limiters:
            limiter.end()
        for server in self.servers:
            server.stop()
        if hasattr(self, "discovery"):
            self.discovery.stop()
        if hasattr(self, "counter"):
            self.counter.stop()


def request_bytes(
    request_id: str, request_class: str, timeout_ms: int, *, account: int = 0xB4D65521, plan: str = "volume",
    body: bytes | None = None, spread: int = 2, first: int = 0, content_length: int | None = None,
    units: float = 1,
) -> bytes:  # fmt: skip
    """Return a client's request; with ``content_length`` only its head."""
    is_get = request_class in ("loan-status", "offer-quote")
    lines = [
        f"{'GET' if is_get else 'POST'} /{request_class}?account={account:016x} HTTP/1.1",
        "Host: origin.svc",
        f"X-Request-ID: {request_id}",
        f"X-Priority-Class: {request_class}",
        f"X-Plan: {plan}",
        f"X-Timeout-Ms: {timeout_ms}",
        f"X-Quota: units={units:g},spread={spread},first={first}",
    ]
    if not is_get:
        lines.append(f"Idempotency-Key: {secrets.token_hex(16)}")
        length = len(body or b"") if content_length is None else content_length
        lines.append(f"Content-Length: {length}")
    head = ("\r\n".join(lines) + "\r\n\r\n").encode()
    return head if content_length is not None else head + (body or b"")


@dataclass
class Answer:
    """A whole answer as a client has read it."""

    status: int
    headers: dict[str, str]
    body: bytes
    first_byte_at: float
    last_byte_at: float


class TruncatedAnswerError(Exception):
    """The connection ended within an answer: the client can tell that it is not whole."""


async def read_answer(reader: asyncio.StreamReader, record: Record) -> Answer | None:
    """Read one final answer; None if the connection ends without one.

    Raises ``TruncatedAnswerError`` if it ends within the answer.
    """
    first = b""
    try:
        while True:
            first = await reader.read(1)
            if not first:
                return None
            first_byte_at = record.now()
            head = (first + await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
            status = int(head[0].split(" ")[1])
            if status >= 200:  # noqa: PLR2004 - interim answers are skipped
                break
        headers = {line.partition(":")[0].lower(): line.partition(":")[2].strip() for line in head[1:] if line}
        if headers.get("transfer-encoding") == "chunked":
            parts = []
            while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
                parts.append((await reader.readexactly(size + 2))[:-2])
            await reader.readuntil(b"\r\n")
            body = b"".join(parts)
        elif "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
        else:
            body = await reader.read(-1)
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        if not first:
            return None
        raise TruncatedAnswerError(repr(error)) from None
    return Answer(status, headers, body, first_byte_at, record.now())


async def warm_up(world: World, seconds: float, per_second: float = 20.0) -> None:
    """Send usual traffic to all limiters, so that they have measured their servers."""
    ends_at = world.record.now() + seconds
    tasks = []
    number = 0
    while world.record.now() < ends_at:
        number += 1
        limiter = world.limiters[number % len(world.limiters)]
        tasks.append(asyncio.create_task(_usual_request(world, limiter, 0x1000 + number % 40)))
        await asyncio.sleep(1 / per_second)
    statuses = await asyncio.gather(*tasks)
    served = sum(status == 200 for status in statuses)  # noqa: PLR2004
    world.record.write(f"usual traffic: {len(statuses)} requests, {served} served")
    if served < len(statuses) / 2:
        raise CaseError(f"the deployment does not work: {served} of {len(statuses)} requests were served")


async def _usual_request(world: World, limiter: Limiter, account: int) -> int:
    try:
        reader, writer = await asyncio.open_connection(HOST, limiter.port)
    except OSError:
        return 0
    try:
        writer.write(request_bytes(new_id(), "loan-status", 2000, account=account, plan="basic"))
        answer = await asyncio.wait_for(read_answer(reader, world.record), 4.0)
    except (TimeoutError, TruncatedAnswerError, OSError):
        return 0
    finally:
        writer.close()
    return answer.status if answer else 0


def run_case(case_folder: Path, play: Callable[[World, bool], Awaitable[int]], **world_options: Any) -> int:
    """Run one case and return its exit code; ``play`` gets the world and whether the disruption happens."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(case_folder / "record.txt")

    async def run() -> int:
        with tempfile.TemporaryDirectory() as folder:
            world = World(record, folder, **world_options)
            try:
                return await asyncio.wait_for(play(world, trouble), 110.0)
            except Exception as error:  # noqa: BLE001 - exit code 1 is kept for a broken rule
                record.write(f"the case could not run: {error!r}")
                return COULD_NOT_RUN
            finally:
                world.stop()

    record.write(f"TROUBLE={int(trouble)}")
    code = asyncio.run(run())
    record.write({HELD: "the rule held", BROKEN: "the rule was broken"}.get(code, "no verdict"))
    record.close()
    print((case_folder / "record.txt").read_text().splitlines()[-1])
    return code
