"""How an attempt, a health check or a call to the counter ended, and what each status proves."""

from __future__ import annotations

from enum import Enum


class CallStatus(Enum):
    """How one call to a peer (an endpoint or the counter) ended."""

    OK = "ok"
    ERROR = "error"
    OVERLOADED = "overloaded"  # the peer has no capacity, or no connection to it is free: not executed
    TIMEOUT = "timeout"  # no response in time: possibly executed
    UNREACHABLE = "unreachable"  # the connection was refused or timed out: not executed
    # The connection was lost before the whole request was written: not executed.
    RESET_BEFORE_REQUEST = "reset before request"
    # The connection was lost after the whole request was written: possibly executed or counted.
    RESET_AFTER_REQUEST = "reset after request"
    MALFORMED = "malformed"  # the counter's reply cannot be parsed: possibly counted
    CANCELLED = "cancelled"
    NOT_SENT = "not sent"  # not executed
    REJECTED = "rejected"  # a client error (4xx): other endpoints would return the same


# Groups of statuses. They are tuples because a search by identity is faster than the hash of an enum member.

# The endpoint responded, successfully or not.
RESPONSES = (CallStatus.OK, CallStatus.ERROR, CallStatus.OVERLOADED, CallStatus.REJECTED)
# The request was certainly not executed, so a repeat cannot be a second execution.
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
# The status says nothing about the endpoint's health and does not count in its failure rate.
NO_EVIDENCE = (CallStatus.CANCELLED, CallStatus.NOT_SENT, CallStatus.OVERLOADED, CallStatus.REJECTED)
# The counter is available: it replied with a total, with ``busy`` or with a malformed line. The reply
# ``error`` counts like a missing reply.
COUNTER_REPLIES = (CallStatus.OK, CallStatus.OVERLOADED, CallStatus.MALFORMED)
# The endpoint has not started to execute the request.
NEVER_STARTED = (CallStatus.UNREACHABLE, CallStatus.RESET_BEFORE_REQUEST)
# The counter has added the amount of the call, or may have added it.
MAY_BE_COUNTED = (
    CallStatus.OK,
    CallStatus.TIMEOUT,
    CallStatus.RESET_AFTER_REQUEST,
    CallStatus.MALFORMED,
)
