"""The state of one endpoint."""

from __future__ import annotations

from dataclasses import dataclass, field
from hashlib import blake2b

from quota_gateway.arithmetic import moving_average
from quota_gateway.model import Endpoint, EndpointHandover, EndpointHealth

# Work below this is what is left of sums of floating numbers: a half-open endpoint must not seem to have any.
NO_WORK = 1e-9  # seconds
CLOCK_MARGIN = 1e-6  # seconds by which starts must differ to be those of two incarnations


@dataclass(slots=True, eq=False)
class EndpointState:
    """One endpoint. Work is counted in seconds of latency on an idle endpoint; times are Unix times."""

    endpoint: Endpoint
    hash_position: bytes = field(init=False)
    available: bool = True  # listed and healthy
    removed: bool = False  # from the endpoint list
    work_in_flight: float = 0.0
    work_completed: float = 0.0  # since the last tick
    work_rate: float = 0.0  # completed work a second
    responses: int = 0  # good ones in this incarnation
    mean_slowdown: float = 0.0  # mean latency of these over the idle latency
    slowdown: float = 0.0  # recent latency over the idle latency; 0: not known
    failure_rate: float = 0.0  # moving average of attempts that failed
    ejected_until: float = 0.0
    ejection_time: float = 0.0  # seconds of the last ejection
    half_open: bool = False  # was ejected and has not answered since
    unreachable: bool = False  # connections failed: it may come back restarted
    consecutive_timeouts: int = 0  # of attempts during which it answered nothing at all
    consecutive_failures: int = 0  # connection failures with no answer in between
    last_failure: float = 0.0
    unresponsive_since: float | None = None  # owes answers since then and has given none
    warming_since: float | None = None  # None: warmed up
    allowance: float = 0.0  # work that it may be given during slow start
    allowance_updated: float = 0.0

    def __post_init__(self) -> None:
        self.hash_position = blake2b(self.endpoint.name.encode(), digest_size=8).digest()

    @property
    def label(self) -> str:
        """Its name and incarnation, for log lines."""
        return f"endpoint {self.endpoint.name} (started {self.endpoint.started_at:.3f})"

    def update(self, endpoint: Endpoint) -> bool:
        """Take an entry of the endpoint list; gives whether it is another incarnation than the known one.

        Its start may be earlier: the clock of its machine may have been stepped back.
        """
        is_known = self.endpoint is not endpoint
        known_start = self.endpoint.started_at if is_known else 0.0
        is_other = endpoint.started_at > 0 and abs(endpoint.started_at - known_start) > CLOCK_MARGIN
        self.endpoint = endpoint
        self.available = endpoint.health is EndpointHealth.HEALTHY
        self.removed = endpoint.health is EndpointHealth.REMOVED
        return is_other

    def end_work(self, work: float) -> None:
        """Work in flight has ended, however it did."""
        remaining = self.work_in_flight - work
        self.work_in_flight = remaining if remaining > NO_WORK else 0.0

    def record_response(self, work: float, slowdown: float, weight: float) -> None:
        """A good answer has come, so many times later than from an idle endpoint."""
        self.work_completed += work
        self.responses += 1
        self.slowdown = moving_average(self.slowdown, slowdown, weight)
        self.mean_slowdown += max(weight, 1 / self.responses) * (slowdown - self.mean_slowdown)

    def start_warming_up(self, since: float) -> None:
        """A new incarnation: what the old one's answers told does not hold for it."""
        self.warming_since = since
        self.slowdown = 0.0
        self.responses = 0

    def start_allowance(self, now: float) -> None:
        """The allowance of a slow start begins with nothing."""
        self.allowance = 0.0
        self.allowance_updated = now

    def pass_health_check(self, now: float) -> None:
        """An unreachable endpoint is there again, most likely as a new incarnation."""
        self.ejected_until = now
        self.unresponsive_since = None
        self.unreachable = False
        self.start_warming_up(now)
        self.allowance_updated = now

    def count_connection_failure(self, now: float, elapsed: float, always: bool) -> None:
        """A connection failed; those in flight together break together and count once, unless ``always``."""
        self.consecutive_failures += always or elapsed <= now - self.last_failure
        self.last_failure = now

    def recover(self, now: float) -> None:
        """A good answer has come; after failed connections the endpoint may have restarted unseen."""
        if self.unreachable and self.warming_since is None:
            self.start_warming_up(now)
        self.unreachable = False
        self.half_open = False

    def restore(self, now: float) -> None:
        """An operator restores it, most likely after a restart: forget all that was known of its health."""
        self.start_warming_up(now)
        self.start_allowance(now)
        self.ejected_until = now
        self.ejection_time = 0.0
        self.failure_rate = 0.0
        self.last_failure = 0.0
        self.half_open = False
        self.unreachable = False
        self.consecutive_timeouts = 0
        self.consecutive_failures = 0
        self.unresponsive_since = None

    def export(self) -> EndpointHandover:
        """The part that another process of this limiter can use."""
        return EndpointHandover(
            name=self.endpoint.name,
            started_at=self.endpoint.started_at,
            warming_since=self.warming_since,
            responses=self.responses,
            mean_slowdown=self.mean_slowdown,
            slowdown=self.slowdown,
            work_rate=self.work_rate,
        )

    def take_over(self, now: float, handover: EndpointHandover) -> None:
        """Take what another process knows of the same incarnation."""
        # A warm-up that began here later, as by a restore, is news that the other process did not have.
        if self.warming_since is None or (handover.warming_since or 0.0) > self.warming_since:
            self.warming_since = handover.warming_since
        self.responses = handover.responses
        self.mean_slowdown = handover.mean_slowdown
        self.slowdown = handover.slowdown
        self.work_rate = handover.work_rate
        self.allowance_updated = now
