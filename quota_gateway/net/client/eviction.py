"""The order in which connections are evicted when a listener is at its limit."""

from __future__ import annotations

import enum
from typing import NamedTuple


class EvictionPriority(enum.IntEnum):
    """The kinds of connections without an open request; lower ones are evicted first."""

    LINGERING = 0
    NEVER_SENT_DATA = 1
    PARTIAL_REQUEST = 2
    IDLE = 3


class EvictionOrder(NamedTuple):
    """The place of a connection in the order of eviction; the lowest is evicted first."""

    priority: EvictionPriority
    active_at: float  # seconds of the event loop's clock
