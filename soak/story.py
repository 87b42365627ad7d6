"""What is printed of a broken rule: the moment, and its request's story from all sides."""

from __future__ import annotations

from soak.ledger import ClientRequest, Ledger, Receipt
from soak.verdict import Break

NOTE_WINDOW = 3.0  # seconds around the moment, of which the runner's notes are shown
LOG_MENTIONS = 8  # lines of the limiters' logs that name the request


def tell(ledger: Ledger, broken: Break) -> str:
    """The whole story as lines."""
    moment = broken.at - ledger.started_at if broken.at else 0.0
    whom = f", limiter {broken.limiter}" if broken.limiter >= 0 else ""
    lines = [f"BROKEN {broken.rule} at {moment:.3f} s{whom}: {broken.text}"]
    request = ledger.requests.get(broken.request_id)
    if request is not None:
        lines.append(_client_side(ledger, request))
    for receipt in ledger.receipts.get(broken.request_id, []):
        lines.append(_endpoint_side(ledger, receipt))
    lines += _log_lines(ledger, broken)
    lines += [
        f"  runner {at - ledger.started_at:7.3f}: {text}"
        for at, text in ledger.notes
        if broken.at and abs(at - broken.at) < NOTE_WINDOW
    ]
    return "\n".join(lines)


def _client_side(ledger: Ledger, request: ClientRequest) -> str:
    begun = ledger.started_at
    connection = "new" if request.on_new_connection else "kept"
    again = " again" if request.resent else ""
    return (
        f"  client: {request.id} {request.request_class} plan {request.plan} timeout {request.timeout} s, "
        f"{request.behaviour}, sent {request.sent_at - begun:.3f} on a {connection} connection{again}; "
        f"{request.ending.value} {request.status} at {request.ended_at - begun:.3f}"
    )


def _endpoint_side(ledger: Ledger, receipt: Receipt) -> str:
    begun = ledger.started_at
    ending = "executed" if receipt.executed else "turned away"
    return (
        f"  {receipt.endpoint} (incarnation {receipt.incarnation}) connection {receipt.connection}: "
        f"first byte {receipt.first_byte_at - begun:.3f}, complete {receipt.complete_at - begun:.3f}, "
        f"told {receipt.told_timeout} s, {ending}, over {receipt.ended_at - begun:.3f}"
    )


def _log_lines(ledger: Ledger, broken: Break) -> list[str]:
    if not broken.request_id:
        return []
    mentions = [
        f"  limiter {ended.limiter}: {line}"
        for ended in ledger.exits
        for line in ended.log.splitlines()
        if broken.request_id in line
    ]
    return mentions[:LOG_MENTIONS]
