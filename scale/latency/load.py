"""The clients: they send by the schedule, independent of the responses."""

from __future__ import annotations

import asyncio
import time
from collections import defaultdict
from dataclasses import dataclass, field
from functools import partial
from itertools import count
from random import Random

from scale.http_client import HttpClient, Response, encode_request
from scale.latency.cells import Cell
from scale.latency.workload import CLIENT_TIMEOUT_SECONDS, plan_of, poisson_schedule, tenants_per_limiter
from scale.model import BrokenRunError, Size
from scale.stand_ins.timers import PreciseTimers

LEAD_SECONDS = 0.02  # between the drawing of a schedule and its begin
SETTLE_SECONDS = 0.4  # after a run, for the last responses
POLL_SECONDS = 0.02  # between two checks for missing responses
SEED_SHIFT = 24  # keeps the request ids of different seeds apart


@dataclass(slots=True)
class Window:
    """The observations in one run of a cell; times in seconds."""

    added: list[float] = field(default_factory=list)
    added_on_new: list[float] = field(default_factory=list)  # over a new connection to the endpoint
    added_on_reused: list[float] = field(default_factory=list)  # over a reused connection
    rejections: list[float] = field(default_factory=list)  # time to a rejection
    send_delays: list[float] = field(default_factory=list)  # of the client behind the schedule
    rejected_by_plan: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    broken: int = 0
    pending: int = 0  # requests without a response
    # Fraction of the run in which a process waited for a core, added up over the processes.
    core_wait: float = 0.0

    def start_request(self) -> None:
        """Count a request that is going to be sent."""
        self.pending += 1

    def record_core_wait(self, fraction: float) -> None:
        """Record the fraction of the run in which processes waited for a core."""
        self.core_wait = fraction

    def record(self, plan: str, due: float, response: Response) -> None:
        """Record the response to a request that was due at ``due``."""
        self.pending -= 1
        elapsed = response.received_at - due
        if response.is_served:
            added = elapsed - response.service_time
            self.added.append(added)
            (self.added_on_new if response.on_new_connection else self.added_on_reused).append(added)
        elif response.is_rejected:
            self.rejections.append(elapsed)
            self.rejected_by_plan[plan] += 1
        else:
            self.broken += 1


class Load:
    """The clients of all limiters of a cell."""

    def __init__(self, clients: list[HttpClient], cell: Cell, size: Size, seed: int) -> None:
        """``clients`` has one client for each limiter; ``seed`` draws the schedules."""
        self._clients = clients
        self._cell = cell
        self._size = size
        self._rng = Random(seed)
        self._timers = PreciseTimers()
        self._ids = count(seed << SEED_SHIFT)

    def close(self) -> None:
        """Discard the requests that are due."""
        self._timers.close()

    async def run(self, seconds: float) -> Window:
        """Run the load for a time. Raise ``BrokenRunError`` if a response is missing."""
        window = Window()
        begin = time.monotonic() + LEAD_SECONDS
        for number, client in enumerate(self._clients):
            self._schedule(window, number, client, begin, seconds)
        await asyncio.sleep(begin - time.monotonic() + seconds + SETTLE_SECONDS)
        deadline = time.monotonic() + CLIENT_TIMEOUT_SECONDS
        while window.pending and time.monotonic() < deadline:
            await asyncio.sleep(POLL_SECONDS)
        if window.pending:
            raise BrokenRunError(
                f"{self._cell.name}: {window.pending} requests had no answer in {CLIENT_TIMEOUT_SECONDS} s"
            )
        return window

    def _schedule(
        self, window: Window, number: int, client: HttpClient, begin: float, seconds: float
    ) -> None:
        tenants = tenants_per_limiter(self._size)
        for arrival in poisson_schedule(self._rng, self._cell.rate, seconds, tenants):
            plan = plan_of(arrival.tenant, tenants)
            request = encode_request(
                request_id=f"{number:04x}{next(self._ids):012x}",
                path=f"/read?account={arrival.tenant:016x}",
                plan=plan,
                timeout=CLIENT_TIMEOUT_SECONDS,
                serving_gateways=self._size.spread,
            )
            due = begin + arrival.at
            window.start_request()
            self._timers.call_at(due, partial(_send, window, client, due, request, plan))


def _send(window: Window, client: HttpClient, due: float, request: bytes, plan: str) -> None:
    window.send_delays.append(time.monotonic() - due)
    client.send(request, partial(window.record, plan, due))
