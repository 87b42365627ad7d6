"""Hollow limiters: the real decisions with scripted peers, many in one process, in virtual time.

Each worker has some of the limiters, servers and tenants, and a copy of the counter, which sees all calls.
Within a window only limiters act; servers and clients act on it one window later, with the exact times of
what came, and what they answer comes no earlier than the window after that: an answer in less than two
windows (a full server's, a refused connection's) is late by up to that much, and one of the counter in less
than one window by up to one.
"""

from __future__ import annotations

import gc
import resource
import sys
import time
from collections import Counter as Counts
from collections.abc import Callable
from heapq import heappop, heappush
from random import Random
from typing import Any

from quota_gateway import model
from quota_gateway.decisions.gateway import Gateway
from quota_gateway.net.backoff import poll_delay
from quota_gateway.net.endpoint_watch import SILENCE_TIMEOUT
from scale.fleet import peers
from scale.fleet.demand import BEGIN, Demand
from scale.fleet.lockstep import Exchange
from scale.fleet.tally import Tally
from scale.fleet.world import (
    COLD_SHARE,
    COUNTER_TIMEOUT,
    DIAL_TIMEOUT,
    FALL_MULTIPLE,
    FALL_WINDOW,
    KEPT,
    KINDS,
    MOST_UNITS,
    NOTICE,
    WARM_AFTER,
    World,
)  # fmt: skip

WINDOW = 0.005  # seconds of virtual time between two exchanges
DRAIN = 1.1 * max(k.deadline for k in KINDS)  # seconds that the run goes on after the last try
MAX_ATTEMPTS, MAX_RETRY_AFTER = 4, 1.0
LIMITER, SERVER, TENANT, COUNTER, DISCOVERY = range(5)  # to whom a message goes
HOW = {
    "ok": model.CallStatus.OK,
    "full": model.CallStatus.OVERLOADED,
    "unreachable": model.CallStatus.UNREACHABLE,
}
EFFECTS = {"safe": model.Idempotency.INHERENT, "keyed": model.Idempotency.KEYED}
CONTROL = {"tick", "list", "probed"}  # what a limiter does whether or not requests come
Message = tuple[Any, ...]  # time, source, number of the source, to, what, more
Send = Callable[[int, int, Message], None]  # to whom, its number, the message


class _Causes(dict[str, int]):
    """The decisions' counts of refusals by reason, which tell the last reasons as well."""

    def __init__(self) -> None:
        super().__init__()
        self.last = list[str]()

    def __setitem__(self, key: str, value: int) -> None:
        self.last.append(key)
        super().__setitem__(key, value)


class _Open:
    """A request at a limiter."""

    __slots__ = ("ask", "attempt", "counted", "held", "out", "sent", "server")

    def __init__(self, ask: Message) -> None:
        self.ask, self.attempt, self.out, self.counted = ask, -1, False, False
        self.server, self.sent, self.held = 0, 0.0, -1.0


def settings(world: World, index: int) -> model.Settings:
    """What the limiter's configuration would say."""
    classes = tuple(
        model.RequestClass(
            k.name,
            k.aim,
            float(k.worth),
            EFFECTS[k.effect],
            k.late_worth,
            model.DeduplicationScope.CELL,
            k.window,
            k.deadline,
        )
        for k in KINDS
    )
    plans = tuple(
        model.Plan(
            p.name, p.price / 10, p.rate, p.burst, over_quota_cost=p.over_cost, ceiling_rate=p.ceiling_rate,
            ceiling_burst=p.ceiling_burst,
        )
        for p in world.plans
    )  # fmt: skip
    return model.Settings(
        index, world.size.limiters, f"zone-{world.zone(index)}", classes, plans, MAX_ATTEMPTS,
        may_check_health=True, has_counter=True, counter_timeout=COUNTER_TIMEOUT, max_units=float(MOST_UNITS),
        max_retry_after=MAX_RETRY_AFTER, initial_capacity=COLD_SHARE, warm_up_time=WARM_AFTER,
        overload_multiple=FALL_MULTIPLE, overload_window=FALL_WINDOW,
    )  # fmt: skip


