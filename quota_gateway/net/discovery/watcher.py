"""Discovery's watch: one request for it, and the watcher that follows it across failures."""

from __future__ import annotations

import asyncio
import json
import logging
import math
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from random import Random
from typing import Any

import httptools

from quota_gateway.net.common.backoff import MAX_POLL_INTERVAL, poll_delay
from quota_gateway.net.discovery.watch_event import WatchEvent, parse_watch_event

log = logging.getLogger(__name__)

# Seconds until a watch is dead, whatever its socket says: an empty line is the heartbeat, every 2 s. Only
# complete lines count. An update must be known 6 s after a silence began, the next request included.
SILENCE_TIMEOUT = 3.0
QUEUE_TIMEOUT = 60.0  # seconds that a request may wait for the head of its response
MAX_UNANSWERED_REQUESTS = 3
MIN_WATCH_LIFETIME = 5.0  # seconds: a watch that ends sooner counts as a failure
# A malformed line may hold a change that no later line repeats, so the watch restarts from the version before
# it, but not more often than this (seconds): the line may stay malformed.
RESTART_INTERVAL = 10.0
LOG_INTERVAL = 10.0  # seconds between log lines on the watch
RECOVERY_DELAY = 0.5  # seconds after an unexpected error
MAX_LINE_LENGTH = 4 * 1024 * 1024  # bytes
READ_SIZE = 65536  # bytes
HTTP_OK = 200
HTTP_TOO_MANY_REQUESTS = 429
HTTP_SERVER_ERROR = 500  # the lowest of its class


class DiscoveryContact:
    """When discovery was last heard of, at whatever address."""

    __slots__ = ("_last_at",)

    def __init__(self) -> None:
        """Begin without contact."""
        self._last_at = -math.inf  # seconds of the event loop's clock

    def renew(self, now: float) -> float:
        """A line has come; gives the seconds since the one before."""
        elapsed = now - self._last_at
        self._last_at = now
        return elapsed


