"""The choice of an endpoint: concurrency limit, candidates, slow start, and the better of two at random."""

from dataclasses import dataclass

from quota_gateway.arithmetic import moving_average, refilled
from quota_gateway.decisions.admission import PRIORITY_RESERVE, AdmissionGate
from quota_gateway.decisions.context import Context
from quota_gateway.decisions.controller import LOW_LOAD, REFERENCE
from quota_gateway.decisions.endpoint_set import EndpointSet
from quota_gateway.model import DeduplicationScope, Idempotency, RejectionReason
from quota_gateway.model.settings import MIN_POSITIVE
from quota_gateway.state import EndpointState, OpenRequest

FLEET_CONCURRENCY = 4.0  # requests that each endpoint is given at least, over all gateways
SPARSE_CONCURRENCY = 3  # requests of a gateway under which it is sparse
MAX_SLACK = 3.0  # requests that a sparse gateway may have beyond its limit while answers are quick
SLACK_SLOPE = 2.5  # by which that falls up to the reference load
BURST_REQUESTS = 4  # by which, times the root of the limit, a burst may exceed it while answers are quick
PRIORITY_FRACTION = 0.5 * PRIORITY_RESERVE  # of the limits that the work of lowest priority must leave
ENDPOINT_FRACTION = 0.5  # of a warm endpoint's mean limit that any one may have in flight
ENDPOINT_REQUESTS = 3.5  # that any one may have in flight at least
OWN_FRACTION = 0.5  # of a request's own work that has to fit under a limit
MIN_SUCCESS_RATE = 0.05  # taken for an endpoint's cost at least
SAFE_FRACTION = 0.45  # of the load that brings a fresh endpoint down
ENOUGH_RESPONSES = 10  # that tell how warm an endpoint is
WARM_SLOWDOWN = 0.9  # mean latency over idle latency of a warm endpoint, at most
MAX_SPEED_UP = 2  # times the planned warm-up that good answers may tell
SAVED_FRACTION = 0.5  # of the overload window's work that an allowance may save up
RATE_WEIGHT = 0.3  # of the newest interval in the completion rate


@dataclass(slots=True, eq=False)
class SlowStart:
    """Allowances of warming endpoints, as a share of what a warm one completes."""

    context: Context
    completion_rate: float = 0.0  # work that a warm endpoint completes a second

    def update(self, subset: list[EndpointState], elapsed: float) -> None:
        """Learn what warm endpoints completed in an interval, before their counts begin anew."""
        # Not by what was sent: overloaded ones get that too. Warming ones would lower their own allowance.
        rates = [state.work_completed / elapsed for state in subset if state.warming_since is None]
        if rates:
            self.completion_rate = moving_average(self.completion_rate, sum(rates) / len(rates), RATE_WEIGHT)

    def admits(self, now: float, state: EndpointState, work: float) -> bool:
        """Refill the allowance and draw whether a request may go there; ends the warm-up in time."""
        if state.warming_since is None:
            return True
        settings = self.context.settings
        age = max(0.0, now - state.warming_since)
        gained = (1 - settings.initial_capacity) * age / max(MIN_POSITIVE, settings.warm_up_time)
        warm_fraction = settings.initial_capacity + gained
        if warm_fraction >= 1:
            state.warming_since = None
            return True
        # That is the latest. Answers may show more: work and waiting slow them, so they never show too much.
        if state.responses >= ENOUGH_RESPONSES:
            shown = WARM_SLOWDOWN / max(WARM_SLOWDOWN, state.mean_slowdown)
            warm_fraction = max(warm_fraction, min(1.0, MAX_SPEED_UP * warm_fraction, shown))
        safe_load = SAFE_FRACTION * settings.overload_multiple * min(1.0, warm_fraction)
        rate = safe_load * self.completion_rate / self.context.process_count
        capacity = rate * settings.overload_window * SAVED_FRACTION
        state.allowance = refilled(state.allowance, rate, now - state.allowance_updated, capacity)
        state.allowance_updated = now
        # One request of each of hundreds of gateways is too much: it passes as often as its part is there.
        return state.allowance > work * self.context.rng.random()


