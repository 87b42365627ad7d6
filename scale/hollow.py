"""A hollow limiter: the real decisions in virtual time, with made servers, customers and counter."""

from __future__ import annotations

import json
import math
import sys
from collections.abc import Iterable
from dataclasses import dataclass
from heapq import heappop, heappush
from itertools import count
from random import Random
from time import process_time_ns
from typing import Any

from quota_gateway import model
from quota_gateway.decisions.gateway import Gateway
from quota_gateway.net.watch_event import parse_watch_event
from quota_gateway.settings_parser import settings_from
from quota_gateway.state import Account
from scale.model import Size

PLAN = "basic"
FAR, NEAR, OVER = 0.3, 0.95, 3.0  # demand over quota of the three kinds of customers
STORE = 4.0  # seconds of the quota that its store holds
CLASSES = 4
TTL = 2.0  # seconds that a client waits
SERVED, SERVED_SIGMA = 0.04, 0.4  # seconds: median time of an answer, and sigma of its logarithm
COUNTED = 0.005  # seconds until the counter answers
EFFECTS = ("idempotent", "deduplicated", "at_most_once")


@dataclass(frozen=True, slots=True)
class Mix:
    """Shares of the customers near their quota and several times over it; the rest is far under it."""

    near: float
    over: float

    @property
    def demand(self) -> float:
        """Mean demand over quota."""
        return self.near * NEAR + self.over * OVER + (1 - self.near - self.over) * FAR

    def of(self, customer: int) -> float:
        """A customer's demand over its quota, fixed by its number."""
        place = customer * 7919 % 1000 / 1000
        return OVER if place < self.over else NEAR if place < self.over + self.near else FAR


CALM, TENSE = Mix(0.12, 0.06), Mix(0.24, 0.14)
USUAL = Mix(0.18, 0.10)


def settings(limiters: int, quota: float, classes: int = CLASSES) -> dict[str, Any]:
    """A settings object as the wire has it; ``quota`` in units a second."""
    return {
        "classes": [
            {"name": f"class-{i}", "aim_s": 0.5, "worth": 1.0 + i % 5, "effect": EFFECTS[i % 3],
             "group": "all", "window_s": 4.0, "hard_limit_s": TTL}
            for i in range(classes)
        ],
        "tariffs": [{"name": PLAN, "price": 1.0, "quota_rate": quota, "store_size": STORE * quota}],
        "n_instances": limiters, "me": 0, "my_zone": "zone-0", "discovery": "ask",
        "limits": {"max_attempts": 2, "probes": True, "retry_after": True, "max_retry_after_s": 1.0,
                   "dial_timeout_s": 0.25, "conn_idle_s": 30.0},
        "contract": {"cold_from": 0.2, "warm_after_s": 10.0, "fall_multiple": 2.0, "fall_s": 2.0},
        "specifics": {"has_counter": True, "count_wait_s": 0.05, "max_units": 4.0},
    }  # fmt: skip


def host(number: int, size: Size, health: str = "ready", born_ms: int = 0) -> dict[str, Any]:
    """A server's row as discovery tells it; numbers beyond ``size.servers`` are replacements."""
    place = number % size.servers
    return {
        "host": f"s-{number * 2654435761 % 2**32:08x}",
        "dial": f"10.{place >> 16 & 255}.{place >> 8 & 255}.{place & 255}:7070",
        "site": f"zone-{place % size.zones}", "class": "m2", "block": place * size.services // size.servers,
        "health": health, "share": 1.0, "born_ms": born_ms,
    }  # fmt: skip


def told(rows: Iterable[dict[str, Any]], seq: int, whole: bool) -> str:
    """A message of discovery, as short as JSON allows."""
    # Row by row: a whole list as objects would count as the limiter's memory.
    hosts = ",".join(json.dumps(row, separators=(",", ":")) for row in rows)
    return f'{{"seq":{seq},"whole":{"true" if whole else "false"},"hosts":[{hosts}]}}'


