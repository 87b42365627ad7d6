"""One of the processes that simulate a fleet: its limiters, endpoints and tenants, window by window.

Endpoints, clients, the counter and discovery handle the messages that arrive in window N at the start of
window N + 1, with their exact times of arrival. A limiter handles the counter's reply in window N + 1 at the
earliest, and an endpoint's response in window N + 2. So a reply that takes less than one window is up to one
window late, and a response that takes less than two (an overload, a refused connection) up to two windows.
"""

from __future__ import annotations

import gc
import resource
import sys
import time
from heapq import heappop, heappush

from scale.fleet.discovery import EndpointHistory
from scale.fleet.limiter import Limiter
from scale.fleet.lockstep import Exchange
from scale.fleet.mailbox import Mailbox
from scale.fleet.messages import ROLES, Envelope, Event, Role, pop_before
from scale.fleet.parameters import REQUEST_KINDS
from scale.fleet.router import Router
from scale.fleet.scenario import World
from scale.fleet.services import CounterService, DiscoveryService, EndpointService
from scale.fleet.tally import Tally
from scale.fleet.workload import Workload

WINDOW_SECONDS = 0.005  # virtual time between two exchanges
# Virtual time after the last request in which open requests can complete.
DRAIN_SECONDS = 1.1 * max(kind.deadline for kind in REQUEST_KINDS)
_PROGRESS_INTERVAL_SECONDS = 10  # virtual time between two progress messages
_BYTES_PER_KIB = 1024  # ``ru_maxrss`` is in KiB


class Worker:
    """Simulates its part of the world in lockstep with the other workers."""

    def __init__(self, index: int, count: int, exchange: Exchange, world: World) -> None:
        """``exchange`` transfers messages between the ``count`` workers."""
        self._index = index
        self._exchange = exchange
        self._world = world
        self._tally = Tally(tuple(phase.begin for phase in world.schedule.phases()))
        self._router = Router(index, count, world)
        self._limiter_events = list[Envelope]()  # heap
        self._client_events = list[Envelope]()  # heap
        history = EndpointHistory(world)
        self._limiters = self._create_limiters(history)
        self._workload = self._create_workload()
        self._endpoints = EndpointService(world, self._router, history, self._tally)
        # The counter of every worker serves all calls, so only worker 0 counts them.
        counter_tally = self._tally if index == 0 else None
        self._counter = CounterService(world, self._router, self._limiter_events, counter_tally)
        self._discovery = DiscoveryService(world, self._router, self._limiter_events, history)
        heaps = {
            Role.LIMITER: self._limiter_events,
            Role.ENDPOINT: self._endpoints.inbox,
            Role.TENANT: self._client_events,
            Role.COUNTER: self._counter.inbox,
            Role.DISCOVERY: self._discovery.inbox,
        }
        self._heaps: dict[type[Event], list[Envelope]] = {
            event_type: heaps[role] for event_type, role in ROLES.items()
        }
        self._seconds_counted = 0

    def run(self) -> Tally:
        """Run all windows and return the tally of this worker."""
        # The simulation creates no reference cycles; garbage collection would take as long as the decisions.
        gc.disable()
        windows = round((self._world.schedule.end + DRAIN_SECONDS) / WINDOW_SECONDS)
        for window in range(windows):
            self._run_window(window * WINDOW_SECONDS, (window + 1) * WINDOW_SECONDS)
        if self._workload is not None:
            undelivered = [heappop(self._client_events) for _ in range(len(self._client_events))]
            self._workload.receive(undelivered)
            self._workload.count_unanswered(self._world.schedule.end + DRAIN_SECONDS)
        peak_memory = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * _BYTES_PER_KIB
        self._tally.peak_memory.append(peak_memory)
        self._tally.cost["process"] += time.process_time_ns()
        return self._tally

    def _create_limiters(self, history: EndpointHistory) -> dict[int, Limiter]:
        limiters = dict[int, Limiter]()
        for index in range(self._world.size.limiters):
            if self._router.owns_limiter(index):
                mailbox = Mailbox(index, self._limiter_events, self._router.send)
                limiters[index] = Limiter(
                    index, self._world, history=history, tally=self._tally, mailbox=mailbox
                )
        return limiters

    def _create_workload(self) -> Workload | None:
        tenants = [tenant.index for tenant in self._world.tenants if self._router.owns_tenant(tenant.index)]
        return Workload(self._world, tenants, self._tally) if tenants else None

    def _run_window(self, start: float, end: float) -> None:
        self._counter.serve_until(start)
        self._discovery.serve_until(start)
        self._endpoints.serve_until(start, end)
        self._run_clients(start, end)
        self._run_limiters(end)
        if end >= self._seconds_counted + 1:
            self._end_second()
        for envelope in self._router.exchange(self._exchange):
            heappush(self._heaps[type(envelope.event)], envelope)

    def _run_clients(self, start: float, end: float) -> None:
        if self._workload is None:
            return
        self._workload.receive(pop_before(self._client_events, start))
        # No requests are sent after the scheduled end, while open ones complete.
        self._workload.send_until(min(self._world.schedule.end, end + WINDOW_SECONDS), self._router.send)

    def _run_limiters(self, end: float) -> None:
        limiters = self._limiters
        for envelope in pop_before(self._limiter_events, end):
            limiters[envelope.recipient].receive(envelope)

    def _end_second(self) -> None:
        warming_up = sum(limiter.warming_up_endpoints() for limiter in self._limiters.values())
        self._tally.seconds[self._seconds_counted]["endpoints warming up"] += warming_up
        self._seconds_counted += 1
        reports_progress = self._world.scenario.progress and self._index == 0
        if reports_progress and self._seconds_counted % _PROGRESS_INTERVAL_SECONDS == 0:
            print(
                f"simulated {self._seconds_counted} s; worker 0 has used {time.process_time():.0f} CPU s",
                file=sys.stderr,
                flush=True,
            )
