"""Rules on requests and their attempts, and on clients."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from itertools import pairwise

from soak.ledger import ClientRequest, Ending, Ledger, Receipt
from soak.settings import CEILING_BURST, CEILING_RATE, DEDUPLICATION_WINDOW
from soak.verdict import HOLD_UP, Break, is_held_back, slack

ANSWER_SLACK = 0.5  # seconds behind its time in which an answer still counts
LEAVE_GRACE = 0.1  # seconds after its client's close in which an attempt may begin
DEADLINE_SLACK = 0.15  # seconds
BAD_CLIENT_LIMIT = 3.0  # seconds
SCAN_SLACK = 0.25  # seconds
CEILING_SLACK = 0.1


def _of(ledger: Ledger, request: ClientRequest) -> list[Receipt]:
    return ledger.receipts.get(request.id, [])


def lost(ledger: Ledger) -> Iterator[Break]:
    """A request that was taken has no answer, or one too late."""
    for request in ledger.requests.values():
        if not request.sent_at or request.behaviour == "stall":
            continue
        latest = request.sent_at + request.timeout + ANSWER_SLACK
        if request.ending is Ending.ANSWERED:
            stopped = ledger.span_seconds("stopped", request.limiter, request.sent_at, request.ended_at)
            stopped += ledger.span_seconds("away", request.limiter, request.sent_at, request.ended_at)
            late = request.ended_at - latest - stopped - slack(ledger, request.ended_at)
            if late > 0 and request.behaviour not in ("pipeline", "upload") and not _is_long(request):
                text = f"answered {request.status}, {late:.3f} s too late"
                yield Break("lost", request.ended_at, text, request.id, request.limiter)
        elif request.ending in (Ending.CLOSED, Ending.NO_ANSWER) and not _is_excused(ledger, request):
            yield Break("lost", request.ended_at, request.ending.value, request.id, request.limiter)


def _is_long(request: ClientRequest) -> bool:
    return len(request.body) > 64 * 1024


def _is_excused(ledger: Ledger, request: ClientRequest) -> bool:
    """Its process was killed or stood still, none ran that could take it, or its connection broke."""
    limiter = request.limiter
    if request.ending is Ending.NO_ANSWER:
        stopped = ledger.span_seconds("stopped", limiter, request.sent_at, request.ended_at)
        if request.ended_at - stopped < request.sent_at + request.timeout + ANSWER_SLACK:
            return True
    kinds = ("kill", "away") + (("reads_fail",) if request.ending is Ending.CLOSED else ())
    return ledger.is_touched(limiter, request.sent_at - 0.1, request.ended_at, *kinds)


def spoilt(ledger: Ledger) -> Iterator[Break]:
    """A whole answer of 200 that no endpoint gave for this request, or only a part of it."""
    for request in ledger.requests.values():
        if request.ending is not Ending.ANSWERED or request.status != 200:
            continue
        if request.body not in [receipt.answer for receipt in _of(ledger, request)]:
            text = f"200 with a body that no endpoint gave: {request.body[:60]!r}"
            yield Break("lost", request.ended_at, text, request.id, request.limiter)


def duplicates(ledger: Ledger) -> Iterator[Break]:
    """A request ran again where it must not, or two attempts of it were out together."""
    for request_id, receipts in ledger.receipts.items():
        request = ledger.requests.get(request_id)
        if request is None:
            yield Break("duplicate", receipts[0].complete_at, "a request that no client sent", request_id)
            continue
        executed = sorted((r for r in receipts if r.executed), key=lambda r: r.complete_at)
        for first, second in pairwise(executed):
            text = _duplicate(ledger, request, executed[0], first, second)
            if text:
                yield Break("duplicate", second.complete_at, text, request_id, request.limiter)


def _duplicate(
    ledger: Ledger, request: ClientRequest, origin: Receipt, first: Receipt, second: Receipt
) -> str:
    if request.resent and ledger.is_touched(request.limiter, first.first_byte_at, second.complete_at, "kill"):
        return ""  # its client cannot tell a kill from a close that crossed it, and sent it again itself
    if request.request_class == "post":
        return "an unsafe request ran twice"
    allowed = slack(ledger, second.complete_at)
    age = second.complete_at - origin.complete_at
    is_late = age > DEDUPLICATION_WINDOW + allowed
    if request.request_class == "keyed" and is_late and not is_held_back(ledger, second):
        return f"a keyed request was repeated after {age:.3f} s"
    overlap = (first.ended_at or second.ended_at or second.complete_at) - second.complete_at
    if overlap > allowed and not is_held_back(ledger, first, second.complete_at):
        return f"two attempts were out together for {overlap:.3f} s"
    return ""


def gone_clients(ledger: Ledger) -> Iterator[Break]:
    """An attempt began for a client that had gone."""
    for request in ledger.requests.values():
        if request.ending is not Ending.LEFT:
            continue
        for receipt in _of(ledger, request):
            began = receipt.first_byte_at - request.ended_at
            is_late = began > LEAVE_GRACE + slack(ledger, receipt.first_byte_at)
            if is_late and not is_held_back(ledger, receipt):
                text = f"an attempt began {began:.3f} s after the client had closed"
                yield Break("lost", receipt.first_byte_at, text, request.id, request.limiter)


def deadlines(ledger: Ledger) -> Iterator[Break]:
    """An endpoint was told more time than the client has left."""
    for request in ledger.requests.values():
        if request.behaviour == "upload" or not request.sent_at:
            continue
        for receipt in _of(ledger, request):
            if is_held_back(ledger, receipt):
                continue
            left = request.sent_at + request.timeout - receipt.first_byte_at
            excess = receipt.told_timeout - left - DEADLINE_SLACK - slack(ledger, receipt.first_byte_at)
            if receipt.told_timeout and excess > 0:
                text = f"told {receipt.told_timeout:.3f} s, {left:.3f} s were left"
                yield Break("deadline", receipt.first_byte_at, text, request.id, request.limiter)


def ceilings(ledger: Ledger) -> Iterator[Break]:
    """A customer got more than the hard ceiling over all limiters."""
    first_sends = defaultdict[int, list[tuple[float, ClientRequest]]](list)
    for request in ledger.requests.values():
        receipts = _of(ledger, request)
        if request.plan == "capped" and receipts:
            first_sends[request.account].append((min(r.complete_at for r in receipts), request))
    tolerance = max(1.0, CEILING_SLACK * CEILING_BURST) + CEILING_RATE * HOLD_UP
    for account, sends in first_sends.items():
        sends.sort(key=lambda send: send[0])
        level = CEILING_BURST
        last = ledger.started_at
        for at, request in sends:
            level = min(CEILING_BURST, level + CEILING_RATE * (at - last)) - 1
            last = at
            if level < -tolerance:
                text = f"account {account:x} is {-level:.1f} units below its ceiling"
                yield Break("ceiling", at, text, request.id, request.limiter)
                break


def bad_clients(ledger: Ledger) -> Iterator[Break]:
    """A client that stopped in the middle of a request got no error and no close in its time."""
    for client in ledger.bad_clients:
        waited = (client.ended_at or float("inf")) - client.stopped_at
        allowed = BAD_CLIENT_LIMIT + SCAN_SLACK + slack(ledger, client.stopped_at + BAD_CLIENT_LIMIT)
        allowed += ledger.span_seconds(
            "stopped", client.limiter, client.stopped_at, client.stopped_at + BAD_CLIENT_LIMIT
        )
        is_excused = ledger.is_touched(
            client.limiter, client.stopped_at - 0.1, client.stopped_at + allowed, "away"
        )
        if waited > allowed and not is_excused:
            text = f"a client that stopped in its {client.kind} waited {waited:.2f} s for an error or a close"
            yield Break("bad clients", client.stopped_at + BAD_CLIENT_LIMIT, text, limiter=client.limiter)
