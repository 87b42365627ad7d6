"""Clients of the tenants of one worker: they ask, ask again once, and keep the true books of every tenant."""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Callable
from heapq import heapify, heappop, heappush
from random import Random
from typing import Any

from scale.fleet.tally import Tally
from scale.fleet.world import KINDS, MOST_UNITS, RETRY_SHARE, RETRY_WAIT, Tenant, Terms, World

BEGIN = 1.0  # seconds: the limiters start before, one by one, so that their loops do not turn as one
LATE = 0.05  # seconds past the deadline that a final answer may come
CEILING_SLACK, CEILING_LAG = 0.1, 0.15  # share of the store, or the largest request; seconds of its rate
BURST, BURST_LENGTH, BURST_EVERY = (2.0, 7.9), (0.61, 3.7), 40.0  # times the quota; seconds; mean seconds
CHANGE = (8.1, 23.0)  # seconds until another limiter of a set is the busiest
Note = tuple[Any, ...]  # time, source, sequence, tenant, what, request id, more


class Bucket:
    """The true token bucket of a tenant over all limiters; units, and units a second."""

    __slots__ = ("at", "burst", "level", "rate")

    def __init__(self, rate: float, burst: float) -> None:
        self.rate, self.burst, self.level, self.at = rate, burst, burst, 0.0

    def fill(self, at: float) -> float:
        self.level = min(self.burst, self.level + self.rate * max(0.0, at - self.at))
        self.at = max(at, self.at)
        return self.level

    def take(self, at: float, units: float) -> bool:
        """Whether the units are inside; what is beyond takes nothing."""
        if self.fill(at) < units - 1e-9:
            return False
        self.level -= units
        return True


class _Ask:
    """One first try and what became of it."""

    __slots__ = (
        "born",
        "due",
        "inside",
        "kind",
        "limiter",
        "second",
        "sent_inside",
        "true",
        "units",
        "worth",
    )

    def __init__(self, born: float, kind: int, units: int, true: int, worth: int) -> None:
        self.born, self.kind, self.units, self.true, self.worth = born, kind, units, true, worth
        self.due, self.limiter, self.second = 0.0, 0, False
        self.inside = self.sent_inside = False


