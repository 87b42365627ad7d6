"""A customer's quota as one gateway estimates it: demand here, usage elsewhere, and what is worth leasing."""

from dataclasses import dataclass, field

from quota_gateway.decisions.context import Context
from quota_gateway.model import Plan
from quota_gateway.state import Account, PendingCall

DEMAND_WINDOW = 2.0  # seconds that the demand of a customer here is a mean of
LEASED_FRACTION = 0.5  # of this gateway's part of the bucket: the rest is for who comes meanwhile
NO_UNITS = 1e-9  # units that are only what is left of sums of floating numbers
IDLE_TIME = 60.0  # seconds without a request until a customer is forgotten
REMOTE_GUESS = 0.3  # of their even share that the other gateways are taken to use, until the counter tells
REMOTE_WINDOW = 3.0  # seconds that the remote usage is a mean of
MIN_TOTAL_AGE = 0.05  # seconds between two totals, taken at least
RESET_FRACTION = 0.5  # a total below this share of the last one is a counter that expired or restarted
SPARSE_OVERFLOW = 0.5  # of a full bucket: smaller overflows of a sparse account are left to others to report


def lease_size(now: float, account: Account, horizon: float) -> float:
    """Units worth leasing: the demand of ``horizon`` seconds, within this gateway's part of the bucket.

    A part by demand: an even one would leave the parts of idle gateways unused.
    """
    demand = account.demand_now(now, DEMAND_WINDOW)
    available = max(0.0, account.tokens - account.remote_usage * (now - account.last_synchronised))
    part = LEASED_FRACTION * available * demand / max(NO_UNITS, demand + account.remote_usage)
    return min(demand * horizon, part) - account.leased


def synchronise(now: float, account: Account, total: float, call: PendingCall) -> None:
    """Take the counter's total after a call: what the others used since the last one has left the bucket."""
    burst = account.plan.burst
    last_total = account.counter_total or 0.0
    # A total that fell has expired, was flushed or restarted empty: what it holds came since. What was given
    # back by this call is no such fall.
    was_reset = total - min(0.0, call.amount) < last_total * RESET_FRACTION
    remote = max(0.0, total - call.amount) if was_reset else total - call.amount - last_total
    elapsed = max(MIN_TOTAL_AGE, now - account.last_synchronised)
    weight = min(1.0, elapsed / REMOTE_WINDOW)
    account.remote_usage += weight * (max(0.0, remote) / elapsed - account.remote_usage)
    account.tokens -= remote
    if account.counter_total is None and account.tokens < -burst:
        account.tokens = burst / 2  # a count older than this instance tells nothing yet
    if was_reset:
        account.unreported_usage += account.leased  # the counter has forgotten that this is taken
    account.counter_total = total
    account.last_synchronised = now
    # What a full bucket could not hold is counted as used: the count alone then tells what it holds.
    overflow = max(0.0, account.tokens + account.leased + call.leased - burst)
    account.tokens -= overflow
    if not account.is_sparse or overflow > SPARSE_OVERFLOW * burst:
        account.unreported_usage += overflow


@dataclass(slots=True, eq=False)
class AccountTable:
    """All customers that this gateway has met lately."""

    context: Context
    accounts: dict[tuple[str, str], Account] = field(default_factory=dict)  # by plan and account
    by_counter_id: dict[int, Account] = field(default_factory=dict)

    def reconfigure(self, now: float) -> None:
        """Take new plans; customers whose plan is gone keep their terms."""
        for account in self.accounts.values():
            account.refill(now)
            plan = self.context.plans.get(account.plan.name, account.plan)
            account.set_plan(plan, self.context.settings.max_units)

    def find_or_create(self, now: float, plan_name: str, name: str, gateways: int) -> Account:
        """The customer's account; one of an unknown plan has no quota."""
        account = self.accounts.get((plan_name, name))
        if account is None:
            plan = self.context.plans.get(plan_name) or Plan(plan_name)
            start = self.context.started_at
            max_units = self.context.settings.max_units
            account = Account(now, plan, name, gateways, start, max_units, self.context.process_count)
            count = account.serving_gateways
            account.remote_usage = plan.rate * (count - 1) / count * REMOTE_GUESS
            self.accounts[plan_name, name] = account
            self.by_counter_id[account.counter_id] = account
        return account

    def forget_idle(self, now: float) -> None:
        """Forget customers that have asked nothing for a minute."""
        for key, account in list(self.accounts.items()):
            is_idle = now - account.updated_at > IDLE_TIME and not account.open_attempts
            # Not before the ceiling is full: a new account would start with more than was left.
            if is_idle and account.is_ceiling_full(now):
                del self.by_counter_id[account.counter_id]
                del self.accounts[key]
