"""Why requests are not served, and why endpoints are ejected."""

from __future__ import annotations

from enum import StrEnum


class RejectionReason(StrEnum):
    """Why a request is not served, whether it is rejected or failed; the values are the names in the log."""

    ADMISSION_GATE = "gate"  # the admission gate has too few tokens for the request
    QUOTA = "quota"  # the customer's quota is used up
    ACCOUNTS = "accounts"  # as many customers as there is memory for have recent requests
    CEILING = "ceiling"  # the plan's hard ceiling is reached
    CONCURRENCY = "concurrency"  # the endpoints have as much work in flight as the concurrency limit allows
    SLOW_START = "slow start"  # only endpoints warming up had capacity, and their allowance is used up
    NO_CAPACITY = "no capacity"  # no usable endpoint had capacity
    NO_ENDPOINT = "no endpoint"  # no endpoint was usable
    ATTEMPTS = "attempts"  # no further attempt is allowed, or the deadline has passed


class EjectionCause(StrEnum):
    """Why an endpoint is ejected; the values are the names in the log."""

    HUNG = "hung"  # consecutive attempts timed out, without any response in between
    UNREACHABLE = "unreachable"  # connections are refused or time out
    CONNECTION_RESETS = "resetting connections"
    FAILING = "failing"  # a failure rate far above that of the other endpoints
