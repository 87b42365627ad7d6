"""Load balancing: picks the cheaper of two random endpoints that are healthy and below their limits."""

from dataclasses import dataclass

from quota_gateway.decisions.admission import PRIORITY_RESERVE_FRACTION, AdmissionGate
from quota_gateway.decisions.context import Context
from quota_gateway.decisions.controller import LOW_LOAD, REFERENCE_LOAD
from quota_gateway.decisions.endpoint_set import EndpointSet
from quota_gateway.decisions.slow_start import SlowStart
from quota_gateway.model import DeduplicationScope, Idempotency, RejectionReason
from quota_gateway.state import EndpointState, OpenRequest

# Concurrency limit of the subset, in requests of mean work.
MIN_REQUESTS_PER_ENDPOINT = 4.0  # minimum limit for one endpoint, shared by all gateways
MIN_REQUESTS_WITHOUT_SLACK = 3  # a gateway whose minimum limit is lower is sparse and has slack
MAX_SLACK_REQUESTS = 3.0  # added to the limit of a sparse gateway while the endpoints are idle
SLACK_SLOPE_REQUESTS = 2.5  # the slack falls by this number as the load rises from 0 to the reference load
# For bursts, a limit of n requests is raised at load 0 by n + BURST_REQUESTS * sqrt(n) requests. The raise
# falls to 0 as the load rises to LOW_LOAD.
BURST_REQUESTS = 4
# Fraction of the limits of the subset and of its endpoints that requests of the lowest priority may not use.
PRIORITY_FRACTION = 0.5 * PRIORITY_RESERVE_FRACTION
OWN_WORK_FRACTION = 0.5  # part of a request's own work that has to fit under a limit
# The minimum limit of one endpoint is MIN_ENDPOINT_FRACTION of the mean limit of the warm endpoints, or
# MIN_ENDPOINT_REQUESTS requests of mean work if that is more.
MIN_ENDPOINT_FRACTION = 0.5
MIN_ENDPOINT_REQUESTS = 3.5
# Choice among the admitted endpoints.
MIN_SUCCESS_RATE = 0.05  # lower bound of the success rate in the cost of an endpoint
RANDOM_CHOICES = 2  # number of random endpoints of which the cheapest is picked


