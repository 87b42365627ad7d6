"""Troubles of a limiter's processes: signals, restarts, upgrades, operators' commands, configurations."""

from __future__ import annotations

import asyncio
import errno
import signal
import time
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from soak.fault_control import FolderCalls
from soak.ledger import Span, Suspension
from soak.limiters import LimiterSlot
from soak.plan import Trouble
from soak.proxy import Proxy

if TYPE_CHECKING:
    from soak.run import Run

OLD_DISCOVERY_ENDS = 1.5  # seconds after SIGHUP
CONNECTS_END = 0.3  # seconds after a process began to end until clients open no new connections


class ProcessTroubles:
    """Plays them on one limiter at a time; each method is the trouble of its name."""

    def __init__(self, run: Run) -> None:
        """Play on ``run``."""
        self._run = run
        self._ledger = run.ledger

    async def _replace(self, slot: LimiterSlot) -> None:
        slot.was_restarted = True
        self._run.write_config(slot)
        begun = time.monotonic()
        await slot.start()
        self._ledger.spans.append(Span("start", slot.index, begun, time.monotonic()))

    async def _end(self, slot: LimiterSlot, end: Callable[[], Awaitable[None]]) -> None:
        """End a process; clients open no new connections soon after it began to end."""
        clients = self._run.clients[slot.index]
        blocking = asyncio.get_running_loop().call_later(CONNECTS_END, setattr, clients, "may_connect", False)
        await end()
        blocking.cancel()
        clients.may_connect = False

    async def restart(self, slot: LimiterSlot, _trouble: Trouble) -> None:
        """SIGTERM, and a new process."""
        process = slot.current
        begun = time.monotonic()
        if process is not None:
            await self._end(slot, lambda: slot.terminate(process))
        await self._come_back(slot, begun)

    async def _come_back(self, slot: LimiterSlot, begun: float) -> None:
        """Start the next process; the limiter was away since ``begun``."""
        await self._replace(slot)
        self._ledger.spans.append(Span("away", slot.index, begun, time.monotonic()))
        self._run.clients[slot.index].may_connect = True

    async def kill(self, slot: LimiterSlot, trouble: Trouble) -> None:
        """SIGKILL, and a new process after half of the duration."""
        process = slot.current
        begun = time.monotonic()
        if process is not None:
            await self._end(slot, lambda: slot.kill(process))
        await asyncio.sleep(trouble.duration * 0.5)
        await self._come_back(slot, begun)

    async def stop(self, slot: LimiterSlot, trouble: Trouble) -> None:
        """SIGSTOP for a part of the duration."""
        process = slot.current
        if process is None:
            return
        begun = time.monotonic()
        process.signal(signal.SIGSTOP)
        await asyncio.sleep(trouble.duration * trouble.draw)
        process.signal(signal.SIGCONT)
        self._ledger.spans.append(Span("stopped", slot.index, begun, time.monotonic()))

    async def stop_restart(self, slot: LimiterSlot, trouble: Trouble) -> None:
        """SIGTERM to a process that stands still."""
        process = slot.current
        if process is None:
            return

        async def end() -> None:
            begun = time.monotonic()
            process.signal(signal.SIGSTOP)
            ending = asyncio.create_task(slot.terminate(process))
            await asyncio.sleep(min(0.15, trouble.duration * trouble.draw))
            process.signal(signal.SIGCONT)
            self._ledger.spans.append(Span("stopped", slot.index, begun, time.monotonic()))
            await ending

        begun = time.monotonic()
        await self._end(slot, end)
        await self._come_back(slot, begun)

    async def reload(self, slot: LimiterSlot, _trouble: Trouble) -> None:
        """A configuration that moves discovery."""
        process = slot.current
        if process is None:
            return
        old = slot.discovery
        slot.discovery = Proxy(self._run.discovery_target)
        await slot.discovery.open()
        self._run.write_config(slot)
        begun = time.monotonic()
        process.signal(signal.SIGHUP)
        old.refuse()
        await asyncio.sleep(OLD_DISCOVERY_ENDS)
        old.close()
        self._ledger.spans.append(Span("moving", slot.index, begun, begun + 4.0))

    async def reload_twice(self, slot: LimiterSlot, trouble: Trouble) -> None:
        """Two such configurations in a row."""
        first = asyncio.create_task(self.reload(slot, trouble))
        await asyncio.sleep(0.2 + trouble.draw)
        await self.reload(slot, trouble)
        await first

    async def upgrade(self, slot: LimiterSlot, trouble: Trouble) -> None:
        """A second process, and SIGTERM to the first."""
        old = slot.current
        await self._replace(slot)
        await asyncio.sleep(0.5 * trouble.draw)
        if old is not None:
            await slot.terminate(old)

    async def upgrade_back(self, slot: LimiterSlot, trouble: Trouble) -> None:
        """A second process, and SIGTERM to it."""
        old = slot.current
        await self._replace(slot)
        new = slot.current
        await asyncio.sleep(0.5 * trouble.draw)
        if new is not None and new is not old:
            await slot.terminate(new)

    async def upgrade_both_end(self, slot: LimiterSlot, trouble: Trouble) -> None:
        """A second process, and SIGTERM to both."""
        old = slot.current
        await self._replace(slot)
        new = slot.current
        if old is None or new is None:
            return

        async def end() -> None:
            first = asyncio.create_task(slot.terminate(old))
            await asyncio.sleep(0.4 * trouble.draw)
            await slot.terminate(new)
            await first

        begun = time.monotonic()
        await self._end(slot, end)
        await self._come_back(slot, begun)

    async def upgrade_stopped(self, slot: LimiterSlot, trouble: Trouble) -> None:
        """A second process while the first stands still, which then ends."""
        old = slot.current
        if old is None:
            return
        begun = time.monotonic()
        old.signal(signal.SIGSTOP)
        await self._replace(slot)
        await asyncio.sleep(trouble.duration * trouble.draw)
        old.signal(signal.SIGCONT)
        self._ledger.spans.append(Span("stopped", slot.index, begun, time.monotonic()))
        await asyncio.sleep(0.2)
        await slot.terminate(old)

    async def suspend(self, slot: LimiterSlot, trouble: Trouble) -> None:
        """SUSPEND and RESTORE of an endpoint."""
        suspension = await self._take_out(slot, trouble)
        await asyncio.sleep(trouble.duration + 1.0)
        await self._restore(slot, suspension)

    async def _take_out(self, slot: LimiterSlot, trouble: Trouble) -> Suspension:
        index = int(trouble.draw * len(self._run.endpoints))
        suspension = Suspension(slot.index, self._run.endpoints[index].name, time.monotonic())
        self._ledger.suspensions.append(suspension)
        if await slot.command(f"SUSPEND {suspension.endpoint}") == "SUCCESS":
            suspension.accepted_at = time.monotonic()
        return suspension

    async def _restore(self, slot: LimiterSlot, suspension: Suspension) -> None:
        suspension.restored_at = time.monotonic()
        await slot.command(f"RESTORE {suspension.endpoint}")

    async def suspend_upgrade(self, slot: LimiterSlot, trouble: Trouble) -> None:
        """SUSPEND, at times with a failing folder, an upgrade, and RESTORE."""
        if trouble.draw < 0.5:
            slot.control.fail_folder(errno.ENOSPC, FolderCalls.WRITING)
        suspension = await self._take_out(slot, trouble)
        slot.control.fail_folder(0, FolderCalls.NONE)
        await asyncio.sleep(0.3)
        await self.upgrade(slot, trouble)
        await asyncio.sleep(trouble.duration + 2.0)
        await self._restore(slot, suspension)
