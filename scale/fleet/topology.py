"""Zones, regions and cells of the simulated fleet, and the network delays between them."""

from __future__ import annotations

from scale.fleet.parameters import (
    CELL_SIZE,
    OTHER_REGION_DELAY_SECONDS,
    OTHER_ZONE_DELAY_SECONDS,
    SAME_ZONE_DELAY_SECONDS,
)

COORDINATION_ZONE = 0  # where the counter and discovery run
_PAIR_DRAWS = 997  # number of different values of ``pair_draw``


class Topology:
    """Assigns limiters and endpoints to zones round-robin, so that a tenant's limiters span several zones."""

    __slots__ = ("_near_zones", "_zones")

    def __init__(self, zones: int) -> None:
        """Distribute the zones over two regions."""
        self._zones = zones
        # Three fifths of the zones, rounded up, are in the region that has the counter and discovery.
        self._near_zones = -(-3 * zones // 5)

    def zone(self, index: int) -> int:
        """Return the zone of a limiter or an endpoint."""
        return index % self._zones

    def region(self, zone: int) -> int:
        """Return 0 for the region of the counter and discovery, 1 for the other one."""
        return int(zone >= self._near_zones)

    def cell(self, endpoint: int) -> int:
        """Return the cell of an endpoint, a group of endpoints of one zone."""
        return self.position_in_zone(endpoint) // CELL_SIZE

    def position_in_zone(self, endpoint: int) -> int:
        """Return the number of endpoints of the same zone with a lower index."""
        return endpoint // self._zones

    def delay(self, one: int, other: int, draw: float) -> float:
        """Return the one-way delay between two zones in seconds; ``draw`` (0 to 1) interpolates its range."""
        if one == other:
            low, high = SAME_ZONE_DELAY_SECONDS
        elif self.region(one) == self.region(other):
            low, high = OTHER_ZONE_DELAY_SECONDS
        else:
            low, high = OTHER_REGION_DELAY_SECONDS
        return low + draw * (high - low)


def pair_draw(limiter: int, peer: int) -> float:
    """Return a number from 0 to 1 that depends only on the pair, so that its messages keep their order."""
    return (limiter * 7919 + peer * 104_729) % _PAIR_DRAWS / _PAIR_DRAWS
