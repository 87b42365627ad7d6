"""Starts, upgrades and ends the processes of one limiter, and sends admin commands to them."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
import time
from pathlib import Path
from typing import Any

from scale.worker import ROOT
from soak.errors import SoakError
from soak.fault_control import FaultControl
from soak.fault_kinds import FaultKind
from soak.history import CommandReply, History, LimiterState, ProcessExit
from soak.limiter_process import LimiterProcess
from soak.ports import free_port
from soak.process_lifetime import ProcessLifetime
from soak.proxy import LOOPBACK, Address, Proxy
from soak.settings import make_settings

READY_TIMEOUT_SECONDS = 20.0
READY_POLL_SECONDS = 0.02
KILL_GRACE_SECONDS = 0.7  # SIGKILL follows SIGTERM after the longest deadline and this time
MAX_SOCKETS = 512
LISTEN_BACKLOG = 1024
LOG_TAIL_CHARACTERS = 4000
SUCCESS = "SUCCESS"


class Limiter:
    """One limiter: its address, files, configuration, proxies and processes.

    Faults hold ``process_lock`` while they start or end processes, and while the proxy of discovery or of the
    counter refuses connections.
    """

    def __init__(
        self,
        index: int,
        directory: Path,
        library: Path,
        history: History,
        *,
        discovery: Proxy,
        counter: Proxy,
        listener_kept_open: bool,
        longest_deadline: float,
        memory_mb: int = 0,
    ) -> None:
        """With ``listener_kept_open``, the runner owns the listening socket and the processes inherit it."""
        self.index = index
        self._longest_deadline = longest_deadline  # seconds
        self._memory_mb = memory_mb  # 0: not stated in the configuration
        self.process_lock = asyncio.Lock()
        self.control = FaultControl(directory / "control")
        self.discovery = discovery
        self.counter = counter
        self._processes = list[LimiterProcess]()
        self._directory = directory
        self._history = history
        self._shared_directory = directory / "tmp"
        self._shared_directory.mkdir()
        self._library = library
        self._started_processes = 0
        self._exit_monitors = set[asyncio.Task[None]]()
        self._listening_socket = _create_inheritable_listener() if listener_kept_open else None
        self.port = _port_of(self._listening_socket) if self._listening_socket else free_port()
        if listener_kept_open:
            history.limiters_with_listener_kept_open.add(index)

    @property
    def current_process(self) -> LimiterProcess | None:
        """The running process that was started last; ``None`` if no process runs."""
        return self._processes[-1] if self._processes else None

    @property
    def started_several_processes(self) -> bool:
        """Whether more than one process of this limiter has been started."""
        return self._started_processes > 1

    async def replace_discovery_proxy(self, target: Address) -> Proxy:
        """Open a new discovery proxy for the next configuration; return the old one, which is still open."""
        new = Proxy(target)
        await new.open()
        old, self.discovery = self.discovery, new
        return old

    def write_config(self, limiter_count: int, known_endpoints: dict[str, Any]) -> None:
        """Replace the configuration file atomically."""
        config = {
            "name": f"n{self.index}",
            "listen": f"{LOOPBACK}:{self.port}",
            "mgmt": f"{LOOPBACK}:1",  # overridden by LB_MGMT, which is different for each process
            "discovery": self.discovery.address,
            "counter": self.counter.address,
            "seed": f"{self.index + 1:016x}",
            "limits": {"sockets": MAX_SOCKETS} | ({"memory_mb": self._memory_mb} if self._memory_mb else {}),
            "known": known_endpoints,
            "settings": make_settings(self.index, limiter_count, self._longest_deadline),
        }
        temporary = self._directory / "config.new"
        temporary.write_text(json.dumps(config))
        temporary.rename(self._directory / "config.json")

    async def start(self, delay: float = 0.0) -> LimiterProcess:
        """Start a process and return when it is ready. Raise ``SoakError`` if it does not become ready.

        The process is stopped for the first ``delay`` seconds, as if the machine were busy.
        """
        started = await self.spawn()
        if delay:
            started.send_signal(signal.SIGSTOP)
            await asyncio.sleep(delay)
            started.send_signal(signal.SIGCONT)
        await self._wait_until_ready(started)
        return started

    async def spawn(self) -> LimiterProcess:
        """Start a process without waiting until it is ready."""
        self._started_processes += 1
        admin_port = free_port()
        log_path = self._directory / f"process-{self._started_processes}.log"
        environment = self._environment(admin_port)
        descriptors: tuple[int, ...] = ()
        if self._listening_socket is not None:
            descriptors = (self._listening_socket.fileno(),)
        with log_path.open("wb") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "quota_gateway",
                cwd=ROOT,
                env=environment,
                stderr=log,
                pass_fds=descriptors,
            )
        lifetime = ProcessLifetime(self.index, time.monotonic(), memory_mb=self._memory_mb)
        self._history.processes.append(lifetime)
        started = LimiterProcess(process, admin_port, log_path, lifetime)
        self._processes.append(started)
        monitor = asyncio.create_task(self._record_exit(started))
        self._exit_monitors.add(monitor)
        monitor.add_done_callback(self._exit_monitors.discard)
        return started

    def _environment(self, admin_port: int) -> dict[str, str]:
        environment = {
            **os.environ,
            "LB_CONFIG": str(self._directory / "config.json"),
            "LB_MGMT": f"{LOOPBACK}:{admin_port}",
            "TMPDIR": str(self._shared_directory),
            "LD_PRELOAD": str(self._library),
            "SOAK_FAULT_CONTROL": str(self.control.path),
            "SOAK_FAULT_DIRECTORY": str(self._shared_directory),
        }
        if self._listening_socket is not None:
            environment["LB_LISTEN_FD"] = str(self._listening_socket.fileno())
        return environment

    async def _wait_until_ready(self, started: LimiterProcess) -> None:
        deadline = time.monotonic() + READY_TIMEOUT_SECONDS
        while time.monotonic() < deadline:
            if not started.is_running:
                log = started.log_text[-LOG_TAIL_CHARACTERS:]
                code = started.process.returncode
                raise SoakError(
                    f"limiter {self.index} exited with code {code} before it was ready; "
                    f"its log ends with: {log}"
                )
            if await started.send_command("STATUS") == SUCCESS:
                started.lifetime.record_ready()
                return
            await asyncio.sleep(READY_POLL_SECONDS)
        raise SoakError(
            f"limiter {self.index} was not ready within {READY_TIMEOUT_SECONDS:.0f} s of its start"
        )

    async def _record_exit(self, started: LimiterProcess) -> None:
        memory_monitor = asyncio.create_task(started.monitor_memory())
        code = await started.wait()
        memory_monitor.cancel()
        started.lifetime.record_exit()
        if started in self._processes:
            self._processes.remove(started)
        self._history.exits.append(
            ProcessExit(
                self.index,
                time.monotonic(),
                code,
                started.exit_expected,
                started.log_text,
                was_ready=bool(started.lifetime.ready_at),
            )
        )

    async def terminate(self, process: LimiterProcess) -> None:
        """Send SIGTERM, then SIGKILL after the longest deadline and a grace period; return after the exit."""
        with self._history.span(LimiterState.TERMINATING, self.index):
            process.send_final_signal(signal.SIGTERM)
            try:
                async with asyncio.timeout(self._longest_deadline + KILL_GRACE_SECONDS):
                    await process.wait()
            except TimeoutError:
                process.send_signal(signal.SIGKILL)
                await process.wait()
                self._history.record_event(f"limiter {self.index}: no exit after SIGTERM, sent SIGKILL")

    async def terminate_all(self) -> None:
        """Terminate all processes one after the other."""
        for process in list(self._processes):
            await self.terminate(process)

    async def kill(self, process: LimiterProcess) -> None:
        """Send SIGKILL; return after the exit."""
        with self._history.span(FaultKind.KILL, self.index):
            process.send_final_signal(signal.SIGKILL)
            await process.wait()

    def record_failed_reads(self) -> None:
        """Record the client ports of the connections on which the fault library made a read fail."""
        self._history.failed_reads[self.index] |= self.control.failed_peer_ports()

    async def command(self, command: str) -> str:
        """Send an admin command to the current process; record and return the reply, which may be empty."""
        process = self.current_process
        if process is None:
            return ""
        sent_at = time.monotonic()
        reply = await process.send_command(command)
        if process.is_running and not process.exit_expected:
            self._history.replies.append(CommandReply(self.index, command, sent_at, time.monotonic(), reply))
        return reply

    async def metrics(self) -> dict[str, int]:
        """Return the metrics of the current process by name."""
        text = await self.command("METRICS")
        pairs = (line.partition("=") for line in text.splitlines() if "=" in line)
        return {name: int(value) for name, _, value in pairs}

    async def close(self) -> None:
        """Kill all processes and release all resources."""
        for process in list(self._processes):
            process.send_final_signal(signal.SIGKILL)
        await asyncio.gather(*self._exit_monitors)
        self.control.close()
        if self._listening_socket is not None:
            self._listening_socket.close()
        self.discovery.close()
        self.counter.close()


def _create_inheritable_listener() -> socket.socket:
    listener = socket.create_server((LOOPBACK, 0), backlog=LISTEN_BACKLOG)
    listener.set_inheritable(True)
    return listener


def _port_of(listener: socket.socket) -> int:
    port: int = listener.getsockname()[1]
    return port