class Listings:
    """Discovery: the list, and each change of it with its time, shared by the limiters of a worker."""

    def __init__(self, world: World) -> None:
        self._world, count = world, world.size.servers
        self.first = tuple(self._entry(j) for j in range(count))
        lost, lost_at = world.timetable.lost_zone, world.timetable.zone_lost[0]
        gone = [self._entry(j, model.EndpointHealth.REMOVED) for j in range(count) if world.zone(j) == lost]
        back = dict[float, list[model.Endpoint]]()
        for j in range(count):
            if (boots := world.boots_at(j)) > 0:
                back.setdefault(boots, []).append(self._entry(j, born=boots))
        self.changes = [(lost_at, tuple(gone)), *((at, tuple(new)) for at, new in sorted(back.items()))]

    def _entry(
        self, j: int, health: model.EndpointHealth = model.EndpointHealth.HEALTHY, born: float = 0.0
    ) -> model.Endpoint:
        zone = f"zone-{self._world.zone(j)}"
        return model.Endpoint(f"s-{j}", health, zone, self._world.cell(j), 1.0, born)

    def whole(self, told: int, fallen: set[str]) -> model.EndpointUpdate:
        """The list after so many changes."""
        entries = {e.name: e for e in self.first}
        for _, change in self.changes[:told]:
            entries |= {e.name: e for e in change}
        known = (
            e
            for e in entries.values()
            if e.health is not model.EndpointHealth.REMOVED and e.name not in fallen
        )
        return model.EndpointUpdate(tuple(known), True)

    def notices(self, limiter: int) -> list[tuple[float, int]]:
        """When its agent is told of each change; a far one hears nothing while its region is cut off."""
        world, rng, last = self._world, Random(f"{self._world.seed} notices {limiter}"), 0.0
        told = list[tuple[float, int]]()
        for number, (at, _) in enumerate(self.changes, 1):
            last = max(last, at + rng.uniform(*NOTICE))
            if world.cut(world.zone(limiter), 0, last):
                last = world.timetable.cut[1] + rng.uniform(*NOTICE)
            told.append((last, number))
        return told


