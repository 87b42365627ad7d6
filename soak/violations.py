"""The invariants, and the violations of them that the checks report."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class Invariant(StrEnum):
    """The invariants that the checks verify."""

    EVERY_REQUEST_ANSWERED = "every_request_answered"
    NO_REPEATED_EXECUTION = "no_repeated_execution"
    NOTHING_TO_EXCLUDED_ENDPOINTS = "nothing_to_excluded_endpoints"
    SLOW_START = "slow_start"
    DEADLINE_PROPAGATION = "deadline_propagation"
    CEILING = "ceiling"
    INCOMPLETE_REQUEST_TIMEOUT = "incomplete_request_timeout"
    ADMIN_REPLY = "admin_reply"
    CLEAN_EXIT = "clean_exit"
    NO_INTERNAL_ERROR = "no_internal_error"
    METRICS = "metrics"
    MEMORY_LIMIT = "memory_limit"


@dataclass(frozen=True, slots=True)
class Violation:
    """One violation, with the request and the limiter that it concerns."""

    invariant: Invariant
    at: float  # 0: the violation has no time
    text: str
    request_id: str = ""
    limiter: int = -1  # -1: the violation concerns no single limiter
