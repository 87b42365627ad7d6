"""The order in which a listener evicts connections when it is at its connection limit."""

from __future__ import annotations

import enum
from typing import NamedTuple

NEW_SECONDS = 0.1


class EvictionPriority(enum.IntEnum):
    """The kinds of connections that have no open request; those with the lowest value are evicted first.

    A connection counts as new for ``NEW_SECONDS``: the rest of its request is probably on its way. While new
    connections would be evicted, the next ones wait in the accept queue.
    """

    LINGERING = 0
    NEVER_SENT_DATA = 1
    PARTIAL_REQUEST = 2
    NEW_PARTIAL_REQUEST = 3
    NEW_WITHOUT_DATA = 4
    IDLE = 5


# Of connections that are neither new nor idle.
EVICTED_FIRST = (
    EvictionPriority.LINGERING,
    EvictionPriority.NEVER_SENT_DATA,
    EvictionPriority.PARTIAL_REQUEST,
)
NEW_PRIORITIES = (EvictionPriority.NEW_PARTIAL_REQUEST, EvictionPriority.NEW_WITHOUT_DATA)


class EvictionRank(NamedTuple):
    """The rank of a connection in the eviction order; the lowest rank is evicted first."""

    priority: EvictionPriority
    active_at: float  # time of the last activity, in seconds of the event loop's clock