class Limiter:
    """Carries out what its decisions say, as the real program does, with messages in place of sockets."""

    def __init__(
        self, index: int, world: World, listings: Listings, tally: Tally, heap: list[Message], send: Send
    ) -> None:
        self.index, self._world, self._listings, self._tally = index, world, listings, tally
        self._heap, self._send_out, self._zone = heap, send, world.zone(index)
        self.gateway: Gateway | None = None
        self._life, self._number, self._told = 0, 0, 0  # starts; messages and timers so far; changes told
        self._open, self._calls = dict[int, _Open](), dict[int, int]()
        self._fallen = set[str]()
        self._causes = _Causes()
        self._late = 0.0  # by how much the windows delayed the answer that is being handled
        rng = Random(f"{world.seed} limiter {index}")
        self._seeds = rng
        self._later(rng.random() * BEGIN, "start")
        if world.killed_at[index] < float("inf"):
            self._later(world.killed_at[index], "kill")
            self._later(world.back_at[index], "start")
        for at, number in listings.notices(index):
            self._later(at, "notice", number)
        # With an agent at its side a limiter always watches.
        self._watching, self._asked, self._asked_from, self._vain = not world.lists, 0, 0.0, 0
        if world.lists and world.region(self._zone):
            self._later(world.timetable.cut[0] + SILENCE_TIMEOUT, "watch silent")

    def _later(self, at: float, what: str, *more: Any) -> None:
        self._number += 1
        heappush(self._heap, (at, self.index, self._number, self.index, what, *more))

    def _out(self, kind: int, to: int, at: float, what: str, *more: Any) -> None:
        self._number += 1
        self._send_out(kind, to, (at, self.index, self._number, to, what, *more))

    def take(self, m: Message) -> None:
        """One message or timer."""
        now, what = m[0], m[4]
        if what == "ask":
            number, kind, plan, ttl, account, units, repeat = m[5], m[6], m[7], m[8], m[9], m[10], m[13]
            self._open[number] = opened = _Open(m)
            event = model.Request(
                number, KINDS[kind].name, self._world.plans[plan].name, ttl, account, float(units),
                self._world.size.spread, repeat,
            )  # fmt: skip
            self._handle(now, "ask", event)
            if number in self._open and not opened.out:
                opened.held = now
        elif what == "reply" or what == "give up":
            self._ended(now, m)
        elif what == "tick":
            if m[5] == self._life:
                self._handle(now, "tick", model.TimerFired(m[6]))
        elif what == "counted":
            if m[5] == self._life and (name := self._calls.pop(m[6], None)) is not None:
                counts = self._tally.at(now)
                counts[f"calls {m[7]}"] += 1
                status = {"ok": model.CallStatus.OK, "timed out": model.CallStatus.TIMEOUT}.get(
                    m[7], model.CallStatus.UNREACHABLE
                )
                self._late = now - m[9]
                self._handle(now, "counted", model.CounterReplied(name, status, m[8]))
                self._late = 0.0
        elif what == "probed":
            if m[5] == self._life:
                status = HOW.get(m[7], model.CallStatus.TIMEOUT)
                self._handle(now, "probed", model.HealthChecked(f"s-{m[6]}", status, now - m[8], {}))
        elif what == "notice":
            if not self._watching:
                return
            self._told = max(self._told, m[5])
            if self.gateway is not None:
                change = self._listings.changes[m[5] - 1][1]
                self._handle(now, "list", model.EndpointUpdate(change, False))
        elif what == "fallen":
            gone = m[5]
            self._fallen.add(gone.name)
            if self.gateway is not None and self._watching:
                self._handle(now, "list", model.EndpointUpdate((gone,), False))
        elif what == "kill":
            self._kill(now)
        elif what == "start":
            self._life += 1
            self._causes = _Causes()
            self.gateway = Gateway(settings(self._world, self.index), self._seeds.getrandbits(62), now)
            self._handle(now, "list", self._listings.whole(self._told, self._fallen))
            self._watch_anew(now)
        elif what == "watch silent":
            if self.gateway is not None:
                self._watch_anew(now)
        elif m[5] == self._life:
            self._discovery(now, m)

    def _watch_anew(self, now: float) -> None:
        """Where discovery is called: the same spread and back-off as the real client's."""
        if self._world.lists:
            self._watching, self._asked, self._asked_from, self._vain = False, 0, now, 0
            self._call_later(now)

    def _call_later(self, now: float) -> None:
        wait = poll_delay(self._world.size.limiters, self._vain, self._seeds.random())
        self._later(now + wait, "call", self._life)

    def _discovery(self, now: float, m: Message) -> None:
        world, counts = self._world, self._tally.at(now)
        if m[4] == "call" and not self._asked and not self._watching:
            self._number += 1
            self._asked = self._number
            counts["list calls"] += 1
            self._later(now + SILENCE_TIMEOUT, "call late", self._life, self._asked)
            if not world.cut(self._zone, 0, now):
                way = world.delay(self._zone, 0, world.draw(self.index, 0))
                self._out(DISCOVERY, self.index, now + way, "call", self._life, self._asked)
        elif m[4] == "call late" and m[6] == self._asked:
            self._asked, self._vain = 0, self._vain + 1
            counts["list calls in vain"] += 1
            self._call_later(now)
        elif m[4] == "watch" and m[6] == self._asked:
            self._asked, self._vain, self._watching = 0, 0, True
            counts["watches"] += 1
            counts["watch wait ms"] += round((now - self._asked_from) * 1000)
            self._told = max(self._told, m[7])
            self._handle(now, "list", self._listings.whole(self._told, self._fallen))

    def _kill(self, now: float) -> None:
        assert self.gateway is not None
        self.gateway.__dict__.clear()  # it refers to itself, and nothing collects circles here
        self.gateway, self._life = None, self._life + 1
        for number, opened in self._open.items():
            self._out(TENANT, opened.ask[1], now, "failed", number, "killed")
        self._open, self._calls = {}, {}
        self._asked = 0

    def _handle(self, now: float, kind: str, event: model.Event) -> None:
        gateway = self.gateway
        assert gateway is not None
        causes = self._causes
        gateway.forwarder.rejections = causes
        causes.last.clear()
        began = time.thread_time_ns()
        actions = gateway.handle(now, event)
        cost = self._tally.cost
        cost[kind] += time.thread_time_ns() - began
        cost[f"{kind}s"] += 1
        ends = iter(causes.last)
        for action in actions:
            what = type(action)
            if what is model.Forward:
                self._attempt(now, action)  # type: ignore[arg-type]
            elif what is model.SetTimer:
                self._later(now + action.delay, "tick", self._life, action.token)  # type: ignore[union-attr]
            elif what is model.IncrementCounter:
                self._count(now, action)  # type: ignore[arg-type]
            elif what is model.Reject or what is model.Fail:
                number = action.request_id  # type: ignore[union-attr]
                opened = self._open.pop(number)
                self._waited(now, opened)
                how = "refused" if what is model.Reject else "failed"
                self._out(TENANT, opened.ask[1], now, how, number, next(ends, "unknown"))
            elif what is model.CheckHealth:
                self._probe(now, action)  # type: ignore[arg-type]

    def _waited(self, now: float, opened: _Open) -> None:
        if opened.held >= 0:
            # What the windows add to an answer of the counter is no wait of the real thing.
            self._tally.waits[max(0, round((now - self._late - opened.held) * 1e6))] += 1
            self._tally.at(now)["held"] += 1
            opened.held = -1.0

    def _reaches(self, server: int, now: float) -> bool:
        world = self._world
        return not world.gone(server, now) and not world.cut(self._zone, world.zone(server), now)

    def _silent_since(self, server: int, now: float) -> float:
        times = self._world.timetable
        return times.zone_lost[0] if self._world.gone(server, now) else times.cut[0]

    def _attempt(self, now: float, send: model.Forward) -> None:
        world, opened = self._world, self._open[send.request_id]
        self._waited(now, opened)
        server = int(send.endpoint[2:])
        opened.attempt, opened.out, opened.server, opened.sent = opened.attempt + 1, True, server, now
        self._tally.at(now)["attempts"] += 1
        self._later(now + send.timeout, "give up", self._life, send.request_id, opened.attempt, "silent")
        if self._reaches(server, now):
            if not opened.counted:
                opened.counted = True
                self._out(TENANT, opened.ask[1], now, "sent", send.request_id)
            way = world.delay(self._zone, world.zone(server), world.draw(self.index, server))
            work = opened.ask[12]
            more = self._life, send.request_id, opened.attempt, self.index, work, send.timeout
            self._out(SERVER, server, now + way, "work", *more)
        elif now - self._silent_since(server, now) > KEPT and send.timeout > DIAL_TIMEOUT:
            self._later(
                now + DIAL_TIMEOUT, "reply", self._life, send.request_id, opened.attempt, "unreachable"
            )

    def _ended(self, now: float, m: Message) -> None:
        life, number, attempt, how = m[5], m[6], m[7], m[8]
        opened = self._open.get(number) if life == self._life else None
        if opened is None or not opened.out or opened.attempt != attempt:
            return
        opened.out = False
        status = HOW.get(how, model.CallStatus.TIMEOUT)
        served = status is model.CallStatus.OK
        true = float(opened.ask[11]) if served else None
        server = f"s-{opened.server}"
        self._tally.at(now)[f"attempts {how}"] += 1
        if served:
            del self._open[number]
            self._out(TENANT, opened.ask[1], now, "served", number)
        self._handle(
            now,
            "outcome",
            model.AttemptCompleted(number, attempt, server, status, now - opened.sent, served, {}, true),
        )

    def _count(self, now: float, call: model.IncrementCounter) -> None:
        world, counts = self._world, self._tally.at(now)
        counts["calls"] += 1
        self._tally.seconds[int(now)]["calls made"] += 1
        counts["milliunits told"] += round(abs(call.amount) * 1000)
        self._number += 1
        number = self._number
        self._calls[number] = call.counter_id
        cut = world.cut(self._zone, 0, now)
        late = "unreachable" if cut and now - world.timetable.cut[0] > 10 * COUNTER_TIMEOUT else "timed out"
        given_up = now + COUNTER_TIMEOUT
        self._later(given_up, "counted", self._life, number, late, 0.0, given_up)
        if not cut:
            way = world.delay(self._zone, 0, world.draw(self.index, 0))
            more = self._life, number, call.counter_id, call.amount, call.lifetime
            self._out(COUNTER, self.index, now + way, "call", *more)

    def _probe(self, now: float, probe: model.CheckHealth) -> None:
        world, server = self._world, int(probe.endpoint[2:])
        self._tally.at(now)["probes"] += 1
        if self._reaches(server, now):
            way = world.delay(self._zone, world.zone(server), world.draw(self.index, server))
            self._out(SERVER, server, now + way, "probe", self._life, now, 0, self.index)
        else:
            self._later(now + DIAL_TIMEOUT, "probed", self._life, server, "unreachable", now)

    def cold(self) -> int:
        """Servers of its part that this limiter takes for cold."""
        return sum(
            s.warming_since is not None for s in (self.gateway.endpoints.subset if self.gateway else ())
        )


