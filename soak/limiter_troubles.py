"""Troubles around a limiter: discovery and the counter, system calls, the clock, the shared folder."""

from __future__ import annotations

import asyncio
import errno

from soak import fault_control
from soak.fault_control import FolderCalls
from soak.limiters import LimiterSlot
from soak.plan import Trouble
from soak.proxy import Proxy

HOUR = 3600.0  # seconds
FAILURES = 5  # of calls, in one trouble at one limiter
ACCEPT_ERRORS = (errno.ECONNABORTED, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
SOCKET_ERRORS = (errno.ENFILE, errno.ENOBUFS)
CONNECT_ERRORS = (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS)
READ_ERRORS = (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNRESET)


class ServiceTroubles:
    """Troubles of discovery and of the counter; each method is the trouble of its name."""

    async def _silent(self, proxy: Proxy, duration: float) -> None:
        proxy.network.is_cut = True
        await asyncio.sleep(duration)
        proxy.network.is_cut = False

    async def _down(self, proxy: Proxy, duration: float) -> None:
        proxy.refuse()
        proxy.reset_all()
        await asyncio.sleep(duration)
        await proxy.open()

    async def discovery_silent(self, slot: LimiterSlot, trouble: Trouble) -> None:
        """Discovery stays connected and says nothing."""
        await self._silent(slot.discovery, trouble.duration)

    async def counter_silent(self, slot: LimiterSlot, trouble: Trouble) -> None:
        """The counter answers nothing."""
        await self._silent(slot.counter, trouble.duration)

    async def discovery_down(self, slot: LimiterSlot, trouble: Trouble) -> None:
        """Discovery refuses connections."""
        async with slot.busy:
            await self._down(slot.discovery, trouble.duration)

    async def counter_down(self, slot: LimiterSlot, trouble: Trouble) -> None:
        """The counter refuses connections."""
        async with slot.busy:
            await self._down(slot.counter, trouble.duration)

    async def discovery_pieces(self, slot: LimiterSlot, trouble: Trouble) -> None:
        """Discovery's lines come in pieces."""
        slot.discovery.network.piece_size = 200
        await asyncio.sleep(trouble.duration)
        slot.discovery.network.piece_size = 0

    async def counter_delay(self, slot: LimiterSlot, trouble: Trouble) -> None:
        """The counter's answers take long."""
        slot.counter.network.delay = 0.03
        await asyncio.sleep(trouble.duration)
        slot.counter.network.delay = 0.0


class SystemTroubles:
    """Troubles of the system that a limiter runs on."""

    async def play(self, slot: LimiterSlot, trouble: Trouble) -> None:
        """Let it last for its duration."""
        control = slot.control
        kind = trouble.kind
        if kind == "accept_fails":
            self._fail(
                slot, ACCEPT_ERRORS, fault_control.ACCEPT_ERRNO, fault_control.ACCEPT_FAILURES, trouble
            )
        elif kind == "socket_fails":
            self._fail(
                slot, SOCKET_ERRORS, fault_control.SOCKET_ERRNO, fault_control.SOCKET_FAILURES, trouble
            )
        elif kind == "connect_fails":
            self._fail(
                slot, CONNECT_ERRORS, fault_control.CONNECT_ERRNO, fault_control.CONNECT_FAILURES, trouble
            )
        elif kind == "reads_fail":
            self._fail(slot, READ_ERRORS, fault_control.READ_ERRNO, fault_control.READ_FAILURES, trouble)
        elif kind == "short_transfers":
            control.set(fault_control.MAX_TRANSFER, 7)
        elif kind == "interrupted_waits":
            control.set(fault_control.INTERRUPTED_WAITS, 100)
        elif kind.startswith("clock"):
            control.step_clock(HOUR if kind == "clock_forward" else -HOUR)
        else:
            self._fail_folder(slot, kind)
        await asyncio.sleep(trouble.duration)
        for field in fault_control.RESET_AT_THE_END:
            control.set(field, 0)
        control.fail_folder(0, FolderCalls.NONE)

    def _fail(
        self,
        slot: LimiterSlot,
        errors: tuple[int, ...],
        error_field: fault_control.Field,
        count_field: fault_control.Field,
        trouble: Trouble,
    ) -> None:
        slot.control.set(error_field, errors[int(trouble.draw * len(errors))])
        slot.control.set(count_field, FAILURES)

    def _fail_folder(self, slot: LimiterSlot, kind: str) -> None:
        if kind == "folder_full":
            slot.control.fail_folder(errno.ENOSPC, FolderCalls.WRITING)
        elif kind == "folder_broken":
            slot.control.fail_folder(errno.EIO, FolderCalls.WRITING | FolderCalls.READING)
        else:
            slot.control.fail_folder(errno.ENOLCK, FolderCalls.LOCKING)
