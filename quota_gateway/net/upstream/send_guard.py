"""The check that each request passes before it is written to an endpoint."""

from __future__ import annotations

from quota_gateway.net.common.invariants import Invariant, InvariantMonitor
from quota_gateway.net.upstream.connection import UpstreamConnection
from quota_gateway.net.upstream.exchange import Exchange, describe_attempt


def find_send_violation(connection: UpstreamConnection, exchange: Exchange) -> Invariant | None:
    """Return the invariant that sending the exchange on the connection would break, None if there is none."""
    if exchange.completed or exchange.connection is not None:
        return Invariant.SENT_WHILE_OPEN
    if connection.exchange is not None:
        return Invariant.ONE_REQUEST_A_CONNECTION
    return None


def report_send_violation(
    monitor: InvariantMonitor, violated: Invariant, connection: UpstreamConnection, exchange: Exchange
) -> None:
    """Report that an exchange is not sent, with the attempt and its connection."""
    monitor.report(violated, f"{describe_attempt(0, exchange)}, to be sent on connection {connection.number}")
