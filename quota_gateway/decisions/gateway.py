"""The decisions of one gateway. This module connects their parts."""

from collections.abc import Callable
from random import Random
from typing import Any

from quota_gateway import model
from quota_gateway.decisions.account_table import MAX_ACCOUNTS, AccountTable
from quota_gateway.decisions.admission import AdmissionGate, WorkEstimator
from quota_gateway.decisions.context import Context
from quota_gateway.decisions.controller import INTERVAL_SECONDS, LoadController
from quota_gateway.decisions.counter_budget import CounterBudget
from quota_gateway.decisions.endpoint_set import EndpointSet
from quota_gateway.decisions.forwarding import Forwarder
from quota_gateway.decisions.handover import Handover
from quota_gateway.decisions.leases import LeaseManager
from quota_gateway.decisions.load_balancer import LoadBalancer
from quota_gateway.decisions.outlier_detection import OutlierDetector
from quota_gateway.decisions.quota_admission import QuotaAdmission
from quota_gateway.decisions.slow_start import SlowStart
from quota_gateway.state import OpenRequest, describe_unserved_requests

LOG_INTERVAL_TICKS = 10  # ticks between two log lines on requests that were not served
MIN_INTERVAL_SECONDS = 1e-3  # shortest assumed time between two ticks: the clock may be stepped back


