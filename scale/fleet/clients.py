"""The clients of one tenant: times of their requests, choice of the limiter, retries."""

from __future__ import annotations

import math
from bisect import bisect_left
from random import Random
from typing import NamedTuple

from scale.fleet.accounting import PendingRequest, TenantUsage
from scale.fleet.messages import (
    ClientEvent,
    ClientRequest,
    Envelope,
    RequestEnded,
    RequestForwarded,
    SourceNumbers,
)
from scale.fleet.parameters import (
    BURST_INTERVAL_SECONDS,
    BURST_RATE_FACTOR,
    BURST_SECONDS,
    CLIENT_RETRY_DELAY_SECONDS,
    CLIENT_RETRY_PROBABILITY,
    CLIENT_START_SECONDS,
    LIMITER_ROTATION_SECONDS,
    MAX_UNITS,
    MEAN_UNITS,
    REQUEST_KINDS,
    WORK_LOGNORMAL_MU_SIGMA,
    WRONG_ESTIMATE_PROBABILITY,
)
from scale.fleet.scenario import World
from scale.fleet.tally import Tally
from scale.fleet.tenants import Tenant

# The low bits of a request id are the number of the request within its tenant; the higher bits are the index
# of the tenant.
_REQUEST_NUMBER_BITS = 24
_MIN_TIMEOUT_FRACTION = 0.5  # the shortest timeout of a client, as a fraction of the request kind's deadline
_NO_LIMITER = -1


class StartedRequest(NamedTuple):
    """A new request and its message; the message is None if the request fails before it reaches a limiter."""

    request: PendingRequest
    envelope: Envelope | None


