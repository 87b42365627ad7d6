"""A customer's global quota bucket as one gateway estimates it between the counter's replies."""

from __future__ import annotations

from typing import NamedTuple

from quota_gateway.model import MAY_BE_COUNTED, CallStatus, Plan

SPARSE_SHARE_UNITS = 2  # an account is sparse if its even share of the burst is smaller
# Fraction of their even shares that the other gateways are assumed to use before the counter's first reply.
INITIAL_REMOTE_USAGE_FRACTION = 0.3
REMOTE_USAGE_WINDOW_SECONDS = 3.0  # averaging window of the remote usage rate
MIN_SYNCHRONISATION_SECONDS = 0.05  # a shorter time between two totals counts as this time in the rate
RESET_FRACTION = 0.5  # a total below this fraction of the previous one shows that the counter was reset
# A sparse account does not report an overflow below this fraction of the burst: all gateways that serve the
# account see the same overflow, and each would report it.
SPARSE_OVERFLOW_FRACTION = 0.5


class PendingCall(NamedTuple):
    """A call to the counter that has no reply yet."""

    amount: float  # units
    lease: float  # units of the amount that are requested as a lease
    made_at: float  # Unix time


class GlobalBucket:
    """The global bucket of a customer's quota, and the units that this gateway has taken from it.

    Units that this gateway takes move from ``tokens`` to ``unreported_usage``, and from there to the amount
    of a pending call. Charges, reservations, leases, refunds and failed calls therefore keep the sum

        tokens + unreported_usage + amounts of the pending calls,

    which is the content of the bucket as the counter knows it. A refill adds to the sum. A successful call
    subtracts the growth of the counter's total. A failed call that may have been counted subtracts its own
    amount.

    Exceptions:

    - A charge does not take an empty bucket below zero, but its usage is still reported.
    - Only a sample of the requests of a sparse account report usage.
    - After a reset of the counter, the units that are still leased are reported again.
    - A first total that leaves the bucket deep in debt is ignored.
    - A reply never leaves the bucket in more debt than the pending lease request.

    A lease is usage that is reported before it is granted: ``lease_requested`` is the lease of the pending
    calls, and ``leased`` the part of the settled leases that has been neither granted nor returned.

    All amounts are in units. ``Account`` is a subclass instead of the owner of an instance: one more object
    per account would cost memory.
    """

    __slots__ = (
        "counter_total",
        "is_sparse",
        "last_call_at",
        "last_synchronised",
        "lease_requested",
        "leased",
        "pending_calls",
        "plan",
        "remote_usage_rate",
        "serving_gateways",
        "tokens",
        "unreported_usage",
        "updated_at",
    )

    def __init__(self, now: float, plan: Plan, serving_gateways: int, started_at: float) -> None:
        """Create the bucket at the first request, at ``now``, in a gateway started at ``started_at``."""
        self.serving_gateways = max(1, serving_gateways)
        self.set_plan(plan)
        self.updated_at = now  # time of the last refill
        self.tokens = plan.burst + plan.rate * (now - started_at)  # the first total cuts them to the burst
        self.unreported_usage = 0.0
        self.pending_calls: list[PendingCall] = []  # in the order of their replies
        self.last_call_at = now
        self.leased = 0.0
        self.lease_requested = 0.0
        self.counter_total: float | None = None  # the counter's last total
        self.last_synchronised = started_at  # time of the last total; until the first one, of the start
        other_gateways = self.serving_gateways - 1
        remote_share = plan.rate * other_gateways / self.serving_gateways
        self.remote_usage_rate = remote_share * INITIAL_REMOTE_USAGE_FRACTION  # units per second

    def set_plan(self, plan: Plan) -> None:
        """Set the plan; the next refill cuts the bucket to its new capacity."""
        self.plan = plan
        self.is_sparse = plan.burst < SPARSE_SHARE_UNITS * self.serving_gateways

    def expected_remote_usage(self, now: float) -> float:
        """Return the expected usage of the other gateways since the counter's last total."""
        return self.remote_usage_rate * (now - self.last_synchronised)

    def charge(self, units: float, *, is_reported: bool) -> None:
        """Charge an admitted request, and report it to the counter with the next call if ``is_reported``."""
        self.tokens = min(self.tokens, max(0.0, self.tokens - units))
        if is_reported:
            self.unreported_usage += units

    def reserve(self, units: float) -> None:
        """Take units that the next counter call reports, even if the bucket holds fewer."""
        self.unreported_usage += units
        self.tokens -= units

    def reserve_lease(self, units: float) -> None:
        """Take units that the next counter call requests as a lease."""
        self.lease_requested = units
        self.reserve(units)

    def charge_lease(self, units: float) -> None:
        """Grant leased units to an admitted request; the counter has recorded them as used already."""
        self.leased -= units

    def return_lease(self, units: float) -> None:
        """Return leased units to the bucket; the next counter call reports them."""
        self.leased -= units
        self.tokens += units
        self.unreported_usage -= units

    def begin_counter_call(self, now: float, lease: float) -> float:
        """Move all unreported usage to a pending call, ``lease`` of it as a lease, and return its amount."""
        amount = self.unreported_usage
        self.pending_calls.append(PendingCall(amount, lease, now))
        self.unreported_usage = 0.0
        self.last_call_at = now
        return amount

    def settle_counter_call(self, now: float, status: CallStatus, total: float) -> PendingCall:
        """Settle the oldest pending call with its reply or failure, and return the call.

        A call that may have been counted is treated as counted; otherwise its units might be counted twice.
        """
        call = self.pending_calls.pop(0)
        self.lease_requested -= call.lease
        if status is CallStatus.OK:
            self._synchronise(now, total, call)
        if status in MAY_BE_COUNTED:
            self.leased += call.lease
        else:
            self.unreported_usage = self.unreported_usage + call.amount - call.lease
            self.tokens += call.lease
        if status is CallStatus.OK:
            # Return the leased units that the bucket did not hold.
            uncovered = max(0.0, min(self.leased, -self.tokens))
            self.return_lease(uncovered)
        self.tokens = max(self.tokens, -self.lease_requested)
        return call

    def _synchronise(self, now: float, total: float, call: PendingCall) -> None:
        """Deduct the usage of the other gateways: the change of the total without the amount of this call."""
        last_total = self.counter_total or 0.0
        returned = min(0.0, call.amount)  # a call that returns units lowers the total without a reset
        was_reset = total - returned < last_total * RESET_FRACTION
        remote_usage = max(0.0, total - call.amount) if was_reset else total - call.amount - last_total
        self._update_remote_usage_rate(now, remote_usage)
        self.tokens -= remote_usage
        if self.counter_total is None and self.tokens < -self.plan.burst:
            # The total includes usage from before the start of this gateway, so it does not show the bucket's
            # content.
            self.tokens = self.plan.burst / 2
        if was_reset:
            self.unreported_usage += self.leased  # the counter has lost the usage of the lease
        self.counter_total = total
        self.last_synchronised = now
        self._report_overflow(call.lease)

    def _update_remote_usage_rate(self, now: float, remote_usage: float) -> None:
        elapsed = max(MIN_SYNCHRONISATION_SECONDS, now - self.last_synchronised)
        weight = min(1.0, elapsed / REMOTE_USAGE_WINDOW_SECONDS)
        self.remote_usage_rate += weight * (max(0.0, remote_usage) / elapsed - self.remote_usage_rate)

    def _report_overflow(self, settled_lease: float) -> None:
        """Count tokens above the burst as used, so that the total alone shows the bucket's content."""
        burst = self.plan.burst
        overflow = max(0.0, self.tokens + self.leased + settled_lease - burst)
        self.tokens -= overflow
        if not self.is_sparse or overflow > SPARSE_OVERFLOW_FRACTION * burst:
            self.unreported_usage += overflow
