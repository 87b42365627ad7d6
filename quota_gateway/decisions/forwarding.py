"""The open requests: their attempts, their retries, and one final answer for each request."""

from collections.abc import Iterator
from dataclasses import dataclass, field

from quota_gateway import model
from quota_gateway.decisions.account_table import CROWDED_IDLE_SECONDS
from quota_gateway.decisions.admission import AdmissionGate
from quota_gateway.decisions.context import Context
from quota_gateway.decisions.controller import REFERENCE_LOAD, overdue_latency
from quota_gateway.decisions.endpoint_set import EndpointSet
from quota_gateway.decisions.leases import LeaseManager
from quota_gateway.decisions.load_balancer import LoadBalancer
from quota_gateway.decisions.outlier_detection import OutlierDetector
from quota_gateway.decisions.retries import RetryBudget, may_reject, repeat_deadline, retry_after
from quota_gateway.model import (
    NO_SIGN_OF_LIFE,
    PROVES_NOT_EXECUTED,
    AttemptCompleted,
    CallStatus,
    Request,
)
from quota_gateway.state import EndpointState, OpenRequest

# Below this load, requests over quota are admitted if the plan values them above their cost.
MAX_OVER_QUOTA_LOAD = 0.6 * REFERENCE_LOAD
SLOWDOWN_WEIGHT = 0.1  # least weight of one response in the averages of its endpoint's slowdown


