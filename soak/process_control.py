"""Starts and ends the processes of a limiter, with what its clients do meanwhile."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

from soak.environment import Environment
from soak.history import LimiterState
from soak.limiter import Limiter
from soak.limiter_process import LimiterProcess

# From the signal that ends the last process until its clients stop opening new connections.
CONNECT_BLOCK_DELAY_SECONDS = 0.3
MAX_SIGNAL_GAP_SECONDS = 0.7  # three gaps fit into a shutdown, which lasts at most 2.7 s


class ProcessControl:
    """The steps that the faults of processes share.

    While a limiter has no running process, its clients open no new connections.
    """

    def __init__(self, environment: Environment) -> None:
        """Control the processes of the limiters of ``environment``."""
        self._environment = environment
        self._history = environment.history

    async def start_process(self, limiter: Limiter, delay: float = 0.0) -> LimiterProcess:
        """Start a process ``delay`` seconds late, and wait until it is ready."""
        with self._history.span(LimiterState.STARTING, limiter.index):
            return await limiter.start(delay)

    async def start_second_process(self, limiter: Limiter) -> LimiterProcess:
        """Start a process beside the running one; its configuration has the current endpoint list."""
        self._environment.write_config(limiter)
        return await self.start_process(limiter)

    @contextmanager
    def record_unavailability(self, limiter: Limiter) -> Iterator[None]:
        """Record the limiter as unavailable while the body ends its processes and starts the next one.

        The next process starts with the endpoint list of the time before the body, the last one that the
        limiter had. After the body, its clients may open new connections again.
        """
        self._environment.write_config(limiter)
        with self._history.span(LimiterState.UNAVAILABLE, limiter.index):
            yield
        self._environment.clients[limiter.index].allow_connects()

    @contextmanager
    def blocked_connects(self, limiter: Limiter) -> Iterator[None]:
        """Block new client connections shortly after the body starts to end the last process.

        They stay blocked until ``record_unavailability`` allows them again.
        """
        clients = self._environment.clients[limiter.index]
        loop = asyncio.get_running_loop()
        timer = loop.call_later(CONNECT_BLOCK_DELAY_SECONDS, clients.block_connects)
        yield
        timer.cancel()
        clients.block_connects()
