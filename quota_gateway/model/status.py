"""How an attempt, a health check or a call to the counter ended, and what each status proves."""

from __future__ import annotations

from enum import Enum


class CallStatus(Enum):
    """How one call to a peer (an endpoint or the counter) ended."""

    OK = "ok"
    ERROR = "error"
    OVERLOADED = "overloaded"  # the peer rejected the call for lack of capacity: not executed
    TIMEOUT = "timeout"  # no response in time: possibly executed
    UNREACHABLE = "unreachable"  # the connection was refused or timed out: not executed
    RESET_BEFORE_REQUEST = "reset before request"  # connection lost before all was written: not executed
    RESET_AFTER_REQUEST = "reset after request"  # connection lost later: possibly executed or counted
    MALFORMED = "malformed"  # the counter's reply cannot be parsed: possibly counted
    CANCELLED = "cancelled"
    NOT_SENT = "not sent"  # not executed
    REJECTED = "rejected"  # a client error (4xx): other endpoints would respond alike


# These are tuples because a search by identity is faster than the hash of an enum member.
# The endpoint responded, successfully or not.
RESPONSES = (CallStatus.OK, CallStatus.ERROR, CallStatus.OVERLOADED, CallStatus.REJECTED)
# The request was surely not executed, so that a repeat is no second execution.
PROVES_NOT_EXECUTED = (
    CallStatus.OVERLOADED,
    CallStatus.UNREACHABLE,
    CallStatus.RESET_BEFORE_REQUEST,
    CallStatus.NOT_SENT,
)
# The connection failed or was lost.
CONNECTION_LOST = (
    CallStatus.UNREACHABLE,
    CallStatus.RESET_BEFORE_REQUEST,
    CallStatus.RESET_AFTER_REQUEST,
)
# The status shows no sign of life of the endpoint.
NO_SIGN_OF_LIFE = (CallStatus.TIMEOUT, CallStatus.CANCELLED, CallStatus.UNREACHABLE)
# The status does not show whether the endpoint fails.
NO_EVIDENCE = (CallStatus.CANCELLED, CallStatus.NOT_SENT, CallStatus.OVERLOADED, CallStatus.REJECTED)
# The counter replied, successfully or not.
COUNTER_REPLIES = (CallStatus.OK, CallStatus.OVERLOADED, CallStatus.MALFORMED)
# The endpoint has not started to execute the request.
NEVER_STARTED = (CallStatus.UNREACHABLE, CallStatus.RESET_BEFORE_REQUEST)
# The counter may have added the amount of the call.
MAY_BE_COUNTED = (
    CallStatus.OK,
    CallStatus.TIMEOUT,
    CallStatus.RESET_AFTER_REQUEST,
    CallStatus.MALFORMED,
)
