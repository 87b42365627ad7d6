"""Which worker has which limiter, endpoint and tenant, and the envelopes on their way to each worker."""

from __future__ import annotations

from scale.fleet.lockstep import Exchange
from scale.fleet.messages import ROLES, Envelope, Role
from scale.fleet.scenario import World
from scale.fleet.wire_format import decode, encode


class Router:
    """Collects what one worker sends within a window, by the worker that it goes to."""

    def __init__(self, worker: int, worker_count: int, world: World) -> None:
        """The router of one worker out of so many."""
        self._worker = worker
        self._worker_count = worker_count
        self._world = world
        self._outboxes: list[list[Envelope]] = [[] for _ in range(worker_count)]
        owners = {
            Role.LIMITER: self._limiter_owner,
            Role.ENDPOINT: self._endpoint_owner,
            Role.TENANT: self._tenant_owner,
        }
        # By the type of the event.
        self._owners = {event: owners[role] for event, role in ROLES.items() if role in owners}

    def owns_limiter(self, limiter: int) -> bool:
        """Whether this worker has the limiter."""
        return self._limiter_owner(limiter) == self._worker

    def owns_endpoint(self, endpoint: int) -> bool:
        """Whether this worker has the endpoint."""
        return self._endpoint_owner(endpoint) == self._worker

    def owns_tenant(self, tenant: int) -> bool:
        """Whether this worker has the tenant's clients."""
        return self._tenant_owner(tenant) == self._worker

    def send(self, envelope: Envelope) -> None:
        """Have the worker of the recipient take the envelope after the window."""
        owner = self._owners.get(type(envelope.event))
        if owner is not None:
            self._outboxes[owner(envelope.recipient)].append(envelope)
        else:  # each worker has a copy of the counter and of discovery
            for outbox in self._outboxes:
                outbox.append(envelope)

    def exchange(self, exchange: Exchange) -> list[Envelope]:
        """Hand over what was sent since the last call; what this worker and the others sent to this one."""
        outboxes = self._outboxes
        self._outboxes = [[] for _ in outboxes]
        to_self = outboxes[self._worker]
        outboxes[self._worker] = []
        from_others = exchange([encode(outbox) for outbox in outboxes])
        return to_self + decode(from_others)

    def _limiter_owner(self, limiter: int) -> int:
        return limiter * self._worker_count // self._world.size.limiters

    def _endpoint_owner(self, endpoint: int) -> int:
        return endpoint % self._worker_count

    def _tenant_owner(self, tenant: int) -> int:
        """That of the first limiter of its set."""
        return self._limiter_owner(self._world.tenants[tenant].first_limiter)
