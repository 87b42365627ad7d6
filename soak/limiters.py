"""The limiters of a soak run as real processes: start, end, a second one beside the first, admin commands."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
import time
from dataclasses import dataclass
from itertools import cycle, islice
from pathlib import Path
from typing import Any

from scale.worker import ROOT
from soak.errors import SoakError
from soak.fault_control import FaultControl
from soak.ledger import Exit, Ledger, Reply, Span
from soak.proxy import LOOPBACK, Proxy
from soak.settings import LONGEST_DEADLINE, make_settings

READY_TIMEOUT = 20.0  # seconds
COMMAND_TIMEOUT = 3.0  # seconds
FIRST_PORT = 12_000  # below those that the system gives to connections: a restart wants its port back
PORTS_OF_A_RUN = 1_000  # runs at the same time have other ones, by their process number
RUNS = 18
KILL_GRACE = 0.7  # seconds behind the longest deadline until SIGKILL follows SIGTERM
MAX_SOCKETS = 512
LOG_TAIL = 4000  # characters of a process's log that are kept


@dataclass(slots=True, eq=False)
class LimiterProcess:
    """One process of a limiter."""

    process: asyncio.subprocess.Process
    admin_port: int
    log_path: Path
    expects_end: bool = False

    def signal(self, number: signal.Signals) -> None:
        """Send a signal, if it still runs."""
        if self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)

    def log_text(self) -> str:
        """What it wrote to standard error."""
        return self.log_path.read_text(errors="replace")


_first_port = FIRST_PORT + os.getpid() % RUNS * PORTS_OF_A_RUN
_ports = cycle(range(_first_port, _first_port + PORTS_OF_A_RUN))


def free_port() -> int:
    """A port of loopback that nothing uses, in turn; ``SoakError`` where all are in use.

    Limiters listen beside others at one address: two that were given the same port would share its clients.
    """
    for port in islice(_ports, PORTS_OF_A_RUN):
        with socket.socket() as candidate, contextlib.suppress(OSError):
            candidate.bind((LOOPBACK, port))
            return port
    raise SoakError("no free port")


class LimiterSlot:
    """One limiter: its address, folder, configuration and network, and the processes that are it now."""

    def __init__(self, index: int, folder: Path, library: Path, ledger: Ledger, is_held: bool) -> None:
        """With ``is_held`` the platform keeps the clients' listening socket across processes."""
        self.index = index
        self.processes = list[LimiterProcess]()
        self.busy = asyncio.Lock()  # of whoever starts and ends its processes
        self.is_held = is_held
        self.was_restarted = False
        self.folder = folder
        self.ledger = ledger
        self.control = FaultControl(folder / "control")
        self.discovery: Proxy
        self.counter: Proxy
        self._shared = folder / "tmp"
        self._shared.mkdir()
        self._library = library
        self._started = 0
        self._waits = set[asyncio.Task[None]]()
        self._socket: socket.socket | None = None
        if is_held:
            self._socket = socket.create_server((LOOPBACK, 0), backlog=1024)
            self._socket.set_inheritable(True)
            self.port = self._socket.getsockname()[1]
        else:
            self.port = free_port()

    @property
    def current(self) -> LimiterProcess | None:
        """The process that started last."""
        return self.processes[-1] if self.processes else None

    def write_config(self, limiters: int, known: dict[str, Any]) -> None:
        """Put the configuration in place in one step."""
        config = {
            "name": f"n{self.index}",
            "listen": f"{LOOPBACK}:{self.port}",
            "mgmt": f"{LOOPBACK}:1",  # each process has its own in LB_MGMT
            "discovery": self.discovery.address,
            "counter": self.counter.address,
            "seed": f"{self.index + 1:016x}",
            "limits": {"sockets": MAX_SOCKETS},
            "known": known,
            "settings": make_settings(self.index, limiters),
        }
        temporary = self.folder / "config.new"
        temporary.write_text(json.dumps(config))
        temporary.rename(self.folder / "config.json")

    async def start(self) -> LimiterProcess:
        """Start a process, beside those that run; returns when it is ready. ``SoakError`` if it is not."""
        self._started += 1
        admin_port = free_port()
        log_path = self.folder / f"process-{self._started}.log"
        environment = {
            **os.environ,
            "LB_CONFIG": str(self.folder / "config.json"),
            "LB_MGMT": f"{LOOPBACK}:{admin_port}",
            "TMPDIR": str(self._shared),
            "LD_PRELOAD": str(self._library),
            "SOAK_FAULT_CONTROL": str(self.control.path),
            "SOAK_FAULT_FOLDER": str(self._shared),
        }
        descriptors: tuple[int, ...] = ()
        if self._socket is not None:
            environment["LB_LISTEN_FD"] = str(self._socket.fileno())
            descriptors = (self._socket.fileno(),)
        with log_path.open("wb") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "quota_gateway", cwd=ROOT, env=environment, stderr=log,
                pass_fds=descriptors,
            )  # fmt: skip
        started = LimiterProcess(process, admin_port, log_path)
        self.processes.append(started)
        task = asyncio.create_task(self._watch(started))
        self._waits.add(task)
        task.add_done_callback(self._waits.discard)
        await self._wait_ready(started)
        return started

    async def _wait_ready(self, started: LimiterProcess) -> None:
        deadline = time.monotonic() + READY_TIMEOUT
        while time.monotonic() < deadline:
            if started.process.returncode is not None:
                raise SoakError(f"limiter {self.index} ended at its start: {started.log_text()[-LOG_TAIL:]}")
            if await self._send(started, "STATUS") == "SUCCESS":
                return
            await asyncio.sleep(0.02)
        raise SoakError(f"limiter {self.index} was not ready within {READY_TIMEOUT:.0f} s")

    async def _watch(self, started: LimiterProcess) -> None:
        code = await started.process.wait()
        if started in self.processes:
            self.processes.remove(started)
        log = started.log_text()
        self.ledger.exits.append(Exit(self.index, time.monotonic(), code, started.expects_end, log))

    async def terminate(self, process: LimiterProcess) -> None:
        """SIGTERM, and SIGKILL once the longest deadline and the grace have passed; returns at its end."""
        begun = time.monotonic()
        process.expects_end = True
        process.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(LONGEST_DEADLINE + KILL_GRACE):
                await process.process.wait()
        except TimeoutError:
            process.signal(signal.SIGKILL)
            await process.process.wait()
            self.ledger.note(f"limiter {self.index}: SIGKILL behind SIGTERM")
        self.ledger.spans.append(Span("term", self.index, begun, time.monotonic()))

    async def kill(self, process: LimiterProcess) -> None:
        """SIGKILL; returns at its end."""
        process.expects_end = True
        begun = time.monotonic()
        process.signal(signal.SIGKILL)
        await process.process.wait()
        self.ledger.spans.append(Span("kill", self.index, begun, time.monotonic()))

    async def command(self, text: str, process: LimiterProcess | None = None) -> str:
        """Send an operator's command to the process (the current one); the reply is kept."""
        target = process or self.current
        if target is None:
            return ""
        sent_at = time.monotonic()
        reply = await self._send(target, text)
        if target.process.returncode is None and not target.expects_end:
            self.ledger.replies.append(Reply(self.index, text, sent_at, time.monotonic(), reply))
        return reply

    async def _send(self, process: LimiterProcess, text: str) -> str:
        try:
            async with asyncio.timeout(COMMAND_TIMEOUT):
                reader, writer = await asyncio.open_connection(LOOPBACK, process.admin_port)
                writer.write(text.encode() + b"\n")
                reply = await reader.read()
                writer.close()
        except (OSError, TimeoutError):
            return ""
        return reply.decode().strip()

    async def metrics(self) -> dict[str, int]:
        """The metrics of the current process, by name."""
        text = await self.command("METRICS")
        pairs = (line.partition("=") for line in text.splitlines() if "=" in line)
        return {name: int(value) for name, _, value in pairs}

    async def close(self) -> None:
        """Kill what runs and release everything."""
        for process in list(self.processes):
            process.expects_end = True
            process.signal(signal.SIGKILL)
        await asyncio.gather(*self._waits)
        self.control.close()
        if self._socket is not None:
            self._socket.close()
        self.discovery.close()
        self.counter.close()