class TenantClients:
    """Draws the actions of a tenant's clients from the tenant's own random source."""

    def __init__(self, tenant: Tenant, world: World, tally: Tally) -> None:
        """Create the clients of one tenant; ``tally`` is the worker's."""
        self.tenant = tenant
        self._plan = world.plans[tenant.plan]
        self._world = world
        self._tally = tally
        self.usage = TenantUsage(self._plan, tally)
        self.pending = dict[int, PendingRequest]()  # by request id
        self._source = SourceNumbers(world.size).first_tenant + tenant.index
        self._last_request_id = tenant.index << _REQUEST_NUMBER_BITS
        self._sequence = 0
        self._rng = Random(f"{world.seed} tenant {tenant.index}")
        self._rotation_interval = self._rng.uniform(*LIMITER_ROTATION_SECONDS)
        self._rate = tenant.rate  # requests a second
        self._bursting = False
        self._rate_changes_at = math.inf
        if tenant.bursty:
            self._rate_changes_at = CLIENT_START_SECONDS + self._rng.expovariate(1 / BURST_INTERVAL_SECONDS)

    def next_request_after(self, now: float) -> float:
        """Return the time of the next new request."""
        while True:
            at = now + self._rng.expovariate(self._rate)
            if at < self._rate_changes_at:
                return at
            now = self._rate_changes_at
            self._change_rate()

    def start_request(self, now: float) -> StartedRequest:
        """Draw a new request and send it to a limiter."""
        request = self._draw_request(now)
        self.usage.record_offered(now, request)
        return StartedRequest(request, self._send(now, request))

    def retry(self, now: float, request: PendingRequest) -> Envelope | None:
        """Return the message of a retry to another limiter; None if it fails before it reaches one."""
        request.start_retry()
        return self._send(now, request, avoided_limiter=request.limiter)

    def retry_at(self, now: float, request: PendingRequest) -> float | None:
        """Draw whether and when the client retries; return the time of the retry, or None."""
        if request.is_retry or self._rng.random() >= CLIENT_RETRY_PROBABILITY:
            return None
        return now + self._rng.uniform(*CLIENT_RETRY_DELAY_SECONDS)

    def receive(self, at: float, event: ClientEvent) -> PendingRequest | None:
        """Count a limiter's event about a request; return the request if its client may retry it."""
        request = self.pending.get(event.request_id)
        if request is None:
            raise AssertionError(f"an event for a request that already has its final response: {event}")
        if isinstance(event, RequestForwarded):
            self.usage.record_forwarded(at, request)
            return None
        del self.pending[event.request_id]
        self.usage.record_final_response(at, request)
        if isinstance(event, RequestEnded):
            self.usage.record_ended(at, request, event)
            return request
        self.usage.record_served(at, request)
        return None

    def _change_rate(self) -> None:
        """Start or end a burst, and draw the time of the next change."""
        now = self._rate_changes_at
        self._bursting = not self._bursting
        burst_rate = self._rng.uniform(*BURST_RATE_FACTOR) * self._plan.rate / MEAN_UNITS
        self._rate = burst_rate if self._bursting else self.tenant.rate
        length = self._rng.uniform(*BURST_SECONDS)
        if not self._bursting:
            length = max(length, self._rng.expovariate(1 / BURST_INTERVAL_SECONDS))
        self._rate_changes_at = now + length

    def _draw_request(self, now: float) -> PendingRequest:
        rng = self._rng
        draw = rng.random()
        kind = 0
        while kind < len(REQUEST_KINDS) - 1 and draw >= REQUEST_KINDS[kind].fraction:
            draw -= REQUEST_KINDS[kind].fraction
            kind += 1
        units = charged_units = rng.randint(1, MAX_UNITS)
        if rng.random() < WRONG_ESTIMATE_PROBABILITY:
            charged_units = min(MAX_UNITS, max(1, units + rng.choice((-1, 1))))
        value = REQUEST_KINDS[kind].priority_weight * self._plan.price * units
        return PendingRequest(now, kind, units=units, charged_units=charged_units, value=value)

    def _send(
        self, now: float, request: PendingRequest, avoided_limiter: int = _NO_LIMITER
    ) -> Envelope | None:
        """Return the message of a request; None if it fails before it reaches a limiter."""
        counts = self._tally.at(now)
        counts["requests"] += 1
        limiter = self._choose_limiter(now, avoided_limiter)
        kind = REQUEST_KINDS[request.kind]
        timeout = kind.deadline * self._rng.uniform(_MIN_TIMEOUT_FRACTION, 1.0)
        expected_work = kind.work * self._world.work_scale * request.charged_units / MEAN_UNITS
        work = expected_work * self._rng.lognormvariate(*WORK_LOGNORMAL_MU_SIGMA)
        request.record_limiter(limiter, due_at=now + timeout)
        if limiter == _NO_LIMITER:
            counts["failed: no living limiter"] += 1
            return None
        if self._world.faults.limiter_down(limiter, now):
            counts["failed: dead limiter"] += 1
            return None
        return self._envelope(now, request, timeout=timeout, work=work)

    def _envelope(self, now: float, request: PendingRequest, *, timeout: float, work: float) -> Envelope:
        self._last_request_id += 1
        self._sequence += 1
        self.pending[self._last_request_id] = request
        message = ClientRequest(
            self._last_request_id,
            tenant=self.tenant.index,
            kind=request.kind,
            plan=self.tenant.plan,
            timeout=timeout,
            account=self.tenant.account,
            units=request.units,
            charged_units=request.charged_units,
            work=work,
            is_retry=request.is_retry,
        )
        return Envelope(now, self._source, self._sequence, request.limiter, message)

    def _choose_limiter(self, now: float, avoided_limiter: int) -> int:
        """Draw a limiter of the tenant's set, except the avoided limiter and those known to be down."""
        world = self._world
        size = world.size
        position = int(now / self._rotation_interval)
        weights = world.cumulative_set_weights
        position += bisect_left(weights, self._rng.random() * weights[-1])
        for step in range(size.spread):
            limiter = (self.tenant.first_limiter + (position + step) % size.spread) % size.limiters
            is_allowed = limiter != avoided_limiter or size.spread == 1
            if is_allowed and not world.faults.limiter_avoided(limiter, now):
                return limiter
        return _NO_LIMITER
