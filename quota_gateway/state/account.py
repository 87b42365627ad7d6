"""The state of a customer's quota at one gateway: global bucket, guaranteed share, hard ceiling and lease."""

from __future__ import annotations

from hashlib import blake2b
from math import exp
from typing import NamedTuple

from quota_gateway.arithmetic import refilled
from quota_gateway.model import AccountHandover, Plan


class PendingCall(NamedTuple):
    """A call to the counter without its reply."""

    amount: float  # units
    leased: float  # the part of them that is asked for as a lease
    made_at: float


class Account:
    """One customer's quota, in units; many customers come once only, so it is kept small."""

    __slots__ = (
        "ceiling_tokens",
        "counter_id",
        "counter_total",
        "demand",
        "demand_at",
        "guaranteed_capacity",
        "guaranteed_tokens",
        "is_sparse",
        "last_call",
        "last_synchronised",
        "lease_requested",
        "leased",
        "name",
        "open_attempts",
        "pending_calls",
        "plan",
        "remote_usage",
        "serving_gateways",
        "share_count",
        "tokens",
        "unreported_usage",
        "updated_at",
    )

    def __init__(
        self,
        now: float,
        plan: Plan,
        name: str,
        gateways: int = 1,
        started_at: float = 0.0,
        max_units: float = 1.0,
        process_count: int = 1,
    ) -> None:
        """An account first met at ``now`` by a gateway that started at ``started_at``."""
        age = now - started_at
        label = f"{plan.name} {name}".encode()
        self.name = name
        self.counter_id = int.from_bytes(blake2b(label, digest_size=8).digest(), "big") >> 1
        self.updated_at = now
        self.serving_gateways = max(1, gateways)  # that serve this customer
        # Shares that ceiling and guarantee are split into.
        self.share_count = self.serving_gateways * process_count
        self.tokens = plan.burst + plan.rate * age  # in the global bucket; a total of the counter cuts them
        self.set_plan(plan, max_units)
        self.guaranteed_tokens = self.guaranteed_capacity  # tokens of the guaranteed share
        # A restart finds the ceiling's bucket used, so the share fills from this instance's start.
        self.ceiling_tokens = refilled(0.0, plan.ceiling_rate, age, plan.ceiling_burst) / self.share_count
        self.counter_total: float | None = None
        self.last_synchronised = started_at  # with a total of the counter; at first the start
        self.remote_usage = 0.0  # units a second that other gateways grant
        self.unreported_usage = 0.0  # that the counter has not been told of
        self.pending_calls: list[PendingCall] = []
        self.last_call = now  # to the counter
        self.leased = 0.0  # that the counter has as used and this gateway may still grant
        self.lease_requested = 0.0  # asked for and not yet answered
        self.open_attempts = 0
        self.demand = 0.0  # units a second asked for here, inside the quota or not, as of ``demand_at``
        self.demand_at = now

    def set_plan(self, plan: Plan, max_units: float) -> None:
        """Take the plan's terms, at first and when they change; a refill cuts the buckets to them."""
        self.plan = plan
        self.is_sparse = plan.burst < 2 * self.serving_gateways  # the even share holds next to nothing
        minimum = min(max_units, plan.burst) if self.is_sparse else 0.0
        self.guaranteed_capacity = max(plan.burst / self.serving_gateways, minimum)

    def refill(self, now: float) -> None:
        """Refill all three buckets up to now."""
        plan = self.plan
        elapsed = max(0.0, now - self.updated_at)
        self.updated_at = now
        capacity = plan.burst + plan.rate * (now - self.last_synchronised)
        self.tokens = refilled(self.tokens, plan.rate, elapsed, capacity)
        self.guaranteed_tokens = refilled(
            self.guaranteed_tokens, plan.rate / self.share_count, elapsed, self.guaranteed_capacity
        )
        ceiling = refilled(
            self.ceiling_tokens * self.share_count, plan.ceiling_rate, elapsed, plan.ceiling_burst
        )
        self.ceiling_tokens = ceiling / self.share_count

    def demand_now(self, now: float, window: float) -> float:
        """Units a second that are asked for here; the mean forgets within ``window`` seconds."""
        return self.demand * exp((self.demand_at - now) / window)

    def add_demand(self, now: float, units: float, window: float) -> None:
        """A request asks for units, inside the quota or not."""
        self.demand = self.demand_now(now, window) + units / window
        self.demand_at = now

    def is_ceiling_full(self, now: float) -> bool:
        """Whether the ceiling's bucket has filled up by now."""
        filled = self.ceiling_tokens * self.share_count + self.plan.ceiling_rate * (now - self.updated_at)
        return filled >= self.plan.ceiling_burst

    def return_lease(self, units: float) -> None:
        """Give leased units back to the global bucket; the counter is told with the next report."""
        self.leased -= units
        self.tokens += units
        self.unreported_usage -= units

    def adjust(self, units: float) -> None:
        """The answer told the true units: count so many more (or fewer) than were taken."""
        self.tokens -= units
        self.guaranteed_tokens = min(self.guaranteed_capacity, self.guaranteed_tokens - units)
        self.unreported_usage += units

    def set_process_count(
        self, now: float, process_count: int, alone_until: float | None = None
    ) -> AccountHandover:
        """Split the shares among the processes of this limiter; gives what a new one may take over.

        Until ``alone_until`` (now, where it is not given) the old split surely held. From then on a new
        process may have refilled its own part, so that this one has no more than its own either.
        """
        self.refill(max(self.updated_at, min(now, alone_until if alone_until is not None else now)))
        before = self.share_count
        self.share_count = self.serving_gateways * process_count
        if self.share_count <= before:
            self.refill(now)
            return self._export(ceiling_tokens=0.0)
        self.ceiling_tokens *= before / self.share_count
        given_away = self.ceiling_tokens
        self.refill(now)
        return self._export(given_away)

    def _export(self, ceiling_tokens: float) -> AccountHandover:
        # What the counter is still to be told comes to the other process as usage of the other gateways.
        in_calls = sum(call.amount for call in self.pending_calls)
        return AccountHandover(
            plan=self.plan.name,
            account=self.name,
            serving_gateways=self.serving_gateways,
            tokens=self.tokens + self.unreported_usage + in_calls,
            guaranteed_tokens=self.guaranteed_tokens,
            ceiling_tokens=ceiling_tokens,
            remote_usage_rate=self.remote_usage,
            last_synchronised=self.last_synchronised,
            counter_total=self.counter_total,
        )

    def take_over(self, now: float, handover: AccountHandover) -> None:
        """Take the count of the process before, and the part of the ceiling that it gave away."""
        self.refill(now)
        capacity = self.plan.ceiling_burst / self.share_count
        self.ceiling_tokens = min(capacity, self.ceiling_tokens + handover.ceiling_tokens)
        self.guaranteed_tokens = min(self.guaranteed_tokens, handover.guaranteed_tokens)
        is_fresh = self.counter_total is None and not self.pending_calls
        if is_fresh and handover.counter_total is not None and handover.last_synchronised <= now:
            self.counter_total = handover.counter_total
            self.last_synchronised = handover.last_synchronised
            self.remote_usage = handover.remote_usage_rate
            self.tokens = min(self.tokens, handover.tokens) - self.unreported_usage
