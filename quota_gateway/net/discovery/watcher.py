"""The watcher of the endpoint list: follows discovery's watch across failures."""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Callable
from random import Random

from quota_gateway.net.common.backoff import poll_delay
from quota_gateway.net.discovery.contact import DiscoveryContact
from quota_gateway.net.discovery.poll_timing import DEFAULT_POLL_TIMING, PollTiming
from quota_gateway.net.discovery.watch_event import WatchEvent
from quota_gateway.net.discovery.watch_log import WatchLog, WatchOutcome
from quota_gateway.net.discovery.watch_request import WatchRequest

log = logging.getLogger(__name__)

MAX_UNANSWERED_REQUESTS = 3
MIN_WATCH_LIFETIME_SECONDS = 5.0  # a watch that ends earlier counts as a failure
# After a malformed line the watch restarts from the version before that line, to receive its changes. The
# line may stay malformed, so there is a minimum time between two such restarts.
MIN_RESTART_INTERVAL_SECONDS = 10.0
RECOVERY_DELAY_SECONDS = 0.5  # the wait after an unexpected error


class EndpointWatcher:
    """Follows discovery's watch; restarts it with backoff when it ends or sends no line in time.

    A request without a response is not cancelled when the next one starts. An overloaded discovery responds
    in the order of arrival: a client that cancelled its request each time would never reach the head of the
    queue. The next request is needed because a half-open discovery, once it has returned, responds only to
    requests that start after its return. The first request that receives a response becomes the watch, and
    the others are cancelled.
    """

    def __init__(
        self,
        host: str,
        port: int,
        since_version: int | None,
        on_event: Callable[[WatchEvent], None],
        timing: PollTiming = DEFAULT_POLL_TIMING,
        rng: Random | None = None,
        contact: DiscoveryContact | None = None,
    ) -> None:
        """Create a watcher; without ``since_version`` it requests the complete list first."""
        self.host = host
        self.port = port
        self.since_version = since_version
        self.contact = contact or DiscoveryContact()
        self._on_event = on_event
        self._timing = timing
        self._rng = rng or Random()
        self._consecutive_failures = 0
        self._has_polled = False
        # The time of the last restart because of a malformed line, in seconds of the event loop's clock.
        self._last_restart_at = -math.inf
        self._malformed_line_logged = False
        self._unanswered = list[WatchRequest]()  # in the order of their start
        self._latest: WatchRequest | None = None  # the watch or, without one, the request that started last
        self._first_answered: asyncio.Future[WatchRequest] | None = None
        self._log = WatchLog()

    @property
    def unanswered_requests(self) -> int:
        """The number of requests without a response, including those that have just ended."""
        return len(self._unanswered)

    async def follow(self) -> None:
        """Follow the watch until cancelled."""
        elapsed = 0.0  # seconds since the last line of the previous request, or since its start without one
        try:
            while True:
                elapsed = await self._poll_or_recover(elapsed)
        finally:
            for request in (*self._unanswered, self._latest):
                if request is not None:
                    request.task.cancel()

    async def _poll_or_recover(self, elapsed: float) -> float:
        """Poll once and return the new ``elapsed``; after an error, wait and return it unchanged."""
        try:
            request = await self._poll(elapsed)
        except Exception:
            log.exception("unexpected error in the watch on discovery; polling again")
            await asyncio.sleep(RECOVERY_DELAY_SECONDS)
            return elapsed
        now = asyncio.get_running_loop().time()
        self._record_end(request, now)
        return now - request.last_line_at

    async def _poll(self, elapsed: float) -> WatchRequest:
        """Send a request after a delay; return the request that has failed, or the watch that has ended.

        The first request is delayed too, unless discovery is a local agent. No request is sent if an earlier
        one receives a response during the delay.
        """
        first_answered: asyncio.Future[WatchRequest] = asyncio.get_running_loop().create_future()
        self._first_answered = first_answered
        await asyncio.wait([first_answered], timeout=self._draw_delay(elapsed))
        if not first_answered.done():
            request = self._latest = self._start_request()
            await self._wait_for_response(request, first_answered)
            if not first_answered.done():
                # Behind a stall, the response may have arrived unread after the time in which it was due.
                due_at = request.started_at + self._timing.response_timeout
                self.contact.confirm(min(due_at, asyncio.get_running_loop().time()))
                return request
        watch = self._latest = first_answered.result()
        await asyncio.wait([watch.task])
        return watch

    def _draw_delay(self, elapsed: float) -> float:
        if self._timing.is_local_agent and not self._has_polled:
            return 0.0  # no other limiter polls the agent at the same time
        return poll_delay(
            self._timing.client_count,
            self._consecutive_failures,
            draw=self._rng.random(),
            max_interval=self._timing.max_interval,
            elapsed=elapsed,
        )

    def _start_request(self) -> WatchRequest:
        self._has_polled = True
        self._unanswered = [request for request in self._unanswered if not request.task.done()]
        if len(self._unanswered) >= MAX_UNANSWERED_REQUESTS:
            # The second oldest request is cancelled: the oldest is nearest to the head of discovery's queue.
            self._unanswered.pop(1).task.cancel()
        request = WatchRequest(self, self._timing.response_timeout)
        self._unanswered.append(request)
        return request

    async def _wait_for_response(
        self, request: WatchRequest, first_answered: asyncio.Future[WatchRequest]
    ) -> None:
        """Wait until any request has a response, this one has ended, or the timeout has passed."""
        timeout = self._timing.response_timeout
        await asyncio.wait(
            (first_answered, request.task), timeout=timeout, return_when=asyncio.FIRST_COMPLETED
        )
        if not first_answered.done() and not request.task.done():
            self.on_ended(f"no response within {timeout:.1f} s")

    def _record_end(self, request: WatchRequest, now: float) -> None:
        """Record a failed request or an ended watch, and update the number of consecutive failures.

        A watch resets the number if it received an event and lasted ``MIN_WATCH_LIFETIME_SECONDS``.
        """
        lifetime = now - request.started_at
        if lifetime > MIN_WATCH_LIFETIME_SECONDS and request.received_event:
            self._consecutive_failures = 0
        else:
            self._consecutive_failures += 1
        self._log.record(WatchOutcome.FAILED)

    def read_received(self) -> None:
        """Handle the lines that have arrived and that the event loop has not read yet."""
        for request in (*self._unanswered, self._latest):
            if request is not None:
                request.read_received()

    # Events of requests.

    def on_response_started(self, answered: WatchRequest) -> None:
        """Make the answered request the watch, and cancel the others."""
        if self._first_answered is None or self._first_answered.done():
            return
        self._first_answered.set_result(answered)
        for request in self._unanswered:
            if request is not answered:
                request.task.cancel()
        self._unanswered = []
        self._latest = answered  # before ``_poll`` resumes, since ``follow`` may be cancelled first

    def on_version_rejected(self) -> None:
        """Request the complete list next: the version may be the cause of the rejection."""
        self.since_version = None

    def on_ended(self, cause: str) -> None:
        """Log a failed request or the end of the watch, but only the first of consecutive failures."""
        if not self._consecutive_failures:
            log.warning("the watch on discovery has failed, polling again: %s", cause)

    def on_malformed_line(self, error: Exception) -> None:
        """Count a malformed line, and log it if it is the first one since the last resumable event."""
        if not self._malformed_line_logged:
            log.warning("dropped a malformed line of discovery: %s", error)
        self._malformed_line_logged = True
        self._log.record(WatchOutcome.DROPPED)

    def on_event(self, event: WatchEvent, *, resumable: bool) -> None:
        """Deliver an event; if it is ``resumable``, the next watch resumes from its version."""
        if resumable:
            self.since_version = event.version
            self._malformed_line_logged = False
        self._consecutive_failures = 0
        self._log.record(WatchOutcome.RECEIVED)
        self._on_event(event)

    def permit_restart(self, now: float) -> bool:
        """Whether the watch may restart because of a malformed line; if so, record the restart."""
        if now - self._last_restart_at <= MIN_RESTART_INTERVAL_SECONDS:
            return False
        self._last_restart_at = now
        return True
