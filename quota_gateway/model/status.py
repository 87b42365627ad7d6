"""How an attempt, a health check or a call to the counter ended, and what each ending proves."""

from __future__ import annotations

from enum import Enum


class CallStatus(Enum):
    """The ending of one call to a peer."""

    OK = "ok"
    ERROR = "error"
    OVERLOADED = "overloaded"  # the peer turned the call down for want of capacity: it never ran
    TIMEOUT = "timeout"  # no answer in time: it may have run
    UNREACHABLE = "unreachable"  # no connection: refused, or it never came up
    RESET_BEFORE_REQUEST = "reset before request"  # the connection broke before all was written: it never ran
    RESET_AFTER_REQUEST = "reset after request"  # the connection broke later: it may have run or been counted
    MALFORMED = "malformed"  # the counter's answer cannot be read: it was counted, or may have been
    CANCELLED = "cancelled"
    NOT_SENT = "not sent"
    REJECTED = "rejected"  # a client error (4xx): no other endpoint would take the request either


# Tuples, since membership by identity is decided faster than by the hash of a member.
# The peer answered, well or badly.
RESPONSES = (CallStatus.OK, CallStatus.ERROR, CallStatus.OVERLOADED, CallStatus.REJECTED)
# The request surely never ran, so that a repeat is no second execution.
PROVES_NOT_EXECUTED = (
    CallStatus.OVERLOADED,
    CallStatus.UNREACHABLE,
    CallStatus.RESET_BEFORE_REQUEST,
    CallStatus.NOT_SENT,
)
# The connection failed or broke.
CONNECTION_LOST = (
    CallStatus.UNREACHABLE,
    CallStatus.RESET_BEFORE_REQUEST,
    CallStatus.RESET_AFTER_REQUEST,
)
# No sign of life of an endpoint that has been silent.
NO_SIGN_OF_LIFE = (CallStatus.TIMEOUT, CallStatus.CANCELLED, CallStatus.UNREACHABLE)
# The ending says nothing of whether the endpoint fails.
NO_EVIDENCE = (CallStatus.CANCELLED, CallStatus.NOT_SENT, CallStatus.OVERLOADED, CallStatus.REJECTED)
# The counter answered, well or badly.
COUNTER_ANSWERED = (CallStatus.OK, CallStatus.OVERLOADED, CallStatus.MALFORMED)
# The endpoint has not begun to work.
NEVER_STARTED = (CallStatus.UNREACHABLE, CallStatus.RESET_BEFORE_REQUEST)
# The counter may have added the amount of the call.
MAY_BE_COUNTED = (
    CallStatus.OK,
    CallStatus.TIMEOUT,
    CallStatus.RESET_AFTER_REQUEST,
    CallStatus.MALFORMED,
)