@dataclass(slots=True, eq=False)
class LoadBalancer:
    """Picks the endpoint of an attempt."""

    context: Context
    endpoints: EndpointSet
    gate: AdmissionGate
    slow_start: SlowStart
    rejection_reason: RejectionReason = RejectionReason.NO_ENDPOINT  # valid if the last pick returned None

    def pick(self, now: float, request: OpenRequest) -> EndpointState | None:
        """Return the endpoint for the next attempt, or None if no endpoint may receive it."""
        subset = self.endpoints.subset
        warm = [state for state in subset if state.warming_since is None]
        warm_limit = self.context.target_residence_time * sum([state.work_rate for state in warm])
        unreserved = 1 - PRIORITY_FRACTION * (1 - request.priority_percentile)
        subset_limit = self._subset_limit(warm_limit) * unreserved
        unresponsive = self._unresponsive(now)
        is_full = self._is_full(now, request, warm, unresponsive, subset_limit)
        if is_full and len(warm) == len(subset):
            self.rejection_reason = RejectionReason.CONCURRENCY
            return None
        healthy = self._healthy(now, self._candidates(request), unresponsive)
        mean_limit = warm_limit / max(1, len(warm))
        fitting = self._fitting(healthy, request, mean_limit, unreserved)
        if is_full:  # endpoints that are warming up have an allowance outside this limit
            fitting = [state for state in fitting if state.warming_since is not None]
        self.rejection_reason = _rejection_reason(
            is_full=is_full, has_fitting=bool(fitting), has_healthy=bool(healthy)
        )
        admitted = [state for state in fitting if self.slow_start.admits(now, state, request.work)]
        return self._choose(admitted, request.work)

    def _subset_limit(self, warm_limit: float) -> float:
        """Return the work that the subset may have in flight.

        ``warm_limit`` follows Little's law: the rate of the warm endpoints times the target residence time.
        """
        load = self.gate.controller.load
        mean_work = self.gate.work_estimator.mean_work
        ring_size = len(self.endpoints.hash_ring)
        min_requests = MIN_REQUESTS_PER_ENDPOINT * ring_size / self.context.settings.gateway_count
        idle_slack = MAX_SLACK_REQUESTS - SLACK_SLOPE_REQUESTS * load / REFERENCE_LOAD
        slack = max(self.context.rng.random(), idle_slack)
        if min_requests >= MIN_REQUESTS_WITHOUT_SLACK:
            slack = 0.0
        limit = max(warm_limit, mean_work * min_requests) + mean_work * slack
        # The work rates are averages over seconds, so they lag behind a burst that idle endpoints can serve.
        if self.gate.controller.integral is not None:
            idleness = max(0.0, 1 - load / LOW_LOAD)
            limit += idleness * (limit + BURST_REQUESTS * (limit * mean_work) ** 0.5)
        return limit

    def _unresponsive(self, now: float) -> list[EndpointState]:
        """Return the unresponsive endpoints, or none if most are: so many are probably slow, not hung."""
        unresponsive = self.endpoints.unresponsive(now)
        return unresponsive if len(unresponsive) <= len(self.endpoints.subset) / 2 else []

    def _is_full(
        self,
        now: float,
        request: OpenRequest,
        warm: list[EndpointState],
        unresponsive: list[EndpointState],
        limit: float,
    ) -> bool:
        """Whether the work in flight at the warm endpoints leaves no room for the request.

        Endpoints that are warming up do not count: they respond slowly, so they have more work in flight than
        their completion rate explains.
        """
        # Without a measured load all requests are admitted, and the work rates are not yet known.
        if self.gate.controller.integral is None:
            return False
        work_in_flight = [s.work_in_flight for s in warm if s not in unresponsive and s.ejected_until <= now]
        return sum(work_in_flight) + OWN_WORK_FRACTION * request.work > limit

    def _candidates(self, request: OpenRequest) -> list[EndpointState]:
        """Return the endpoints where another attempt is harmless, preferably those not attempted yet."""
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
        """Return the candidates that are neither ejected, unresponsive nor half-open with work in flight.

        If the whole subset is ejected, return all candidates: any endpoint is better than none.
        """
        if all(state.ejected_until > now for state in self.endpoints.subset):
            return candidates
        in_service = [s for s in candidates if s.ejected_until <= now and s not in unresponsive]
        return [state for state in in_service if not (state.half_open and state.work_in_flight > 0)]

    def _fitting(
        self, healthy: list[EndpointState], request: OpenRequest, mean_limit: float, unreserved: float
    ) -> list[EndpointState]:
        """Return the endpoints whose own limit leaves room for the request."""
        residence_time = self.context.target_residence_time
        min_limit = max(
            MIN_ENDPOINT_FRACTION * mean_limit, MIN_ENDPOINT_REQUESTS * self.gate.work_estimator.mean_work
        )
        own_work = OWN_WORK_FRACTION * request.work
        return [
            state
            for state in healthy
            if state.work_in_flight + own_work
            <= max(residence_time * state.work_rate, min_limit) * unreserved
        ]

    def _choose(self, admitted: list[EndpointState], work: float) -> EndpointState | None:
        """Return the cheaper of two random endpoints: all gateways would pick the same cheapest one."""
        if len(admitted) > RANDOM_CHOICES:
            admitted = self.context.rng.sample(admitted, RANDOM_CHOICES)
        return min(admitted, key=lambda state: _cost(state, work), default=None)


def _cost(state: EndpointState, work: float) -> float:
    """Return the expected latency, increased by the probability of a failure."""
    success_rate = max(MIN_SUCCESS_RATE, 1 - state.failure_rate)
    return max(1.0, state.slowdown.recent) * (state.work_in_flight + work) / success_rate**2


def _rejection_reason(*, is_full: bool, has_fitting: bool, has_healthy: bool) -> RejectionReason:
    """Return the reason that applies if slow start admits none of the fitting endpoints."""
    if is_full:
        return RejectionReason.CONCURRENCY
    if has_fitting:
        return RejectionReason.SLOW_START
    return RejectionReason.NO_CAPACITY if has_healthy else RejectionReason.NO_ENDPOINT
