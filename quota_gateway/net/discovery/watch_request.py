"""A watch request to discovery, and the event stream in its response."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from dataclasses import replace
from typing import Protocol, cast

import httptools

from quota_gateway.net.common.socket_calls import (
    PeerState,
    poll_peer,
    read_available,
    reports_data_age,
    seconds_since_last_data,
)
from quota_gateway.net.discovery.contact import DiscoveryContact
from quota_gateway.net.discovery.poll_timing import SILENCE_TIMEOUT_SECONDS
from quota_gateway.net.discovery.watch_event import WatchEvent, decode_watch_event

log = logging.getLogger(__name__)

# The time limit for the head of the response, which an overloaded discovery sends after those of earlier
# requests.
QUEUE_TIMEOUT_SECONDS = 60.0
MAX_LINE_BYTES = 4 * 1024 * 1024
STATUS_OK = 200
STATUS_TOO_MANY_REQUESTS = 429
MIN_SERVER_ERROR_STATUS = 500


class RequestOwner(Protocol):
    """Receives the events of a request; implemented by ``EndpointWatcher``."""

    host: str
    port: int
    since_version: int | None  # the version from which a watch resumes; None for the complete list
    contact: DiscoveryContact

    def on_response_started(self, request: WatchRequest) -> None:
        """Handle the head of a successful response: the request becomes the watch."""

    def on_version_rejected(self) -> None:
        """Handle a rejection of the request, whose cause may be the version."""

    def on_ended(self, cause: str) -> None:
        """Handle the end of the request or of its event stream."""

    def on_malformed_line(self, error: Exception) -> None:
        """Handle a malformed line, which was dropped."""

    def on_event(self, event: WatchEvent, *, resumable: bool) -> None:
        """Handle an event; ``resumable`` is false if an earlier line of the same watch was dropped."""

    def permit_restart(self, now: float) -> bool:
        """Whether the watch may restart because a malformed line was dropped."""


class WatchRequest(asyncio.Protocol):
    """A watch request to discovery, from connecting to the end of the event stream.

    The event loop calls the methods of ``asyncio.Protocol``, the response parser the ``on_`` methods.
    """

    def __init__(self, owner: RequestOwner, response_timeout: float) -> None:
        """Start the request; connecting may take ``response_timeout`` seconds."""
        self._owner = owner
        self._loop = asyncio.get_running_loop()
        self._buffer = b""  # an incomplete line
        self._event_lost = False  # whether a malformed line was dropped
        self.received_event = False
        self.started_at = self._loop.time()
        self.last_line_at = self.started_at
        self._deadline = self.started_at + response_timeout
        self._parser = httptools.HttpResponseParser(self)
        self._transport: asyncio.Transport | None = None
        self._is_parsing = False
        self._has_started = False  # whether the response has started: the request is the watch
        self._error: Exception | None = None  # why the request or its event stream has ended
        self._activity = asyncio.Event()  # set when data arrives and when the request ends
        self.task = self._loop.create_task(self._run())

    async def _run(self) -> None:
        try:
            await self._follow()
        except (OSError, httptools.HttpParserError) as error:  # TimeoutError is an OSError
            cause = error.__context__ if isinstance(error, httptools.HttpParserCallbackError) else error
            self._owner.on_ended(repr(cause))
        except Exception:
            log.exception("unexpected error in a watch request to discovery; sending a new one")

    async def _follow(self) -> None:
        """Connect, send the request, and raise the error with which the event stream ends."""
        async with asyncio.timeout_at(self._deadline):
            transport, _ = await self._loop.create_connection(
                lambda: self, self._owner.host, self._owner.port
            )
        self._deadline = self.started_at + QUEUE_TIMEOUT_SECONDS
        try:
            transport.write(self._request())
            await self._wait_for_end()
        finally:
            transport.abort()

    def _request(self) -> bytes:
        owner = self._owner
        since = "" if owner.since_version is None else f"&since={owner.since_version}"
        host = f"Host: {owner.host}:{owner.port}"
        return f"GET /v1/servers?follow=1{since} HTTP/1.1\r\n{host}\r\n\r\n".encode()

    async def _wait_for_end(self) -> None:
        """Raise the error with which the event stream ends, or TimeoutError if its next line is overdue."""
        while self._error is None:
            if self._loop.time() >= self._deadline:
                self.read_received()  # during a stall of this process lines arrive that are not overdue
                if self._error is None and self._loop.time() >= self._deadline:
                    raise TimeoutError
            self._activity.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout_at(self._deadline):
                    await self._activity.wait()
        raise self._error

    def _end(self, error: Exception) -> None:
        if self._error is None:
            self._error = error
            self._activity.set()

    def read_received(self) -> None:
        """Handle what the socket has received and the event loop has not read yet, without waiting."""
        transport = self._transport
        if transport is None or transport.is_closing() or self._is_parsing:
            return
        # The event loop is notified of an error or of the end of the stream, too.
        while self._error is None and (data := read_available(transport)):
            self.data_received(data)
        now = self._loop.time()
        is_open = self._has_started and poll_peer(transport) is PeerState.CONNECTED
        if is_open and self._error is None and now < self._deadline:
            self._owner.contact.confirm(now)

    # Methods of asyncio.Protocol.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = cast(asyncio.Transport, transport)  # uvloop's transports are not subclasses

    def data_received(self, data: bytes) -> None:
        """Parse a part of the response; the request ends with the first error."""
        if self._error is not None:
            return
        self._activity.set()  # the data may change the deadline
        self._is_parsing = True
        try:
            self._parser.feed_data(data)
            self._restart_if_event_lost()
        except Exception as error:  # noqa: BLE001 - raised again by ``_wait_for_end``
            self._end(error)
        finally:
            self._is_parsing = False

    def connection_lost(self, exc: Exception | None) -> None:
        """End the request."""
        self._transport = None
        self._end(exc or ConnectionError("discovery closed the connection"))

    def _restart_if_event_lost(self) -> None:
        """End the watch if a malformed line was dropped: no later line repeats the changes in it."""
        if self._event_lost and self._owner.permit_restart(self._loop.time()):
            raise ConnectionError("the changes in a malformed line are missing")

    # Callbacks of httptools. It wraps the errors that they raise, and ``_run`` unwraps them.

    def on_headers_complete(self) -> None:
        """Handle the head of the response."""
        status = self._parser.get_status_code()
        if status != STATUS_OK:
            # If discovery is overloaded, the version stays valid: the complete list would increase the load.
            if status < MIN_SERVER_ERROR_STATUS and status != STATUS_TOO_MANY_REQUESTS:
                self._owner.on_version_rejected()
            raise ConnectionError(f"discovery responded with status {status}")
        self._extend_deadline(self._loop.time())
        self._has_started = True
        self._owner.on_response_started(self)

    def on_body(self, body: bytes) -> None:
        """Handle a part of the event stream, which may end within a line."""
        *lines, self._buffer = (self._buffer + body).split(b"\n")
        for line in lines:
            self._on_line(line.strip())
        if len(self._buffer) > MAX_LINE_BYTES:
            raise ConnectionError(f"a line from discovery exceeds {MAX_LINE_BYTES} bytes")

    def on_message_complete(self) -> None:
        """Handle the end of the response: discovery does not end a watch in normal operation."""
        raise ConnectionError("discovery ended the response")

    def _seconds_since_arrival(self) -> float:
        """Return the age of the last data in seconds, which is above 0 after a stall; 0 if it is unknown."""
        if self._transport is None or not reports_data_age(self._transport):
            return 0.0
        return seconds_since_last_data(self._transport) or 0.0

    def _extend_deadline(self, last_line_at: float) -> None:
        self._deadline = last_line_at + SILENCE_TIMEOUT_SECONDS

    def _on_line(self, line: bytes) -> None:
        now = self._loop.time()
        self.last_line_at = max(self.last_line_at, now - self._seconds_since_arrival())
        self._extend_deadline(self.last_line_at)
        seconds_since_contact = self._owner.contact.record_line(now, self.last_line_at)
        if not line:  # a heartbeat
            return
        try:
            event = decode_watch_event(line)
        except (ValueError, RecursionError) as error:
            self._event_lost = True
            self._owner.on_malformed_line(error)
        else:
            self.received_event = True
            update = replace(event.update, seconds_since_contact=seconds_since_contact)
            self._owner.on_event(replace(event, update=update), resumable=not self._event_lost)
