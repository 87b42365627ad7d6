"""Faults of the clients of a limiter."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from soak.clients import LimiterClients
from soak.fault_kinds import FaultKind
from soak.history import ClientBehaviour
from soak.scenario import Fault

BURST_FACTOR = 4
# More than a limiter's limit on client connections, which is less than half of its ``MAX_SOCKETS``.
FLOOD_CONNECTIONS = 300
HOSTILE_PAYLOADS = (
    b"GET /lookup HTTP/1.1\r\n" + b"a:b\r\n" * 6000,
    b"POST /post HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + b"2\r\nxx\r\n" * 20_000,
)


@dataclass(frozen=True, slots=True)
class _FaultyBehaviour:
    """A client behaviour, and the fraction of the requests that are sent with it."""

    behaviour: ClientBehaviour
    fraction: float


FAULTY_BEHAVIOURS = {
    FaultKind.DISCONNECT: _FaultyBehaviour(ClientBehaviour.DISCONNECT, 0.5),
    FaultKind.INCOMPLETE_REQUESTS: _FaultyBehaviour(ClientBehaviour.INCOMPLETE_REQUEST, 0.1),
    FaultKind.PIPELINING: _FaultyBehaviour(ClientBehaviour.PIPELINING, 0.25),
    FaultKind.HALF_CLOSE: _FaultyBehaviour(ClientBehaviour.HALF_CLOSE, 0.5),
    FaultKind.LONG_UPLOADS: _FaultyBehaviour(ClientBehaviour.LONG_UPLOAD, 0.2),
    FaultKind.IMMEDIATE_RETRIES: _FaultyBehaviour(ClientBehaviour.IMMEDIATE_RETRIES, 1.0),
    FaultKind.FRAGMENTED_REQUESTS: _FaultyBehaviour(ClientBehaviour.FRAGMENTED_REQUEST, 0.5),
    FaultKind.IDLE_BETWEEN_REQUESTS: _FaultyBehaviour(ClientBehaviour.IDLE_BETWEEN_REQUESTS, 0.25),
}


class ClientFaults:
    """Faulty behaviour, traffic bursts and connection floods of the clients of one limiter."""

    KINDS = frozenset(
        {
            *FAULTY_BEHAVIOURS,
            FaultKind.TRAFFIC_BURST,
            FaultKind.CONNECTION_FLOOD,
            FaultKind.HOSTILE_CROWD,
            FaultKind.REQUEST_FLOOD,
        }
    )

    async def inject(self, clients: LimiterClients, fault: Fault) -> None:
        """Inject a fault into the clients of one limiter, and undo it after its duration."""
        if fault.kind is FaultKind.TRAFFIC_BURST:
            clients.scale_rate(BURST_FACTOR)
            await asyncio.sleep(fault.duration)
            clients.scale_rate(1 / BURST_FACTOR)
            return
        if fault.kind is FaultKind.CONNECTION_FLOOD:
            await clients.keep_idle_connections(FLOOD_CONNECTIONS, fault.duration)
            return
        if fault.kind is FaultKind.HOSTILE_CROWD:
            payload = HOSTILE_PAYLOADS[int(fault.draw * len(HOSTILE_PAYLOADS))]
            await clients.keep_hostile_connections(FLOOD_CONNECTIONS, payload, fault.duration)
            return
        if fault.kind is FaultKind.REQUEST_FLOOD:
            await clients.flood_with_health_checks(fault.duration)
            return
        faulty = FAULTY_BEHAVIOURS[fault.kind]
        clients.start_behaviour(faulty.behaviour, faulty.fraction)
        await asyncio.sleep(fault.duration)
        clients.end_behaviour(faulty.behaviour)
