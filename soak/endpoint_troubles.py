"""Troubles of endpoints and of the network before them."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from soak.endpoints import Behaviour
from soak.ledger import Span
from soak.plan import Trouble
from soak.proxy import Proxy

if TYPE_CHECKING:
    from soak.run import Run

BACK_BEHIND_DRAIN = 6.0  # seconds after a drain until the endpoint is ready again
HOUR = 3600.0  # seconds


class EndpointTroubles:
    """Plays them on one endpoint at a time."""

    def __init__(self, run: Run) -> None:
        """Play on ``run``."""
        self._run = run
        self._ledger = run.ledger

    async def play(self, index: int, trouble: Trouble) -> None:
        """A trouble of the endpoint itself."""
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

    async def play_path(self, index: int, trouble: Trouble) -> None:
        """A trouble of the network on the way to the endpoint."""
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
