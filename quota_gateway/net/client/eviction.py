"""The order in which a listener evicts connections when it is at its connection limit."""

from __future__ import annotations

import enum
from typing import NamedTuple


class EvictionPriority(enum.IntEnum):
    """The kinds of connections that have no open request; those with the lowest value are evicted first."""

    LINGERING = 0
    NEVER_SENT_DATA = 1
    PARTIAL_REQUEST = 2
    IDLE = 3


class EvictionRank(NamedTuple):
    """The rank of a connection in the eviction order; the lowest rank is evicted first."""

    priority: EvictionPriority
    active_at: float  # time of the last activity, in seconds of the event loop's clock
