"""How the memory of a limiter is divided among connections, customers and what peers send."""

from __future__ import annotations

import resource
from pathlib import Path
from typing import NamedTuple

MEGABYTE = 2**20
# Memory of a process that has no peers yet, if the system does not report it.
DEFAULT_INITIAL_BYTES = 28 * MEGABYTE
MEMORY_STATUS_FILE = Path("/proc/self/statm")  # the second number is the resident memory, in pages
STARTUP_BYTES = MEGABYTE  # used between the creation of the components and the first client
# Of the memory that is left for peers; the rest covers what the allocator cannot reuse at once.
CLIENT_CONNECTIONS_FRACTION = 0.35
ENDPOINT_CONNECTIONS_FRACTION = 0.15
ACCOUNTS_FRACTION = 0.15
CONTENTS_FRACTION = 0.1
# Memory of one object with all that belongs to it, without input and output.
CLIENT_CONNECTION_BYTES = 4800
ENDPOINT_CONNECTION_BYTES = 12_000  # with the request that it carries
ACCOUNT_BYTES = 1200
MIN_PEERS_BYTES = 2 * MEGABYTE  # assumed to be left, also where the limit is lower than the initial memory


class MemoryLimits(NamedTuple):
    """Limits of one process that follow from its memory."""

    client_connections: int
    endpoint_connections: int
    accounts: int  # customers that are known at one time
    contents: int  # bytes of input and output that wait


def memory_limits(max_bytes: int, initial_bytes: int, process_count: int) -> MemoryLimits:
    """Return the limits of one of ``process_count`` processes that share ``max_bytes``.

    ``initial_bytes`` is the memory of a process whose components are created.
    """
    peers = max(MIN_PEERS_BYTES, max_bytes // process_count - initial_bytes - STARTUP_BYTES)
    return MemoryLimits(
        client_connections=int(peers * CLIENT_CONNECTIONS_FRACTION / CLIENT_CONNECTION_BYTES),
        endpoint_connections=int(peers * ENDPOINT_CONNECTIONS_FRACTION / ENDPOINT_CONNECTION_BYTES),
        accounts=int(peers * ACCOUNTS_FRACTION / ACCOUNT_BYTES),
        contents=int(peers * CONTENTS_FRACTION),
    )


def resident_bytes() -> int:
    """Return the memory that this process uses now."""
    try:
        pages = int(MEMORY_STATUS_FILE.read_text().split()[1])
    except (OSError, ValueError, IndexError):
        return DEFAULT_INITIAL_BYTES
    return pages * resource.getpagesize()
