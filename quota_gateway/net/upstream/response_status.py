"""The status of an attempt, from the HTTP status code of its response."""

from __future__ import annotations

from quota_gateway.model import CallStatus

STATUS_OK = 200
CLIENT_ERROR_STATUSES = range(400, 500)
OVERLOAD_STATUSES = (503, 504)


def call_status(status_code: int, *, not_processed: bool) -> CallStatus:
    """Return the status of an attempt whose response has this HTTP status code.

    ``not_processed``: the endpoint states that it did not execute the request.
    """
    if status_code == STATUS_OK:
        return CallStatus.OK
    if status_code in CLIENT_ERROR_STATUSES:
        return CallStatus.REJECTED
    # If not_processed is false, a 503 or 504 does not show whether the request was executed.
    if status_code in OVERLOAD_STATUSES and not_processed:
        return CallStatus.OVERLOADED
    return CallStatus.ERROR