@dataclass(slots=True, eq=False)
class LoadBalancer:
    """Picks the endpoint of an attempt."""

    context: Context
    endpoints: EndpointSet
    gate: AdmissionGate
    slow_start: SlowStart
    rejection_reason: RejectionReason = RejectionReason.NO_ENDPOINT  # what the last pick found wanting

    def pick(self, now: float, request: OpenRequest) -> EndpointState | None:
        """The endpoint for the next attempt; None where none may have it."""
        target = self.context.target_residence_time
        subset = self.endpoints.subset
        warm = [state for state in subset if state.warming_since is None]
        warm_work = target * sum(state.work_rate for state in warm)
        allowed = 1 - PRIORITY_FRACTION * (1 - request.priority_percentile)
        limit = self._concurrency_limit(warm_work) * allowed
        unresponsive = self._unresponsive(now)
        # Warming ones stand aside: they have an allowance, and what they hold is long for what they complete.
        usable = [s for s in warm if s not in unresponsive and s.ejected_until <= now]
        own = OWN_FRACTION * request.work
        work_in_flight = sum(state.work_in_flight for state in usable) + own
        # A fresh gateway has completed nothing yet: a limit by that would reject what it is to admit freely.
        is_over_limit = self.gate.controller.integral is not None and work_in_flight > limit
        if is_over_limit and len(warm) == len(subset):
            self.rejection_reason = RejectionReason.CONCURRENCY
            return None
        mean_limit = warm_work / max(1, len(warm))
        least = max(ENDPOINT_FRACTION * mean_limit, ENDPOINT_REQUESTS * self.gate.work.mean_work)
        healthy = self._healthy(now, self._candidates(request), unresponsive)
        fitting = [s for s in healthy if s.work_in_flight + own <= max(target * s.work_rate, least) * allowed]
        if is_over_limit:
            fitting = [state for state in fitting if state.warming_since is not None]
        self.rejection_reason = _reason(is_over_limit, bool(fitting), bool(healthy))
        fitting = [state for state in fitting if self.slow_start.admits(now, state, request.work)]
        if len(fitting) > 2:
            fitting = self.context.rng.sample(fitting, 2)  # power of two choices
        return min(fitting, key=lambda state: _cost(state, request.work), default=None)

    def _concurrency_limit(self, warm_work: float) -> float:
        """Work that the subset may have in flight: by Little's law its rate times its residence time."""
        load = self.gate.controller.load
        mean_work = self.gate.work.mean_work
        min_requests = FLEET_CONCURRENCY * len(self.endpoints.hash_ring) / self.context.settings.gateway_count
        slack = max(self.context.rng.random(), MAX_SLACK - SLACK_SLOPE * load / REFERENCE)
        slack *= min_requests < SPARSE_CONCURRENCY
        limit = max(warm_work, mean_work * min_requests) + mean_work * slack
        # Rates are a mean of seconds and lag; where answers are quick a burst may have twice the work out.
        if self.gate.controller.integral is not None:
            ease = max(0.0, 1 - load / LOW_LOAD)
            limit += ease * (limit + BURST_REQUESTS * (limit * mean_work) ** 0.5)
        return limit

    def _unresponsive(self, now: float) -> list[EndpointState]:
        """Endpoints that get nothing new: cut off, hung or lost. Where most are silent they are only slow."""
        subset = self.endpoints.subset
        limit = self.context.unresponsive_timeout
        silent = [
            s for s in subset if s.unresponsive_since is not None and now - s.unresponsive_since > limit
        ]
        return silent if len(silent) <= len(subset) / 2 else []

    def _candidates(self, request: OpenRequest) -> list[EndpointState]:
        """Endpoints where another attempt does no harm: those not attempted yet, or all if none is."""
        group = self.endpoints.subset
        scope = request.request_class.deduplication_scope
        is_keyed = request.request_class.idempotency is Idempotency.KEYED
        if request.first_executed is not None and is_keyed and scope is not DeduplicationScope.ALL:
            first = request.first_executed.endpoint.endpoint
            group = [state for state in self.endpoints.hash_ring if state.endpoint.zone == first.zone]
            if scope is DeduplicationScope.CELL:
                group = [state for state in group if state.endpoint.cell == first.cell]
        attempted = [attempt.endpoint for attempt in request.attempts]
        return [state for state in group if state not in attempted] or group

    def _healthy(
        self, now: float, candidates: list[EndpointState], unresponsive: list[EndpointState]
    ) -> list[EndpointState]:
        """Candidates that are neither ejected, unresponsive nor half-open with a request out."""
        if all(state.ejected_until > now for state in self.endpoints.subset):
            return candidates  # any beats none
        in_service = [s for s in candidates if s.ejected_until <= now and s not in unresponsive]
        return [state for state in in_service if not (state.half_open and state.work_in_flight > 0)]


def _cost(state: EndpointState, work: float) -> float:
    """Expected latency, weighted by the chance of a failure."""
    success_rate = max(MIN_SUCCESS_RATE, 1 - state.failure_rate)
    return max(1.0, state.slowdown) * (state.work_in_flight + work) / success_rate**2


def _reason(is_over_limit: bool, has_fitting: bool, has_healthy: bool) -> RejectionReason:
    if is_over_limit:
        return RejectionReason.CONCURRENCY
    if has_fitting:
        return RejectionReason.SLOW_START
    return RejectionReason.NO_CAPACITY if has_healthy else RejectionReason.NO_ENDPOINT
