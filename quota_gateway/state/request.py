"""The state of a request that has no final answer yet."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from quota_gateway.model import Request, RequestClass
from quota_gateway.state.account import Account
from quota_gateway.state.endpoint import EndpointState


class Attempt(NamedTuple):
    """One attempt at an endpoint and the time at which it began."""

    endpoint: EndpointState
    started_at: float


@dataclass(slots=True, eq=False)
class OpenRequest:
    """A request without its final answer; times are Unix times, work is seconds on an idle endpoint."""

    id: int
    request_class: RequestClass
    account: Account
    units: float  # of the customer's quota
    timeout: float  # seconds that the client waits
    is_retry: bool  # by the client
    uploading: bool  # its body is still coming
    max_attempts: int  # allowed when it came
    started_at: float = 0.0
    deadline: float = 0.0
    useful_until: float = 0.0
    within_quota: bool = False
    relative_size: float = 1.0  # its units over the mean
    work: float = 0.0  # expected
    priority_percentile: float = 1.0  # rank among recent requests by value per work, 0 to 1
    attempts: list[Attempt] = field(default_factory=list)
    in_flight: dict[int, EndpointState] = field(default_factory=dict)  # by number of the attempt
    first_executed: Attempt | None = None  # the first attempt that may have been executed

    @classmethod
    def begin(
        cls, now: float, event: Request, request_class: RequestClass, account: Account, max_attempts: int
    ) -> OpenRequest:
        """A request has come; the client's time begins."""
        request = cls(
            id=event.id,
            request_class=request_class,
            account=account,
            units=event.units,
            timeout=event.timeout,
            is_retry=event.is_retry,
            uploading=event.uploading,
            max_attempts=max_attempts,
        )
        request.start_clock(now)
        return request

    @property
    def useful_time(self) -> float:
        """Seconds in which an answer is of use: past the objective one that earns nothing is only work."""
        if self.request_class.late_weight:
            return self.timeout
        return min(self.timeout, self.request_class.latency_objective)

    def start_clock(self, now: float) -> None:
        """The client's time begins: as the request comes or, of a long body, with its last byte."""
        self.started_at = now
        self.deadline = now + self.timeout
        self.useful_until = now + self.useful_time
