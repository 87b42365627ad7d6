"""The state of a request that has no final answer yet."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from quota_gateway.model import Request, RequestClass
from quota_gateway.state.account import Account
from quota_gateway.state.endpoint import EndpointState

# Timeout of a request while its body is being received. This is only an upper limit: the client and the
# sockets determine how long an upload takes.
UPLOAD_TIMEOUT_SECONDS = 3600.0


class Attempt(NamedTuple):
    """One attempt at an endpoint and the time at which it began."""

    endpoint: EndpointState
    started_at: float


@dataclass(slots=True, eq=False)
class OpenRequest:
    """A request without its final answer. Only its own methods change its fields.

    Times are Unix times; work is measured in seconds of latency at an idle endpoint.

    Invariants: ``attempts`` only grows, and the number of an attempt is its index. ``in_flight`` holds the
    attempts that have not ended. ``first_executed`` never changes once it is set.
    """

    id: int
    request_class: RequestClass
    account: Account
    units: float  # cost in units of the customer's quota
    timeout: float  # seconds that the client waits
    is_retry: bool  # the client retries after a rejection or failure
    uploading: bool  # the body is not yet complete
    max_attempts: int  # limit on the attempts when the request arrived
    started_at: float = 0.0
    deadline: float = 0.0
    useful_until: float = 0.0  # a response after this time has no value
    within_quota: bool = False
    relative_size: float = 1.0  # units divided by the mean units of a request
    work: float = 0.0  # expected work
    priority_percentile: float = 1.0  # rank among recent requests by value per work, 0 to 1
    attempts: list[Attempt] = field(default_factory=list)
    in_flight: dict[int, EndpointState] = field(default_factory=dict)  # by attempt number
    first_executed: Attempt | None = None  # the first attempt that may have been executed

    @classmethod
    def begin(
        cls, now: float, event: Request, request_class: RequestClass, account: Account, max_attempts: int
    ) -> OpenRequest:
        """Return the state of a request that arrives; during an upload the client's timeout does not run."""
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
        request.start_timeout(now)
        if event.uploading:
            request.deadline = request.useful_until = now + UPLOAD_TIMEOUT_SECONDS
        return request

    @property
    def useful_time(self) -> float:
        """Seconds in which a response has a value; without a late weight, at most the latency objective."""
        if self.request_class.late_weight:
            return self.timeout
        return min(self.timeout, self.request_class.latency_objective)

    def start_timeout(self, now: float) -> None:
        """Start the client's timeout: at the arrival or, after an upload, at the last byte of the body."""
        self.started_at = now
        self.deadline = now + self.timeout
        self.useful_until = now + self.useful_time

    def complete_upload(self, now: float) -> None:
        """Record the last byte of the body: the client's timeout and the endpoint's response time begin."""
        self.uploading = False
        self.start_timeout(now)
        for state in self.in_flight.values():
            state.wait_for_response(now)

    def set_estimate(self, *, relative_size: float, work: float, priority_percentile: float) -> None:
        """Set the expected cost and the priority, when the request arrives."""
        self.relative_size = relative_size
        self.work = work
        self.priority_percentile = priority_percentile

    def record_forwarded(self, *, within_quota: bool) -> None:
        """Record that the request was forwarded, and whether the customer's quota covers it."""
        self.within_quota = within_quota

    def start_attempt(self, now: float, state: EndpointState) -> None:
        """Record the next attempt, also at its endpoint and in the account."""
        self.in_flight[len(self.attempts)] = state
        self.attempts.append(Attempt(state, now))
        self.account.start_attempt()
        state.start_attempt(self.work)
        if not self.uploading:
            state.wait_for_response(now)

    def finish_attempt(self, number: int) -> bool:
        """Record the end of an attempt, and return whether it was in flight.

        The caller has to call ``stop_waiting_if_idle`` of the endpoint afterwards; see
        ``EndpointState.finish_attempt``.
        """
        state = self.in_flight.pop(number, None)
        if state is None:
            return False
        state.finish_attempt(self.work)
        self.account.finish_attempt()
        return True

    def abandon_attempts(self) -> None:
        """End all attempts in flight; their responses are no longer needed."""
        for state in self.in_flight.values():
            state.finish_attempt(self.work)
            state.stop_waiting_if_idle()
            self.account.finish_attempt()
        self.in_flight.clear()

    def record_possible_execution(self, number: int) -> None:
        """Record that an attempt may have been executed; the first one limits where and when to retry."""
        if self.first_executed is None and number < len(self.attempts):
            self.first_executed = self.attempts[number]