@dataclass(slots=True, eq=False)
class Forwarder:
    """Owns the open requests: each ends with exactly one final answer, or when its client disconnects."""

    context: Context
    endpoints: EndpointSet
    balancer: LoadBalancer
    gate: AdmissionGate
    leases: LeaseManager
    outliers: OutlierDetector
    requests: dict[int, OpenRequest] = field(default_factory=dict)
    # Number of requests that were not served since the last log line, by reason.
    unserved_counts: dict[str, int] = field(default_factory=dict)
    retry_budget: RetryBudget = field(default_factory=RetryBudget)

    def add(self, request: OpenRequest) -> None:
        """Add a request that has arrived."""
        self.requests[request.id] = request

    def forward(
        self, now: float, request: OpenRequest, *, within_quota: bool, skip_bucket_charge: bool = False
    ) -> bool:
        """Make the first attempt, or give the final answer if the quota or the endpoints do not allow one.

        With ``skip_bucket_charge`` the units are not charged to the global bucket: they are taken from the
        lease if it covers them; otherwise the caller reserves them for its counter call.
        """
        plan = request.account.plan
        has_spare_capacity = 0 < self.gate.controller.load < MAX_OVER_QUOTA_LOAD
        admits_over_quota = has_spare_capacity and plan.over_quota_value > plan.over_quota_cost
        if not within_quota and not admits_over_quota:
            self.finish(request, model.RejectionReason.QUOTA)
            return False
        if not self._attempt(now, request):
            has_time = request.useful_until > now
            self.finish(
                request, self.balancer.rejection_reason if has_time else model.RejectionReason.ATTEMPTS
            )
            return False
        self.gate.take(request)
        self.gate.controller.record_admission()
        self.retry_budget.credit()
        request.record_forwarded(within_quota=within_quota)
        self._charge(now, request, skip_bucket_charge=skip_bucket_charge)
        return True

    def _charge(self, now: float, request: OpenRequest, *, skip_bucket_charge: bool) -> None:
        """Charge the units of a forwarded request to its account."""
        account = request.account
        account.charge_shares(request.units, within_quota=request.within_quota)
        if skip_bucket_charge and account.leased >= request.units:
            account.charge_lease(request.units)
        elif request.within_quota and not skip_bucket_charge:
            is_reported = not account.is_sparse or now < self.leases.budget.unavailable_until
            account.charge(request.units, is_reported=is_reported)
            if is_reported:
                self.leases.report_significant_usage(now, account)

    def _attempt(self, now: float, request: OpenRequest) -> bool:
        # The timeout is all of the useful time: endpoints complete the work that they have begun, so a
        # retry after a shorter timeout would add work when there is least capacity.
        timeout = request.useful_until - now
        state = self.balancer.pick(now, request) if timeout > 0 else None
        if state is None:
            return False
        request.start_attempt(now, state)
        if request.uploading:
            timeout = request.useful_time  # an upload's timeout starts at the last byte of the body
        not_after = repeat_deadline(request)
        self.context.actions.append(model.Forward(request.id, state.endpoint.name, timeout, not_after))
        return True

    def endpoints_in_flight(self) -> Iterator[EndpointState]:
        """Yield the endpoint of each attempt in flight."""
        for request in self.requests.values():
            yield from request.in_flight.values()

    def on_client_disconnected(self, _now: float, event: model.ClientDisconnected) -> None:
        """Close the request of a client that has disconnected."""
        self.forget(event.request_id)

    def on_upload_completed(self, now: float, event: model.UploadCompleted) -> None:
        """Start the timeouts of a request whose body is complete."""
        request = self.requests.get(event.request_id)
        if request is not None and request.uploading:
            request.complete_upload(now)

    def on_attempt_completed(self, now: float, event: AttemptCompleted) -> None:
        """Record how an attempt ended, and retry or finish its request."""
        request = self.requests.get(event.request_id)
        state = self.endpoints.by_name.get(event.endpoint)
        if state is None or request is None:
            return
        if request.finish_attempt(event.attempt):
            self._record_result(now, request, state, event)
        if event.status not in PROVES_NOT_EXECUTED:
            request.record_possible_execution(event.attempt)
        if event.status is CallStatus.REJECTED and not event.request_finished:
            self.context.actions.append(model.Fail(request.id))  # other endpoints would reject it too
            self.forget(request.id)
        elif event.request_finished:
            self.forget(event.request_id)
        elif not request.in_flight:
            self._retry(now, request, event)

    def _record_result(
        self, now: float, request: OpenRequest, state: EndpointState, event: AttemptCompleted
    ) -> None:
        """Update the endpoint, the load readings and the account after an attempt that was in flight."""
        if event.status not in NO_SIGN_OF_LIFE:
            state.record_sign_of_life(now)
        if event.status is CallStatus.OK:
            slowdown = self.gate.work_estimator.record_response(request, event.elapsed)
            state.record_response(request.work, slowdown, SLOWDOWN_WEIGHT)
            self.gate.controller.record_latency(event.elapsed, request.request_class.latency_objective)
        elif event.status in (CallStatus.OVERLOADED, CallStatus.TIMEOUT):
            self.gate.controller.record_overload()
        self.outliers.record(now, state, event)
        if event.charged_units is not None and request.within_quota:
            charged = min(event.charged_units, self.context.settings.max_units)
            request.account.correct_charge(charged - request.units)
        state.stop_waiting_if_idle()

    def _retry(self, now: float, request: OpenRequest, event: AttemptCompleted) -> None:
        is_allowed = self.retry_budget.allows(now, request, self.context.settings.max_attempts)
        if is_allowed and event.may_retry and self._attempt(now, request):
            self.retry_budget.spend(request, event)
        else:
            self.finish(request, model.RejectionReason.ATTEMPTS)

    def expire(self, now: float) -> None:
        """Finish requests whose deadline has passed, and record overdue responses as load readings."""
        for request in list(self.requests.values()):
            if now >= request.deadline and not request.in_flight:
                self.finish(request, model.RejectionReason.ATTEMPTS)
            age = now - request.started_at
            is_overdue = age > overdue_latency(request.request_class.latency_objective)
            if is_overdue and request.in_flight and not request.uploading:
                self.gate.controller.record_overload()

    def finish(self, request: OpenRequest, reason: model.RejectionReason) -> None:
        """Reject or fail a request that is not served."""
        self.unserved_counts[reason] = self.unserved_counts.get(reason, 0) + 1
        if may_reject(request):
            wait = retry_after(request, self.context.settings.max_retry_after)
            self.context.actions.append(model.Reject(request.id, wait))
        else:
            self.context.actions.append(model.Fail(request.id))
        self.forget(request.id)

    def reject_without_account(self, event: Request) -> None:
        """Reject a request of a new customer for whose account there is no room."""
        reason = model.RejectionReason.ACCOUNTS
        self.unserved_counts[reason] = self.unserved_counts.get(reason, 0) + 1
        wait = min(CROWDED_IDLE_SECONDS, self.context.settings.max_retry_after)
        self.context.actions.append(model.Reject(event.id, wait))

    def forget(self, request_id: int) -> None:
        """Remove a request that was answered or whose client disconnected, and abandon its attempts."""
        request = self.requests.pop(request_id, None)
        if request is not None:
            request.abandon_attempts()

    def take_unserved_counts(self) -> dict[str, int]:
        """Return the number of requests not served since the last call, by reason."""
        counts = dict(self.unserved_counts)
        self.unserved_counts.clear()
        return counts
