"""Sharing of limits and handover of state between the processes of one limiter during an upgrade."""

from dataclasses import dataclass

from quota_gateway.decisions.account_table import AccountTable
from quota_gateway.decisions.admission import AdmissionGate
from quota_gateway.decisions.context import Context
from quota_gateway.decisions.endpoint_set import EndpointSet
from quota_gateway.decisions.slow_start import SlowStart
from quota_gateway.model import (
    AccountHandover,
    EndpointHandover,
    HandOver,
    HandoverState,
    ProcessCountChanged,
)

TAKE_OVER_SECONDS = 5.0  # a process takes over state only within this time after its start
MAX_HANDOVER_ACCOUNTS = 4000  # limit on the accounts in a handover; beyond it, the oldest are omitted


@dataclass(slots=True, eq=False)
class Handover:
    """Splits the limits among the processes of this limiter, and exports and imports state."""

    context: Context
    account_table: AccountTable
    endpoints: EndpointSet
    gate: AdmissionGate
    slow_start: SlowStart
    has_taken_over: bool = False

    def on_process_count_changed(self, now: float, event: ProcessCountChanged) -> None:
        """Split all limits among the processes, and hand over state to a process that has joined."""
        has_grown = event.count > self.context.process_count
        self.context.set_process_count(event.count)
        count = self.context.process_count
        alone_until = now - event.seconds_since_poll
        accounts = [
            account.set_process_count(now, count, alone_until)
            for account in self.account_table.accounts.values()
        ]
        has_state = self.gate.controller.integral is not None
        if has_grown and has_state:
            self.context.actions.append(HandOver(self._export(accounts)))

    def _export(self, accounts: list[AccountHandover]) -> HandoverState:
        return HandoverState(
            completion_rate=self.slow_start.completion_rate,
            mean_work=self.gate.work_estimator.mean_work,
            mean_units=self.gate.work_estimator.mean_units,
            base_latencies=dict(self.gate.work_estimator.base_latencies),
            endpoints=tuple(state.export() for state in self.endpoints.listed()),
            accounts=tuple(accounts[-MAX_HANDOVER_ACCOUNTS:]),
        )

    def take_over(self, now: float, state: HandoverState) -> None:
        """Take over the state of another process, once and shortly after the start of this one."""
        if self.has_taken_over or now - self.context.started_at > TAKE_OVER_SECONDS:
            return
        self.has_taken_over = True
        self.slow_start.take_over(state.completion_rate)
        self.gate.work_estimator.take_over(state.mean_work, state.mean_units, state.base_latencies)
        for endpoint in state.endpoints:
            self._take_over_endpoint(now, endpoint)
        for account in state.accounts:
            self._take_over_account(now, account)

    def _take_over_endpoint(self, now: float, handover: EndpointHandover) -> None:
        """Take over the state of an endpoint that is still in the same incarnation."""
        known = self.endpoints.by_name.get(handover.name)
        if known is not None and known.endpoint.started_at == handover.started_at:
            known.take_over(now, handover)

    def _take_over_account(self, now: float, handover: AccountHandover) -> None:
        """Take over an account whose plan is in the settings of this process."""
        if handover.plan in self.context.plans:
            account = self.account_table.find_or_create(
                now, handover.plan, handover.account, handover.serving_gateways
            )
            if account is not None:
                account.take_over(now, handover)
