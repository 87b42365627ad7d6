"""The clients of a worker's tenants: requests and responses in order of time."""

from __future__ import annotations

from collections.abc import Iterable
from heapq import heapify, heappop, heappush
from typing import NamedTuple, get_args

from scale.fleet.accounting import PendingRequest
from scale.fleet.clients import TenantClients
from scale.fleet.mailbox import Send
from scale.fleet.messages import ClientEvent, Envelope
from scale.fleet.parameters import CLIENT_START_SECONDS, RESPONSE_GRACE_SECONDS
from scale.fleet.scenario import World
from scale.fleet.tally import Tally

_CLIENT_EVENTS = get_args(ClientEvent)


class _DueRequest(NamedTuple):
    """A request to send; ordered by time, tenant and retry number."""

    at: float
    tenant: int
    retry_number: int  # 0 for a new request
    request: PendingRequest | None  # None for a new request, which is drawn when it is due


class Workload:
    """Sends the requests of the tenants of one worker and receives the responses."""

    def __init__(self, world: World, tenants: list[int], tally: Tally) -> None:
        """Create the clients of these tenants and schedule their first requests."""
        self._tally = tally
        self._clients = {tenant: TenantClients(world.tenants[tenant], world, tally) for tenant in tenants}
        self._due = [
            _DueRequest(clients.next_request_after(CLIENT_START_SECONDS), tenant, 0, None)
            for tenant, clients in self._clients.items()
        ]
        heapify(self._due)
        self._retry_count = 0

    def send_until(self, until: float, send: Send) -> None:
        """Send all requests that are due before ``until``."""
        due = self._due
        while due[0].at < until:
            at, tenant, _, request = heappop(due)
            clients = self._clients[tenant]
            if request is None:
                heappush(due, _DueRequest(clients.next_request_after(at), tenant, 0, None))
                request, envelope = clients.start_request(at)
            else:
                envelope = clients.retry(at, request)
            if envelope is not None:
                send(envelope)
            else:
                self._schedule_retry(at, clients, request)

    def receive(self, envelopes: Iterable[Envelope]) -> None:
        """Handle events in order of time; a request that was not served may be retried."""
        for envelope in envelopes:
            event = envelope.event
            assert isinstance(event, _CLIENT_EVENTS)
            clients = self._clients[envelope.recipient]
            request = clients.receive(envelope.time, event)
            if request is not None:
                self._schedule_retry(envelope.time, clients, request)

    def count_unanswered(self, end: float) -> None:
        """Count a request as lost if it has no response and its timeout passed before ``end``."""
        for clients in self._clients.values():
            unanswered = sum(
                request.due_at + RESPONSE_GRACE_SECONDS < end for request in clients.pending.values()
            )
            if unanswered:
                self._tally.at(end)["lost"] += unanswered

    def _schedule_retry(self, now: float, clients: TenantClients, request: PendingRequest) -> None:
        at = clients.retry_at(now, request)
        if at is not None:
            self._retry_count += 1
            heappush(self._due, _DueRequest(at, clients.tenant.index, self._retry_count, request))
