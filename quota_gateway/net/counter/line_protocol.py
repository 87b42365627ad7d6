"""Line protocol of the shared counter: one reply line for each request line, in the same order."""

from __future__ import annotations

import re
from typing import NamedTuple

from quota_gateway.model import CallStatus

PING_REQUEST = b"ping\r\n"
# The lifetimes that the counter accepts.
MIN_LIFETIME_MILLISECONDS = 1
MAX_LIFETIME_MILLISECONDS = 60_000
MAX_REPLY_BYTES = 64
TOTAL_REPLY = re.compile(rb"ok ([+-]?[0-9]{1,20}(?:\.[0-9]{0,20})?(?:[eE][+-]?[0-9]{1,2})?)")
PARTIAL_TOTAL_REPLY = re.compile(rb"ok [-+.0-9eE]*\r?")


class CallResult(NamedTuple):
    """The status of a completed call, and the counter's total after it; 0.0 if no total was received."""

    status: CallStatus
    total: float = 0.0


WORD_REPLIES = {
    b"busy": CallResult(CallStatus.OVERLOADED),
    b"error": CallResult(CallStatus.ERROR),
    b"pong": CallResult(CallStatus.OK),
}


def increment_request(counter_id: int, amount: float, lifetime: float) -> bytes:
    """Return the request line that adds ``amount`` to a counter, for ``lifetime`` seconds."""
    milliseconds = round(lifetime * 1000)
    milliseconds = max(MIN_LIFETIME_MILLISECONDS, min(MAX_LIFETIME_MILLISECONDS, milliseconds))
    return b"tally %d %.6f %d\r\n" % (counter_id, amount, milliseconds)


def parse_reply(line: bytes) -> CallResult | None:
    """Parse a reply line without its line end; return None if it is malformed."""
    total_reply = TOTAL_REPLY.fullmatch(line)
    if total_reply is not None:
        return CallResult(CallStatus.OK, float(total_reply[1]))
    return WORD_REPLIES.get(line)


def is_reply_prefix(text: bytes) -> bool:
    """Whether a reply line can begin with ``text``, which contains no line end."""
    if len(text) > MAX_REPLY_BYTES:
        return False
    start = text.rstrip(b"\r")
    if any(reply.startswith(start) for reply in (b"ok ", *WORD_REPLIES)):
        return True
    return PARTIAL_TOTAL_REPLY.fullmatch(text) is not None
