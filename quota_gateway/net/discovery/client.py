"""The client of discovery: follows its watch at the newest address."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random

from quota_gateway.net.common.backoff import MAX_POLL_INTERVAL
from quota_gateway.net.discovery.watch_event import WatchEvent
from quota_gateway.net.discovery.watcher import SILENCE_TIMEOUT, DiscoveryContact, EndpointWatcher


class DiscoveryClient:
    """Follows discovery at the newest address, and at the previous one until the newest has sent an event."""

    def __init__(
        self,
        on_event: Callable[[WatchEvent], None],
        client_count: int = 1,
        rng: Random | None = None,
        answer_timeout: float = SILENCE_TIMEOUT,
        max_poll_interval: float = MAX_POLL_INTERVAL,
    ) -> None:
        """Prepare a client without an address; the parameters are those of ``EndpointWatcher``."""
        self._on_event = on_event
        self._client_count = client_count
        self._rng = rng or Random()
        self._answer_timeout = answer_timeout
        self._max_poll_interval = max_poll_interval
        self._contact = DiscoveryContact()
        self._address: tuple[str, int] | None = None
        self._established: asyncio.Task[None] | None = None  # the watch that sent the last event
        self._candidate: asyncio.Task[None] | None = None  # the watch at the newest address, before its first

    def set_address(self, host: str, port: int, since_version: int | None = None) -> None:
        """Follow discovery at another address.

        Without a version discovery sends the complete list: another one need not have the same versions.
        """
        if (host, port) == self._address:
            return
        self._address = (host, port)
        if self._candidate is not None:
            self._candidate.cancel()

        def deliver(event: WatchEvent) -> None:
            self._deliver(task, event)

        watcher = EndpointWatcher(
            host,
            port,
            since_version,
            deliver,
            client_count=self._client_count,
            rng=self._rng,
            answer_timeout=self._answer_timeout,
            max_poll_interval=self._max_poll_interval,
            contact=self._contact,
        )
        task = self._candidate = asyncio.get_running_loop().create_task(watcher.follow())

    def close(self) -> None:
        """Stop following."""
        for task in (self._established, self._candidate):
            if task is not None:
                task.cancel()

    def _deliver(self, task: asyncio.Task[None], event: WatchEvent) -> None:
        if task is self._candidate:
            previous = self._established
            self._established = task
            self._candidate = None
            if previous is not None:
                previous.cancel()
        if task is self._established:  # a cancelled watch may still send an event
            self._on_event(event)
