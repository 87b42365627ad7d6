"""Usage reports to the shared counter, and leases of units ahead of demand.

No request waits for a counter call.
"""

from dataclasses import dataclass, field
from math import inf

from quota_gateway.decisions.account_table import AccountTable
from quota_gateway.decisions.context import Context
from quota_gateway.decisions.counter_budget import CounterBudget
from quota_gateway.model import CallStatus, CounterReplied, IncrementCounter
from quota_gateway.state import Account

COUNT_LIFETIME_SECONDS = 60.0  # the counter deletes a total that was not incremented for this time
MIN_LEASE_SECONDS = 0.5  # a lease covers the demand of at least this time
# A lease covers the demand of at most this time: it is lost if the gateway exits without returning it.
MAX_LEASE_SECONDS = 3.0
LEASE_CALLS_FRACTION = 0.5  # largest fraction of the counter budget's rate for extending leases
MAX_LEASED_FRACTION = 0.5  # largest fraction of this gateway's share of the bucket that is leased
EXTENSION_FRACTION = 0.5  # a lease is extended when less than this fraction of its full size is left
RETURN_FACTOR = 2.0  # a lease above this multiple of the largest useful lease is cut to its size
REFRESH_SECONDS = 0.5  # interval between counter calls for a bucket that is estimated to be empty
EAGER_REPORT_FRACTION = 0.3  # from this fraction of the even share on, unreported usage is reported at once
BACKLOG_FRACTION = 0.25  # unreported usage above this fraction of the burst is reported after a reply
OVERDUE_REPORT_SECONDS = 1.0  # usage that is still unreported this long after the last call is overdue
OVERDUE_REPORT_FRACTION = 0.7  # overdue usage is reported if the bucket is below this fraction of the burst
MIN_UNITS = 1e-9  # smaller amounts are rounding errors of float sums


def _lease_size(now: float, account: Account, horizon: float) -> float:
    """Return the units that the lease lacks for ``horizon`` seconds of demand, up to this gateway's share.

    The share is proportional to demand, since even shares would leave those of idle gateways unused.
    """
    demand = account.demand_rate(now)
    available = max(0.0, account.tokens - account.expected_remote_usage(now))
    total_demand = max(MIN_UNITS, demand + account.remote_usage_rate)
    share = MAX_LEASED_FRACTION * available * demand / total_demand
    return min(demand * horizon, share) - account.leased


@dataclass(slots=True, eq=False)
class LeaseManager:
    """Makes the calls to the counter, handles their replies and tracks the accounts that hold leases."""

    context: Context
    account_table: AccountTable
    budget: CounterBudget
    lease_holders: dict[int, Account] = field(default_factory=dict)  # by counter id

    def report_usage(self, now: float, account: Account) -> None:
        """Report unreported usage to the counter if the budget has a call left."""
        if self.budget.available(now) >= 1:
            self.call_counter(now, account)

    def call_counter(self, now: float, account: Account, lease: float = 0.0) -> None:
        """Report unreported usage to the counter; ``lease`` units of it are requested as a lease."""
        if self.context.settings.has_counter and account.plan.rate > 0:
            amount = account.begin_counter_call(now, lease)
            self.context.actions.append(IncrementCounter(account.counter_id, COUNT_LIFETIME_SECONDS, amount))
            self.budget.spend()

    def report_significant_usage(self, now: float, account: Account) -> None:
        """Report unreported usage at once if it is a large part of the even share of the bucket."""
        available = min(account.tokens, account.plan.burst)
        threshold = EAGER_REPORT_FRACTION * available / account.serving_gateways
        if account.unreported_usage >= threshold and account.serving_gateways > 1:
            self.report_usage(now, account)

    def report_overdue_usage(self, now: float, account: Account) -> None:
        """Report usage that has been unreported for some time."""
        is_overdue = now - account.last_call_at > OVERDUE_REPORT_SECONDS
        is_low = account.tokens < OVERDUE_REPORT_FRACTION * account.plan.burst
        if abs(account.unreported_usage) > MIN_UNITS and is_overdue and is_low:
            self.report_usage(now, account)

    def extend_lease(self, now: float, account: Account) -> None:
        """Request a lease for the coming demand, unless enough units are leased or requested."""
        if account.lease_requested:
            return
        horizon = self._lease_horizon()
        min_leased = EXTENSION_FRACTION * horizon * account.demand_rate(now)
        if account.leased > min_leased or self.budget.available(now) < 1:
            return
        units = _lease_size(now, account, horizon)
        if units > 0 or now - account.last_call_at > REFRESH_SECONDS:
            lease = max(0.0, units)
            self.lease_holders[account.counter_id] = account
            account.reserve_lease(lease)
            self.call_counter(now, account, lease)

    def _lease_horizon(self) -> float:
        """Return the seconds of demand that a lease covers; each of many lease holders calls less often."""
        call_interval = len(self.lease_holders) / (LEASE_CALLS_FRACTION * self.budget.rate)
        return min(MAX_LEASE_SECONDS, max(MIN_LEASE_SECONDS, call_interval))

    def on_reply(self, now: float, event: CounterReplied) -> None:
        """Settle the oldest pending call of the account with the counter's reply or failure."""
        account = self.account_table.by_counter_id.get(event.counter_id)
        if account is None or not account.pending_calls:
            return
        account.refill(now)
        call = account.settle_counter_call(now, event.status, event.total)
        self.budget.record_result(now, event.status, call.made_at, self.context.rng.random())
        backlog = BACKLOG_FRACTION * account.plan.burst
        if event.status is CallStatus.OK and account.unreported_usage > backlog:
            self.report_usage(now, account)

    def return_unused(self, now: float, min_units: float) -> None:
        """Return leased units beyond the demand, and whole leases where the demand is below ``min_units``."""
        for counter_id, account in list(self.lease_holders.items()):
            account.refill(now)
            useful = MAX_LEASE_SECONDS * account.demand_rate(now)
            if useful < min_units:
                account.return_lease(account.leased)
            elif account.leased > RETURN_FACTOR * useful:
                account.return_lease(account.leased - useful)
            if account.leased <= MIN_UNITS and not account.lease_requested:
                del self.lease_holders[counter_id]

    def shut_down(self, now: float) -> None:
        """Return all leases and report all usage: both would be lost when this process exits."""
        self.return_unused(now, min_units=inf)
        for account in self.account_table.accounts.values():
            if abs(account.unreported_usage) > MIN_UNITS:
                self.report_usage(now, account)
