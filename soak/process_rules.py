"""Rules on processes: operators' commands, crashes, and the limiters' own counts."""

from __future__ import annotations

from collections.abc import Iterator

from soak.ledger import Ending, Ledger
from soak.verdict import Break, slack

REPLY_LIMIT = 1.0  # seconds
COUNT_SHARE = 0.01
COUNT_SLACK = 3


def operators(ledger: Ledger) -> Iterator[Break]:
    """An operator's command was answered late or not at all."""
    for reply in ledger.replies:
        stopped = ledger.span_seconds("stopped", reply.limiter, reply.sent_at, reply.received_at)
        waited = reply.received_at - reply.sent_at - stopped
        is_excused = ledger.is_touched(
            reply.limiter, reply.sent_at, reply.received_at, "kill", "away", "term"
        )
        late = waited > REPLY_LIMIT + slack(ledger, reply.received_at)
        is_disturbed = ledger.is_touched(reply.limiter, reply.sent_at, reply.received_at, "accept_fails")
        if (late or not reply.text) and not is_excused and not is_disturbed:
            text = f"{reply.command}: {reply.text or 'no reply'} after {waited:.3f} s"
            yield Break("operators", reply.received_at, text, limiter=reply.limiter)


def crashes(ledger: Ledger) -> Iterator[Break]:
    """A process ended without being told to, badly, or wrote of an error of its own."""
    for ended in ledger.exits:
        if not ended.expected or ended.code not in (0, -9):
            yield Break(
                "crash", ended.at, f"ended with {ended.code}: {ended.log[-600:]}", limiter=ended.limiter
            )
        for mark in ("Traceback", "invariant violated"):
            if mark in ended.log:
                start = ended.log.index(mark)
                text = f"its log: {ended.log[max(0, start - 200) : start + 1500]}"
                yield Break("own errors", ended.at, text, limiter=ended.limiter)


def counts(ledger: Ledger) -> Iterator[Break]:
    """A limiter's own counts are not what its clients saw, or show violations."""
    for limiter, metrics in ledger.metrics.items():
        for name, value in metrics.items():
            if name.startswith("app.violations.") and value:
                yield Break("own errors", 0.0, f"{name}={value}", limiter=limiter)
        requests = [each for each in ledger.requests.values() if each.limiter == limiter]
        served = sum(each.status == 200 for each in requests)
        unclear = sum(each.ending is not Ending.ANSWERED or each.status < 0 for each in requests)
        counted = sum(value for name, value in metrics.items() if name.endswith(".passed"))
        tolerance = max(COUNT_SLACK, COUNT_SHARE * served)
        if not served - tolerance <= counted <= served + unclear + tolerance:
            text = f"counts {counted} served, its clients {served}, and {unclear} without an answer"
            yield Break("counts", 0.0, text, limiter=limiter)
