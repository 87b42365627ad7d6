"""The state of one endpoint."""

from __future__ import annotations

from dataclasses import dataclass, field
from hashlib import blake2b

from quota_gateway.arithmetic import moving_average
from quota_gateway.model import Endpoint, EndpointHandover, EndpointHealth
from quota_gateway.state.consecutive_failures import ConsecutiveFailures
from quota_gateway.state.slow_start_allowance import SlowStartAllowance
from quota_gateway.state.slowdown import Slowdown

# Less work in flight than this is a rounding error and counts as none. Otherwise a half-open endpoint, which
# gets a request only while nothing is in flight, would never get its next one.
NEGLIGIBLE_WORK_SECONDS = 1e-9
MIN_START_DIFFERENCE_SECONDS = 1e-6  # start times that differ by less are of the same incarnation


@dataclass(slots=True, eq=False)
class EndpointState:
    """One endpoint as this gateway knows it. Only its own methods change its fields.

    Work is measured in seconds of latency at an idle endpoint; times are Unix times.

    Invariants between two events:

    - ``work_in_flight`` is the sum of the work of the attempts in flight at this endpoint; never negative.
    - ``unresponsive_since`` is None while no response is expected, in particular while no attempt is in
      flight. Otherwise it is the time at which the first attempt began to wait for a response, or of the
      last sign of life since then.
    - ``half_open`` is set by an ejection, and reset by a good response or a restore.
    - ``slowdown`` describes the current incarnation only.
    """

    endpoint: Endpoint
    hash_position: bytes = field(init=False)
    # Endpoint list.
    available: bool = True  # listed and healthy
    removed: bool = False  # no longer in the endpoint list
    # Load.
    work_in_flight: float = 0.0
    work_completed: float = 0.0  # work of the good responses in the current interval
    work_rate: float = 0.0  # completed work per second
    unresponsive_since: float | None = None
    slowdown: Slowdown = field(default_factory=Slowdown)
    # Outlier detection.
    failure_rate: float = 0.0  # moving average of the fraction of attempts that failed
    consecutive_failures: ConsecutiveFailures = field(default_factory=ConsecutiveFailures)
    ejected_until: float = 0.0
    ejection_duration: float = 0.0  # duration of the last ejection in seconds
    half_open: bool = False  # ejected, and no good response since
    unreachable: bool = False  # connections failed: the endpoint may have been restarted
    # Slow start.
    warming_since: float | None = None  # None: warmed up
    allowance: SlowStartAllowance = field(default_factory=SlowStartAllowance)
    confirmed_at: float | None = None  # Unix time of the handover that confirmed this incarnation

    def __post_init__(self) -> None:
        self.hash_position = blake2b(self.endpoint.name.encode(), digest_size=8).digest()

    @property
    def label(self) -> str:
        """The name and incarnation, for log lines."""
        return f"endpoint {self.endpoint.name} (started {self.endpoint.started_at:.3f})"

    # Endpoint list

    def update(self, endpoint: Endpoint) -> bool:
        """Apply an entry of the endpoint list, and return whether it announces another incarnation.

        A new incarnation may have an earlier start time than the old one: the clock of the endpoint's machine
        may have been stepped back. The entry that this state was created with counts as a new incarnation if
        it states a start time.
        """
        has_previous_entry = self.endpoint is not endpoint
        previous_start = self.endpoint.started_at if has_previous_entry else 0.0
        difference = abs(endpoint.started_at - previous_start)
        is_new_incarnation = endpoint.started_at > 0 and difference > MIN_START_DIFFERENCE_SECONDS
        self.endpoint = endpoint
        self.available = endpoint.health is EndpointHealth.HEALTHY
        self.removed = endpoint.health is EndpointHealth.REMOVED
        return is_new_incarnation

    def remove(self) -> None:
        """Record that the endpoint is no longer listed."""
        self.available = False
        self.removed = True

    # Load

    def start_attempt(self, work: float) -> None:
        """Add the work of an attempt, and take it from the allowance while the endpoint is warming up."""
        self.work_in_flight += work
        if self.warming_since is not None:
            self.allowance.spend(work)

    def wait_for_response(self, now: float) -> None:
        """Expect a response from ``now`` on, unless an earlier attempt already waits for one."""
        if self.unresponsive_since is None:
            self.unresponsive_since = now

    def record_sign_of_life(self, now: float) -> None:
        """Expect the next response from ``now`` on if work is in flight, and none otherwise."""
        self.unresponsive_since = now if self.work_in_flight > NEGLIGIBLE_WORK_SECONDS else None

    def finish_attempt(self, work: float) -> None:
        """Subtract the work of an attempt, however it ended.

        The caller has to call ``stop_waiting_if_idle`` afterwards, when outlier detection has evaluated the
        attempt.
        """
        remaining = self.work_in_flight - work
        self.work_in_flight = remaining if remaining > NEGLIGIBLE_WORK_SECONDS else 0.0

    def stop_waiting_if_idle(self) -> None:
        """Stop expecting a response if nothing is in flight."""
        if self.work_in_flight <= NEGLIGIBLE_WORK_SECONDS:
            self.unresponsive_since = None

    def record_response(self, work: float, slowdown: float, weight: float) -> None:
        """Record a good response; ``slowdown`` is its latency divided by the idle latency."""
        self.work_completed += work
        self.slowdown.record(slowdown, weight)

    def close_interval(self, elapsed: float, weight: float) -> None:
        """Update the work rate with the work completed in an interval, and start the next one."""
        self.work_rate = moving_average(self.work_rate, self.work_completed / elapsed, weight)
        self.work_completed = 0.0

    # Outlier detection

    def record_outcome(self, *, is_failure: bool, weight: float) -> None:
        """Update the failure rate with one attempt."""
        self.failure_rate += weight * (is_failure - self.failure_rate)

    def eject(self, now: float, duration: float, failure_rate: float) -> None:
        """Eject the endpoint for ``duration`` seconds; it returns half-open, with this failure rate."""
        self.ejection_duration = duration
        self.ejected_until = now + duration
        self.half_open = True
        self.failure_rate = failure_rate

    def extend_ejection(self, until: float) -> None:
        """Keep the endpoint ejected at least until the given time."""
        self.ejected_until = max(self.ejected_until, until)

    def end_ejection(self, now: float) -> None:
        """End the ejection if it would last beyond ``now``."""
        self.ejected_until = min(self.ejected_until, now)

    def forget_ejections(self) -> None:
        """Reset the ejection duration: the next ejection has the minimum duration."""
        self.ejection_duration = 0.0

    def mark_unreachable(self) -> None:
        """Record that connections fail: the next good response may be of a new incarnation."""
        self.unreachable = True

    def recover(self, now: float) -> None:
        """Return to service after a good response; an unreachable endpoint may have been restarted."""
        if self.unreachable and self.warming_since is None:
            self.start_warming_up(now)
        self.unreachable = False
        self.half_open = False

    def pass_health_check(self, now: float) -> None:
        """End the ejection of an unreachable endpoint, which has most likely been restarted."""
        self.ejected_until = now
        self.unresponsive_since = None
        self.unreachable = False
        self.start_warming_up(now)
        self.allowance.restart_clock(now)

    def restore(self, now: float) -> None:
        """End a suspension: forget the endpoint's health, since it has most likely been restarted."""
        self.start_warming_up(now)
        self.allowance.reset(now)
        self.ejected_until = now
        self.ejection_duration = 0.0
        self.failure_rate = 0.0
        self.consecutive_failures.reset()
        self.half_open = False
        self.unreachable = False
        self.unresponsive_since = None

    # Slow start

    def start_warming_up(self, since: float) -> None:
        """Begin the slow start of a new incarnation, and discard the slowdown of the old one."""
        self.warming_since = since
        self.slowdown.reset()

    def finish_warming_up(self) -> None:
        """End the slow start."""
        self.warming_since = None

    # Handover

    def export(self) -> EndpointHandover:
        """Return the state that another process of this limiter can use."""
        return EndpointHandover(
            name=self.endpoint.name,
            started_at=self.endpoint.started_at,
            warming_since=self.warming_since,
            responses=self.slowdown.responses,
            mean_slowdown=self.slowdown.mean,
            slowdown=self.slowdown.recent,
            work_rate=self.work_rate,
        )

    def take_over(self, now: float, handover: EndpointHandover) -> None:
        """Take over the state that another process has of the same incarnation."""
        self.confirmed_at = now
        # Keep a slow start that began later here, for example with a restore: the other process did not yet
        # know of it.
        if self.warming_since is None or (handover.warming_since or 0.0) > self.warming_since:
            self.warming_since = handover.warming_since
        self.slowdown = Slowdown(handover.responses, handover.mean_slowdown, handover.slowdown)
        self.work_rate = handover.work_rate
        self.allowance.restart_clock(now)