class Gateway:
    """All parts of the decisions of one gateway. Tests and tools may read the parts, but not change them."""

    def __init__(
        self, settings: model.Settings, seed: int, now: float, max_accounts: int = MAX_ACCOUNTS
    ) -> None:
        """Create the parts. Raises ``InvalidSettingsError`` for settings that no gateway can run with.

        Requests of further customers are rejected while ``max_accounts`` have recent requests.
        """
        settings.validate()
        self.context = context = Context(settings, Random(seed), now)
        self.controller = LoadController(now)
        self.work_estimator = WorkEstimator()
        self.gate = AdmissionGate(self.controller, self.work_estimator, now)
        self.account_table = AccountTable(context, max_accounts)
        draw = context.rng.random()
        budget = CounterBudget(now, settings.gateway_count, draw, settings.counter_timeout)
        self.leases = LeaseManager(context, self.account_table, budget)
        self.slow_start = SlowStart(context)
        self.endpoints = endpoints = EndpointSet(context)
        self.balancer = LoadBalancer(context, endpoints, self.gate, self.slow_start)
        self.outliers = OutlierDetector(endpoints)
        self.forwarder = Forwarder(context, endpoints, self.balancer, self.gate, self.leases, self.outliers)
        self.quota = QuotaAdmission(context, self.forwarder)
        self.handover = Handover(context, self.account_table, endpoints, self.gate, self.slow_start)
        self.timer_token = 0
        self.is_shutting_down = False
        self._handlers = self._event_handlers()

    def _event_handlers(self) -> dict[type, Callable[[float, Any], None]]:
        return {
            model.Request: self._on_request,
            model.AttemptCompleted: self.forwarder.on_attempt_completed,
            model.UploadCompleted: self.forwarder.on_upload_completed,
            model.ClientDisconnected: self.forwarder.on_client_disconnected,
            model.CounterReplied: self.leases.on_reply,
            model.EndpointUpdate: self.endpoints.apply,
            model.HealthChecked: self.endpoints.on_health_check,
            model.TimerFired: self._on_timer,
            model.AdminRequest: self._on_admin_request,
            model.SuspensionsChanged: self.endpoints.on_suspensions_changed,
            model.ProcessCountChanged: self.handover.on_process_count_changed,
            model.HandoverState: self.handover.take_over,
            model.ShutdownStarted: self._on_shutdown,
            model.Settings: self._on_settings,
        }

    def handle(self, now: float, event: model.Event) -> list[model.Action]:
        """Handle one event at Unix time ``now``, and return its actions in the order of their execution."""
        self.context.actions.clear()
        self._handlers[type(event)](now, event)
        if not self.timer_token:
            self._set_timer()
        return self.context.actions.copy()

    def _set_timer(self) -> None:
        self.timer_token += 1
        self.context.actions.append(model.SetTimer(INTERVAL_SECONDS, self.timer_token))

    def _on_timer(self, now: float, event: model.TimerFired) -> None:
        if event.token == self.timer_token:
            self._tick(now)
            self._set_timer()

    def _tick(self, now: float) -> None:
        """Do the periodic work of all parts."""
        elapsed = max(MIN_INTERVAL_SECONDS, now - self.controller.updated_at)
        self.forwarder.expire(now)
        self.controller.update(now, elapsed)
        if self.timer_token % LOG_INTERVAL_TICKS == 0 and self.forwarder.unserved_counts:
            self._log_unserved_requests(now)
        self._update_endpoints(now, elapsed)
        self.work_estimator.update_ranking()
        self.leases.return_unused(now, self.work_estimator.mean_units)
        self.account_table.remove_idle(now)
        for account in self.account_table.accounts.values():
            self.leases.report_overdue_usage(now, account)

    def _update_endpoints(self, now: float, elapsed: float) -> None:
        self.slow_start.close_interval(self.endpoints.subset, elapsed)
        self.endpoints.close_interval(now, elapsed)
        self.endpoints.forget_removed(self.forwarder.endpoints_in_flight())
        self.endpoints.choose_subset(now)

    def _log_unserved_requests(self, now: float) -> None:
        """Log the requests not served since the last such log line, and the state that explains them."""
        text = describe_unserved_requests(
            now,
            self.forwarder.take_unserved_counts(),
            self.outliers.take_ejections(),
            self.endpoints.hash_ring,
            self.leases.lease_holders.values(),
        )
        text += f"; load {self.controller.load:.2f}, admit rate {self.controller.admit_rate:.0f}/s"
        text += f", completion rate {self.slow_start.completion_rate:.2f}"
        if now < self.leases.budget.unavailable_until:
            text += ", counter unavailable"
        self.context.actions.append(model.Log(text))

    def _on_request(self, now: float, event: model.Request) -> None:
        account = self.account_table.find_or_create(now, event.plan, event.account, event.serving_gateways)
        if account is None:
            self.forwarder.reject_without_account(event)
            return
        account.refill(now)
        if not event.is_retry:
            self.controller.record_arrival()
        request_class = self.context.classes.get(event.request_class)
        if request_class is None:
            request_class = model.RequestClass.unknown(event.request_class, event.timeout)
        max_attempts = self.context.settings.max_attempts
        request = OpenRequest.begin(now, event, request_class, account, max_attempts)
        self.forwarder.add(request)
        self.work_estimator.estimate(request)
        if account.plan.ceiling_rate > 0 and account.ceiling_tokens < request.units:
            self.forwarder.finish(request, model.RejectionReason.CEILING)
        elif self.gate.admits(now, request):
            self.quota.admit(now, request)
        else:
            self.forwarder.finish(request, model.RejectionReason.ADMISSION_GATE)

    def _on_admin_request(self, now: float, event: model.AdminRequest) -> None:
        listed = self.endpoints.listed()
        ok = self._execute(now, event)
        reply = model.AdminReply(
            request_id=event.id,
            ok=ok,
            known_endpoints=len(listed),
            avoided_endpoints=self.endpoints.count_suspended_or_ejected(now, listed),
        )
        self.context.actions.append(reply)

    def _execute(self, now: float, event: model.AdminRequest) -> bool:
        """Execute an operator's command, and return whether it succeeded."""
        match event.command:
            case model.AdminCommand.STATUS:
                return self.endpoints.has_list and not self.is_shutting_down
            case model.AdminCommand.METRICS:
                return True
            case model.AdminCommand.SUSPEND:
                return self._set_suspended(now, event.endpoint, suspended=True)
            case model.AdminCommand.RESTORE:
                return self._set_suspended(now, event.endpoint, suspended=False)

    def _set_suspended(self, now: float, name: str, *, suspended: bool) -> bool:
        """Suspend or restore an endpoint, and return whether it is known."""
        if not self.endpoints.is_known(name):
            return False
        self.endpoints.set_suspended(now, name, suspended=suspended)
        self.context.actions.append(model.RecordSuspension(name, suspended=suspended))
        return True

    def _on_shutdown(self, now: float, _event: model.ShutdownStarted) -> None:
        self.is_shutting_down = True
        self.leases.shut_down(now)

    def _on_settings(self, now: float, event: model.Settings) -> None:
        """Apply new settings; open requests keep their class and plan."""
        event.validate()
        self.context.reconfigure(event)
        self.account_table.reconfigure(now)
        self.endpoints.rebuild_hash_ring(now)
