"""Usage reports to the shared counter, and units leased from it ahead of need: no request has to wait."""

from dataclasses import dataclass, field

from quota_gateway.decisions.context import Context
from quota_gateway.decisions.counter_budget import CounterBudget
from quota_gateway.decisions.quota import DEMAND_WINDOW, NO_UNITS, AccountTable, lease_size, synchronise
from quota_gateway.model import MAY_BE_COUNTED, CallStatus, CounterReplied, IncrementCounter
from quota_gateway.state import Account, PendingCall

COUNT_LIFETIME = 60.0  # seconds that the counter keeps a customer's count
MIN_LEASE_TIME = 0.5  # seconds of demand that are leased: a call takes much less
MAX_LEASE_TIME = 3.0  # seconds: so much may lie idle at a gateway that dies
REFRESH_TIME = 0.5  # seconds between two looks at a bucket that is thought empty
USAGE_FRACTION = 0.3  # of this gateway's part of what is left: unreported usage that is told at once
BACKLOG_FRACTION = 0.25  # of a full bucket: unreported usage that is told behind a good reply
IDLE_TIME_TO_CALL = 1.0  # seconds after a call until the rest is told
IDLE_FRACTION = 0.7  # of a full bucket, under which it is


@dataclass(slots=True, eq=False)
class LeaseManager:
    """Makes the calls to the counter and takes their replies; knows which customers hold leases."""

    context: Context
    table: AccountTable
    budget: CounterBudget
    lease_holders: dict[int, Account] = field(default_factory=dict)  # by counter id

    def report_usage(self, now: float, account: Account) -> None:
        """Tell the counter of unreported usage, if a call is left."""
        if self.budget.available(now) >= 1:
            self.call_counter(now, account)

    def call_counter(self, now: float, account: Account, units: float = 0.0, lease: float = 0.0) -> None:
        """Tell the counter of unreported usage, of ``units`` more and of a lease that is asked for."""
        account.unreported_usage += units + lease
        account.tokens -= units + lease
        if self.context.settings.has_counter and account.plan.rate > 0:
            amount = account.unreported_usage
            account.pending_calls.append(PendingCall(amount, lease, now))
            self.context.actions.append(IncrementCounter(account.counter_id, COUNT_LIFETIME, amount))
            self.budget.tokens -= 1
            account.unreported_usage = 0.0
            account.last_call = now

    def add_usage(self, now: float, account: Account, units: float) -> None:
        """Units were used; the counter is told once they are so many that others should know of them."""
        account.unreported_usage += units
        due = USAGE_FRACTION * min(account.tokens, account.plan.burst) / account.serving_gateways
        if account.unreported_usage >= due and account.serving_gateways > 1:
            self.report_usage(now, account)

    def report_overdue_usage(self, now: float, account: Account) -> None:
        """Tell the counter of what has stayed unreported for a while."""
        is_due = abs(account.unreported_usage) > NO_UNITS and now - account.last_call > IDLE_TIME_TO_CALL
        if is_due and account.tokens < IDLE_FRACTION * account.plan.burst:
            self.report_usage(now, account)

    def extend_lease(self, now: float, account: Account) -> None:
        """Ask for units ahead of need, unless enough are there or asked for."""
        horizon = min(MAX_LEASE_TIME, max(MIN_LEASE_TIME, 2 * len(self.lease_holders) / self.budget.rate))
        has_enough = account.lease_requested or account.leased > 0.5 * horizon * account.demand_now(
            now, DEMAND_WINDOW
        )
        if has_enough or self.budget.available(now) < 1:
            return
        units = lease_size(now, account, horizon)
        if units > 0 or now - account.last_call > REFRESH_TIME:
            self.lease_holders[account.counter_id] = account
            account.lease_requested = max(0.0, units)
            self.call_counter(now, account, lease=account.lease_requested)

    def on_reply(self, now: float, event: CounterReplied) -> None:
        """A call has ended."""
        account = self.table.by_counter_id.get(event.counter_id)
        if account is None or not account.pending_calls:
            return
        call = account.pending_calls.pop(0)
        account.refill(now)
        self.budget.call_ended(now, event.status, call.made_at, self.context.rng.random())
        account.lease_requested -= call.leased
        if event.status is CallStatus.OK:
            synchronise(now, account, event.total, call)
        # What may have been counted is taken for counted: told twice it would be used twice.
        if event.status in MAY_BE_COUNTED:
            account.leased += call.leased
        else:
            account.unreported_usage = account.unreported_usage + call.amount - call.leased
            account.tokens += call.leased
        if event.status is CallStatus.OK:
            account.return_lease(max(0.0, min(account.leased, -account.tokens)))  # the bucket held less
            if account.unreported_usage > BACKLOG_FRACTION * account.plan.burst:
                self.report_usage(now, account)
        account.tokens = max(account.tokens, -account.lease_requested)  # what is asked for is taken off

    def return_unused(self, now: float, min_units: float) -> None:
        """A lease ends with its demand: give back what is above that, or all of it under ``min_units``."""
        for counter_id, account in list(self.lease_holders.items()):
            account.refill(now)
            wanted = MAX_LEASE_TIME * account.demand_now(now, DEMAND_WINDOW)
            if wanted < min_units:
                account.return_lease(account.leased)
            elif account.leased > 2 * wanted:
                account.return_lease(account.leased - wanted)
            if account.leased <= NO_UNITS and not account.lease_requested:
                del self.lease_holders[counter_id]

    def shut_down(self, now: float) -> None:
        """Give back all leases and tell all usage: nobody else would."""
        self.return_unused(now, float("inf"))
        for account in self.table.accounts.values():
            if abs(account.unreported_usage) > NO_UNITS:
                self.report_usage(now, account)