class Client:
    """All clients of one tenant, and its true buckets: what is asked, what is sent, and the ceiling."""

    def __init__(self, tenant: Tenant, terms: Terms, world: World, tally: Tally) -> None:
        self.tenant, self.terms, self._world, self._tally = tenant, terms, world, tally
        self._rng = Random(f"{world.seed} tenant {tenant.index}")
        self.asked, self.sent = Bucket(terms.rate, terms.burst), Bucket(terms.rate, terms.burst)
        self.ceiling = Bucket(terms.ceiling_rate, terms.ceiling_burst)
        self.open = dict[int, _Ask]()
        self._number, self.sequence = tenant.index << 24, 0
        self._every = self._rng.uniform(*CHANGE)
        self._rate, self._bursting = tenant.rate, False
        self._toggle = BEGIN + self._rng.expovariate(1 / BURST_EVERY) if tenant.bursty else float("inf")

    def next_after(self, now: float) -> float:
        """When the next first try comes."""
        while True:
            at = now + self._rng.expovariate(self._rate)
            if at < self._toggle:
                return at
            now, self._bursting = self._toggle, not self._bursting
            times = self._rng.uniform(*BURST) * self.terms.rate / 2.5
            self._rate = times if self._bursting else self.tenant.rate
            length = self._rng.uniform(*BURST_LENGTH)
            self._toggle = now + (
                length if self._bursting else max(length, self._rng.expovariate(1 / BURST_EVERY))
            )

    def ask(self, now: float) -> tuple[_Ask, Note | None]:
        """A first try and the message for a limiter, or None where its front finds no living one."""
        rng, draw, kind = self._rng, self._rng.random(), 0
        while kind < len(KINDS) - 1 and draw >= KINDS[kind].share:
            draw -= KINDS[kind].share
            kind += 1
        units = true = rng.randint(1, MOST_UNITS)
        if rng.random() < 0.3:  # the guess that a request comes with is wrong
            true = min(MOST_UNITS, max(1, units + rng.choice((-1, 1))))
        ask = _Ask(now, kind, units, true, KINDS[kind].worth * self.terms.price * units)
        ask.inside = self.asked.take(now, units)
        counts, plan = self._tally.at(now), self.terms.name
        counts["first tries"] += 1
        if ask.inside:
            counts["asked"] += ask.worth
            counts[f"asked {plan}"] += ask.worth
            self._tally.seconds[int(now)]["asked"] += ask.worth
        return ask, self._try(now, ask)

    def _try(self, now: float, ask: _Ask, other_than: int = -1) -> Note | None:
        world, rng, size = self._world, self._rng, self._world.size
        kind, counts = KINDS[ask.kind], self._tally.at(now)
        counts["tries"] += 1
        turn = int(now / self._every)
        turn += bisect_left(world.parts_of_set, rng.random() * world.parts_of_set[-1])
        limiter = -1
        for step in range(size.spread):  # the next of the set where that one is known dead or just refused
            found = (self.tenant.first + (turn + step) % size.spread) % size.limiters
            fresh = found != other_than or size.spread == 1
            if fresh and not world.noticed_at[found] <= now < world.back_at[found]:
                limiter = found
                break
        ttl = kind.deadline * rng.uniform(0.5, 1.0)
        work = kind.work * world.work_scale * ask.true / 2.5 * rng.lognormvariate(-0.08, 0.4)
        ask.limiter, ask.due = limiter, now + ttl
        if limiter < 0:
            counts["failed: no living limiter"] += 1
            return None
        if world.dead(limiter, now):
            counts["failed: dead limiter"] += 1
            return None
        self._number += 1
        self.sequence += 1
        self.open[self._number] = ask
        return (
            now, size.limiters + size.servers + self.tenant.index, self.sequence, limiter, "ask",
            self._number, ask.kind, self.tenant.plan, ttl, self.tenant.account, ask.units, ask.true, work,
            ask.second,
        )  # fmt: skip

    def again_at(self, now: float, ask: _Ask) -> float | None:
        """When the client asks again, if it does."""
        if ask.second or self._rng.random() >= RETRY_SHARE:
            return None
        return now + self._rng.uniform(*RETRY_WAIT)

    def again(self, now: float, ask: _Ask) -> Note | None:
        ask.second = True
        return self._try(now, ask, ask.limiter)

    def note(self, note: Note) -> _Ask | None:
        """What a limiter did with a try; the first try is given back where its client may ask again."""
        at, what, number = note[0], note[4], note[5]
        ask = self.open.get(number)
        if ask is None:
            raise AssertionError(f"a second final answer: {what}")
        counts, plan, terms = self._tally.at(at), self.terms.name, self.terms
        if what == "sent":
            ask.sent_inside = self.sent.take(at, ask.units)
            counts["units sent"] += ask.units
            counts[f"units sent {plan}"] += ask.units
            if not ask.sent_inside:
                counts["units beyond"] += ask.units
                counts[f"units beyond {plan}"] += ask.units
            if terms.ceiling_rate:
                self.ceiling.fill(at)
                self.ceiling.level -= ask.units
                slack = max(CEILING_SLACK * terms.ceiling_burst, MOST_UNITS)
                counts["ceilings passed"] += (
                    self.ceiling.level < -slack - CEILING_LAG * terms.ceiling_rate - 1e-9
                )
            return None
        del self.open[number]
        counts["lost"] += at > ask.due + LATE
        if what == "served":
            if ask.sent_inside:
                self.sent.fill(at)
                self.sent.level -= ask.true - ask.units
            self.served(at, ask)
            return None
        counts[f"{what}: {note[6]}"] += 1
        if what == "refused":
            room = self.sent.fill(at)
            if room >= max(ask.units, terms.burst / 2):
                counts["with room"] += 1
                counts[f"with room: {note[6]}"] += 1
        return ask

    def served(self, at: float, ask: _Ask) -> None:
        counts, took = self._tally.at(ask.born), at - ask.born
        counts["answers"] += 1
        if took <= KINDS[ask.kind].aim:
            counts["in aim"] += 1
            if ask.sent_inside:
                counts["served"] += ask.worth
                counts[f"served {self.terms.name}"] += ask.worth
                self._tally.seconds[int(ask.born)]["served"] += ask.worth


class Demand:
    """The clients of some tenants: when they ask, and the limiters' notes to them in order of time."""

    def __init__(self, world: World, tenants: list[int], tally: Tally) -> None:
        self._tally = tally
        self.clients = {
            i: Client(world.tenants[i], world.plans[world.tenants[i].plan], world, tally) for i in tenants
        }
        self._due = list[tuple[float, int, int, _Ask | None]]()  # time, tenant, 0 or retry number, its ask
        for i, client in self.clients.items():
            self._due.append((client.next_after(BEGIN), i, 0, None))
        heapify(self._due)
        self._retries = 0

    def asks(self, until: float, send: Callable[[Note], None]) -> None:
        """Send all tries before that time."""
        due = self._due
        while due[0][0] < until:
            at, i, _, ask = heappop(due)
            client = self.clients[i]
            if ask is None:
                heappush(due, (client.next_after(at), i, 0, None))
                ask, note = client.ask(at)
            else:
                note = client.again(at, ask)
            if note is not None:
                send(note)
            else:
                self._retry(at, client, ask)

    def take(self, notes: list[Note]) -> None:
        """Notes in order of time; what is refused or failed may be asked again."""
        for note in notes:
            client = self.clients[note[3]]
            if (ask := client.note(note)) is not None:
                self._retry(note[0], client, ask)

    def _retry(self, now: float, client: Client, ask: _Ask) -> None:
        if (at := client.again_at(now, ask)) is not None:
            self._retries += 1
            heappush(self._due, (at, client.tenant.index, self._retries, ask))

    def left(self, end: float) -> None:
        """Requests whose client's time ended before the run did, without a final answer."""
        for client in self.clients.values():
            lost = sum(ask.due + LATE < end for ask in client.open.values())
            if lost:
                self._tally.at(end)["lost"] += lost
