"""Outlier detection: ejects endpoints that hang, cannot be reached or fail more than the others."""

from dataclasses import dataclass, field

from quota_gateway import model
from quota_gateway.decisions.endpoint_set import EndpointSet
from quota_gateway.model import CONNECTION_LOST, NO_EVIDENCE, RESPONSES, CallStatus, EjectionCause
from quota_gateway.state import EndpointState

SIGNIFICANCE_LEVEL = 0.005  # consecutive failures with a lower probability are not attributed to chance
MIN_TIMEOUT_RATE = 0.07  # lower bound of the timeout rate that is expected of all endpoints
MIN_FAILURE_RATE = 0.05  # lower bound of the failure rate that is expected of all endpoints
TIMEOUT_RATE_WEIGHT = 0.02  # weight of one attempt in the timeout rate
FAILURE_RATE_WEIGHT = 0.2  # weight of one attempt in the failure rate
DOWN_WEIGHT = 0.4  # weight in the failure rate of an attempt that shows that the endpoint is down
# An outlier exceeds the median failure rate (twice the median if the endpoint is not down) by this margin.
EJECTION_MARGIN = 0.25
MIN_EJECTION_SECONDS = 1.5  # duration of the first ejection; it doubles with each further one
MAX_EJECTION_SECONDS = 10.0
# Largest ejected fraction of the subset; endpoints that are down may be ejected beyond it.
MAX_EJECTED_FRACTION = 0.5
HALF_OPEN_FAILURE_RATE = 0.2  # initial failure rate of an endpoint that returns from an ejection
CLOCK_TOLERANCE_SECONDS = 1e-6


@dataclass(slots=True, eq=False)
class OutlierDetector:
    """Ejects endpoints that are down, or whose failure rate is far above the median of the subset."""

    endpoints: EndpointSet
    ejections: dict[str, int] = field(default_factory=dict)  # ejections since the last log line, by cause
    timeout_rate: float = 0.0  # moving average of the fraction of attempts that timed out, over all endpoints

    def record(self, now: float, state: EndpointState, event: model.AttemptCompleted) -> None:
        """Record how an attempt ended, and eject the endpoint if it is an outlier."""
        peers = self.endpoints.subset or [state]
        median_rate = sorted([peer.failure_rate for peer in peers])[len(peers) // 2]
        down_cause = self._down_cause(now, state, event, median_rate)
        is_down = down_cause is not None
        is_failure = is_down or event.status in CONNECTION_LOST or event.status is CallStatus.ERROR
        if event.status not in NO_EVIDENCE:
            weight = DOWN_WEIGHT if is_down else FAILURE_RATE_WEIGHT
            state.record_outcome(is_failure=is_failure, weight=weight)
        if event.status is CallStatus.OK:
            self._record_success(now, state, median_rate)
        # Only failed connections may hide a restart: an endpoint that resets connections is running, and one
        # that keeps its connections but does not respond hangs or is slow.
        if down_cause is EjectionCause.UNREACHABLE:
            state.mark_unreachable()
        max_rate = median_rate * (1 if is_down else 2) + EJECTION_MARGIN
        is_outlier = is_failure and state.failure_rate > max_rate
        if is_outlier and state.ejected_until <= now and (is_down or _may_eject_more(now, peers)):
            self._eject(now, state, down_cause or EjectionCause.FAILING)

    def take_ejections(self) -> dict[str, int]:
        """Return the number of ejections by cause since the last call."""
        ejections = self.ejections
        self.ejections = {}
        return ejections

    def _down_cause(
        self, now: float, state: EndpointState, event: model.AttemptCompleted, median_rate: float
    ) -> EjectionCause | None:
        """Return why the endpoint counts as down; None for a response or for failures that may be chance."""
        if event.status in CONNECTION_LOST:
            return self._record_connection_loss(now, state, event, median_rate)
        if event.status in RESPONSES:
            state.consecutive_failures.record_response()
            self._update_timeout_rate(is_timeout=False)
        elif event.status is CallStatus.TIMEOUT:
            return EjectionCause.HUNG if self._record_timeout(now, state, event) else None
        return None

    def _record_connection_loss(
        self, now: float, state: EndpointState, event: model.AttemptCompleted, median_rate: float
    ) -> EjectionCause | None:
        """Record a lost connection, and return the cause if consecutive ones show that the endpoint is down.

        Two failures to connect are enough; resets have to be too many to be chance.
        """
        is_unreachable = event.status is CallStatus.UNREACHABLE
        failures = state.consecutive_failures
        failures.record_connection_failure(now, event.elapsed, is_independent=is_unreachable)
        probability = max(MIN_FAILURE_RATE, median_rate) ** failures.connection_failures
        if failures.connection_failures <= 1 or not (is_unreachable or probability < SIGNIFICANCE_LEVEL):
            return None
        return EjectionCause.UNREACHABLE if is_unreachable else EjectionCause.CONNECTION_RESETS

    def _record_timeout(self, now: float, state: EndpointState, event: model.AttemptCompleted) -> bool:
        """Record a timeout, and return whether consecutive ones show that the endpoint hangs.

        A timeout counts if the endpoint sent no response at all during the attempt. Timeouts have to be too
        many to be chance; at a half-open endpoint one is enough.
        """
        since = state.unresponsive_since
        was_silent = since is not None and now - since >= event.elapsed - CLOCK_TOLERANCE_SECONDS
        if was_silent:
            state.consecutive_failures.record_timeout()
        self._update_timeout_rate(is_timeout=True)
        probability = max(MIN_TIMEOUT_RATE, self.timeout_rate) ** state.consecutive_failures.timeouts
        return was_silent and (state.half_open or probability < SIGNIFICANCE_LEVEL)

    def _update_timeout_rate(self, *, is_timeout: bool) -> None:
        self.timeout_rate += TIMEOUT_RATE_WEIGHT * (is_timeout - self.timeout_rate)

    def _record_success(self, now: float, state: EndpointState, median_rate: float) -> None:
        if state.half_open:
            self._log(state, "half-open -> in service")
        state.recover(now)
        if state.failure_rate < max(MIN_FAILURE_RATE, median_rate):
            state.forget_ejections()

    def _eject(self, now: float, state: EndpointState, cause: EjectionCause) -> None:
        self.ejections[cause] = self.ejections.get(cause, 0) + 1
        duration = min(MAX_EJECTION_SECONDS, max(MIN_EJECTION_SECONDS, state.ejection_duration * 2))
        state.eject(now, duration, HALF_OPEN_FAILURE_RATE)
        self._log(state, f"in service -> ejected for {duration:.1f} s, {cause}")
        self.endpoints.choose_subset(now)

    def _log(self, state: EndpointState, transition: str) -> None:
        self.endpoints.context.actions.append(model.Log(f"{state.label}: {transition}"))


def _may_eject_more(now: float, peers: list[EndpointState]) -> bool:
    """Whether so few endpoints are ejected that another one may be."""
    ejected = sum(peer.ejected_until > now for peer in peers)
    return ejected < len(peers) * MAX_EJECTED_FRACTION
