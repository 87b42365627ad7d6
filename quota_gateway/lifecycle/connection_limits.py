"""How the file descriptors of a limiter are divided among its processes, clients and endpoints."""

from __future__ import annotations

from typing import NamedTuple

from quota_gateway.lifecycle.memory_limits import MemoryLimits

# File descriptors of one process for everything but client and endpoint connections, and for sockets that are
# being closed. A process reserves fewer while several processes share the descriptors.
RESERVED_DESCRIPTORS = 48
RESERVED_DESCRIPTORS_IN_GROUP = 24
MIN_CONNECTIONS = 8  # lower bound of each limit, even if there are too few descriptors


class ConnectionLimits(NamedTuple):
    """The maximum numbers of open connections of one process, by peer."""

    clients: int
    endpoints: int


def limited_by_memory(limits: ConnectionLimits, memory: MemoryLimits) -> ConnectionLimits:
    """Return the limits of a process that has memory for fewer connections than descriptors."""
    return ConnectionLimits(
        max(MIN_CONNECTIONS, min(limits.clients, memory.client_connections)),
        max(MIN_CONNECTIONS, min(limits.endpoints, memory.endpoint_connections)),
    )


def connection_limits(max_descriptors: int, process_count: int) -> ConnectionLimits:
    """Return the limits of one of ``process_count`` processes that share ``max_descriptors``."""
    if process_count > 1:
        # Client connections use at most a third of the descriptors. Clients migrate to the new process one by
        # one, so the old process needs most of that third.
        clients = max(MIN_CONNECTIONS, max_descriptors // (2 * process_count))
        unreserved = max_descriptors - RESERVED_DESCRIPTORS_IN_GROUP * process_count
        return ConnectionLimits(clients, max(MIN_CONNECTIONS, unreserved // process_count - clients))
    # Client connections usually use at most a third of the descriptors. Beyond half, idle ones are evicted in
    # favour of new ones.
    half = max(MIN_CONNECTIONS, (max_descriptors - RESERVED_DESCRIPTORS) // 2)
    return ConnectionLimits(half, half)
