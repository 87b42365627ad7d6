"""Cold servers under the sum of all gateways: hollow ones in one process, no sockets, one made clock.

The settings bound what a server that has just begun may be sent: ``fall_multiple`` times what it can do at
that moment, within any ``fall_window`` seconds, by all gateways together. Beyond those N requests of mean
work only 2 x root of N + 2 are put down to chance. No gateway knows of another one, and none knows what a
server can do; here it warms up as late as the settings allow.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field, replace
from itertools import accumulate
from random import Random
from typing import Any

from quota_gateway import model
from quota_gateway.decisions.gateway import Gateway
from tests import world as w

READ = model.RequestClass("read", 1.0, 1.0, model.Idempotency.INHERENT)
POST = model.RequestClass("post", 1.5, 2.0, model.Idempotency.NONE, deduplication_window=5.0)
WORK = {"read": 0.1, "post": 0.05}  # seconds on one core of a warm server
MEAN = 0.7 * WORK["read"] + 0.3 * WORK["post"]
NETWORK = 0.004  # there and back
ROOM = 40  # requests that wait at a server before it turns more away
START, SETTLED = 100.0, 106.0  # when the gateways begin, and when they have seen their load for a while


@dataclass
class Server:
    entry: model.Endpoint
    cores: int
    warm_from: float = 0.0  # it counts as warm until it restarts
    down_until: float = 0.0
    free: list[float] = field(default_factory=list)
    got: list[tuple[float, bool, float]] = field(default_factory=list)  # when, whether told, mean requests


class Fleet:
    """Many gateways and servers; arrivals are Poisson and spread unevenly over the gateways."""

    def __init__(
        self,
        gateways: int,
        servers: int,
        load: float,
        seed: int,
        cores: int = 1,
        spread: float = 1.2,
        quick: bool = False,
        **changes: Any,
    ) -> None:
        self.rng, self.now, self.load = Random(seed), START, load
        self.set = w.settings(
            gateway_count=gateways, classes=(READ, POST), plans=(model.Plan("free"),), has_counter=False,
            initial_capacity=0.23, warm_up_time=5.0, overload_multiple=2.5, overload_window=1.0, **changes,
        )  # fmt: skip
        self.cores, self.seed, self.ids, self.turn = cores, seed, 0, 0
        self.quick = quick  # answers come as from a warm server, and so no wait there keeps requests away
        self.servers = dict[str, Server]()
        for n in range(servers):
            self.add(f"s{n}")
        weights = [self.rng.lognormvariate(0, spread) for _ in range(gateways)]
        self.weights = list(accumulate(weights))
        self.gates = list[Gateway | None]([None] * gateways)
        self.life = [0] * gateways  # of what a gateway had out before its restart nothing is told to it
        self.told = [dict[str, float]() for _ in range(gateways)]  # births by server
        self.heap = list[tuple[float, int, str, tuple[Any, ...]]]()
        self.out = dict[tuple[int, int], str]()  # (request, attempt)
        self.asked = dict[int, tuple[str, int, int]]()  # class, gateway, attempts
        self.refused = self.served = 0
        for g in range(gateways):
            self.at(START + self.rng.random(), "begin", g)
        self.rate = load * servers * cores / MEAN
        self.at(START + 1.0, "arrive")

    def at(self, when: float, kind: str, *args: Any) -> None:
        self.turn += 1
        heapq.heappush(self.heap, (when, self.turn, kind, args))

    def add(self, name: str, born: float = 0.0, zone: str = "") -> Server:
        n = len(self.servers)
        entry = model.Endpoint(name, model.EndpointHealth.HEALTHY, zone or "ab"[n % 2], n // 2, 1.0, born)
        server = self.servers[name] = Server(entry, self.cores, born, free=[0.0] * self.cores)
        return server

    def warmth(self, server: Server, at: float) -> float:
        low = self.set.initial_capacity
        share = low + (1 - low) * (at - server.warm_from) / self.set.warm_up_time
        return max(low, min(1.0, share))

    def run(self, until: float) -> Fleet:
        while self.heap and self.heap[0][0] <= until:
            self.now, _, kind, args = heapq.heappop(self.heap)
            getattr(self, f"do_{kind}")(*args)
        self.now = until
        return self

    def feed(self, g: int, event: model.Event) -> None:
        gate = self.gates[g]
        if gate is None:
            return
        if isinstance(event, model.EndpointUpdate):
            self.told[g] |= {e.name: e.started_at for e in event.endpoints}
        for action in gate.handle(self.now, event):
            if isinstance(action, model.SetTimer):
                self.at(self.now + action.delay, "timer", g, self.life[g], action.token)
            elif isinstance(action, model.Forward):
                self.send(g, action)
            elif isinstance(action, model.CheckHealth):
                lost = self.servers[action.endpoint].down_until > self.now
                status = model.CallStatus.UNREACHABLE if lost else model.CallStatus.OK
                self.at(self.now + NETWORK, "probed", g, self.life[g], action.endpoint, status)
            elif isinstance(action, model.Reject | model.Fail):
                self.refused += 1

    def send(self, g: int, action: model.Forward) -> None:
        server, (kind, _, attempt) = self.servers[action.endpoint], self.asked[action.request_id]
        self.asked[action.request_id] = kind, g, attempt + 1
        end = self.now + action.timeout

        def ends(at: float, status: model.CallStatus) -> None:
            status, at = (status, at) if at <= end else (model.CallStatus.TIMEOUT, end)
            elapsed = at - self.now
            self.at(
                at, "ended", g, self.life[g], action.request_id, attempt, action.endpoint, status, elapsed
            )

        if server.down_until > self.now:
            return ends(self.now + NETWORK, model.CallStatus.UNREACHABLE)
        server.got.append(
            (self.now, self.told[g].get(action.endpoint) == server.entry.started_at, WORK[kind] / MEAN)
        )
        slot = min(range(server.cores), key=lambda n: server.free[n])
        begin = max(self.now, server.free[slot])
        work = WORK[kind] * self.rng.uniform(0.7, 1.3) / (1.0 if self.quick else self.warmth(server, begin))
        if (begin - self.now) * server.cores > ROOM * work:
            return ends(self.now + NETWORK, model.CallStatus.OVERLOADED)
        server.free[slot] = begin + work
        ends(begin + work + NETWORK, model.CallStatus.OK)

    def do_begin(self, g: int) -> None:
        self.gates[g] = Gateway(replace(self.set, gateway_index=g), self.seed * 1000 + g, self.now)
        self.life[g] += 1
        self.told[g].clear()
        self.feed(g, model.EndpointUpdate(tuple(s.entry for s in self.servers.values()), True))

    def do_arrive(self) -> None:
        self.at(self.now + self.rng.expovariate(self.rate), "arrive")
        (g,) = self.rng.choices(range(len(self.gates)), cum_weights=self.weights)
        self.ids += 1
        kind = "read" if self.rng.random() < 0.7 else "post"
        self.asked[self.ids] = kind, g, 0
        self.feed(g, model.Request(self.ids, kind, "free", 2.0, f"{self.rng.randrange(500):016x}"))

    def do_timer(self, g: int, life: int, token: int) -> None:
        if life == self.life[g]:
            self.feed(g, model.TimerFired(token))

    def do_probed(self, g: int, life: int, server: str, status: model.CallStatus) -> None:
        if life == self.life[g]:
            self.feed(g, model.HealthChecked(server, status, NETWORK, {}))

    def do_ended(
        self, g: int, life: int, id: int, attempt: int, server: str, status: model.CallStatus, elapsed: float
    ) -> None:
        if life == self.life[g]:
            self.served += status is model.CallStatus.OK
            done = status is model.CallStatus.OK
            self.feed(g, model.AttemptCompleted(id, attempt, server, status, elapsed, done, {}))

    def do_tell(self, g: int, names: tuple[str, ...]) -> None:
        self.feed(g, model.EndpointUpdate(tuple(self.servers[n].entry for n in names), False))

    # What befalls the fleet. Discovery tells each gateway on its own, some time later.

    def tell(self, names: list[str], wait: float = 0.0, latest: float = 1.0) -> None:
        for g in range(len(self.gates)):
            self.at(self.now + wait + self.rng.uniform(0, latest), "tell", g, tuple(names))

    def join(self, names: list[str]) -> list[str]:
        for name in names:
            self.add(name, self.now)
        self.tell(names)
        return names

    def replace_half(self) -> list[str]:
        old = list(self.servers)[: len(self.servers) // 2]
        new = self.join([f"new{n}" for n in range(len(old))])
        for name in old:
            s = self.servers[name]
            s.entry = replace(s.entry, health=model.EndpointHealth.DRAINING)
        self.tell(old)
        return new

    def restart(
        self, names: list[str], down: float = 0.5, latest: float = 1.0, listed: bool = True
    ) -> list[str]:
        """They are lost, come back after ``down`` seconds as new processes, and the list tells of it."""
        for name in names:
            s = self.servers[name]
            born = self.now + down
            s.down_until, s.warm_from, s.free, s.got = born, born, [born] * self.cores, []
            if listed:
                s.entry = replace(s.entry, started_at=born)
        if listed:
            self.tell(names, down, latest)
        return names

    def begin_again(self, every: int, within: float) -> None:
        """Gateways die, and others that know nothing begin in their places."""
        for g in range(0, len(self.gates), every):
            self.gates[g] = None
            self.at(self.now + self.rng.uniform(0.5, within), "begin", g)

    # What the cold servers were sent.

    def worst(self, names: list[str], only_told: bool) -> tuple[float, float, str]:
        """The most that one was sent over what it bears, at which age, and which server."""
        found = (0.0, 0.0, "")
        window = self.set.overload_window
        for name in names:
            s = self.servers[name]
            got = [x for x in s.got if s.warm_from <= x[0] <= s.warm_from + self.set.warm_up_time]
            first, total, told = 0, 0.0, 0.0
            for at, was, size in got:
                total, told = total + size, told + size * was
                while got[first][0] <= at - window:
                    total, told = total - got[first][2], told - got[first][2] * got[first][1]
                    first += 1
                # By what it can do as the window begins: the least in it.
                able = self.warmth(s, max(s.warm_from, at - window)) * self.cores / MEAN
                n = self.set.overload_multiple * able * window
                # A fall that gateways bring about which had not been told is not theirs.
                if not only_told or told > total * 2 / 3:
                    found = max(found, (total / (n + 2 * n**0.5 + 2), at - s.warm_from, name))
        return found

    def used(self, names: list[str]) -> float:
        """Share of what would have been safe over the whole warm-up that the fleet made use of."""
        safe = sent = 0.0
        for name in names:
            s = self.servers[name]
            mean = (1 + self.set.initial_capacity) / 2
            safe += self.set.overload_multiple * mean * self.cores / MEAN * self.set.warm_up_time
            sent += sum(size for at, _, size in s.got if 0 <= at - s.warm_from <= self.set.warm_up_time)
        return sent / safe
