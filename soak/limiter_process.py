"""One process of a limiter: its signals, its log and its admin commands."""

from __future__ import annotations

import asyncio
import contextlib
import re
import signal
from dataclasses import dataclass
from pathlib import Path

from soak.process_lifetime import ProcessLifetime
from soak.proxy import LOOPBACK
from soak.streams import write_data

COMMAND_TIMEOUT_SECONDS = 3.0
MEMORY_INTERVAL_SECONDS = 0.2
PEAK_MEMORY_PATTERN = re.compile(r"^VmHWM:\s+(\d+) kB$", re.MULTILINE)
BYTES_PER_KILOBYTE = 1024


@dataclass(slots=True, eq=False)
class LimiterProcess:
    """One process of a limiter. ``exit_expected`` is set before the signal that ends the process is sent."""

    process: asyncio.subprocess.Process
    admin_port: int
    log_path: Path
    lifetime: ProcessLifetime
    exit_expected: bool = False

    @property
    def is_running(self) -> bool:
        """Whether the process has not exited yet."""
        return self.process.returncode is None

    @property
    def log_text(self) -> str:
        """The standard error of the process."""
        return self.log_path.read_text(errors="replace")

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal, if the process still runs."""
        if self.is_running:
            if number is signal.SIGTERM:
                self.lifetime.record_sigterm()
            if number is signal.SIGKILL:
                self.lifetime.record_sigkill()
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)

    def send_final_signal(self, number: signal.Signals) -> None:
        """Send a signal that ends the process, and record that the exit is expected."""
        self.exit_expected = True
        self.send_signal(number)

    async def wait(self) -> int:
        """Wait for the exit; return the exit code."""
        return await self.process.wait()

    async def monitor_memory(self) -> None:
        """Record the largest resident memory of the process until cancelled."""
        status = Path(f"/proc/{self.process.pid}/status")
        while True:
            with contextlib.suppress(OSError):
                match = PEAK_MEMORY_PATTERN.search(status.read_text())
                if match is not None:
                    self.lifetime.record_peak_memory(int(match[1]) * BYTES_PER_KILOBYTE)
            await asyncio.sleep(MEMORY_INTERVAL_SECONDS)

    async def send_command(self, command: str) -> str:
        """Send a command to the admin address; return the reply, or an empty string without a reply."""
        try:
            async with asyncio.timeout(COMMAND_TIMEOUT_SECONDS):
                reader, writer = await asyncio.open_connection(LOOPBACK, self.admin_port)
                write_data(writer, command.encode() + b"\n")
                reply = await reader.read()
                writer.close()
        except (OSError, TimeoutError):
            return ""
        return reply.decode().strip()
