"""Carries out the troubles of a plan; each undoes what it did when its time is over."""

from __future__ import annotations

import asyncio
import errno
import signal
import time
from collections.abc import Awaitable, Callable, Coroutine
from typing import TYPE_CHECKING, Any

from soak import fault_control
from soak.endpoints import Behaviour
from soak.fault_control import FolderCalls
from soak.ledger import Span, Suspension
from soak.limiters import LimiterSlot
from soak.plan import Trouble
from soak.proxy import Proxy
from soak.troubles import TROUBLES, Family

if TYPE_CHECKING:
    from soak.run import Run

OLD_DISCOVERY_ENDS = 1.5  # seconds after SIGHUP
BACK_BEHIND_DRAIN = 6.0  # seconds after a drain until the endpoint is ready again
HOUR = 3600.0  # seconds
ACCEPT_ERRORS = (errno.ECONNABORTED, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
SOCKET_ERRORS = (errno.ENFILE, errno.ENOBUFS)
CONNECT_ERRORS = (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS)
READ_ERRORS = (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNRESET)
FAILURES = 5  # of calls, in one trouble at one limiter
CLIENT_SHARES = {
    "leave": 0.5, "stall": 0.1, "pipeline": 0.25, "half_close": 0.5, "upload": 0.2, "repeat": 1.0,
    "split": 0.5,
}  # fmt: skip
BURST_FACTOR = 4
SlotAction = Callable[[LimiterSlot, Trouble], Coroutine[Any, Any, None]]


class Player:
    """Plays troubles on a run."""

    def __init__(self, run: Run) -> None:
        """Play on ``run``."""
        self._run = run
        self._ledger = run.ledger

    async def play(self, trouble: Trouble) -> None:
        """Carry out one trouble, from its moment to its end."""
        self._ledger.note(f"{trouble.kind}: limiters {trouble.limiters}, endpoints {trouble.endpoints}")
        family = TROUBLES[trouble.kind].family
        if family is Family.CLIENT:
            await self._play_clients(trouble)
        elif trouble.endpoints and family is Family.ENDPOINT:
            await self._each(self._endpoint(index, trouble) for index in trouble.endpoints)
        elif trouble.endpoints:
            await self._each(self._path(index, trouble) for index in trouble.endpoints)
        else:
            action: SlotAction = getattr(self, f"_{trouble.kind}", self._system)
            await self._each(self._on_slot(action, index, trouble) for index in trouble.limiters)

    async def _each(self, works: Any) -> None:
        await asyncio.gather(*works)

    async def _on_slot(self, action: SlotAction, index: int, trouble: Trouble) -> None:
        slot = self._run.slots[index]
        is_process = TROUBLES[trouble.kind].family is Family.PROCESS
        begun = time.monotonic()
        if is_process and slot.busy.locked():
            return  # another one starts and ends its processes now
        if is_process:
            async with slot.busy:
                await action(slot, trouble)
        else:
            await action(slot, trouble)
        self._ledger.spans.append(Span(trouble.kind, index, begun, time.monotonic()))

    # Processes

    async def _replace(self, slot: LimiterSlot) -> None:
        slot.was_restarted = True
        self._run.write_config(slot)
        begun = time.monotonic()
        await slot.start()
        self._ledger.spans.append(Span("start", slot.index, begun, time.monotonic()))

    async def _end(self, slot: LimiterSlot, end: Callable[[], Awaitable[None]]) -> None:
        """End a process; clients open no new connections from 0.3 s after it began to end."""
        clients = self._run.clients[slot.index]
        blocking = asyncio.get_running_loop().call_later(0.3, setattr, clients, "may_connect", False)
        await end()
        blocking.cancel()
        clients.may_connect = False

    async def _restart(self, slot: LimiterSlot, _trouble: Trouble) -> None:
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

    async def _kill(self, slot: LimiterSlot, trouble: Trouble) -> None:
        process = slot.current
        begun = time.monotonic()
        if process is not None:
            await self._end(slot, lambda: slot.kill(process))
        await asyncio.sleep(trouble.duration * 0.5)
        await self._come_back(slot, begun)

    async def _stop(self, slot: LimiterSlot, trouble: Trouble) -> None:
        process = slot.current
        if process is None:
            return
        begun = time.monotonic()
        process.signal(signal.SIGSTOP)
        await asyncio.sleep(trouble.duration * trouble.draw)
        process.signal(signal.SIGCONT)
        self._ledger.spans.append(Span("stopped", slot.index, begun, time.monotonic()))

    async def _stop_restart(self, slot: LimiterSlot, trouble: Trouble) -> None:
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

    async def _reload(self, slot: LimiterSlot, _trouble: Trouble) -> None:
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

    async def _reload_twice(self, slot: LimiterSlot, trouble: Trouble) -> None:
        first = asyncio.create_task(self._reload(slot, trouble))
        await asyncio.sleep(0.2 + trouble.draw)
        await self._reload(slot, trouble)
        await first

    async def _upgrade(self, slot: LimiterSlot, trouble: Trouble) -> None:
        old = slot.current
        await self._replace(slot)
        await asyncio.sleep(0.5 * trouble.draw)
        if old is not None:
            await slot.terminate(old)

    async def _upgrade_back(self, slot: LimiterSlot, trouble: Trouble) -> None:
        old = slot.current
        await self._replace(slot)
        new = slot.current
        await asyncio.sleep(0.5 * trouble.draw)
        if new is not None and new is not old:
            await slot.terminate(new)

    async def _upgrade_both_end(self, slot: LimiterSlot, trouble: Trouble) -> None:
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

    async def _upgrade_stopped(self, slot: LimiterSlot, trouble: Trouble) -> None:
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

    async def _suspend(self, slot: LimiterSlot, trouble: Trouble) -> None:
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

    async def _suspend_upgrade(self, slot: LimiterSlot, trouble: Trouble) -> None:
        if trouble.draw < 0.5:
            slot.control.fail_folder(errno.ENOSPC, FolderCalls.WRITING)
        suspension = await self._take_out(slot, trouble)
        slot.control.fail_folder(0, FolderCalls.NONE)
        await asyncio.sleep(0.3)
        await self._upgrade(slot, trouble)
        await asyncio.sleep(trouble.duration + 2.0)
        await self._restore(slot, suspension)

    # Endpoints

    async def _endpoint(self, index: int, trouble: Trouble) -> None:
        endpoint = self._run.endpoints[index]
        if trouble.kind in ("cold", "cold_back"):
            endpoint.restart()
            if trouble.kind == "cold_back":
                endpoint.started_at_ms -= int(HOUR * 1000)
            self._run.publish(endpoint)
            return
        if trouble.kind == "drain":
            endpoint.health = "draining"
            self._run.publish(endpoint)
            await asyncio.sleep(trouble.duration + BACK_BEHIND_DRAIN)
            endpoint.health = "ready"
            self._run.publish(endpoint)
            return
        endpoint.behaviour = {
            "hang": Behaviour(hangs=True),
            "errors": Behaviour(errors=0.5),
            "turned_away": Behaviour(turned_away=0.5),
            "pieces": Behaviour(in_pieces=0.7, long_answers=0.1),
            "resets": Behaviour(resets_after=0.5),
            "endless": Behaviour(endless=0.3),
            "no_length": Behaviour(without_length=0.7),
            "slow": Behaviour(slow_factor=5.0),
        }[trouble.kind]
        await asyncio.sleep(trouble.duration)
        endpoint.behaviour = Behaviour()

    async def _path(self, index: int, trouble: Trouble) -> None:
        endpoint = self._run.endpoints[index]
        begun = time.monotonic()
        await self._trouble_path(endpoint.proxy, trouble)
        self._ledger.paths.append(Span(endpoint.name, -1, begun, time.monotonic()))

    async def _trouble_path(self, proxy: Proxy, trouble: Trouble) -> None:
        network = proxy.network
        if trouble.kind == "path_reset":
            for _ in range(5):
                proxy.reset_all()
                await asyncio.sleep(trouble.duration / 5)
            return
        network.delay = 0.05 + 0.1 * trouble.draw if trouble.kind == "path_delay" else network.delay
        network.piece_size = 50 if trouble.kind == "path_split" else network.piece_size
        network.is_cut = network.is_cut or trouble.kind == "path_cut"
        network.truncate_after = 300 if trouble.kind == "path_truncate" else network.truncate_after
        await asyncio.sleep(trouble.duration)
        network.delay = 0.0
        network.piece_size = 0
        network.is_cut = False
        network.truncate_after = 0

    # Discovery and counter

    async def _silent(self, proxy: Proxy, duration: float) -> None:
        proxy.network.is_cut = True
        await asyncio.sleep(duration)
        proxy.network.is_cut = False

    async def _down(self, proxy: Proxy, duration: float) -> None:
        proxy.refuse()
        proxy.reset_all()
        await asyncio.sleep(duration)
        await proxy.open()

    async def _discovery_silent(self, slot: LimiterSlot, trouble: Trouble) -> None:
        await self._silent(slot.discovery, trouble.duration)

    async def _counter_silent(self, slot: LimiterSlot, trouble: Trouble) -> None:
        await self._silent(slot.counter, trouble.duration)

    async def _discovery_down(self, slot: LimiterSlot, trouble: Trouble) -> None:
        async with slot.busy:
            await self._down(slot.discovery, trouble.duration)

    async def _counter_down(self, slot: LimiterSlot, trouble: Trouble) -> None:
        async with slot.busy:
            await self._down(slot.counter, trouble.duration)

    async def _discovery_pieces(self, slot: LimiterSlot, trouble: Trouble) -> None:
        slot.discovery.network.piece_size = 200
        await asyncio.sleep(trouble.duration)
        slot.discovery.network.piece_size = 0

    async def _counter_delay(self, slot: LimiterSlot, trouble: Trouble) -> None:
        slot.counter.network.delay = 0.03
        await asyncio.sleep(trouble.duration)
        slot.counter.network.delay = 0.0

    # System calls, clock and folder

    async def _system(self, slot: LimiterSlot, trouble: Trouble) -> None:
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
        control.set(fault_control.MAX_TRANSFER, 0)
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

    # Clients

    async def _play_clients(self, trouble: Trouble) -> None:
        clients = [self._run.clients[index] for index in trouble.limiters]
        for each in clients:
            if trouble.kind == "burst":
                each.rate *= BURST_FACTOR
            else:
                each.behaviours[trouble.kind] = CLIENT_SHARES[trouble.kind]
        await asyncio.sleep(trouble.duration)
        for each in clients:
            if trouble.kind == "burst":
                each.rate /= BURST_FACTOR
            else:
                each.behaviours.pop(trouble.kind, None)
