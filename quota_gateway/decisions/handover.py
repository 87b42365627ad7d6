"""State handed from one process of this gateway to the next while a new version takes over."""

from dataclasses import dataclass

from quota_gateway.decisions.account_table import AccountTable
from quota_gateway.decisions.admission import AdmissionGate
from quota_gateway.decisions.context import Context
from quota_gateway.decisions.endpoint_set import EndpointSet
from quota_gateway.decisions.slow_start import SlowStart
from quota_gateway.model import HandOver, HandoverState, ProcessCountChanged

TAKE_OVER_TIME = 5.0  # seconds after its start in which a process takes another's state
MAX_ACCOUNTS = 4000  # in a handover: those met last


@dataclass(slots=True, eq=False)
class Handover:
    """Splits the shares among the processes of this gateway, and exports and imports what they know."""

    context: Context
    table: AccountTable
    endpoints: EndpointSet
    gate: AdmissionGate
    slow_start: SlowStart
    has_imported: bool = False

    def on_process_count_changed(self, now: float, event: ProcessCountChanged) -> None:
        """So many processes share all limits from now on; one that has come gets what this one knows."""
        has_grown = event.count > self.context.process_count
        count = self.context.process_count = max(1, event.count)
        alone_until = now - event.seconds_unknown
        accounts = [
            account.set_process_count(now, count, alone_until) for account in self.table.accounts.values()
        ]
        if not has_grown or self.gate.controller.integral is None:
            return
        state = HandoverState(
            completion_rate=self.slow_start.completion_rate,
            mean_work=self.gate.work.mean_work,
            mean_units=self.gate.work.mean_units,
            base_latencies=dict(self.gate.work.base_latencies),
            endpoints=tuple(state.export() for state in self.endpoints.listed()),
            accounts=tuple(accounts[-MAX_ACCOUNTS:]),
        )
        self.context.actions.append(HandOver(state))

    def take_over(self, now: float, state: HandoverState) -> None:
        """Take what the process before knows, once and only when fresh; the controller starts anew."""
        if self.has_imported or now - self.context.started_at > TAKE_OVER_TIME:
            return
        self.has_imported = True
        work = self.gate.work
        self.slow_start.completion_rate = state.completion_rate or self.slow_start.completion_rate
        work.mean_work = state.mean_work or work.mean_work
        work.mean_units = state.mean_units or work.mean_units
        work.base_latencies |= {name: base for name, base in state.base_latencies.items() if base > 0}
        for handover in state.endpoints:
            known = self.endpoints.by_name.get(handover.name)
            if known is not None and known.endpoint.started_at == handover.started_at:
                known.take_over(now, handover)
        for account in state.accounts:
            if account.plan in self.context.plans:
                own = self.table.find_or_create(now, account.plan, account.account, account.serving_gateways)
                own.take_over(now, account)
