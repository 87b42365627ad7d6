"""The world of the fleet test: places, plans, demand and troubles, all drawn from one seed.

Figures are those of the operators' brief (classes, plans, mixes, cold starts) unless marked as assumed.
Nothing here imports the decisions, so that a worker may take them from another checkout.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from scale.model import Size

COUNTER_TIMEOUT = 0.03  # seconds until a limiter gives up a call to the counter
DIAL_TIMEOUT = 0.25  # seconds until a dial in vain ends, as in the real limiter
# Assumed: so long after a machine fell silent attempts still go out on kept connections and hear nothing;
# from then on they are dialled anew, in vain. Connections are not modelled one by one.
KEPT = 1.0
# Two cores, not the brief's three: with those and the brief's work the fleet would be a third busy. So the
# work of a class stays in the brief's range; the rest of the way to BUSY is scaled.
CORES, ROOM = 2, 40  # of a server; requests that may wait there (assumed)
BUSY = 0.5  # share of the servers' capacity that use inside the quotas takes
COLD_SHARE, WARM_AFTER = (
    0.3,
    12.0,
)  # of a server that starts: what it can do at first; seconds until it is warm
FALL_MULTIPLE, FALL_WINDOW = 2.5, 1.0
BOOT_GROUPS, BOOT_GAP = (
    3,
    1.0,
)  # servers of a zone that returns start in so many groups, so far apart (assumed)
SAME_ZONE, OTHER_ZONE = (0.0001, 0.00033), (0.0014, 0.0026)  # seconds one way
# Assumed: at 15 ms one way and more the far region could not use a counter that is given up after 30 ms.
OTHER_REGION = (0.008, 0.010)
NOTICE = (0.65, 4.8)  # seconds until discovery has told a limiter of a change
BACK = (1.4, 8.0)  # seconds that a killed limiter is away
STILL_SENT = (1.2, 3.7)  # seconds that requests go on coming to a dead limiter
RETRY_WAIT, RETRY_SHARE = (0.03, 0.24), 0.5  # a client's wait before its one retry; share of tries it retries
MEAN_UNITS, MOST_UNITS = 2.5, 4  # 1 to 4, each as likely
OVER, NEAR, BURSTY = 0.10, 0.17, 0.15  # shares of the tenants
USED = 0.5  # units asked for over the sum of the quotas: it scales the quotas to the fleet's rate


@dataclass(frozen=True, slots=True)
class Kind:
    """A request class: share of the requests, seconds of work, aim and give-up time, worth."""

    name: str
    share: float
    work: float
    aim: float
    deadline: float
    worth: int
    effect: str
    late_worth: float
    window: float = 0.0


KINDS = (
    Kind("loan-status", 0.38, 0.108, 0.75, 2.0, 2, "safe", 0.1),
    Kind("offer-quote", 0.35, 0.108, 0.80, 3.0, 3, "safe", 0.2),
    Kind("loan-apply", 0.27, 0.071, 0.60, 1.5, 2, "keyed", 0.0, 1.5),
)


@dataclass(frozen=True, slots=True)
class Terms:
    """A plan: units a second and at once, tenths of worth for each unit of worth, ceiling over the quota."""

    name: str
    rate: float
    burst: float
    price: int  # in tenths: worth is counted in whole numbers, whose sums do not depend on their order
    over_cost: float
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0


@dataclass(frozen=True, slots=True)
class Timetable:
    """When which trouble comes, in virtual seconds from the start."""

    seconds: float
    calm: float  # the start ends here and the calm phase begins
    zone_lost: tuple[float, float]
    restart: float
    cut: tuple[float, float]
    restarted: float = 0.7  # share of the limiters that are killed together
    lost_zone: int = 1
    silences: tuple[tuple[float, float], ...] = ()  # of the counter, which comes back empty
    slow: tuple[tuple[float, float, float], ...] = ()  # begin, end, times slower

    @staticmethod
    def of(seconds: float, warm_up: float = 0.0) -> Timetable:
        """From 108 s on the region is cut off for a minute; a shorter run has all troubles, shorter.

        ``warm_up``: so many seconds come before these. A fleet that starts all at once knows no tenant, and
        its calls crowd before the counter: what is calm shows only behind that.
        """
        f, w = min(1.0, seconds / 108.0), warm_up
        lost, cut = (w + 8 * f, w + 13 * f), (w + 41 * f, w + 101 * f)
        return Timetable(w + seconds, w + 2 * f, lost, w + 27 * f, cut)

    def phases(self) -> tuple[tuple[str, float], ...]:
        """Each phase with its begin; it lasts to the begin of the next."""
        lost, back = self.zone_lost
        return (
            ("start", 0.0), ("calm", self.calm), ("zone lost", lost), ("zone back", back),
            ("restart", self.restart), ("cut", self.cut[0]), ("after", self.cut[1]),
        )  # fmt: skip


@dataclass(frozen=True, slots=True)
class Tenant:
    """One customer: its plan, its set of limiters and what it asks for."""

    index: int
    plan: int
    first: int
    rate: float  # first tries a second
    bursty: bool
    account: str


class World:
    """All that does not change, the same in every worker."""

    def __init__(
        self, size: Size, timetable: Timetable, seed: int, parts: int, calls: float, crowd: int = 1,
        lists: float = 0.0,
    ) -> None:  # fmt: skip
        if not 1 <= size.spread <= size.limiters or size.zones < 2 or size.regions != 2:
            raise ValueError("a set needs 1 to all limiters, the world two zones or more and two regions")
        self.size, self.timetable, self.seed = size, timetable, seed
        self.parts, self.calls, self.crowd = parts, calls, crowd  # of the counter; calls a second in all
        self.lists = lists  # calls a second that discovery serves; 0: it pushes to agents
        rng = Random(f"{seed} world")
        self.near_zones = -(-3 * size.zones // 5)  # of the region that has the counter and discovery
        self.killed_at = [float("inf")] * size.limiters
        self.back_at = [float("inf")] * size.limiters
        self.noticed_at = [float("inf")] * size.limiters
        for i in rng.sample(range(size.limiters), round(timetable.restarted * size.limiters)):
            self.killed_at[i] = timetable.restart
            self.back_at[i] = timetable.restart + rng.uniform(*BACK)
            self.noticed_at[i] = timetable.restart + rng.uniform(*STILL_SENT)
        self._draw_tenants(rng)

    def _draw_tenants(self, rng: Random) -> None:
        size = self.size
        volume = [rng.random() < 0.11 for _ in range(size.tenants)]
        # Each plan's part of the use, 54 and 46 in 100, comes from these quotas and the share of volume.
        basic_rate, volume_rate = 7.35, 49.0
        asked = size.rate * MEAN_UNITS
        scale = asked / (USED * sum(volume_rate if v else basic_rate for v in volume))
        self.plans = (
            Terms("basic", basic_rate * scale, basic_rate * scale * 4.45, 13, 0.5),
            Terms(
                "volume", volume_rate * scale, volume_rate * scale * 1.95, 18, 1.0,
                volume_rate * scale * 2.1, volume_rate * scale * 1.95 * 2.1,
            ),
        )  # fmt: skip
        quotas = [self.plans[v].rate for v in volume]
        share, calm = [0.0] * size.tenants, list[int]()
        for i in range(size.tenants):
            draw = rng.random()
            if draw < OVER:
                share[i] = rng.uniform(1.1, 4.9) ** 0.8
            elif draw < OVER + NEAR:
                share[i] = rng.uniform(0.85, 1.0)
            else:
                calm.append(i)
                share[i] = rng.paretovariate(0.9) * 0.05  # a few large ones, many small
        fixed = sum(q * s for q, s in zip(quotas, share, strict=True)) - sum(
            quotas[i] * share[i] for i in calm
        )
        low, high = 0.0, 1000.0
        for _ in range(50):
            middle = (low + high) / 2
            total = fixed + sum(quotas[i] * min(0.75, middle * share[i]) for i in calm)
            low, high = (middle, high) if total < asked else (low, middle)
        for i in calm:
            share[i] = max(1e-4, min(0.75, low * share[i]))
        self.inside = sum(q * min(1.0, s) for q, s in zip(quotas, share, strict=True)) / MEAN_UNITS
        still = set(calm)
        self.tenants = [
            Tenant(
                i, int(volume[i]), rng.randrange(size.limiters), quotas[i] * share[i] / MEAN_UNITS,
                i in still and rng.random() < BURSTY / (1 - OVER - NEAR), f"{rng.getrandbits(33):016x}",
            )
            for i in range(size.tenants)
        ]  # fmt: skip
        mean = sum(k.share * k.work for k in KINDS)
        self.work_scale = BUSY * size.servers * CORES / (self.inside * mean)
        # Uneven inside the set: the second limiter sees half of the first one's, the third a third.
        total, self.parts_of_set = 0.0, list[float]()
        for rank in range(size.spread):
            total += 1.0 / (rank + 1)
            self.parts_of_set.append(total)

    def zone(self, index: int) -> int:
        """Limiters and servers stand in turn in the zones, so a tenant's set spans several."""
        return index % self.size.zones

    def region(self, zone: int) -> int:
        return int(zone >= self.near_zones)

    def cell(self, server: int) -> int:
        """The pod: four servers of one zone."""
        return server // self.size.zones // 4

    def delay(self, one: int, other: int, draw: float) -> float:
        """Seconds one way between two zones; ``draw`` in 0 to 1 fixes the place in the range."""
        same = self.region(one) == self.region(other)
        low, high = SAME_ZONE if one == other else OTHER_ZONE if same else OTHER_REGION
        return low + draw * (high - low)

    def cut(self, one: int, other: int, at: float) -> bool:
        """Whether the two zones cannot reach each other."""
        begin, end = self.timetable.cut
        return begin <= at < end and self.region(one) != self.region(other)

    def boots_at(self, server: int) -> float:
        """When a server of the lost zone starts anew; 0 for the others."""
        if self.zone(server) != self.timetable.lost_zone:
            return 0.0
        return self.timetable.zone_lost[1] + BOOT_GAP * (server // self.size.zones % BOOT_GROUPS)

    def gone(self, server: int, at: float) -> bool:
        return self.timetable.zone_lost[0] <= at < self.boots_at(server)

    def dead(self, limiter: int, at: float) -> bool:
        return self.killed_at[limiter] <= at < self.back_at[limiter]

    def draw(self, limiter: int, server: int) -> float:
        """Fixed for the pair, so that what is sent first arrives first."""
        return (limiter * 7919 + server * 104_729) % 997 / 997
