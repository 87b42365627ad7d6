"""Admission by quota: whether a request is within its customer's quota, and how its units are told."""

from dataclasses import dataclass

from quota_gateway.decisions.context import Context
from quota_gateway.decisions.forwarding import Forwarder
from quota_gateway.state import OpenRequest

IDLE_LOAD = 0.25  # load under which the endpoints bear a wrong guess of what the other gateways use
IDLE_MARGIN = 0.25  # of a full bucket that must be left then
AMPLE_MARGIN = 0.1  # of a full bucket that must be left for a grant that no call stands behind
WORST_FRACTION = 0.9  # of the others' share of a full bucket that they may use at worst
TOTAL_FRESH_TIME = 0.2  # seconds for which a total tells what the bucket holds: the others use little in it
UNSPENT_FRACTION = (
    0.95  # of its guaranteed share that a customer must have left: a part of a unit may be gone
)
RETRY_CHANCE = 0.3  # a retry is most likely beyond its quota: first attempts have the calls before it
MIN_SAMPLE = 0.2  # of requests: one that asks counts for those that could not, five in all at most
MIN_CHANCE = 0.05  # under which no request asks
CALL_TIME = 3  # time-outs of the counter that must be left to a request that asks


@dataclass(slots=True, eq=False)
class QuotaAdmission:
    """Decides on quota and has the request forwarded, or rejected, at once."""

    context: Context
    forwarder: Forwarder

    def admit(self, now: float, request: OpenRequest) -> None:
        """Forward a request that the load admits, or reject it for its quota."""
        account = request.account
        plan = account.plan
        forward = self.forwarder.forward
        leases = self.forwarder.leases
        account.record_demand(now, request.units)
        expected = min(plan.burst, account.tokens - account.expected_remote_usage(now))
        leases.budget.available(now)  # refills it at the rate so far
        even_limit = -(-plan.concurrency_limit // account.serving_gateways)
        if plan.concurrency_limit > 0 and account.open_attempts >= even_limit:
            forward(now, request, within_quota=False)
        elif plan.rate <= 0:
            forward(now, request, within_quota=True)
        elif account.leased >= request.units:
            forward(now, request, within_quota=True, prepaid=True)
            leases.extend_lease(now, account)
        elif not self.context.settings.has_counter or now < leases.budget.unavailable_until:
            forward(now, request, within_quota=self._is_within_guarantee(request, expected))
        elif account.tokens < request.units:
            forward(now, request, within_quota=False)
        elif account.is_sparse:
            self._sample(now, request, expected)
        elif self._is_ample(now, request, expected):
            forward(now, request, within_quota=True)
        else:
            self._admit_near_quota(now, request, expected)

    def _admit_near_quota(self, now: float, request: OpenRequest, expected: float) -> None:
        """By what the bucket is taken to hold, or by the guarantee where no total has come lately."""
        account = request.account
        is_fresh = account.counter_total is not None and now - account.last_synchronised < TOTAL_FRESH_TIME
        is_guaranteed = account.guaranteed_tokens >= request.units and not is_fresh
        self.forwarder.forward(now, request, within_quota=expected >= request.units or is_guaranteed)
        self.forwarder.leases.extend_lease(now, account)

    def _is_within_guarantee(self, request: OpenRequest, expected: float) -> bool:
        """Without a counter the even share is the guarantee, with headroom while the endpoints are idle."""
        account = request.account
        if account.is_sparse:
            is_within = expected >= request.units
        else:
            is_within = account.guaranteed_tokens >= request.units * self.context.rng.random()
        has_headroom = expected - IDLE_MARGIN * account.plan.burst >= request.units
        return is_within or (self.forwarder.gate.controller.load < IDLE_LOAD and has_headroom)

    def _is_ample(self, now: float, request: OpenRequest, expected: float) -> bool:
        """Whether the bucket holds enough even if the other gateways used what they could at worst."""
        account = request.account
        max_remote = WORST_FRACTION * account.plan.burst * (1 - 1 / account.serving_gateways)
        rate = max(account.remote_usage_rate, account.plan.rate)
        surely = expected - min(max_remote, rate * (now - account.last_synchronised))
        return surely - AMPLE_MARGIN * account.plan.burst >= request.units or account.serving_gateways <= 1

    def _sample(self, now: float, request: OpenRequest, expected: float) -> None:
        """Too many gateways for leases: each meets this customer too seldom. Who may call counts for all."""
        account = request.account
        retry_chance = RETRY_CHANCE if request.is_retry else 1.0
        chance = min(1.0, self.forwarder.leases.budget.available(now) / 2) * retry_chance
        call_time = CALL_TIME * self.context.settings.counter_timeout
        asks = request.deadline - now >= call_time and chance >= max(MIN_CHANCE, self.context.rng.random())
        # Without a call one request is granted until the guaranteed share that it took has refilled.
        minimum = max(request.units, UNSPENT_FRACTION * account.guaranteed_capacity)
        is_within = (
            expected >= request.units and not request.is_retry and account.guaranteed_tokens >= minimum
        )
        is_counted = self.forwarder.forward(now, request, within_quota=is_within, prepaid=asks) and is_within
        if asks:
            units = request.units / max(MIN_SAMPLE, chance) * is_counted
            account.reserve(units)
            self.forwarder.leases.call_counter(now, account)
