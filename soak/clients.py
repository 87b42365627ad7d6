"""The clients of one limiter: they send its traffic, with normal or faulty behaviour."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from random import Random
from typing import Any

from soak.client_behaviours import INCOMPLETE_REQUEST_WAIT_SECONDS, ClientBehaviours
from soak.client_connection import ConnectionPool
from soak.client_exchanges import ClientExchanges
from soak.history import ClientBehaviour, History, RequestOutcome
from soak.request_factory import RequestFactory

REQUESTS_PER_SECOND = 12.0
MAX_RETRIES = 2
RETRYABLE_STATUSES = (429, 503)
MIN_RETRY_DELAY_SECONDS = 0.01
MAX_RETRY_DELAY_SECONDS = 0.1


class LimiterClients:
    """All clients of one limiter.

    The behaviour of each request is drawn: ``start_behaviour`` sets the fraction of the requests that have a
    faulty behaviour; the others are sent normally. While new connections are blocked, requests use idle
    connections only.
    """

    def __init__(
        self,
        connections: ConnectionPool,
        factory: RequestFactory,
        history: History,
        random: Random,
    ) -> None:
        """Send the requests of ``factory`` over ``connections``."""
        self._connections = connections
        self._factory = factory
        self._history = history
        self._random = random
        self._exchanges = ClientExchanges(connections, factory, random)
        self._behaviours = ClientBehaviours(connections, self._exchanges, factory, history, random)
        self._rate = REQUESTS_PER_SECOND
        self._fractions = dict[ClientBehaviour, float]()
        self._may_connect = True
        self._tasks = set[asyncio.Task[None]]()

    def scale_rate(self, factor: float) -> None:
        """Multiply the request rate."""
        self._rate *= factor

    def start_behaviour(self, behaviour: ClientBehaviour, fraction: float) -> None:
        """Send a fraction of the requests with a faulty behaviour."""
        self._fractions[behaviour] = fraction

    def end_behaviour(self, behaviour: ClientBehaviour) -> None:
        """Send no further request with a behaviour."""
        self._fractions.pop(behaviour, None)

    def block_connects(self) -> None:
        """Stop opening new connections."""
        self._may_connect = False

    def allow_connects(self) -> None:
        """Open new connections again."""
        self._may_connect = True

    def send_burst(self, count: int) -> None:
        """Send ``count`` requests at once, on open and on new connections."""
        for _ in range(count):
            self._start_request(ClientBehaviour.NORMAL)

    async def keep_idle_connections(self, count: int, seconds: float) -> None:
        """Keep ``count`` idle connections open for ``seconds``."""
        tasks = [self._start_task(self._behaviours.keep_idle_connection()) for _ in range(count)]
        await asyncio.sleep(seconds)
        for task in tasks:
            task.cancel()

    async def keep_hostile_connections(self, count: int, payload: bytes, seconds: float) -> None:
        """Let ``count`` clients send the incomplete ``payload``, and connect again when it is rejected."""
        tasks = [self._start_task(self._behaviours.send_hostile_payload(payload)) for _ in range(count)]
        await asyncio.sleep(seconds)
        for task in tasks:
            task.cancel()

    async def flood_with_health_checks(self, seconds: float) -> None:
        """Send health checks on one connection, as fast as the limiter accepts them."""
        task = self._start_task(self._behaviours.flood_with_health_checks())
        await asyncio.sleep(seconds)
        task.cancel()

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            await asyncio.sleep(self._random.expovariate(self._rate))
            if self._may_connect or self._connections.has_idle:
                self._start_request(self._draw_behaviour())

    async def finish(self) -> None:
        """Wait for the open requests, then close the connections."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=2 * INCOMPLETE_REQUEST_WAIT_SECONDS)
        for task in self._tasks:
            task.cancel()
        self._connections.close()

    def _draw_behaviour(self) -> ClientBehaviour:
        draw = self._random.random()
        for behaviour, fraction in self._fractions.items():
            draw -= fraction
            if draw < 0:
                return behaviour
        return ClientBehaviour.NORMAL

    def _start_request(self, behaviour: ClientBehaviour) -> None:
        if behaviour is ClientBehaviour.INCOMPLETE_REQUEST:
            sending = self._behaviours.send_incomplete_request()
        elif behaviour is ClientBehaviour.PIPELINING:
            sending = self._behaviours.send_pipelined_requests()
        elif behaviour is ClientBehaviour.IDLE_BETWEEN_REQUESTS:
            sending = self._behaviours.idle_between_requests()
        else:
            sending = self._send_request(behaviour, MAX_RETRIES)
        self._start_task(sending)

    def _start_task(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._history.record_runner_error("a client failed", task.exception())

    async def _send_request(self, behaviour: ClientBehaviour, retries: int) -> None:
        request = self._factory.make(behaviour)
        try:
            connection = await self._connections.acquire()
        except OSError:
            request.end(RequestOutcome.CONNECTION_REFUSED)
            return
        await self._exchanges.run(request, connection)
        if request.outcome is RequestOutcome.CONNECTION_CLOSED and not request.on_new_connection:
            # The limiter may have closed the idle connection before the request reached it.
            await self._exchanges.resend(request)
        is_rejected = request.status in RETRYABLE_STATUSES
        if behaviour is ClientBehaviour.IMMEDIATE_RETRIES and retries and is_rejected:
            await asyncio.sleep(self._random.uniform(MIN_RETRY_DELAY_SECONDS, MAX_RETRY_DELAY_SECONDS))
            await self._send_request(behaviour, retries - 1)
