"""The accounts of the customers that this gateway serves."""

from dataclasses import dataclass, field

from quota_gateway.decisions.context import Context
from quota_gateway.model import Plan
from quota_gateway.state import Account

IDLE_ACCOUNT_SECONDS = 60.0  # seconds without a request after which an account is removed
MAX_ACCOUNTS = 1_000_000  # if no limit follows from the memory
# Accounts without a request for this long are removed while new customers find no room.
CROWDED_IDLE_SECONDS = 1.0
CROWDED_SCAN_SECONDS = 0.25  # time between two scans for such accounts


@dataclass(slots=True, eq=False)
class AccountTable:
    """The accounts of all customers with recent requests."""

    context: Context
    max_accounts: int = MAX_ACCOUNTS
    accounts: dict[tuple[str, str], Account] = field(default_factory=dict)  # by plan and account name
    by_counter_id: dict[int, Account] = field(default_factory=dict)
    next_crowded_scan: float = 0.0  # Unix time before which no account is removed for a new one

    def reconfigure(self, now: float) -> None:
        """Apply new plans; an account whose plan was removed keeps its terms."""
        for account in self.accounts.values():
            plan = self.context.plans.get(account.plan.name, account.plan)
            account.reconfigure(now, plan, self.context.settings.max_units)

    def find_or_create(self, now: float, plan_name: str, name: str, serving_gateways: int) -> Account | None:
        """Return the customer's account, or None if there is no room for a new one.

        An account of an unknown plan has no quota.
        """
        account = self.accounts.get((plan_name, name))
        if account is None:
            if len(self.accounts) >= self.max_accounts and not self._make_room(now):
                return None
            account = Account(
                now,
                self.context.plans.get(plan_name) or Plan(plan_name),
                name,
                serving_gateways,
                started_at=self.context.started_at,
                max_units=self.context.settings.max_units,
                process_count=self.context.process_count,
            )
            self.accounts[plan_name, name] = account
            self.by_counter_id[account.counter_id] = account
        return account

    def _make_room(self, now: float) -> bool:
        """Remove accounts whose last request is some time ago; return whether there is room for a new one."""
        if now >= self.next_crowded_scan:
            self.next_crowded_scan = now + CROWDED_SCAN_SECONDS
            for key, account in list(self.accounts.items()):
                if now - account.updated_at > CROWDED_IDLE_SECONDS and not account.is_in_use:
                    self._remove_unless_limited(now, key, account)
        return len(self.accounts) < self.max_accounts

    def remove_idle(self, now: float) -> None:
        """Remove the accounts that have neither recent requests nor open attempts."""
        for key, account in list(self.accounts.items()):
            if now - account.updated_at > IDLE_ACCOUNT_SECONDS and not account.open_attempts:
                self._remove_unless_limited(now, key, account)

    def _remove_unless_limited(self, now: float, key: tuple[str, str], account: Account) -> None:
        """Remove an account, unless its ceiling is partly used: a new one would start with a full ceiling."""
        if account.is_ceiling_full(now):
            del self.by_counter_id[account.counter_id]
            del self.accounts[key]
