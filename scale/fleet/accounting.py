"""Counts a tenant's usage exactly, over all limiters: offered, served, over quota and over the ceiling."""

from __future__ import annotations

from scale.fleet.messages import RequestEnded, RequestResult
from scale.fleet.parameters import MAX_UNITS, REQUEST_KINDS, RESPONSE_GRACE_SECONDS
from scale.fleet.tally import Tally
from scale.fleet.tenants import PlanTerms
from scale.fleet.token_bucket import TokenBucket

# Limiters learn of each other's usage with a lag. So a ceiling counts as exceeded only beyond a tolerance:
# this fraction of its burst, or the units of the largest request if those are more, plus the units that its
# rate allows during the lag.
_CEILING_TOLERANCE_FRACTION = 0.1
_CEILING_LAG_SECONDS = 0.15
_ROUNDING_UNITS = 1e-9


class PendingRequest:
    """A client's request with its retry.

    ``limiter`` and ``due_at`` belong to what the client sent last: the request itself or its retry.
    """

    __slots__ = (
        "charged_units",
        "due_at",
        "forwarded_within_quota",
        "is_retry",
        "kind",
        "limiter",
        "started_at",
        "units",
        "value",
        "within_quota",
    )

    def __init__(self, started_at: float, kind: int, *, units: int, charged_units: int, value: int) -> None:
        """Create a new request; ``value`` counts if the request is served in time."""
        self.started_at = started_at
        self.kind = kind  # index of ``REQUEST_KINDS``
        self.units = units  # as estimated by the client
        self.charged_units = charged_units  # as charged by the endpoint
        self.value = value
        self.due_at = 0.0  # the time at which the client stops waiting
        self.limiter = 0  # -1: no limiter was available
        self.is_retry = False
        self.within_quota = False  # state at the time of the offer; a retry does not change it
        self.forwarded_within_quota = False

    def record_limiter(self, limiter: int, due_at: float) -> None:
        """Record the limiter that the client has chosen and the time until which the client waits."""
        self.limiter = limiter
        self.due_at = due_at

    def start_retry(self) -> None:
        """Record that the client retries the request."""
        self.is_retry = True

    def record_offered(self, *, within_quota: bool) -> None:
        """Record whether the request was within the tenant's quota when it was offered."""
        self.within_quota = within_quota

    def record_forwarded(self, *, within_quota: bool) -> None:
        """Record whether the request was within the tenant's quota when it was forwarded."""
        self.forwarded_within_quota = within_quota


class TenantUsage:
    """Counts the requests of one tenant, within and over its quota, for all limiters together."""

    def __init__(self, terms: PlanTerms, tally: Tally) -> None:
        """Start with full buckets; ``tally`` is the worker's."""
        self._terms = terms
        self._tally = tally
        self._offered_bucket = TokenBucket(terms.rate, terms.burst)
        self.forwarded_bucket = TokenBucket(terms.rate, terms.burst)
        self.ceiling_bucket = TokenBucket(terms.ceiling_rate, terms.ceiling_burst)

    def record_offered(self, at: float, request: PendingRequest) -> None:
        """Count a new request of a client."""
        request.record_offered(within_quota=self._offered_bucket.take(at, request.units))
        counts = self._tally.at(at)
        counts["first requests"] += 1
        if request.within_quota:
            counts["offered value"] += request.value
            counts[f"offered value {self._terms.name}"] += request.value
            self._tally.seconds[int(at)]["offered value"] += request.value

    def record_forwarded(self, at: float, request: PendingRequest) -> None:
        """Count a request that a limiter forwards for the first time."""
        counts = self._tally.at(at)
        plan = self._terms.name
        request.record_forwarded(within_quota=self.forwarded_bucket.take(at, request.units))
        counts["units sent"] += request.units
        counts[f"units sent {plan}"] += request.units
        if not request.forwarded_within_quota:
            counts["units over quota"] += request.units
            counts[f"units over quota {plan}"] += request.units
        if self._terms.ceiling_rate:
            self.ceiling_bucket.charge(at, request.units)
            lowest_allowed = -self._ceiling_tolerance() - _ROUNDING_UNITS
            counts["ceilings exceeded"] += self.ceiling_bucket.tokens < lowest_allowed

    def record_final_response(self, at: float, request: PendingRequest) -> None:
        """Count the request as lost if its final response, of any kind, arrives too late."""
        self._tally.at(at)["lost"] += at > request.due_at + RESPONSE_GRACE_SECONDS

    def record_served(self, at: float, request: PendingRequest) -> None:
        """Count a served request, and its value if it met its latency objective and was within the quota."""
        if request.forwarded_within_quota:
            self.forwarded_bucket.charge(at, request.charged_units - request.units)
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
        """Count a request that is rejected or fails.

        A rejection is within the quota if the bucket has the units of the request and is at least half full.
        """
        counts = self._tally.at(at)
        counts[f"{end.result.value}: {end.reason}"] += 1
        if end.result is not RequestResult.REJECTED:
            return
        if self.forwarded_bucket.fill(at) >= max(request.units, self._terms.burst / 2):
            counts["rejected within quota"] += 1
            counts[f"rejected within quota: {end.reason}"] += 1

    def _ceiling_tolerance(self) -> float:
        """Return the units by which a ceiling may be exceeded."""
        tolerance = max(_CEILING_TOLERANCE_FRACTION * self._terms.ceiling_burst, MAX_UNITS)
        return tolerance + _CEILING_LAG_SECONDS * self._terms.ceiling_rate
