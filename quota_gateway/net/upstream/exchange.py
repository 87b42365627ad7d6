"""Exchange: one request to one endpoint, and its result."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from quota_gateway.model import CallStatus
from quota_gateway.net.common.body_stream import BodyStream

Clock = Callable[[], float]  # seconds


class ExchangeConnection(Protocol):
    """The connection that carries an exchange."""

    @property
    def has_partial_head(self) -> bool:
        """Whether the head of the response has been received in part."""

    def stream_expired_response(self) -> bool:
        """Stream the response if its head is complete and it may be long; return whether that was done."""

    def abandon_exchange(self) -> None:
        """Detach the exchange and close the connection at once."""


class ExchangeEvents(Protocol):
    """Receives the progress and the end of exchanges."""

    def record_request_written(self, exchange: Exchange) -> None:
        """The request of an exchange is written completely."""

    def complete(self, exchange: Exchange, status: CallStatus) -> None:
        """An exchange has ended."""


@dataclass(slots=True, eq=False)
class Exchange:
    """One attempt of a request, or a health check.

    ``on_complete`` is called exactly once, with ``status`` set.

    At most one connection at a time carries the exchange, and none once it is ``completed``. The pool and the
    connection change it only through its methods.
    """

    endpoint: str
    request_head: bytes  # request line and headers; the pool adds the timeout header when it sends them
    request_body: bytes
    expires_at: float  # seconds, by the pool's clock
    on_complete: Callable[[Exchange], None]
    # Called with a streamed response once its head is known; returns False if its client has disconnected.
    on_response_started: Callable[[Exchange, BodyStream], bool] | None = None
    upload: BodyStream | None = None  # a streamed request body; ``expires_at`` is set once it is complete
    timeout: float = math.inf  # seconds; limit of the timeout that is propagated to the endpoint
    not_after: float = math.inf  # latest time to write the request, in seconds by the pool's clock
    started_at: float = 0.0  # seconds, by the pool's clock
    request_written: bool = False  # completely written, so the endpoint may execute it
    completed: bool = False
    status: CallStatus = CallStatus.NOT_SENT
    elapsed: float = 0.0  # seconds from ``started_at``
    response_headers: bytes = b""  # header lines to forward, each ending in CRLF
    response_body: bytes = b""
    load_report: dict[str, float] = field(default_factory=dict)
    charged_units: float | None = None  # quota units that the endpoint charged for the request
    is_health_check: bool = False
    endpoint_started_at: float = 0.0  # start time of the incarnation that the request was sent to
    connection_number: int = 0  # number of the connection that carried the exchange, from 1; 0 if none
    on_reused_connection: bool = False
    # Called just before the request is written; returns whether an attempt may begin for the client. None for
    # a health check, which has no client.
    may_begin_attempt: Callable[[], bool] | None = None
    # Called when the request is written completely: the endpoint may execute it from now on.
    on_written: Callable[[], None] | None = None
    connection: ExchangeConnection | None = None  # the connection that carries the exchange
    expiry_timer: asyncio.TimerHandle | None = None  # fires at ``expires_at``

    def start(self, now: float, on_expired: Callable[[Exchange], None]) -> None:
        """Begin at ``now``, and call ``on_expired`` at ``expires_at`` unless the exchange completes before.

        No timer is started if the exchange has expired already, or if its expiry is not set yet (infinite).
        """
        self.started_at = now
        remaining = self.expires_at - now
        if 0 < remaining < math.inf:
            self._start_timer(remaining, on_expired)

    def reset_start_time(self, now: float) -> None:
        """Measure the elapsed time from ``now``, when a streamed upload has been written completely."""
        self.started_at = now

    def set_expiry(self, now: float, at: float, on_expired: Callable[[Exchange], None]) -> None:
        """Have the exchange, whose upload has arrived, expire at ``at``, which replaces an earlier time."""
        self.expires_at = at
        self._start_timer(max(0.0, at - now), on_expired)

    def _start_timer(self, delay: float, on_expired: Callable[[Exchange], None]) -> None:
        if self.expiry_timer is not None:
            self.expiry_timer.cancel()
        self.expiry_timer = asyncio.get_running_loop().call_later(delay, on_expired, self)

    def assign_connection(
        self, connection: ExchangeConnection, number: int, *, reused: bool, endpoint_started_at: float
    ) -> None:
        """Record that a connection carries the exchange from now on."""
        self.connection = connection
        self.connection_number = number
        self.on_reused_connection = reused
        self.endpoint_started_at = endpoint_started_at

    def release_connection(self) -> None:
        """Record that no connection carries the exchange any more."""
        self.connection = None

    def record_request_written(self) -> None:
        """Mark the request as written completely: from now on the endpoint may execute it."""
        self.request_written = True

    def record_response(
        self,
        headers: bytes,
        body: bytes,
        charged_units: float | None,
        load_report: dict[str, float] | None,
    ) -> None:
        """Store the response, and record that no connection carries the exchange any more.

        ``body`` is empty if it is streamed; ``load_report`` is None if the response has none.
        """
        self.connection = None
        self.response_headers = headers
        self.response_body = body
        self.charged_units = charged_units
        if load_report is not None:
            self.load_report = load_report

    def complete(self, status: CallStatus, now: float) -> None:
        """End the exchange with ``status`` at ``now`` and call ``on_complete``."""
        self.completed = True
        self.status = status
        self.elapsed = now - self.started_at
        if self.expiry_timer is not None:
            self.expiry_timer.cancel()
        if self.upload is not None:
            self.upload.detach()
        self.on_complete(self)

    def has_lost_client(self) -> bool:
        """Whether no attempt may begin, because the client may have disconnected; False for a health check.

        This may poll the client's socket. If the client may have disconnected, its unsent exchanges are
        withdrawn, which may include this one.
        """
        return self.may_begin_attempt is not None and not self.may_begin_attempt()

    def may_be_executing(self) -> bool:
        """Whether the endpoint may be executing the request, so a timeout counts against the endpoint.

        False while the exchange waits for a connection or its upload is incomplete.
        """
        upload_incomplete = self.upload is not None and not self.request_written
        return self.connection is not None and not upload_incomplete


def describe_attempt(number: int, attempt: Exchange) -> str:
    """Describe an attempt: its endpoint and incarnation, its connection, how and when it ended."""
    connection = "no connection"
    if attempt.connection_number:
        kind = "reused" if attempt.on_reused_connection else "new"
        connection = f"{kind} connection {attempt.connection_number}"
    written = "written" if attempt.request_written else "not written"
    ending = attempt.status.value if attempt.completed else "in flight"
    endpoint = f"{attempt.endpoint} (started {attempt.endpoint_started_at:.3f})"
    ended = f"{ending} after {attempt.elapsed:.3f} s"
    return f"attempt {number} at {endpoint} on {connection}, {written}, {ended}"
