"""What the status code of a response shows about the attempt."""

from __future__ import annotations

from quota_gateway.model import CallStatus

STATUS_OK = 200
CLIENT_ERROR_STATUSES = range(400, 500)
OVERLOAD_STATUSES = (503, 504)


def call_status(status_code: int, *, not_processed: bool) -> CallStatus:
    """Return how an attempt ended whose response has this status code.

    ``not_processed``: the endpoint states that it did not execute the request.
    """
    if status_code == STATUS_OK:
        return CallStatus.OK
    if status_code in CLIENT_ERROR_STATUSES:
        return CallStatus.REJECTED
    # Without that statement a 503 or 504 does not show whether the request was executed.
    if status_code in OVERLOAD_STATUSES and not_processed:
        return CallStatus.OVERLOADED
    return CallStatus.ERROR
