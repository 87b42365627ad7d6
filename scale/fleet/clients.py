"""All clients of one tenant: when they send requests, to which limiter, and what they do with the answers."""

from __future__ import annotations

import math
from bisect import bisect_left
from random import Random

from scale.fleet.accounting import PendingRequest, TenantAccount
from scale.fleet.messages import (
    ClientEvent,
    ClientRequest,
    Envelope,
    RequestEnded,
    RequestForwarded,
    SourceNumbers,
)
from scale.fleet.parameters import (
    BURST_INTERVAL,
    BURST_LENGTH,
    BURST_RATE,
    CLIENT_RETRY_DELAY,
    CLIENT_RETRY_PROBABILITY,
    CLIENT_START,
    LIMITER_ROTATION,
    MAX_UNITS,
    MEAN_UNITS,
    REQUEST_KINDS,
    WORK_VARIATION,
    WRONG_ESTIMATE_PROBABILITY,
)
from scale.fleet.scenario import World
from scale.fleet.tally import Tally
from scale.fleet.tenants import Tenant

_REQUEST_ID_BITS = 24  # of a request's id, for its number at its tenant
_MIN_PATIENCE = 0.5  # share of a kind's deadline that a client waits at least
_NO_LIMITER = -1


class TenantClients:
    """Draws all that the clients of a tenant do from a random source of the tenant's own."""

    def __init__(self, tenant: Tenant, world: World, tally: Tally) -> None:
        """The clients of one tenant; the tally is that of the worker."""
        self.tenant = tenant
        self._plan = world.plans[tenant.plan]
        self._world = world
        self._tally = tally
        self.account = TenantAccount(self._plan, tally)
        self.pending = dict[int, PendingRequest]()  # by request id
        self._source = SourceNumbers(world.size).first_tenant + tenant.index
        self._last_request_id = tenant.index << _REQUEST_ID_BITS
        self._sequence = 0
        self._rng = Random(f"{world.seed} tenant {tenant.index}")
        self._rotation_interval = self._rng.uniform(*LIMITER_ROTATION)
        self._rate = tenant.rate  # requests a second
        self._bursting = False
        self._rate_changes_at = math.inf
        if tenant.bursty:
            self._rate_changes_at = CLIENT_START + self._rng.expovariate(1 / BURST_INTERVAL)

    def next_request_after(self, now: float) -> float:
        """When the next new request comes."""
        while True:
            at = now + self._rng.expovariate(self._rate)
            if at < self._rate_changes_at:
                return at
            now = self._rate_changes_at
            self._change_rate()

    def start_request(self, now: float) -> tuple[PendingRequest, Envelope | None]:
        """A new request and its message for a limiter, or None where the balancer finds no living one."""
        request = self._draw_request(now)
        self.account.record_offered(now, request)
        return request, self._send(now, request)

    def retry(self, now: float, request: PendingRequest) -> Envelope | None:
        """The message of a retry, which goes to another limiter if there is one."""
        request.is_retry = True
        return self._send(now, request, avoided_limiter=request.limiter)

    def retry_at(self, now: float, request: PendingRequest) -> float | None:
        """When the client retries, if it does."""
        if request.is_retry or self._rng.random() >= CLIENT_RETRY_PROBABILITY:
            return None
        return now + self._rng.uniform(*CLIENT_RETRY_DELAY)

    def receive(self, at: float, event: ClientEvent) -> PendingRequest | None:
        """What a limiter did with a request, which is returned where its client may retry it."""
        request = self.pending.get(event.request_id)
        if request is None:
            raise AssertionError(f"a second final answer: {event}")
        if isinstance(event, RequestForwarded):
            self.account.record_forwarded(at, request)
            return None
        del self.pending[event.request_id]
        self.account.record_final_answer(at, request)
        if isinstance(event, RequestEnded):
            self.account.record_ended(at, request, event)
            return request
        self.account.record_served(at, request)
        return None

    def _change_rate(self) -> None:
        """A burst begins or ends."""
        now = self._rate_changes_at
        self._bursting = not self._bursting
        burst_rate = self._rng.uniform(*BURST_RATE) * self._plan.rate / MEAN_UNITS
        self._rate = burst_rate if self._bursting else self.tenant.rate
        length = self._rng.uniform(*BURST_LENGTH)
        if not self._bursting:
            length = max(length, self._rng.expovariate(1 / BURST_INTERVAL))
        self._rate_changes_at = now + length

    def _draw_request(self, now: float) -> PendingRequest:
        rng = self._rng
        draw = rng.random()
        kind = 0
        while kind < len(REQUEST_KINDS) - 1 and draw >= REQUEST_KINDS[kind].share:
            draw -= REQUEST_KINDS[kind].share
            kind += 1
        units = true_units = rng.randint(1, MAX_UNITS)
        if rng.random() < WRONG_ESTIMATE_PROBABILITY:
            true_units = min(MAX_UNITS, max(1, units + rng.choice((-1, 1))))
        value = REQUEST_KINDS[kind].priority_weight * self._plan.price * units
        return PendingRequest(now, kind, units=units, true_units=true_units, value=value)

    def _send(
        self, now: float, request: PendingRequest, avoided_limiter: int = _NO_LIMITER
    ) -> Envelope | None:
        """The message of a request, or None where it fails before it reaches a limiter."""
        counts = self._tally.at(now)
        counts["requests"] += 1
        limiter = self._choose_limiter(now, avoided_limiter)
        kind = REQUEST_KINDS[request.kind]
        timeout = kind.deadline * self._rng.uniform(_MIN_PATIENCE, 1.0)
        expected_work = kind.work * self._world.work_scale * request.true_units / MEAN_UNITS
        work = expected_work * self._rng.lognormvariate(*WORK_VARIATION)
        request.limiter = limiter
        request.due_at = now + timeout
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
            true_units=request.true_units,
            work=work,
            is_retry=request.is_retry,
        )
        return Envelope(now, self._source, self._sequence, request.limiter, message)

    def _choose_limiter(self, now: float, avoided_limiter: int) -> int:
        """One of the tenant's set; the next one where that is known to be down or has just rejected."""
        world = self._world
        size = world.size
        rank = int(now / self._rotation_interval)
        weights = world.cumulative_set_weights
        rank += bisect_left(weights, self._rng.random() * weights[-1])
        for step in range(size.spread):
            limiter = (self.tenant.first_limiter + (rank + step) % size.spread) % size.limiters
            may_try = limiter != avoided_limiter or size.spread == 1
            if may_try and not world.faults.limiter_avoided(limiter, now):
                return limiter
        return _NO_LIMITER