class Worker:
    """One of the processes: its limiters, servers and tenants, window by window."""

    def __init__(self, me: int, count: int, exchange: Exchange, world: World, progress: bool = False) -> None:
        self._progress = progress
        self._me, self._count, self._exchange, self._world = me, count, exchange, world
        size, times = world.size, world.timetable
        self.tally = Tally(tuple(begin for _, begin in times.phases()))
        self._outboxes: list[list[Any]] = [[] for _ in range(count)]
        self._events, self._arrivals, self._notes = list[Message](), list[Message](), list[Message]()
        self._due = list[Message]()  # calls on their way to the counter
        self._asking = list[Message]()  # and to discovery
        listings = Listings(world)
        self._limiters = {
            i: Limiter(i, world, listings, self.tally, self._events, self._send)
            for i in range(size.limiters)
            if self._owner(LIMITER, i) == me
        }
        self._servers = {
            j: peers.Server(world.boots_at(j)) for j in range(size.servers) if self._owner(SERVER, j) == me
        }
        self._answers = Counts[int]()  # numbers of the servers' messages
        self._listings = listings
        mine = [t.index for t in world.tenants if self._owner(LIMITER, t.first) == me]
        self._demand = Demand(world, mine, self.tally) if mine else None
        self._counter = peers.Counter(
            world.parts, world.calls, world.seed, times.silences, times.slow, world.crowd
        )
        self._discovery = peers.Discovery(world.lists or 1.0)

    def _owner(self, kind: int, number: int) -> int:
        size = self._world.size
        if kind == LIMITER:
            return number * self._count // size.limiters
        return number % self._count

    def _send(self, kind: int, to: int, message: Message) -> None:
        size = self._world.size
        if kind in (COUNTER, DISCOVERY):  # each has a copy of it
            for box in self._outboxes:
                box.append((kind, message))
            return
        if kind == TENANT:
            tenant = to - size.limiters - size.servers
            message = (*message[:3], tenant, *message[4:])
            owner = self._owner(LIMITER, self._world.tenants[tenant].first)
        else:
            owner = self._owner(kind, to)
        self._outboxes[owner].append((kind, message))

    def run(self) -> Tally:
        """All windows; the tally of this worker's part."""
        heaps = {
            LIMITER: self._events, SERVER: self._arrivals, TENANT: self._notes, COUNTER: self._due,
            DISCOVERY: self._asking,
        }  # fmt: skip
        over = self._world.timetable.seconds  # then nothing is asked, and what is out comes to its end
        rounds, seconds = round((over + DRAIN) / WINDOW), 0
        events, limiters = self._events, self._limiters
        gc.disable()  # nothing here makes circles, and looking for them takes as long as the decisions
        for k in range(rounds):
            start, end = k * WINDOW, (k + 1) * WINDOW
            self._count_calls(start)
            self._tell_lists(start)
            self._serve(start, end)
            if self._demand is not None:
                notes = self._notes
                due = list[Message]()
                while notes and notes[0][0] < start:
                    due.append(heappop(notes))
                self._demand.take(due)
                self._demand.asks(min(over, end + WINDOW), self._ask)
            while events and events[0][0] < end:
                message = heappop(events)
                limiters[message[3]].take(message)
            if end >= seconds + 1:
                cold = sum(limiter.cold() for limiter in limiters.values())
                self.tally.seconds[seconds]["cold"] += cold
                seconds += 1
                if self._progress and self._me == 0 and seconds % 10 == 0:
                    spent = time.process_time()
                    print(
                        f"virtual second {seconds}, {spent:.0f} CPU s of one worker",
                        file=sys.stderr,
                        flush=True,
                    )
            boxes, self._outboxes = self._outboxes, [[] for _ in range(self._count)]
            for kind, message in self._exchange(boxes):
                heappush(heaps[kind], message)
        if self._demand is not None:
            self._demand.take([heappop(self._notes) for _ in range(len(self._notes))])
            self._demand.left(over + DRAIN)
        self.tally.rss.append(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024)
        self.tally.cost["process"] += time.process_time_ns()
        return self.tally

    def _ask(self, message: Message) -> None:
        self._send(LIMITER, message[3], message)

    def _count_calls(self, start: float) -> None:
        """The counter's copy takes what has arrived; answers to this worker's limiters go out."""
        world, due = self._world, self._due
        while due and due[0][0] < start:
            at, limiter, _, _, _, life, number, name, amount, lifetime = heappop(due)
            answer = self._counter.call(at, name, amount, lifetime)
            if answer is None:
                continue
            done, total = answer
            if self._me == 0:
                counts = self.tally.at(done)
                counts["calls served"] += 1
                counts["counter wait us"] += round((done - at) * 1e6)
            zone = world.zone(limiter)
            if limiter in self._limiters and not world.cut(zone, 0, done):
                back = done + world.delay(zone, 0, world.draw(limiter, 0))
                source = world.size.limiters + world.size.servers + world.size.tenants
                more = life, number, "ok", total, back
                heappush(
                    self._events, (max(start, back), source, self._counter.served, limiter, "counted", *more)
                )

    def _tell_lists(self, start: float) -> None:
        """Discovery's copy serves the calls for the list."""
        world, asking = self._world, self._asking
        while asking and asking[0][0] < start:
            at, limiter, _, _, _, life, number = heappop(asking)
            done, zone = self._discovery.call(at), world.zone(limiter)
            if limiter in self._limiters and not world.cut(zone, 0, done):
                known = sum(changed + NOTICE[0] <= done for changed, _ in self._listings.changes)
                back = max(start, done + world.delay(zone, 0, world.draw(limiter, 0)))
                source = world.size.limiters + world.size.servers + world.size.tenants + 1
                heappush(self._events, (back, source, number, limiter, "watch", life, number, known))

    def _serve(self, start: float, end: float) -> None:
        """This worker's servers take what has arrived."""
        world, arrivals, limiters = self._world, self._arrivals, self._world.size.limiters
        while arrivals and arrivals[0][0] < start:
            m = heappop(arrivals)
            at, j, what, life, limiter = m[0], m[3], m[4], m[5], m[8]
            server, zone, theirs = self._servers[j], world.zone(j), world.zone(m[8])
            if world.gone(j, at):
                continue
            if what == "probe":
                how, done = ("unreachable", at) if server.fallen else ("ok", at)
            else:
                fell = server.fallen
                how, done = server.arrive(at, m[9], m[10])
                self.tally.at(at)["work us"] += round(m[9] * 1e6) * (how == "ok")
                if server.fallen and not fell:
                    self._fell(j, at)
            if how == "silent" or world.gone(j, done) or world.cut(zone, theirs, done):
                continue
            back = max(end, done + world.delay(zone, theirs, world.draw(limiter, j)))
            self._answers[j] += 1
            more = (life, j, how, m[6]) if what == "probe" else (life, m[6], m[7], how)
            to = "probed" if what == "probe" else "reply"
            self._send(LIMITER, limiter, (back, limiters + j, self._answers[j], limiter, to, *more))

    def _fell(self, j: int, at: float) -> None:
        world = self._world
        self.tally.at(at)["servers fallen"] += 1
        gone = self._listings.first[j]
        gone = model.Endpoint(gone.name, model.EndpointHealth.REMOVED, gone.zone, gone.cell)
        for i in range(world.size.limiters):
            self._answers[j] += 1
            told = at + NOTICE[0] + world.draw(i, j) * (NOTICE[1] - NOTICE[0])
            if world.cut(world.zone(i), 0, told):
                told += world.timetable.cut[1] - world.timetable.cut[0]
            self._send(LIMITER, i, (told, world.size.limiters + j, self._answers[j], i, "fallen", gone))
