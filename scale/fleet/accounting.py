"""The true accounts of a tenant over all limiters: what it was owed, what it got, and what broke a rule."""

from __future__ import annotations

from scale.fleet.messages import RequestEnded, RequestResult
from scale.fleet.parameters import ANSWER_GRACE, MAX_UNITS, REQUEST_KINDS
from scale.fleet.tally import Tally
from scale.fleet.tenants import PlanTerms
from scale.fleet.token_bucket import TokenBucket

# A ceiling counts as exceeded beyond this share of its burst (or the largest request), and the units that
# come in at its rate while the limiters learn of each other.
_CEILING_SLACK = 0.1
_CEILING_LAG = 0.15  # seconds
_ROUNDING = 1e-9  # units


class PendingRequest:
    """A client's request with its retry, and what became of it."""

    __slots__ = (
        "due_at",
        "forwarded_within_quota",
        "is_retry",
        "kind",
        "limiter",
        "started_at",
        "true_units",
        "units",
        "value",
        "within_quota",
    )

    def __init__(self, started_at: float, kind: int, *, units: int, true_units: int, value: int) -> None:
        """A request that its client has just begun; ``value`` counts if it is served in time."""
        self.started_at = started_at
        self.kind = kind  # index of ``REQUEST_KINDS``
        self.units = units  # as estimated by the client
        self.true_units = true_units
        self.value = value
        self.due_at = 0.0  # when its client gives up
        self.limiter = 0  # that has it or had it last; -1: there was none
        self.is_retry = False
        self.within_quota = False  # when it came first
        self.forwarded_within_quota = False


class TenantAccount:
    """Counts the requests of one tenant by the quota that it truly has."""

    def __init__(self, terms: PlanTerms, tally: Tally) -> None:
        """Full buckets of these terms; the tally is that of the worker."""
        self._terms = terms
        self._tally = tally
        self._offered = TokenBucket(terms.rate, terms.burst)
        self.forwarded = TokenBucket(terms.rate, terms.burst)
        self.ceiling = TokenBucket(terms.ceiling_rate, terms.ceiling_burst)

    def record_offered(self, at: float, request: PendingRequest) -> None:
        """A client has a new request."""
        request.within_quota = self._offered.take(at, request.units)
        counts = self._tally.at(at)
        counts["first requests"] += 1
        if request.within_quota:
            counts["offered value"] += request.value
            counts[f"offered value {self._terms.name}"] += request.value
            self._tally.seconds[int(at)]["offered value"] += request.value

    def record_forwarded(self, at: float, request: PendingRequest) -> None:
        """A limiter sends the first attempt of a request."""
        counts = self._tally.at(at)
        plan = self._terms.name
        request.forwarded_within_quota = self.forwarded.take(at, request.units)
        counts["units sent"] += request.units
        counts[f"units sent {plan}"] += request.units
        if not request.forwarded_within_quota:
            counts["units over quota"] += request.units
            counts[f"units over quota {plan}"] += request.units
        if self._terms.ceiling_rate:
            self.ceiling.fill(at)
            self.ceiling.tokens -= request.units
            counts["ceilings exceeded"] += self.ceiling.tokens < -self._ceiling_tolerance() - _ROUNDING

    def record_final_answer(self, at: float, request: PendingRequest) -> None:
        """A client has an answer of any kind."""
        self._tally.at(at)["lost"] += at > request.due_at + ANSWER_GRACE

    def record_served(self, at: float, request: PendingRequest) -> None:
        """A request is answered; its value counts where it came in time and within the quota."""
        if request.forwarded_within_quota:
            self.forwarded.fill(at)
            self.forwarded.tokens -= request.true_units - request.units
        counts = self._tally.at(request.started_at)
        counts["answers"] += 1
        if at - request.started_at > REQUEST_KINDS[request.kind].latency_objective:
            return
        counts["within latency objective"] += 1
        if request.forwarded_within_quota:
            counts["served value"] += request.value
            counts[f"served value {self._terms.name}"] += request.value
            self._tally.seconds[int(request.started_at)]["served value"] += request.value

    def record_ended(self, at: float, request: PendingRequest, end: RequestEnded) -> None:
        """A request is rejected or fails."""
        counts = self._tally.at(at)
        counts[f"{end.result.value}: {end.reason}"] += 1
        if end.result is not RequestResult.REJECTED:
            return
        if self.forwarded.fill(at) >= max(request.units, self._terms.burst / 2):
            counts["rejected within quota"] += 1
            counts[f"rejected within quota: {end.reason}"] += 1

    def _ceiling_tolerance(self) -> float:
        """Units by which a ceiling may be exceeded."""
        slack = max(_CEILING_SLACK * self._terms.ceiling_burst, MAX_UNITS)
        return slack + _CEILING_LAG * self._terms.ceiling_rate
