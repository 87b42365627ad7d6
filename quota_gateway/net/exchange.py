"""One request on its way to one server, and what came of it."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from quota_gateway.model import CallStatus
from quota_gateway.net.body_stream import BodyStream

if TYPE_CHECKING:
    from quota_gateway.net.upstream_connection import _Connection


@dataclass(slots=True, eq=False)
class Exchange:
    """One request on its way to one server, and what came of it."""

    endpoint: str
    request_head: bytes
    request_body: bytes
    expires_at: float
    on_complete: Callable[[Exchange], None]
    on_response_started: Callable[[Exchange, BodyStream], bool] | None = (
        None  # takes a long answer, or says that nobody does
    )
    upload: BodyStream | None = None  # a long body; ``expires`` is known once it is whole
    timeout: float = math.inf  # and what the server is told until then
    started_at: float = 0.0
    request_written: bool = False
    completed: bool = False
    status: CallStatus = CallStatus.NOT_SENT
    elapsed: float = 0.0
    response_headers: bytes = b""
    response_body: bytes = b""
    load_report: dict[str, float] = field(default_factory=dict)
    charged_units: float | None = None  # the true units of the request
    is_health_check: bool = False
    is_client_connected: Callable[[], bool] | None = (
        None  # whether the client still waits; asked as it goes out
    )
    connection: _Connection | None = None
    timer: asyncio.TimerHandle | None = None
