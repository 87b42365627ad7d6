"""Faults of the clients of a limiter."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from soak.clients import LimiterClients
from soak.fault_kinds import FaultKind
from soak.history import ClientBehaviour
from soak.scenario import Fault

BURST_FACTOR = 4


@dataclass(frozen=True, slots=True)
class _BehaviourShare:
    """A behaviour with the fraction of the requests that show it."""

    behaviour: ClientBehaviour
    fraction: float


BEHAVIOUR_SHARES = {
    FaultKind.DISCONNECT: _BehaviourShare(ClientBehaviour.DISCONNECT, 0.5),
    FaultKind.INCOMPLETE_REQUESTS: _BehaviourShare(ClientBehaviour.INCOMPLETE_REQUEST, 0.1),
    FaultKind.PIPELINING: _BehaviourShare(ClientBehaviour.PIPELINING, 0.25),
    FaultKind.HALF_CLOSE: _BehaviourShare(ClientBehaviour.HALF_CLOSE, 0.5),
    FaultKind.LONG_UPLOADS: _BehaviourShare(ClientBehaviour.LONG_UPLOAD, 0.2),
    FaultKind.IMMEDIATE_RETRIES: _BehaviourShare(ClientBehaviour.IMMEDIATE_RETRIES, 1.0),
    FaultKind.FRAGMENTED_REQUESTS: _BehaviourShare(ClientBehaviour.FRAGMENTED_REQUEST, 0.5),
}


class ClientFaults:
    """Faulty behaviour or a burst of the clients of one limiter."""

    KINDS = frozenset({*BEHAVIOUR_SHARES, FaultKind.TRAFFIC_BURST})

    async def inject(self, clients: LimiterClients, fault: Fault) -> None:
        """Let the clients show a fault for its duration."""
        if fault.kind is FaultKind.TRAFFIC_BURST:
            clients.scale_rate(BURST_FACTOR)
            await asyncio.sleep(fault.duration)
            clients.scale_rate(1 / BURST_FACTOR)
            return
        share = BEHAVIOUR_SHARES[fault.kind]
        clients.start_behaviour(share.behaviour, share.fraction)
        await asyncio.sleep(fault.duration)
        clients.end_behaviour(share.behaviour)