class _WatchRequest:
    """One request to discovery, from its connect to the end of the event stream that answers it.

    The response parser calls the ``on_`` methods.
    """

    def __init__(self, watcher: EndpointWatcher) -> None:
        self._watcher = watcher
        self._loop = asyncio.get_running_loop()
        self._buffer = b""  # an incomplete line
        self._event_lost = False  # a line was malformed
        self.received_event = False
        self.started_at = self._loop.time()
        self.last_line_at = self.started_at  # what discovery had until then is known
        self._deadline = self.started_at + watcher.answer_timeout
        self._parser = httptools.HttpResponseParser(self)
        self.task = self._loop.create_task(self._run())

    async def _run(self) -> None:
        try:
            await self._follow()
        except (OSError, TimeoutError, httptools.HttpParserError) as error:
            cause = error.__context__ if isinstance(error, httptools.HttpParserCallbackError) else error
            self._watcher.on_ended(repr(cause))
        except Exception:
            log.exception("the watch on discovery failed")

    async def _follow(self) -> None:
        watcher = self._watcher
        async with asyncio.timeout_at(self._deadline):
            reader, writer = await asyncio.open_connection(watcher.host, watcher.port)
        self._deadline = self.started_at + QUEUE_TIMEOUT
        try:
            writer.write(self._request())
            while True:
                async with asyncio.timeout_at(self._deadline):
                    data = await reader.read(READ_SIZE)
                if not data:
                    raise ConnectionError("closed by discovery")
                self._parser.feed_data(data)
                if self._event_lost and self._loop.time() - watcher.last_restart_at > RESTART_INTERVAL:
                    watcher.last_restart_at = self._loop.time()
                    raise ConnectionError("an event was lost in a malformed line")
        finally:
            writer.transport.abort()

    def _request(self) -> bytes:
        watcher = self._watcher
        since = "" if watcher.since_version is None else f"&since={watcher.since_version}"
        host = f"Host: {watcher.host}:{watcher.port}"
        return f"GET /v1/servers?follow=1{since} HTTP/1.1\r\n{host}\r\n\r\n".encode()

    def on_headers_complete(self) -> None:
        """Handle the head of the response."""
        status = self._parser.get_status_code()
        if status != HTTP_OK:
            # An overloaded discovery is not asked for the complete list, which would load it more.
            if status < HTTP_SERVER_ERROR and status != HTTP_TOO_MANY_REQUESTS:
                self._watcher.since_version = None  # it may be the version that is rejected
            raise ConnectionError(f"status {status}")
        self._extend_deadline()
        self._watcher.on_answered(self)

    def on_body(self, body: bytes) -> None:
        """Handle a chunk of the event stream, which may end anywhere in a line."""
        *lines, self._buffer = (self._buffer + body).split(b"\n")
        for line in lines:
            self._on_line(line.strip())
        if len(self._buffer) > MAX_LINE_LENGTH:
            raise ConnectionError("a line without an end")

    def on_message_complete(self) -> None:
        """Handle the end of the response, which discovery should not end."""
        raise ConnectionError("the watch was ended")

    def _extend_deadline(self) -> None:
        self._deadline = self._loop.time() + SILENCE_TIMEOUT

    def _on_line(self, line: bytes) -> None:
        self._extend_deadline()
        self.last_line_at = self._loop.time()
        seconds_since_contact = self._watcher.contact.renew(self.last_line_at)
        if not line:
            return
        try:
            event = parse_watch_event(json.loads(line))
            if event.update.complete and not event.update.endpoints:
                raise ValueError("an empty list: the last one is kept")  # discovery may have lost its state
        except (ValueError, RecursionError) as error:
            self._event_lost = True
            self._watcher.on_malformed_line(error)
        else:
            self.received_event = True
            update = replace(event.update, seconds_since_contact=seconds_since_contact)
            self._watcher.on_event(replace(event, update=update), resumable=not self._event_lost)


class _OutcomeLog:
    """Counts what became of requests and lines, and logs the counts from time to time."""

    __slots__ = ("_counts", "_logged_at")

    def __init__(self) -> None:
        self._counts = Counter[str]()  # since the last log line
        self._logged_at = 0.0  # seconds of the event loop's clock

    def count(self, outcome: str) -> None:
        """Count an outcome and log the counts if the last log line is long ago."""
        self._counts[outcome] += 1
        now = asyncio.get_running_loop().time()
        if now - self._logged_at > LOG_INTERVAL:
            counts = ", ".join(f"{name} {count}" for name, count in sorted(self._counts.items()))
            log.info("discovery watch: %s", counts)
            self._counts.clear()
            self._logged_at = now


