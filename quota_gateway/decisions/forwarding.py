"""The open requests: attempts, retries and the one final answer of each."""

from dataclasses import dataclass, field

from quota_gateway import model
from quota_gateway.decisions.admission import AdmissionGate
from quota_gateway.decisions.context import LATENCY_FRACTION, Context
from quota_gateway.decisions.controller import FULL_LOAD, REFERENCE
from quota_gateway.decisions.endpoint_set import EndpointSet
from quota_gateway.decisions.leases import LeaseManager
from quota_gateway.decisions.load_balancer import LoadBalancer
from quota_gateway.decisions.outlier_detection import OutlierDetector
from quota_gateway.decisions.retries import RetryBudget, may_reject, repeat_deadline, retry_after
from quota_gateway.model import NO_SIGN_OF_LIFE, PROVES_NOT_EXECUTED, AttemptCompleted, CallStatus
from quota_gateway.state import NO_WORK, Attempt, EndpointState, OpenRequest

OVER_QUOTA_LOAD = 0.6 * REFERENCE  # under which requests over their quota are admitted where they pay
SLOWDOWN_WEIGHT = 0.1  # of one answer in an endpoint's slowdown


@dataclass(slots=True, eq=False)
class Forwarder:
    """Owns the open requests; each ends with one final answer, or with its client."""

    context: Context
    endpoints: EndpointSet
    balancer: LoadBalancer
    gate: AdmissionGate
    leases: LeaseManager
    outliers: OutlierDetector
    requests: dict[int, OpenRequest] = field(default_factory=dict)
    rejections: dict[str, int] = field(default_factory=dict)  # by reason, since the last log line
    retry_budget: RetryBudget = field(default_factory=RetryBudget)

    def forward(self, now: float, request: OpenRequest, within_quota: bool, prepaid: bool = False) -> bool:
        """Make the first attempt or reject the request; ``prepaid`` units are leased or reported apart."""
        account = request.account
        plan = account.plan
        is_idle = 0 < self.gate.controller.load < OVER_QUOTA_LOAD
        pays = is_idle and plan.over_quota_value > plan.over_quota_cost
        if not within_quota and not pays:
            self.finish(request, model.RejectionReason.QUOTA)
            return False
        if not self._attempt(now, request):
            self.finish(request, self.balancer.rejection_reason)
            return False
        self.gate.take(request)
        self.gate.controller.admitted += 1
        self.retry_budget.credit()
        request.within_quota = within_quota
        account.charge_shares(request.units, within_quota=within_quota)
        if prepaid and account.leased >= request.units:
            account.charge_lease(request.units)
        elif within_quota and not prepaid:
            is_reported = not account.is_sparse or now < self.leases.budget.unavailable_until
            account.charge(request.units, is_reported=is_reported)
            if is_reported:
                self.leases.report_significant_usage(now, account)
        return True

    def _attempt(self, now: float, request: OpenRequest) -> bool:
        # No earlier time-out than the client's use for the answer: endpoints finish what they have begun, so
        # an attempt given up for another one is work twice, most of it where there is least capacity.
        timeout = request.useful_until - now
        state = self.balancer.pick(now, request) if timeout > 0 else None
        if state is None:
            return False
        request.in_flight[len(request.attempts)] = state
        request.attempts.append(Attempt(state, now))
        request.account.start_attempt()
        state.work_in_flight += request.work
        if request.uploading:
            timeout = request.useful_time  # from the last byte on
        elif state.unresponsive_since is None:
            state.unresponsive_since = now
        state.allowance -= request.work if state.warming_since is not None else 0.0
        not_after = repeat_deadline(request)
        self.context.actions.append(model.Forward(request.id, state.endpoint.name, timeout, not_after))
        return True

    def on_upload_completed(self, now: float, event: model.UploadCompleted) -> None:
        """The last byte of a body has come: the clocks begin."""
        request = self.requests.get(event.request_id)
        if request is not None and request.uploading:
            request.uploading = False
            request.start_clock(now)
            for state in request.in_flight.values():
                state.unresponsive_since = (
                    now if state.unresponsive_since is None else state.unresponsive_since
                )

    def on_attempt_completed(self, now: float, event: AttemptCompleted) -> None:
        """An attempt has ended: learn from it, and retry or answer."""
        request = self.requests.get(event.request_id)
        state = self.endpoints.by_name.get(event.endpoint)
        if state is None or request is None:
            return
        if request.in_flight.pop(event.attempt, None) is not None:
            self._end(now, request, state, event)
        may_have_executed = event.status not in PROVES_NOT_EXECUTED
        if may_have_executed and request.first_executed is None and event.attempt < len(request.attempts):
            request.first_executed = request.attempts[event.attempt]
        if event.status is CallStatus.REJECTED and not event.request_finished:
            self.context.actions.append(model.Fail(request.id))  # no other endpoint would take it either
            self.forget(request.id)
        elif event.request_finished:
            self.forget(event.request_id)
        elif not request.in_flight:
            self._retry(now, request, event)

    def _end(self, now: float, request: OpenRequest, state: EndpointState, event: AttemptCompleted) -> None:
        """An attempt is over: take its work off the endpoint and learn from it."""
        state.end_work(request.work)
        request.account.finish_attempt()
        if event.status not in NO_SIGN_OF_LIFE:
            state.unresponsive_since = now if state.work_in_flight > NO_WORK else None
        if event.status is CallStatus.OK:
            slowdown = self.gate.work.learn(request, event.elapsed)
            state.record_response(request.work, slowdown, SLOWDOWN_WEIGHT)
            self.gate.controller.add_latency(event.elapsed, request.request_class.latency_objective)
        elif event.status in (CallStatus.OVERLOADED, CallStatus.TIMEOUT):
            self.gate.controller.readings.append(FULL_LOAD)
        self.outliers.record(now, state, event)
        if event.charged_units is not None and request.within_quota:
            charged = min(event.charged_units, self.context.settings.max_units)
            request.account.correct_charge(charged - request.units)
        if state.work_in_flight <= NO_WORK:
            state.unresponsive_since = None  # with nothing in flight it owes no answer

    def _retry(self, now: float, request: OpenRequest, event: AttemptCompleted) -> None:
        is_allowed = self.retry_budget.allows(now, request, self.context.settings.max_attempts)
        if is_allowed and event.may_retry and self._attempt(now, request):
            self.retry_budget.spend(request, event)
        else:
            self.finish(request, model.RejectionReason.ATTEMPTS)

    def expire(self, now: float) -> None:
        """Answer requests whose time is up, and take answers that are overdue as load readings."""
        for request in list(self.requests.values()):
            if now >= request.deadline and not request.in_flight:
                self.finish(request, model.RejectionReason.ATTEMPTS)
            overdue = request.request_class.latency_objective * LATENCY_FRACTION / REFERENCE
            if request.in_flight and not request.uploading and now - request.started_at > overdue:
                self.gate.controller.readings.append(FULL_LOAD)

    def finish(self, request: OpenRequest, reason: model.RejectionReason) -> None:
        """Give the final answer to a request that is given up."""
        self.rejections[reason] = self.rejections.get(reason, 0) + 1
        if may_reject(request):
            wait = retry_after(request, self.context.settings.max_retry_after)
            self.context.actions.append(model.Reject(request.id, wait))
        else:
            self.context.actions.append(model.Fail(request.id))
        self.forget(request.id)

    def forget(self, request_id: int) -> None:
        """A request has its answer, or its client has gone: what is in flight is of no more use."""
        request = self.requests.pop(request_id, None)
        if request is None:
            return
        for state in request.in_flight.values():
            state.end_work(request.work)
            request.account.finish_attempt()
            if state.work_in_flight <= NO_WORK:
                state.unresponsive_since = None  # nobody waits: it owes nothing any more
