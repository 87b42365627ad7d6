"""What the rules of the judge have in common: a break, and what excuses a limiter."""

from __future__ import annotations

from dataclasses import dataclass

from soak.ledger import Ledger, Receipt

SOCKET_SLACK = 0.05  # seconds
HOLD_UP = 0.15  # seconds that a limiter may be held up between its clock and a write
PATH_AFTERMATH = 1.0  # seconds behind a trouble of the network in which it may still show
TOLD_BY = 6.0  # seconds after discovery had a change, whatever went wrong
TOLD_IN_QUIET = 0.2  # seconds, with nothing wrong
# Troubles and states of a limiter in which news may reach it later.
NEWS_TROUBLES = (
    "discovery_silent", "discovery_down", "discovery_pieces", "moving", "stopped", "away",
    "connect_fails", "socket_fails", "reads_fail", "short_transfers",
)  # fmt: skip


@dataclass(frozen=True, slots=True)
class Break:
    """A broken rule."""

    rule: str
    at: float
    text: str
    request_id: str = ""
    limiter: int = -1


def slack(ledger: Ledger, at: float) -> float:
    """Seconds by which a time may be off around a moment."""
    return SOCKET_SLACK + ledger.lag_around(at)


def is_held_back(ledger: Ledger, receipt: Receipt, until: float | None = None) -> bool:
    """Whether the network may have held the attempt, or until then the end of its connection."""
    end = receipt.complete_at if until is None else until
    begin = receipt.first_byte_at - PATH_AFTERMATH
    return any(
        span.kind == receipt.endpoint and span.start <= end and span.end >= begin for span in ledger.paths
    )


def told_by(ledger: Ledger, limiter: int, at: float) -> float:
    """When a limiter counts as told of a change; with any trouble around, at the latest moment."""
    if not ledger.is_touched(limiter, at - 0.5, at + TOLD_BY, *NEWS_TROUBLES):
        return at + TOLD_IN_QUIET
    spans = [span for span in ledger.spans if span.kind == "discovery_down" and span.limiter == limiter]
    back = max((span.end for span in spans if span.start <= at + TOLD_BY and span.end >= at), default=at)
    return max(at, back) + TOLD_BY + ledger.span_seconds("stopped", limiter, at, at + TOLD_BY)
