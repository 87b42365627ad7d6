"""A customer's account at one gateway: the global bucket, the local shares, demand and open attempts."""

from __future__ import annotations

from hashlib import blake2b
from math import exp

from quota_gateway.arithmetic import refilled
from quota_gateway.model import AccountHandover, Plan
from quota_gateway.state.global_bucket import GlobalBucket

DEMAND_WINDOW_SECONDS = 2.0  # averaging window of the demand


class Account(GlobalBucket):
    """A customer's quota: the estimated global bucket, and what this process enforces alone.

    - Guaranteed share: this gateway's even share of the quota, granted even if the counter is unavailable.
    - Ceiling: the plan's hard limit. The processes of all gateways own disjoint parts of its bucket, whose
      sum never exceeds the ceiling's burst. A request is charged to the part of the process that admits it.
    - Demand: moving average of the requested units per second, admitted or not.

    All amounts are in units. Many customers send a single request, so the memory of an account matters.
    """

    __slots__ = (
        "ceiling_tokens",
        "counter_id",
        "demand",
        "demand_at",
        "guaranteed_capacity",
        "guaranteed_tokens",
        "name",
        "open_attempts",
        "share_count",
    )

    def __init__(
        self,
        now: float,
        plan: Plan,
        name: str,
        serving_gateways: int = 1,
        *,
        started_at: float = 0.0,
        max_units: float = 1.0,
        process_count: int = 1,
    ) -> None:
        """Create the account at its first request at ``now``, in a gateway that started at ``started_at``."""
        super().__init__(now, plan, serving_gateways, started_at)
        self.name = name
        label = f"{plan.name} {name}".encode()
        self.counter_id = int.from_bytes(blake2b(label, digest_size=8).digest(), "big") >> 1
        self.share_count = self.serving_gateways * process_count  # number of processes that share the limits
        self.set_guaranteed_capacity(max_units)
        self.guaranteed_tokens = self.guaranteed_capacity
        # A previous process may have used up its part of the ceiling. The new part therefore starts empty at
        # ``started_at`` and has been refilled since then.
        uptime = now - started_at
        self.ceiling_tokens = refilled(0.0, plan.ceiling_rate, uptime, plan.ceiling_burst) / self.share_count
        self.demand = 0.0  # units per second as of ``demand_at``
        self.demand_at = now
        self.open_attempts = 0

    def set_guaranteed_capacity(self, max_units: float) -> None:
        """Set the capacity of the guaranteed share; for a sparse account it covers ``max_units``."""
        burst = self.plan.burst
        minimum = min(max_units, burst) if self.is_sparse else 0.0
        self.guaranteed_capacity = max(burst / self.serving_gateways, minimum)

    def reconfigure(self, now: float, plan: Plan, max_units: float) -> None:
        """Apply a changed plan from ``now`` on; the next refill cuts the buckets to their new capacities."""
        self.refill(now)
        self.set_plan(plan)
        self.set_guaranteed_capacity(max_units)

    def refill(self, now: float) -> None:
        """Refill the global bucket, the guaranteed share and the ceiling up to ``now``."""
        elapsed = max(0.0, now - self.updated_at)
        self.updated_at = now
        plan = self.plan
        # The counter's next total deducts what the other gateways have used since the last total. Until then,
        # the bucket may exceed the burst by what it has been refilled since the last total.
        capacity = plan.burst + plan.rate * (now - self.last_synchronised)
        self.tokens = refilled(self.tokens, plan.rate, elapsed, capacity)
        guaranteed_rate = plan.rate / self.share_count
        self.guaranteed_tokens = refilled(
            self.guaranteed_tokens, guaranteed_rate, elapsed, self.guaranteed_capacity
        )
        total_ceiling_tokens = self.ceiling_tokens * self.share_count
        refilled_total = refilled(total_ceiling_tokens, plan.ceiling_rate, elapsed, plan.ceiling_burst)
        self.ceiling_tokens = refilled_total / self.share_count

    @property
    def is_in_use(self) -> bool:
        """Whether the account has open attempts, counter calls without a reply, or a lease."""
        return bool(self.open_attempts or self.pending_calls or self.leased)

    def is_ceiling_full(self, now: float) -> bool:
        """Whether a refill up to ``now`` would fill the ceiling's bucket."""
        filled = self.ceiling_tokens * self.share_count + self.plan.ceiling_rate * (now - self.updated_at)
        return filled >= self.plan.ceiling_burst

    def demand_rate(self, now: float) -> float:
        """Return the average of the requested units per second."""
        return self.demand * exp((self.demand_at - now) / DEMAND_WINDOW_SECONDS)

    def record_demand(self, now: float, units: float) -> None:
        """Record that a request for ``units`` has arrived."""
        self.demand = self.demand_rate(now) + units / DEMAND_WINDOW_SECONDS
        self.demand_at = now

    def charge_shares(self, units: float, *, within_quota: bool) -> None:
        """Charge an admitted request to the ceiling; within the quota, charge the guaranteed share too."""
        self.ceiling_tokens -= units if self.plan.ceiling_rate > 0 else 0.0
        if within_quota:
            self.guaranteed_tokens = max(-units, self.guaranteed_tokens - units)

    def correct_charge(self, difference: float) -> None:
        """Charge the difference between the actual and the assumed units of a request; it may be negative."""
        self.reserve(difference)
        self.guaranteed_tokens = min(self.guaranteed_capacity, self.guaranteed_tokens - difference)

    def start_attempt(self) -> None:
        """Count an attempt against the concurrency limit."""
        self.open_attempts += 1

    def finish_attempt(self) -> None:
        """Release an attempt that has ended or was abandoned."""
        self.open_attempts -= 1

    def set_process_count(
        self, now: float, process_count: int, alone_until: float | None = None
    ) -> AccountHandover:
        """Split the shares among this limiter's processes, and return the state for a process that joins.

        The number of processes may have changed at any time after ``alone_until`` (default: ``now``). Since
        then a joining process may have refilled its own part, so this process refills only its new part.
        """
        split_at = alone_until if alone_until is not None else now
        self.refill(max(self.updated_at, min(now, split_at)))
        previous_share_count = self.share_count
        self.share_count = self.serving_gateways * process_count
        if self.share_count <= previous_share_count:
            self.refill(now)
            return self._export(ceiling_tokens=0.0)
        self.ceiling_tokens *= previous_share_count / self.share_count
        handed_over = self.ceiling_tokens
        self.refill(now)
        return self._export(handed_over)

    def _export(self, ceiling_tokens: float) -> AccountHandover:
        # Usage that the counter has not confirmed is added back: the other process deducts it as soon as the
        # counter's totals include it.
        pending_amount = sum(call.amount for call in self.pending_calls)
        return AccountHandover(
            plan=self.plan.name,
            account=self.name,
            serving_gateways=self.serving_gateways,
            tokens=self.tokens + self.unreported_usage + pending_amount,
            guaranteed_tokens=self.guaranteed_tokens,
            ceiling_tokens=ceiling_tokens,
            remote_usage_rate=self.remote_usage_rate,
            last_synchronised=self.last_synchronised,
            counter_total=self.counter_total,
        )

    def take_over(self, now: float, handover: AccountHandover) -> None:
        """Add the ceiling tokens that another process hands over, and adopt its estimate of the quota."""
        self.refill(now)
        capacity = self.plan.ceiling_burst / self.share_count
        self.ceiling_tokens = min(capacity, self.ceiling_tokens + handover.ceiling_tokens)
        self.guaranteed_tokens = min(self.guaranteed_tokens, handover.guaranteed_tokens)
        has_own_total = self.counter_total is not None or self.pending_calls
        if not has_own_total and handover.counter_total is not None and handover.last_synchronised <= now:
            self._adopt_total(handover.counter_total, handover)

    def _adopt_total(self, counter_total: float, handover: AccountHandover) -> None:
        self.counter_total = counter_total
        self.last_synchronised = handover.last_synchronised
        self.remote_usage_rate = handover.remote_usage_rate
        self.tokens = min(self.tokens, handover.tokens) - self.unreported_usage
