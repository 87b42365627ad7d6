"""Outlier detection: ejects endpoints that hang, cannot be reached or fail more than the others."""

from dataclasses import dataclass, field

from quota_gateway import model
from quota_gateway.decisions.endpoint_set import EndpointSet
from quota_gateway.model import CONNECTION_LOST, NO_EVIDENCE, RESPONSES, CallStatus, EjectionCause
from quota_gateway.state import EndpointState

CHANCE_LIMIT = 0.005  # failures in a row that chance would bring less often are none of chance
MIN_TIMEOUT_RATE = 0.07  # taken as usual at least
MIN_FAILURE_RATE = 0.05  # taken as usual at least
TIMEOUT_WEIGHT = 0.02  # of one attempt in the usual rate of time-outs
FAILURE_WEIGHT = 0.2  # of one attempt in an endpoint's failure rate
DOWN_WEIGHT = 0.4  # of one that shows that it is down
EJECTION_MARGIN = 0.25  # above the usual failure rate
MIN_EJECTION = 1.5  # seconds; doubles with each ejection that was not enough
MAX_EJECTION = 10.0  # seconds
HALF_OPEN_FAILURE_RATE = 0.2  # that it returns with
CLOCK_MARGIN = 1e-6  # seconds


@dataclass(slots=True, eq=False)
class OutlierDetector:
    """Judges endpoints by how the attempts at them end, against what is usual in the subset."""

    endpoints: EndpointSet
    ejections: dict[str, int] = field(default_factory=dict)  # by cause, since the last log line
    timeout_rate: float = 0.0  # of all attempts

    def record(self, now: float, state: EndpointState, event: model.AttemptCompleted) -> None:
        """Take in the end of an attempt, and eject the endpoint if it shows that it is an outlier."""
        peers = self.endpoints.subset or [state]
        usual = sorted(peer.failure_rate for peer in peers)[len(peers) // 2]
        is_hung = self._is_hung(now, state, event)
        is_connection_lost = event.status in CONNECTION_LOST
        is_unreachable = event.status is CallStatus.UNREACHABLE  # each such failure is a sign of its own
        if is_connection_lost:
            state.count_connection_failure(now, event.elapsed, always=is_unreachable)
        elif event.status in RESPONSES:
            state.consecutive_failures = 0
        is_chance = max(MIN_FAILURE_RATE, usual) ** state.consecutive_failures >= CHANCE_LIMIT
        is_repeated = state.consecutive_failures > 1 and (is_unreachable or not is_chance)
        is_down = is_hung or (is_connection_lost and is_repeated)
        is_failure = is_down or is_connection_lost or event.status is CallStatus.ERROR
        if event.status not in NO_EVIDENCE:
            weight = DOWN_WEIGHT if is_down else FAILURE_WEIGHT
            state.failure_rate += weight * (is_failure - state.failure_rate)
        if event.status is CallStatus.OK:
            if state.half_open:
                self._log(state, "half-open -> in service")
            state.recover(now)
            if state.failure_rate < max(MIN_FAILURE_RATE, usual):
                state.ejection_time = 0.0
        # Only failed connections may hide a restart: who takes a connection and breaks it is there, and one
        # that keeps its connections and is silent hangs or is slow.
        state.unreachable = state.unreachable or (is_down and is_unreachable)
        is_outlier = is_failure and state.failure_rate > usual * (2 - is_down) + EJECTION_MARGIN
        ejected = sum(peer.ejected_until > now for peer in peers)
        if is_outlier and state.ejected_until <= now and (is_down or ejected < len(peers) / 2):
            self._eject(now, state, EjectionCause.of(is_hung, is_down, is_unreachable))

    def _is_hung(self, now: float, state: EndpointState, event: model.AttemptCompleted) -> bool:
        """Time-outs in a row with no answer at all, more than chance brings; half-open, one is enough."""
        is_timeout = event.status is CallStatus.TIMEOUT
        is_answer = event.status in RESPONSES
        since = state.unresponsive_since
        was_silent = is_timeout and since is not None and now - since >= event.elapsed - CLOCK_MARGIN
        if was_silent:
            state.consecutive_timeouts += 1
        elif is_answer:
            state.consecutive_timeouts = 0
        if is_answer or is_timeout:
            self.timeout_rate += TIMEOUT_WEIGHT * (is_timeout - self.timeout_rate)
        chance = max(MIN_TIMEOUT_RATE, self.timeout_rate) ** state.consecutive_timeouts
        return was_silent and (state.half_open or chance < CHANCE_LIMIT)

    def _eject(self, now: float, state: EndpointState, cause: str) -> None:
        self.ejections[cause] = self.ejections.get(cause, 0) + 1
        state.ejection_time = min(MAX_EJECTION, max(MIN_EJECTION, state.ejection_time * 2))
        state.ejected_until = now + state.ejection_time
        state.half_open = True
        state.failure_rate = HALF_OPEN_FAILURE_RATE
        self._log(state, f"in service -> ejected for {state.ejection_time:.1f} s, {cause}")
        self.endpoints.choose_subset(now)

    def _log(self, state: EndpointState, transition: str) -> None:
        self.endpoints.context.actions.append(model.Log(f"{state.label}: {transition}"))
