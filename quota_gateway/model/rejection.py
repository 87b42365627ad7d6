"""Why a request was rejected."""

from __future__ import annotations

from enum import StrEnum


class RejectionReason(StrEnum):
    """The reasons, as the log names them."""

    ADMISSION_GATE = "gate"  # no tokens: the load controller admits fewer
    QUOTA = "quota"  # the customer's quota is used up
    CEILING = "ceiling"  # the plan's hard ceiling is reached
    CONCURRENCY = "concurrency"  # the endpoints hold all the work that they are to hold
    SLOW_START = "slow start"  # only warming endpoints had capacity, and their allowance is used up
    NO_CAPACITY = "no capacity"  # no usable endpoint had capacity
    NO_ENDPOINT = "no endpoint"  # none was usable
    ATTEMPTS = "attempts"  # it failed too often, or its time was up
