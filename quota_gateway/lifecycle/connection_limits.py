"""How the file descriptors of a limiter are divided among its processes, clients and endpoints."""

from __future__ import annotations

from typing import NamedTuple

RESERVED_DESCRIPTORS = 48  # for everything but clients and endpoints, and for sockets that are being closed
RESERVED_DESCRIPTORS_IN_GROUP = 24  # the same for each process while several processes share the descriptors
MIN_CONNECTIONS = 8  # of clients and to endpoints, however few descriptors there are


class ConnectionLimits(NamedTuple):
    """The connections that one process may hold."""

    clients: int
    endpoints: int


def connection_limits(max_descriptors: int, process_count: int) -> ConnectionLimits:
    """Return the limits of one of ``process_count`` processes that share ``max_descriptors``."""
    if process_count > 1:
        # Clients hold a third of the descriptors at most and migrate to the new process one by one, so that
        # the old process needs most of that third.
        clients = max(MIN_CONNECTIONS, max_descriptors // (2 * process_count))
        unreserved = max_descriptors - RESERVED_DESCRIPTORS_IN_GROUP * process_count
        return ConnectionLimits(clients, max(MIN_CONNECTIONS, unreserved // process_count - clients))
    # Clients usually hold a third of the descriptors at most; beyond half, idle clients are evicted for new
    # ones.
    half = max(MIN_CONNECTIONS, (max_descriptors - RESERVED_DESCRIPTORS) // 2)
    return ConnectionLimits(half, half)
