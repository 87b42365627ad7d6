"""Assigns limiters, endpoints and tenants to workers, and routes envelopes between the workers."""

from __future__ import annotations

from scale.fleet.lockstep import Exchange
from scale.fleet.messages import ROLES, Envelope, Role
from scale.fleet.scenario import World
from scale.fleet.wire_format import decode, encode


class Router:
    """Collects the envelopes that one worker sends within a window, grouped by the receiving worker."""

    def __init__(self, worker: int, worker_count: int, world: World) -> None:
        """Create the router of one of ``worker_count`` workers."""
        self._worker = worker
        self._worker_count = worker_count
        self._world = world
        self._outboxes: list[list[Envelope]] = [[] for _ in range(worker_count)]
        owner_functions = {
            Role.LIMITER: self._limiter_owner,
            Role.ENDPOINT: self._endpoint_owner,
            Role.TENANT: self._tenant_owner,
        }
        # Returns the worker that owns a recipient, by the type of the event.
        self._owner_functions = {
            event_type: owner_functions[role] for event_type, role in ROLES.items() if role in owner_functions
        }

    def owns_limiter(self, limiter: int) -> bool:
        """Whether this worker owns a limiter."""
        return self._limiter_owner(limiter) == self._worker

    def owns_endpoint(self, endpoint: int) -> bool:
        """Whether this worker owns an endpoint."""
        return self._endpoint_owner(endpoint) == self._worker

    def owns_tenant(self, tenant: int) -> bool:
        """Whether this worker owns a tenant's clients."""
        return self._tenant_owner(tenant) == self._worker

    def send(self, envelope: Envelope) -> None:
        """Queue an envelope for the worker that owns its recipient, which receives it after the window."""
        owner_function = self._owner_functions.get(type(envelope.event))
        if owner_function is not None:
            self._outboxes[owner_function(envelope.recipient)].append(envelope)
        else:  # each worker has a copy of the counter and of discovery
            for outbox in self._outboxes:
                outbox.append(envelope)

    def exchange(self, exchange: Exchange) -> list[Envelope]:
        """Send the envelopes queued since the last call; return those for this worker, including its own."""
        outboxes = self._outboxes
        self._outboxes = [[] for _ in outboxes]
        own = outboxes[self._worker]
        outboxes[self._worker] = []
        received = exchange([encode(outbox) for outbox in outboxes])
        return own + decode(received)

    def _limiter_owner(self, limiter: int) -> int:
        return limiter * self._worker_count // self._world.size.limiters

    def _endpoint_owner(self, endpoint: int) -> int:
        return endpoint % self._worker_count

    def _tenant_owner(self, tenant: int) -> int:
        """Return the worker that owns the first limiter of the tenant's set."""
        return self._limiter_owner(self._world.tenants[tenant].first_limiter)
