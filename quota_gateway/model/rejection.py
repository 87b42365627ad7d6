"""Why a request was rejected, and why an endpoint was ejected."""

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


class EjectionCause(StrEnum):
    """The causes, as the log names them."""

    HUNG = "hung"  # attempts timed out one after the other, and it answered nothing in the meantime
    UNREACHABLE = "unreachable"  # connections are refused or never come up
    CONNECTION_RESETS = "resetting connections"
    FAILING = "failing"  # more errors than is usual

    @classmethod
    def of(cls, is_hung: bool, is_down: bool, is_unreachable: bool) -> EjectionCause:
        """The cause by what the attempts showed; ``is_down``: more than single failures."""
        if is_hung:
            return cls.HUNG
        if not is_down:
            return cls.FAILING
        return cls.UNREACHABLE if is_unreachable else cls.CONNECTION_RESETS
