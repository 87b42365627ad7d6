"""The client of discovery: follows the watch at the newest address."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Callable
from dataclasses import dataclass, replace
from random import Random

from quota_gateway.net.discovery.contact import DiscoveryContact
from quota_gateway.net.discovery.list_request import fetch_list
from quota_gateway.net.discovery.poll_timing import DEFAULT_POLL_TIMING, PollTiming
from quota_gateway.net.discovery.watch_event import WatchEvent
from quota_gateway.net.discovery.watcher import EndpointWatcher

log = logging.getLogger(__name__)

# The event loop may be blocked for this time; the platform allows 0.15 s between a clock read and a write.
FETCH_TIMEOUT_SECONDS = 0.1


@dataclass(frozen=True, slots=True, eq=False)
class _Watch:
    """The watcher of one address, and the task in which it runs."""

    watcher: EndpointWatcher
    task: asyncio.Task[None]


class DiscoveryClient:
    """Follows discovery at the newest address, and at the previous one until the newest has sent an event.

    The client owns the tasks of both watches. Events of a cancelled watch are dropped.
    """

    def __init__(
        self,
        on_event: Callable[[WatchEvent], None],
        timing: PollTiming = DEFAULT_POLL_TIMING,
        rng: Random | None = None,
    ) -> None:
        """Create a client without an address; ``rng`` draws the jitter of the polls."""
        self._on_event = on_event
        self._timing = timing
        self._rng = rng or Random()
        self._loop = asyncio.get_running_loop()
        self._contact = DiscoveryContact(self._loop.time())
        self._address: tuple[str, int] | None = None
        self._has_event = asyncio.Event()  # set once discovery has sent an event
        self._established: _Watch | None = None  # the watch that sent the last event
        self._candidate: _Watch | None = None  # the watch at the newest address, until its first event

    def set_address(self, host: str, port: int, since_version: int | None = None) -> None:
        """Follow discovery at another address.

        The watch resumes from ``since_version``; if it is None, discovery sends the complete list first. A
        version that was received from one address may not be valid at another one.
        """
        if (host, port) == self._address:
            return
        self._address = (host, port)
        if self._candidate is not None:
            self._candidate.task.cancel()

        def deliver(event: WatchEvent) -> None:
            self._deliver(watch, event)

        watcher = EndpointWatcher(
            host, port, since_version, deliver, self._timing, rng=self._rng, contact=self._contact
        )
        name = f"discovery at {host}:{port}"
        task = asyncio.get_running_loop().create_task(watcher.follow(), name=name)
        watch = self._candidate = _Watch(watcher, task)

    async def wait_for_first_event(self) -> bool:
        """Wait until discovery has sent an event; return False if it has not sent one in time."""
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._has_event.wait(), self._timing.first_event_timeout)
        return self._has_event.is_set()

    def read_received(self) -> None:
        """Handle the events that have arrived and that the event loop has not read yet.

        If no watch is open and the process was stalled since the last poll, request the list at once: the
        drain notice of a change may have passed.
        """
        for watch in (self._established, self._candidate):
            if watch is not None:
                watch.watcher.read_received()
        now = self._loop.time()
        is_confirmed = now - self._contact.confirmed_at <= self._timing.max_unconfirmed_seconds
        if self._address is not None and not is_confirmed:
            self._contact.confirm(now)  # also if the agent does not respond: discovery is down then
            self._fetch_list(*self._address)

    def _fetch_list(self, host: str, port: int) -> None:
        event = fetch_list(host, port, FETCH_TIMEOUT_SECONDS)
        if event is None:
            return
        log.info("endpoint list version %d fetched after a stall", event.version)
        now = self._loop.time()
        seconds_since_contact = self._contact.record_line(now, now)
        update = replace(event.update, seconds_since_contact=seconds_since_contact)
        self._handle(replace(event, update=update))

    def close(self) -> None:
        """Stop following."""
        for watch in (self._established, self._candidate):
            if watch is not None:
                watch.task.cancel()

    def _deliver(self, watch: _Watch, event: WatchEvent) -> None:
        if watch is self._candidate:
            log.info("%s: first event, endpoint list version %d", watch.task.get_name(), event.version)
            previous = self._established
            self._established = watch
            self._candidate = None
            if previous is not None:
                previous.task.cancel()
        if watch is self._established:
            self._handle(event)

    def _handle(self, event: WatchEvent) -> None:
        self._on_event(event)
        self._has_event.set()
