"""The accounts of the customers that this gateway serves."""

from dataclasses import dataclass, field

from quota_gateway.decisions.context import Context
from quota_gateway.model import Plan
from quota_gateway.state import Account

IDLE_ACCOUNT_SECONDS = 60.0  # seconds without a request after which an account is removed


@dataclass(slots=True, eq=False)
class AccountTable:
    """The accounts of all customers with recent requests."""

    context: Context
    accounts: dict[tuple[str, str], Account] = field(default_factory=dict)  # by plan and account name
    by_counter_id: dict[int, Account] = field(default_factory=dict)

    def reconfigure(self, now: float) -> None:
        """Apply new plans; an account whose plan was removed keeps its terms."""
        for account in self.accounts.values():
            plan = self.context.plans.get(account.plan.name, account.plan)
            account.reconfigure(now, plan, self.context.settings.max_units)

    def find_or_create(self, now: float, plan_name: str, name: str, serving_gateways: int) -> Account:
        """Return the customer's account; an account of an unknown plan has no quota."""
        account = self.accounts.get((plan_name, name))
        if account is None:
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

    def remove_idle(self, now: float) -> None:
        """Remove the accounts that have neither recent requests nor open attempts."""
        for key, account in list(self.accounts.items()):
            is_idle = now - account.updated_at > IDLE_ACCOUNT_SECONDS and not account.open_attempts
            # An account with a partly used ceiling is retained: a new one would start with a full ceiling.
            if is_idle and account.is_ceiling_full(now):
                del self.by_counter_id[account.counter_id]
                del self.accounts[key]
