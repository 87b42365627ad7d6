"""The invariant check on each request before it is written to an endpoint."""

from __future__ import annotations

from quota_gateway.net.common.invariants import Invariant, InvariantMonitor
from quota_gateway.net.upstream.connection import UpstreamConnection
from quota_gateway.net.upstream.exchange import Exchange, describe_attempt


def find_send_violation(connection: UpstreamConnection, exchange: Exchange) -> Invariant | None:
    """Return the invariant that sending the exchange on the connection would violate, if any."""
    if exchange.completed or exchange.connection is not None:
        return Invariant.SENT_WHILE_OPEN
    if connection.exchange is not None:
        return Invariant.ONE_REQUEST_A_CONNECTION
    return None


def report_send_violation(
    monitor: InvariantMonitor, violated: Invariant, connection: UpstreamConnection, exchange: Exchange
) -> None:
    """Report a violation that keeps an exchange from being sent, with the attempt and the connection."""
    monitor.report(violated, f"{describe_attempt(0, exchange)}, to be sent on connection {connection.number}")
