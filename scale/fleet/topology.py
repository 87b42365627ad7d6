"""Zones, regions and cells of the simulated fleet, and the network delays between them."""

from __future__ import annotations

from scale.fleet.parameters import CELL_SIZE, OTHER_REGION_DELAY, OTHER_ZONE_DELAY, SAME_ZONE_DELAY

COORDINATION_ZONE = 0  # where the counter and discovery run
_PAIR_DRAWS = 997  # different places in a range of delays


class Topology:
    """Limiters and endpoints stand in turn in the zones, so that a tenant's set of limiters spans several."""

    __slots__ = ("_near_zones", "_zones")

    def __init__(self, zones: int) -> None:
        """So many zones in two regions."""
        self._zones = zones
        # Three in five belong to the region that has the counter and discovery.
        self._near_zones = -(-3 * zones // 5)

    def zone(self, index: int) -> int:
        """The zone of a limiter or an endpoint."""
        return index % self._zones

    def region(self, zone: int) -> int:
        """0: the region of the counter and discovery; 1: the other one."""
        return int(zone >= self._near_zones)

    def cell(self, endpoint: int) -> int:
        """The cell: some endpoints of one zone."""
        return self.rank_in_zone(endpoint) // CELL_SIZE

    def rank_in_zone(self, endpoint: int) -> int:
        """How many endpoints of its zone come before this one."""
        return endpoint // self._zones

    def delay(self, one: int, other: int, draw: float) -> float:
        """Seconds one way between two zones; ``draw`` in 0 to 1 fixes the place in the range."""
        if one == other:
            low, high = SAME_ZONE_DELAY
        elif self.region(one) == self.region(other):
            low, high = OTHER_ZONE_DELAY
        else:
            low, high = OTHER_REGION_DELAY
        return low + draw * (high - low)


def pair_draw(limiter: int, peer: int) -> float:
    """A draw in 0 to 1 that is fixed for the pair, so that what is sent first arrives first."""
    return (limiter * 7919 + peer * 104_729) % _PAIR_DRAWS / _PAIR_DRAWS
