"""Health checks as HTTP exchanges, with a load report if the endpoint sends one."""

from __future__ import annotations

from collections.abc import Callable

from quota_gateway.model import CallStatus, HealthChecked
from quota_gateway.net.upstream.exchange import Exchange
from quota_gateway.net.upstream.load_report import parse_load_report

HEALTH_CHECK_TIMEOUT_SECONDS = 0.25
HEALTH_PATH = b"/healthz"
LOAD_PATH = b"/load"  # its response is a load report; requesting it is also a health check


def new_health_check(
    *, endpoint: str, now: float, with_load: bool, on_complete: Callable[[Exchange], None]
) -> Exchange:
    """Return a health check that is to be started at ``now``, in seconds of the pool's clock."""
    path = LOAD_PATH if with_load else HEALTH_PATH
    return Exchange(
        endpoint=endpoint,
        request_head=b"GET %b HTTP/1.1\r\nHost: %b\r\n" % (path, endpoint.encode()),
        request_body=b"",
        expires_at=now + HEALTH_CHECK_TIMEOUT_SECONDS,
        on_complete=on_complete,
        is_health_check=True,
    )


def health_check_event(exchange: Exchange, *, with_load: bool) -> HealthChecked:
    """Return the event of a completed health check; a load report in a header overrides one in the body."""
    load = exchange.load_report
    if with_load and exchange.status is CallStatus.OK and not load:
        load = parse_load_report(exchange.response_body.decode("latin-1"))
    return HealthChecked(
        endpoint=exchange.endpoint, status=exchange.status, elapsed=exchange.elapsed, load_report=load
    )