class EndpointWatcher:
    """Follows discovery's watch; restarts it with back-off when it ends or falls silent.

    A request without an answer is not given up when the next one starts: an overloaded discovery answers in
    the order of arrival, and a client that leaves the queue would never get to its head. A half-open one
    answers only requests that start after its return. The first request that is answered becomes the watch.

    ``client_count`` limiters poll the same discovery.
    """

    def __init__(
        self,
        host: str,
        port: int,
        since_version: int | None,
        on_event: Callable[[WatchEvent], None],
        client_count: int = 1,
        rng: Random | None = None,
        answer_timeout: float = SILENCE_TIMEOUT,
        max_poll_interval: float = MAX_POLL_INTERVAL,
        contact: DiscoveryContact | None = None,
    ) -> None:
        """Prepare a watch from a version on or, without one, from the complete list.

        Time-out and interval are in seconds, the interval from the start of a request to that of the next.
        """
        self.host = host
        self.port = port
        self.since_version = since_version
        self.answer_timeout = answer_timeout
        self.contact = contact or DiscoveryContact()
        self.last_restart_at = -math.inf  # seconds of the event loop's clock: restart for a malformed line
        self._on_event = on_event
        self._client_count = client_count
        self._rng = rng or Random()
        self._max_poll_interval = max_poll_interval
        self._consecutive_failures = 0
        self._malformed_line_logged = False
        self._unanswered = list[_WatchRequest]()  # in the order of their start
        self._latest: _WatchRequest | None = None  # the one that started last, or the one that is answered
        self._first_answered: asyncio.Future[_WatchRequest] | None = None
        self._outcomes = _OutcomeLog()

    async def follow(self) -> None:
        """Follow the watch until cancelled."""
        loop = asyncio.get_running_loop()
        elapsed = 0.0
        try:
            while True:
                try:
                    request = await self._poll(elapsed)
                except Exception:
                    log.exception("following discovery failed")  # and has to go on
                    await asyncio.sleep(RECOVERY_DELAY)
                    continue
                lifetime = loop.time() - request.started_at
                if lifetime > MIN_WATCH_LIFETIME and request.received_event:
                    self._consecutive_failures = 0
                else:
                    self._consecutive_failures += 1
                elapsed = loop.time() - request.last_line_at
                self._outcomes.count("failed")
        finally:
            for unfinished in (*self._unanswered, self._latest):
                if unfinished is not None:
                    unfinished.task.cancel()

    async def _poll(self, elapsed: float) -> _WatchRequest:
        """Send a request after a delay, the first too, and return when it has failed or a watch has ended."""
        first_answered: asyncio.Future[_WatchRequest] = asyncio.get_running_loop().create_future()
        self._first_answered = first_answered
        delay = poll_delay(
            self._client_count,
            self._consecutive_failures,
            draw=self._rng.random(),
            max_interval=self._max_poll_interval,
            elapsed=elapsed,
        )
        await asyncio.wait([first_answered], timeout=delay)
        if not first_answered.done():
            request = self._latest = self._start_request()
            outcomes: tuple[asyncio.Future[Any], ...] = (first_answered, request.task)
            await asyncio.wait(outcomes, timeout=self.answer_timeout, return_when=asyncio.FIRST_COMPLETED)
            if not first_answered.done():
                if not request.task.done():
                    self.on_ended(f"no answer in {self.answer_timeout:.1f} s")
                return request
        watch = self._latest = first_answered.result()
        await asyncio.wait([watch.task])
        return watch

    def _start_request(self) -> _WatchRequest:
        self._unanswered = [request for request in self._unanswered if not request.task.done()]
        if len(self._unanswered) >= MAX_UNANSWERED_REQUESTS:
            # Not the oldest: it is nearest to the head of the queue.
            self._unanswered.pop(1).task.cancel()
        request = _WatchRequest(self)
        self._unanswered.append(request)
        return request

    def on_answered(self, answered: _WatchRequest) -> None:
        """Handle the head of a response: cancel the other requests."""
        if self._first_answered is None or self._first_answered.done():
            return
        self._first_answered.set_result(answered)
        for request in self._unanswered:
            if request is not answered:
                request.task.cancel()
        self._unanswered = []
        self._latest = answered  # also where ``follow`` ends before it runs again

    def on_ended(self, cause: str) -> None:
        """Log the end of a request or of the watch, once for consecutive failures."""
        if not self._consecutive_failures:
            log.warning("the watch on discovery ended: %s", cause)

    def on_malformed_line(self, error: Exception) -> None:
        """Count a malformed line, and log it once until a well-formed one comes."""
        if not self._malformed_line_logged:
            log.warning("dropped a malformed line of discovery: %s", error)
        self._malformed_line_logged = True
        self._outcomes.count("dropped")

    def on_event(self, event: WatchEvent, resumable: bool) -> None:
        """Deliver an event; the watch can resume from it if no event before it was lost."""
        if resumable:
            self.since_version = event.version
            self._malformed_line_logged = False
        self._consecutive_failures = 0
        self._outcomes.count("received")
        self._on_event(event)
