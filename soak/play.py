"""Carries out the troubles of a plan; each undoes what it did when its time is over."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Coroutine
from typing import TYPE_CHECKING, Any

from soak.endpoint_troubles import EndpointTroubles
from soak.ledger import Span
from soak.limiter_troubles import ServiceTroubles, SystemTroubles
from soak.limiters import LimiterSlot
from soak.plan import Trouble
from soak.process_troubles import ProcessTroubles
from soak.troubles import TROUBLES, Family

if TYPE_CHECKING:
    from soak.run import Run

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
        self._endpoints = EndpointTroubles(run)
        self._processes = ProcessTroubles(run)
        self._services = ServiceTroubles()
        self._system = SystemTroubles()

    async def play(self, trouble: Trouble) -> None:
        """Carry out one trouble, from its moment to its end."""
        self._ledger.note(f"{trouble.kind}: limiters {trouble.limiters}, endpoints {trouble.endpoints}")
        family = TROUBLES[trouble.kind].family
        if family is Family.CLIENT:
            await self._play_clients(trouble)
        elif family is Family.ENDPOINT:
            await asyncio.gather(*(self._endpoints.play(index, trouble) for index in trouble.endpoints))
        elif trouble.endpoints:
            await asyncio.gather(*(self._endpoints.play_path(index, trouble) for index in trouble.endpoints))
        else:
            await asyncio.gather(*(self._play_on(index, trouble) for index in trouble.limiters))

    def _action(self, trouble: Trouble) -> SlotAction:
        family = TROUBLES[trouble.kind].family
        if family is Family.SYSTEM:
            return self._system.play
        troubles = self._processes if family is Family.PROCESS else self._services
        action: SlotAction = getattr(troubles, trouble.kind)
        return action

    async def _play_on(self, index: int, trouble: Trouble) -> None:
        slot = self._run.slots[index]
        action = self._action(trouble)
        begun = time.monotonic()
        if TROUBLES[trouble.kind].family is Family.PROCESS:
            if slot.busy.locked():
                return  # another one starts and ends its processes now
            async with slot.busy:
                await action(slot, trouble)
        else:
            await action(slot, trouble)
        self._ledger.spans.append(Span(trouble.kind, index, begun, time.monotonic()))

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