def whole_list(size: Size) -> str:
    return told((host(i, size) for i in range(size.servers)), 1, True)


class Hollow:
    """One limiter of the fleet under its share of the load.

    ``wide``: all limiters serve each customer, else ``size.spread`` of them. Clients do not come again,
    servers answer quickly, and the counter answers each call after ``COUNTED``.
    """

    def __init__(self, size: Size, wide: bool, seed: int, mix: Mix = USUAL) -> None:
        self.size, self.mix, self.rng, self.now = size, mix, Random(seed), 1000.0
        self.spread = size.limiters if wide else min(size.spread, size.limiters)
        self.tenants = max(1, round(size.tenants * self.spread / size.limiters))
        self.rate = size.rate / size.limiters
        self.quota = size.rate / size.tenants / mix.demand
        self.settings = settings(size.limiters, self.quota)
        self.gateway = Gateway(settings_from(self.settings), seed, self.now)
        self.seq, self.first = 1, 0  # version of the list; number of the first customer there is
        self.replaced = self._place = 0
        self.spent = dict[str, list[int]]()  # by kind of event: nanoseconds, and how many
        self.calls = self.probes = self.arrived = self.refused = 0
        self._queue, self._order = list[tuple[float, int, model.Event | None]](), count()
        self._tries, self._customers = dict[int, int](), dict[int, int]()
        self._totals = dict[int, tuple[float, float, float]]()  # total, when it was told, when it began
        self._newest = 0
        self._live = [*range(size.servers)]

    def begin(self) -> None:
        """The whole list, and the first arrival."""
        self.feed(parse_watch_event(json.loads(whole_list(self.size))).update)
        self._later(0.0, None)

    def fill(self, seconds: float) -> None:
        """Each customer that there is comes once, on top of the load."""
        for i in range(self.tenants):
            self._later(seconds * i / self.tenants, self._request(self.first + i))
        self.run(seconds)

    def run(self, seconds: float) -> None:
        until = self.now + seconds
        while self._queue and self._queue[0][0] <= until:
            self.now, _, event = heappop(self._queue)
            if event is None:
                event = self._request(self._draw())
                self._later(self.rng.expovariate(self.rate), None)
            self.feed(event)
        self.now = until

    def move_on(self, customers: int) -> None:
        """So many customers go for good, and as many new ones come."""
        self.first += customers
        # Who went is told of for a minute yet; longer, the stand-ins' tables would pass for the limiter's.
        kept = {name: who for name, who in self._customers.items() if who >= self.first - 2 * customers}
        self._customers = kept
        self._totals = {name: total for name, total in self._totals.items() if name in kept}

    def coming(self, seconds: float) -> int:
        """Customers of whom one request at least comes in so many seconds, on average."""
        each = self.rate * seconds / self.tenants / self.mix.demand
        far = 1 - self.mix.near - self.mix.over
        kinds = ((far, FAR), (self.mix.near, NEAR), (self.mix.over, OVER))
        return round(self.tenants * sum(part * -math.expm1(-each * demand) for part, demand in kinds))

    def known(self) -> int:
        """Customers that the limiter knows: a figure that it tells nobody."""
        return len(self.gateway.accounts.accounts)

    def whole(self) -> str:
        """The whole list as it stands now."""
        return told((host(i, self.size) for i in self._live), self.seq, True)

    def weight(self) -> int:
        """Bytes of what is made here and no part of a limiter: who is whose number, and what it counts."""
        tables = sys.getsizeof(self._customers) + sys.getsizeof(self._totals) + sys.getsizeof(self._queue)
        return tables + 2 * 32 * len(self._customers) + (3 * 24 + 64 + 32) * len(self._totals)

    def change(self) -> str:
        """The next message on a server that is replaced: it drains, goes, and another one comes."""
        step, self.seq = self.replaced % 3, self.seq + 1
        self.replaced += 1
        place = self.replaced // 3 * 7 % len(self._live) if step == 0 else self._place
        self._place = place
        if step == 2:
            self._live[place] += self.size.servers
        health = ("draining", "gone", "ready")[step]
        born = round(self.now * 1000) if step == 2 else 0
        return told([host(self._live[place], self.size, health, born)], self.seq, False)

    def feed(self, event: model.Event) -> None:
        begun = process_time_ns()
        actions = self.gateway.handle(self.now, event)
        took = process_time_ns() - begun
        row = self.spent.setdefault(type(event).__name__, [0, 0])
        row[0] += took
        row[1] += 1
        if isinstance(event, model.Request):
            self.arrived += 1
        elif isinstance(event, model.AttemptCompleted) and event.request_finished:
            self._tries.pop(event.request_id, None)
        for action in actions:
            self._carry_out(action)

    def mean(self, *kinds: str) -> float:
        """Seconds of processor time of an event of the first kind, with the others that it caused."""
        return sum(self.spent.get(kind, (0, 0))[0] for kind in kinds) / max(1, self.spent[kinds[0]][1]) / 1e9

    def _later(self, delay: float, event: model.Event | None) -> None:
        heappush(self._queue, (self.now + delay, next(self._order), event))

    def _draw(self) -> int:
        """A customer by its demand: by rejection, for lists of them would count as the limiter's memory."""
        while True:
            customer = self.first + self.rng.randrange(self.tenants)
            if self.rng.random() * OVER < self.mix.of(customer):
                return customer

    def _request(self, customer: int) -> model.Request:
        self._newest += 1
        kind = f"class-{self._newest % CLASSES}"
        asked = model.Request(self._newest, kind, PLAN, TTL, f"{customer:016x}", serving_gateways=self.spread)
        # The counter must know whose number is told, and the number is the decisions' own hash.
        name = Account(0.0, model.Plan(PLAN), asked.account).counter_id
        self._customers.setdefault(name, customer)
        return asked

    def _carry_out(self, action: model.Action) -> None:
        match action:
            case model.Forward():
                attempt = self._tries.get(action.request_id, 0)
                self._tries[action.request_id] = attempt + 1
                took = self.rng.lognormvariate(math.log(SERVED), SERVED_SIGMA)
                status = model.CallStatus.OK if took <= action.timeout else model.CallStatus.TIMEOUT
                took = min(took, action.timeout)
                ok = status is model.CallStatus.OK
                self._later(
                    took,
                    model.AttemptCompleted(action.request_id, attempt, action.endpoint, status, took, ok, {}),
                )
            case model.Reject() | model.Fail():
                self.refused += 1
                self._tries.pop(action.request_id, None)
            case model.IncrementCounter():
                self.calls += 1
                counted = model.CounterReplied(action.counter_id, model.CallStatus.OK, self._total(action))
                self._later(COUNTED, counted)
            case model.CheckHealth():
                self.probes += 1
                self._later(COUNTED, model.HealthChecked(action.endpoint, model.CallStatus.OK, COUNTED, {}))
            case model.SetTimer():
                self._later(action.delay, model.TimerFired(action.token))

    def _total(self, action: model.IncrementCounter) -> float:
        """What the counter holds: this limiter's units, and the even use of the others up to the quota."""
        # Of those that are gone what is owed is still told: by the mean, for nobody asks for them any more.
        customer = self._customers.get(action.counter_id)
        demand = min(1.0, self.mix.demand if customer is None else self.mix.of(customer))
        others = self.quota * demand * (self.spread - 1) / self.spread
        total, at, began = self._totals.get(action.counter_id, (0.0, self.now, self.now))
        if self.now - began > action.lifetime:
            total, at, began = 0.0, self.now, self.now
        total += others * (self.now - at) + action.amount
        self._totals[action.counter_id] = total, self.now, began
        return total
