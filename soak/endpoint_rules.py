"""Rules on endpoints: draining, suspended and cold ones."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from math import sqrt

from soak.ledger import ClientRequest, Ledger, Publication, Receipt, Suspension
from soak.settings import (
    DRAIN_GRACE,
    INITIAL_CAPACITY,
    OVERLOAD_MULTIPLE,
    OVERLOAD_WINDOW,
    WARM_UP_TIME,
)
from soak.verdict import HOLD_UP, Break, is_held_back, slack, told_by

SUSPENSION_LIMIT = 1.0  # seconds
TOLD_SHARE = 2 / 3  # of the load that brings a cold endpoint down, from limiters that knew of its start
FEW_CALLS = 30  # under which the budget of a server in slow start has more slack


def drained(ledger: Ledger) -> Iterator[Break]:
    """A request went to an endpoint after the grace behind the news that it drains."""
    drains = _spans_of_draining(ledger)
    for receipts in ledger.receipts.values():
        for receipt in receipts:
            request = ledger.requests.get(receipt.id)
            for publication, end in drains.get(receipt.endpoint, []):
                if request is None or not publication.at < receipt.first_byte_at < end:
                    continue
                told = told_by(ledger, request.limiter, publication.at)
                latest = told + DRAIN_GRACE + HOLD_UP + slack(ledger, receipt.first_byte_at)
                if receipt.first_byte_at > latest and not is_held_back(
                    ledger, receipt, receipt.first_byte_at
                ):
                    text = (
                        f"sent to {receipt.endpoint} {receipt.first_byte_at - told:.3f} s after it was told"
                    )
                    yield Break("drain", receipt.first_byte_at, text, receipt.id, request.limiter)


def _spans_of_draining(ledger: Ledger) -> dict[str, list[tuple[Publication, float]]]:
    spans = defaultdict[str, list[tuple[Publication, float]]](list)
    for number, publication in enumerate(ledger.publications):
        if publication.health == "ready":
            continue
        later = (
            each.at for each in ledger.publications[number + 1 :] if each.endpoint == publication.endpoint
        )
        spans[publication.endpoint].append((publication, next(later, float("inf"))))
    return spans


def suspended(ledger: Ledger) -> Iterator[Break]:
    """A request went to an endpoint that the limiter had said it took out."""
    accepted = [suspension for suspension in ledger.suspensions if suspension.accepted_at]
    for receipts in ledger.receipts.values():
        for receipt in receipts:
            request = ledger.requests.get(receipt.id)
            for suspension in accepted:
                if request is not None and _breaks(ledger, suspension, request, receipt):
                    age = receipt.first_byte_at - suspension.accepted_at
                    text = f"sent to {receipt.endpoint} {age:.3f} s after the yes to SUSPEND"
                    yield Break("drain", receipt.first_byte_at, text, receipt.id, request.limiter)


def _breaks(ledger: Ledger, suspension: Suspension, request: ClientRequest, receipt: Receipt) -> bool:
    if (suspension.limiter, suspension.endpoint) != (request.limiter, receipt.endpoint):
        return False
    begin = min(suspension.accepted_at, suspension.called_at + SUSPENSION_LIMIT) + DRAIN_GRACE
    end = suspension.restored_at or float("inf")
    at = receipt.first_byte_at
    is_late = begin + HOLD_UP + slack(ledger, at) < at < end
    return is_late and not is_held_back(ledger, receipt)


def overloaded(ledger: Ledger) -> Iterator[Break]:
    """A cold endpoint got more than its budget from all limiters together."""
    by_endpoint = defaultdict[str, list[Receipt]](list)
    for receipts in ledger.receipts.values():
        for receipt in receipts:
            by_endpoint[receipt.endpoint].append(receipt)
    capacity = _warm_rate(ledger, by_endpoint)
    for publication in ledger.publications:
        is_start = publication.incarnation > 0 and publication.health == "ready"
        if is_start and publication.at == _first_news(ledger, publication):
            received = [
                r for r in by_endpoint[publication.endpoint] if r.incarnation == publication.incarnation
            ]
            yield from _overload_of(ledger, publication, received, capacity)


def _first_news(ledger: Ledger, publication: Publication) -> float:
    return min(
        each.at
        for each in ledger.publications
        if (each.endpoint, each.incarnation) == (publication.endpoint, publication.incarnation)
    )


def _warm_rate(ledger: Ledger, by_endpoint: dict[str, list[Receipt]]) -> float:
    """Requests a second of an endpoint in the mean of the run: what it surely bears warm."""
    total = sum(len(receipts) for receipts in by_endpoint.values())
    moments = [receipt.complete_at for receipts in by_endpoint.values() for receipt in receipts]
    seconds = max(1.0, max(moments, default=1.0) - ledger.started_at)
    return total / seconds / max(1, len(by_endpoint))


def budget(capacity: float, age: float) -> float:
    """Calls that an endpoint may get within the overload window at ``age`` seconds after its start."""
    fraction = min(1.0, INITIAL_CAPACITY + (1 - INITIAL_CAPACITY) * age / WARM_UP_TIME)
    calls = OVERLOAD_MULTIPLE * capacity * fraction * OVERLOAD_WINDOW
    if calls < FEW_CALLS:
        return calls + 3 * sqrt(calls) + 3
    return calls + 2 * sqrt(calls) + 2


def _overload_of(
    ledger: Ledger, publication: Publication, received: list[Receipt], capacity: float
) -> Iterator[Break]:
    """The first fall, if over two thirds of what led to it came from limiters that had been told."""
    received = sorted(received, key=lambda receipt: receipt.complete_at)
    begin = 0
    for end, last in enumerate(received):
        while last.complete_at - received[begin].complete_at > OVERLOAD_WINDOW:
            begin += 1
        age = last.complete_at - publication.at
        allowed = budget(capacity, max(0.0, age))
        window = received[begin : end + 1]
        if age < WARM_UP_TIME and len(window) > allowed:
            told = sum(_was_told(ledger, publication, receipt) for receipt in window)
            if told > TOLD_SHARE * len(window):
                text = (
                    f"{publication.endpoint} got {len(window)} requests within {OVERLOAD_WINDOW:.0f} s, "
                    f"{told} from limiters told, {age:.2f} s after its start; {allowed:.1f} are allowed"
                )
                yield Break("failback", last.complete_at, text)
            return


def _was_told(ledger: Ledger, publication: Publication, receipt: Receipt) -> bool:
    request = ledger.requests.get(receipt.id)
    if request is None:
        return False
    return receipt.complete_at >= told_by(ledger, request.limiter, publication.at)
