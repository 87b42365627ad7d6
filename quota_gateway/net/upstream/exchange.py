"""Exchange: one request on its way to one endpoint, and what came of it."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from quota_gateway.model import CallStatus
from quota_gateway.net.common.body_stream import BodyStream


class ExchangeConnection(Protocol):
    """The connection that carries an exchange."""

    exchange: Exchange | None

    def abort(self) -> None:
        """Close at once; nothing more is written or read."""


@dataclass(slots=True, eq=False)
class Exchange:
    """One attempt at a request; ``on_complete`` is called exactly once, with ``status`` set."""

    endpoint: str
    request_head: bytes  # request line and headers, up to the time-out header that is added when it is sent
    request_body: bytes
    expires_at: float  # seconds, by the pool's clock
    on_complete: Callable[[Exchange], None]
    # Takes a streamed response from its head on; returns False if nobody wants it any more.
    on_response_started: Callable[[Exchange, BodyStream], bool] | None = None
    upload: BodyStream | None = None  # a streamed request body; ``expires_at`` is known once it is complete
    timeout: float = math.inf  # seconds; the most that the endpoint is told it has
    not_after: float = math.inf  # when it may be written at the latest, in seconds by the pool's clock
    started_at: float = 0.0  # seconds, by the pool's clock
    request_written: bool = False  # completely: from then on the endpoint may execute it
    completed: bool = False
    status: CallStatus = CallStatus.NOT_SENT
    elapsed: float = 0.0  # seconds from ``started_at``
    response_headers: bytes = b""  # header lines to forward, each ending in CRLF
    response_body: bytes = b""
    load_report: dict[str, float] = field(default_factory=dict)
    charged_units: float | None = None  # quota units that the endpoint charged for the request
    is_health_check: bool = False
    endpoint_started_at: float = 0.0  # which incarnation of the endpoint it was sent to, by its start time
    connection_number: int = 0  # of the connection that carried it, from 1; 0: none did
    on_reused_connection: bool = False
    # Whether the client is still connected, asked just before the request is written.
    is_client_connected: Callable[[], bool] | None = None
    connection: ExchangeConnection | None = None  # set while a connection carries it
    timer: asyncio.TimerHandle | None = None  # fires at ``expires_at``

    def has_lost_client(self) -> bool:
        """Poll whether the client has left; false where there is no client, as for a health check.

        A client that may have left has its unsent exchanges withdrawn, this one included.
        """
        return self.is_client_connected is not None and not self.is_client_connected()

    def may_be_executing(self) -> bool:
        """Whether the endpoint may be executing it, so that a time-out says something of the endpoint.

        Not while it waits for a connection, nor while its upload is incomplete.
        """
        upload_incomplete = self.upload is not None and not self.request_written
        return self.connection is not None and not upload_incomplete


def describe_attempt(number: int, attempt: Exchange) -> str:
    """One attempt: its endpoint and that one's incarnation, its connection, how and when it ended."""
    connection = "no connection"
    if attempt.connection_number:
        kind = "reused" if attempt.on_reused_connection else "new"
        connection = f"{kind} connection {attempt.connection_number}"
    written = "written" if attempt.request_written else "not written"
    ending = attempt.status.value if attempt.completed else "out"
    endpoint = f"{attempt.endpoint} (started {attempt.endpoint_started_at:.3f})"
    ended = f"{ending} after {attempt.elapsed:.3f} s"
    return f"attempt {number} at {endpoint} on {connection}, {written}, {ended}"
