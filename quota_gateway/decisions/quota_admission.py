"""Admission by quota: whether a request is within its customer's quota, and how its units are reported."""

from dataclasses import dataclass

from quota_gateway.decisions.context import Context
from quota_gateway.decisions.forwarding import Forwarder
from quota_gateway.state import Account, OpenRequest

# Without the counter, a request beyond the guaranteed share is granted while the load is below
# MAX_HEADROOM_LOAD, if the bucket then still holds HEADROOM_RESERVE_FRACTION of the burst.
MAX_HEADROOM_LOAD = 0.25
HEADROOM_RESERVE_FRACTION = 0.25
# The bucket is ample if it still holds this fraction of the burst after a request that no lease covers.
AMPLE_RESERVE_FRACTION = 0.1
MAX_REMOTE_FRACTION = 0.9  # largest assumed usage of the other gateways, as a fraction of their even shares
FRESH_TOTAL_SECONDS = 0.2  # up to this age of a total, the remote usage since then is negligible
# A sparse account has its guarantee while the guaranteed share holds this fraction of its capacity. The
# whole capacity is not required, since a fraction of a unit may have been charged.
MIN_GUARANTEE_FRACTION = 0.95
FULL_SAMPLING_CALLS = 2  # with this many calls in the budget, each request of a sparse account makes a call
# Multiplies the probability of a call for a client's retry, which is most likely over the quota.
RETRY_CALL_FACTOR = 0.3
MIN_CALL_PROBABILITY = 0.05  # below this probability no request calls the counter
MIN_SAMPLED_FRACTION = 0.2  # a call reports the units of at most 1 / MIN_SAMPLED_FRACTION requests
MIN_CALL_TIMEOUTS = 3  # a request makes a call only if this many counter timeouts are left to its deadline


@dataclass(slots=True, eq=False)
class QuotaAdmission:
    """Decides whether a request is within its quota, and forwards or rejects it without delay."""

    context: Context
    forwarder: Forwarder

    def admit(self, now: float, request: OpenRequest) -> None:
        """Forward a request that passed the admission gate, or reject it for its quota."""
        account = request.account
        leases = self.forwarder.leases
        account.record_demand(now, request.units)
        leases.budget.refill(now)
        if self._is_over_concurrency_limit(account):
            self.forwarder.forward(now, request, within_quota=False)
        elif account.plan.rate <= 0:
            self.forwarder.forward(now, request, within_quota=True)
        elif account.leased >= request.units:
            self.forwarder.forward(now, request, within_quota=True, skip_bucket_charge=True)
            leases.extend_lease(now, account)
        elif not self.context.settings.has_counter or now < leases.budget.unavailable_until:
            self._admit_without_counter(now, request)
        else:
            self._admit_from_bucket(now, request)

    def _is_over_concurrency_limit(self, account: Account) -> bool:
        """Whether this gateway's even share of the plan's concurrency limit, rounded up, is in use."""
        limit = account.plan.concurrency_limit
        return limit > 0 and account.open_attempts >= -(-limit // account.serving_gateways)

    def _expected_tokens(self, now: float, account: Account) -> float:
        """Return the content of the bucket less the expected usage of the other gateways."""
        return min(account.plan.burst, account.tokens - account.expected_remote_usage(now))

    def _admit_without_counter(self, now: float, request: OpenRequest) -> None:
        """Decide by the guaranteed share and, while the endpoints have low load, by the expected bucket."""
        account = request.account
        expected = self._expected_tokens(now, account)
        if account.is_sparse:
            is_within_guarantee = expected >= request.units
        else:
            # A request larger than the share is granted with the probability guaranteed_tokens / units.
            is_within_guarantee = account.guaranteed_tokens >= request.units * self.context.rng.random()
        has_headroom = expected - HEADROOM_RESERVE_FRACTION * account.plan.burst >= request.units
        is_low_load = self.forwarder.gate.controller.load < MAX_HEADROOM_LOAD
        within_quota = is_within_guarantee or (is_low_load and has_headroom)
        self.forwarder.forward(now, request, within_quota=within_quota)

    def _admit_from_bucket(self, now: float, request: OpenRequest) -> None:
        """Decide by the estimated content of the global bucket."""
        account = request.account
        if account.tokens < request.units:
            self.forwarder.forward(now, request, within_quota=False)
            return
        expected = self._expected_tokens(now, account)
        if account.is_sparse:
            self._admit_sampled(now, request, expected)
        elif self._is_ample(now, request, expected):
            self.forwarder.forward(now, request, within_quota=True)
        else:
            self._admit_near_quota(now, request, expected)

    def _is_ample(self, now: float, request: OpenRequest, expected: float) -> bool:
        """Whether the bucket covers the request even at the highest assumed usage of the other gateways."""
        account = request.account
        burst = account.plan.burst
        max_remote_usage = MAX_REMOTE_FRACTION * burst * (1 - 1 / account.serving_gateways)
        max_remote_rate = max(account.remote_usage_rate, account.plan.rate)
        usage_since_total = max_remote_rate * (now - account.last_synchronised)
        min_tokens = expected - min(max_remote_usage, usage_since_total)
        return min_tokens - AMPLE_RESERVE_FRACTION * burst >= request.units or account.serving_gateways <= 1

    def _admit_near_quota(self, now: float, request: OpenRequest, expected: float) -> None:
        """Decide by the expected content of the bucket or, if the last total is old, by the guarantee."""
        account = request.account
        total_age = now - account.last_synchronised
        is_fresh = account.counter_total is not None and total_age < FRESH_TOTAL_SECONDS
        is_guaranteed = account.guaranteed_tokens >= request.units and not is_fresh
        self.forwarder.forward(now, request, within_quota=expected >= request.units or is_guaranteed)
        self.forwarder.leases.extend_lease(now, account)

    def _admit_sampled(self, now: float, request: OpenRequest, expected: float) -> None:
        """Decide on a request of a sparse account, whose requests at this gateway are too few for a lease.

        A random sample of these requests calls the counter, and reports the units of the others as well.
        """
        account = request.account
        probability = self._call_probability(now, request)
        makes_call = self._makes_call(now, request, probability)
        # Without calls, the guarantee allows one request until its units have refilled.
        min_guaranteed = max(request.units, MIN_GUARANTEE_FRACTION * account.guaranteed_capacity)
        is_guaranteed = account.guaranteed_tokens >= min_guaranteed
        is_within_quota = expected >= request.units and not request.is_retry and is_guaranteed
        is_forwarded = self.forwarder.forward(
            now, request, within_quota=is_within_quota, skip_bucket_charge=makes_call
        )
        if makes_call:
            is_counted = is_forwarded and is_within_quota
            account.reserve(request.units / max(MIN_SAMPLED_FRACTION, probability) * is_counted)
            self.forwarder.leases.call_counter(now, account)

    def _call_probability(self, now: float, request: OpenRequest) -> float:
        """Return the probability that a request of a sparse account calls the counter."""
        probability = min(1.0, self.forwarder.leases.budget.available(now) / FULL_SAMPLING_CALLS)
        return probability * (RETRY_CALL_FACTOR if request.is_retry else 1.0)

    def _makes_call(self, now: float, request: OpenRequest, probability: float) -> bool:
        min_time = MIN_CALL_TIMEOUTS * self.context.settings.counter_timeout
        if request.deadline - now < min_time:
            return False
        return probability >= max(MIN_CALL_PROBABILITY, self.context.rng.random())
