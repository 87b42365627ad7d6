"""Every decision of the quota gateway; its settings, events and actions are in interface.py."""

from bisect import bisect_left
from collections import deque
from collections.abc import Callable
from hashlib import blake2b
from random import Random
from typing import Any

from quota_gateway import model
from quota_gateway.decisions.quota import Account, CounterBudget
from quota_gateway.model import Action, CallStatus, Idempotency

REFERENCE, GAIN, RESET, INTERVAL, STALL = 0.8, 20.0, 2.8, 1.0, 2.5  # the design's loop; intervals of a stall
AIM_SHARE, PLAIN_ROOM = 0.5, 0.5  # latency / aim that reads as the reference; load / reference of plain room
FEW = 8  # servers that a thin gate keeps to
DEPTH, RESERVE = 1.0, 0.6  # seconds of u that the gate holds; share kept from the least worthy work
THIN, TRICKLE = 3.0, 0.1  # requests that a thin gate holds; share of the arrivals let in for readings
FORGET, LIFETIME = 60.0, 60.0  # idle seconds until an account is dropped; seconds that a shared count lives
IDLE = 0.25  # load under which servers bear a wrong guess of what the others use
FRESH, MOST_NOTES = 5.0, 4000  # seconds in which a process takes another's notes; accounts in them
# Seconds of a customer's demand that are leased ahead of need: as many as the calls that are there make
# necessary, from what a call takes many times over up to what may lie idle at a gateway that dies.
LEAST_AHEAD, MOST_AHEAD = 0.5, 3.0
TOLD = 0.2  # seconds for which a total tells what the store holds: the others' use is little in it
REFRESH = 0.5  # seconds between two looks at a store that is thought empty
UNSPENT = 0.95  # of its floor, in a wide set, that a customer must have left: part of a unit may be
ENOUGH = 10  # answers that tell how warm a cold server is
UPLOAD = 3600.0  # seconds: how long a body takes is its sender's and the sockets' matter
LEAST_ASKED = 0.2  # of requests: who asks counts for those that could not, and for no more than four of them
COLD = 0.45  # of a load that fells a cold server
ANSWERED = (CallStatus.OK, CallStatus.ERROR, CallStatus.OVERLOADED, CallStatus.REJECTED)
NEVER_RAN = (
    CallStatus.OVERLOADED,
    CallStatus.UNREACHABLE,
    CallStatus.RESET_BEFORE_REQUEST,
    CallStatus.NOT_SENT,
)


class _Server:
    def __init__(self, entry: model.Endpoint) -> None:
        self.entry, self.up, self.place = entry, True, blake2b(entry.name.encode(), digest_size=8).digest()
        self.open = self.done = self.rate = 0.0  # own work: out, since the last tick, a second
        self.answers, self.pace = 0, 0.0  # good ones since it came, and their mean latency over idle latency
        self.slow = self.fails = 0.0  # latency over idle latency (0: unknown); share of broken attempts
        self.out_until = self.out_for = self.budget = self.budget_at = 0.0
        self.trial = self.lost = self.gone = False
        self.mutes = 0  # attempts in a row that timed out while no answer at all came
        self.row, self.broke = 0, 0.0  # breaks with no answer in between; when the last came
        self.quiet: float | None = None  # since when it owes answers and gives none
        self.cold_at: float | None = None

    def ended(self, work: float) -> None:
        # Floating sums leave a remainder, and a server on trial that seems to have work out is asked no more.
        self.open = left if (left := self.open - work) > 1e-9 else 0.0


class _Request:
    __slots__ = (
        "account", "born", "cls", "deadline", "due", "id", "inside", "most", "out", "ran", "rank", "repeat",
        "size", "tries", "ttl", "units", "uploading", "work",
    )  # fmt: skip

    def __init__(
        self, now: float, ev: model.Request, cls: model.RequestClass, acct: Account, most: int
    ) -> None:
        self.most = most  # attempts that were allowed when it came
        self.id, self.cls, self.account, self.units = ev.id, cls, acct, ev.units
        self.deadline, self.born, self.repeat = now + ev.timeout, now, ev.is_retry
        # Past its aim an answer that earns nothing is only work; the time-out hands the server back.
        self.due = self.deadline if cls.late_weight else min(self.deadline, now + cls.latency_objective)
        self.ttl, self.uploading = (
            ev.timeout,
            ev.uploading,
        )  # while the body comes no clock runs and no work is done
        if ev.uploading:
            self.deadline = self.due = now + UPLOAD
        self.inside, self.size = False, 1.0  # within its quota; its units over the mean
        self.work, self.rank = 0.0, 1.0  # expected work; place among the recent by worth per work
        self.tries, self.out = list[tuple[_Server, float]](), dict[int, _Server]()
        self.ran: tuple[_Server, float] | None = None  # first attempt that may have run


class Gateway:
    def __init__(self, settings: model.Settings, seed: int, now: float) -> None:
        self.check(settings)
        self._set, self._rng, self._born = settings, Random(seed), now
        self._classes = {c.name: c for c in settings.classes}
        self._plans = {p.name: p for p in settings.plans}
        self._servers, self._requests = dict[str, _Server](), dict[int, _Request]()
        self._ring, self._mine, self._out = list[_Server](), list[_Server](), list[Action]()
        self._accounts, self._names = dict[tuple[str, str], Account](), dict[int, Account]()
        self._leases = dict[int, Account]()  # those that hold units ahead of need
        self._base, self._why = dict[str, float](), dict[str, int]()  # idle latency of a class; causes to log
        self._put, self._late = (
            dict[str, int](),
            0.0,
        )  # why servers were put out; share of attempts that time out
        self._sum: float | None = None  # the controller's sum; None: fresh, admits freely
        self._u = self._tokens = self._reading = self._tries = self._admitted = self._done_rate = 0.0
        self._lack = "no server"  # what the last pick found wanting
        self._arrivals, self._held, self._timer = 0.0, 0, 0  # first tries a second; age of the readings
        self._units = 0.0  # mean units of a request
        self._mean, self._retries = 0.0, 10.0  # mean work of a request; further attempts that may be made
        self._filled = self._ticked = now
        self._calls = CounterBudget(now, settings.gateway_count, self._rng.random(), settings.counter_timeout)
        self._banned, self._parts = frozenset[str](), 1  # servers out by hand; processes of this limiter
        self._handed = False  # whether the process before has told what it knew
        self._told = self._leaving = False  # whether a list has come; whether this process is to end
        self._seen, self._ranks, self._load = deque[float](maxlen=300), list[float](), list[float]()
        self._handlers: dict[type, Callable[[float, Any], None]] = {
            model.Request: self._arrive,
            model.AttemptCompleted: self._outcome,
            model.CounterReplied: self._counted,
            model.EndpointUpdate: self._listed,
            model.HealthChecked: self._probed,
            model.TimerFired: lambda _now, _ev: None,
            model.ClientDisconnected: lambda _now, ev: self._forget(ev.request_id),
            model.AdminRequest: self._called,
            model.SuspensionsChanged: lambda now, ev: self._ban(now, ev.endpoints),
            model.ProcessCountChanged: self._shared,
            model.HandoverState: self._learned,
            model.ShutdownStarted: self._leave,
            model.Settings: self._retune,
            model.UploadCompleted: self._uploaded,
        }
        self._pace(settings)

    def _pace(self, settings: model.Settings) -> None:
        aims = [c.latency_objective for c in settings.classes] or [1.0]
        # One stay for all classes: they share the servers, and by its own aim the class with the shortest one
        # found them full at what the others still let in, however much its work was worth.
        self._patience, self._stay = AIM_SHARE * min(aims), AIM_SHARE * sum(aims) / len(aims)

    @staticmethod
    def check(s: model.Settings) -> None:
        one, above = ("gateway_count", "max_attempts"), ("initial_capacity", "overload_window")
        for key in (*one, *above, "warm_up_time", "counter_timeout"):
            if getattr(s, key) < (1 if key in one else 1e-9 if key in above else 0):
                raise ValueError(f"impossible setting: {key}")

    def handle(self, now: float, event: model.Event) -> list[Action]:
        self._out, ticked = [], event == model.TimerFired(self._timer)
        self._handlers[type(event)](now, event)
        if ticked:
            self._tick(now)
        if ticked or not self._timer:
            self._timer += 1
            self._out.append(model.SetTimer(INTERVAL, self._timer))
        return self._out

    def _tick(self, now: float) -> None:
        dt, self._ticked = max(1e-3, now - self._ticked), now
        for r in list(self._requests.values()):
            if now >= r.deadline and not r.out:
                self._end(now, r)
            elif r.out and not r.uploading and now - r.born > r.cls.latency_objective * AIM_SHARE / REFERENCE:
                self._load.append(1.0)  # an answer overdue is a reading before it comes
        arrivals, admitted = self._tries / dt, self._admitted / dt
        self._arrivals += (0.3 if self._arrivals else 1.0) * (arrivals - self._arrivals)
        arrivals, self._held = max(arrivals, self._arrivals), self._held + 1
        # Where a gate sees one request a second its few readings wait for each other, or it would never move.
        enough = len(self._load) >= 3 or (self._held >= 4 and self._load)
        load = sum(self._load) / len(self._load) if enough else None
        # K is made for a stream of its size: at hundreds of thin gates whole ones add up to on and off.
        gain, self._tries, self._admitted = min(GAIN, self._arrivals), 0.0, 0.0
        if dt > STALL * INTERVAL:
            self._sum = None  # a stall: the sum belongs to a load that is gone
        elif load is not None:
            error, self._reading = REFERENCE - load, load
            self._u = gain * error + (admitted if self._sum is None else self._sum)
            self._sum = self._u - gain * error
            if load < PLAIN_ROOM * REFERENCE and self._u < arrivals:
                self._sum, self._u = arrivals - gain * error, arrivals
            if error < 0 or self._u <= arrivals:
                self._sum = max(0.0, self._sum + gain / RESET * error)
        if load is not None or dt > STALL * INTERVAL:
            self._load, self._held = [], 0
        if self._timer % 10 == 0 and self._why:
            text = ", ".join(f"{k} {n}" for k, n in sorted(self._why.items())) + f"; load {self._reading:.2f}"
            text += f", u {self._u:.0f}/s{', counter silent' * (now < self._calls.silent_until)}"
            text += f"; leased {sum(x.lease for x in self._leases.values()):.0f} for {len(self._leases)}"
            text += f"; cold {sum(s.cold_at is not None for s in self._ring)}, done {self._done_rate:.2f}"
            text += f"; servers out {sum(s.out_until > now for s in self._ring)} of {len(self._ring)}"
            text += "".join(f", {n} put out as {cause}" for cause, n in sorted(self._put.items()))
            self._out, self._why, self._put = [*self._out, model.Log(f"turned away: {text}")], {}, {}
        # By what was finished: by what was sent, overdriven servers would pass for able. And by warm ones:
        # what cold ones are let do says nothing of what a warm one bears. Where it counted, each cold server
        # cut the budget of the others, and a fleet that looked cold stood still for good.
        warm = [s.done / dt for s in self._mine if s.cold_at is None]
        if warm:
            self._done_rate += (0.3 if self._done_rate else 1.0) * (sum(warm) / len(warm) - self._done_rate)
        for s in self._servers.values():
            s.rate, s.done = s.rate + (0.3 if s.rate else 1.0) * (s.done / dt - s.rate), 0.0
            if (
                s.up
                and s.lost
                and s.trial
                and self._set.may_check_health
                and s.entry.name not in self._banned
            ):
                self._out.append(model.CheckHealth(s.entry.name))  # a probe is a cheaper trial than a request
                s.out_until = max(s.out_until, now + 1.5 * INTERVAL)
        if any(s.gone for s in self._servers.values()):
            # Ids are ever new: one that is gone is forgotten once nothing is out there.
            busy = {s.place for r in self._requests.values() for s in r.out.values()}
            self._servers = {n: s for n, s in self._servers.items() if not s.gone or s.place in busy}
        self._choose(now)
        self._ranks = sorted(self._seen)
        self._return_leases(now)
        for key, a in list(self._accounts.items()):
            # A ceiling is full before it is forgotten: a new account would start with more than was left.
            full = a.ceiling * a.ways + a.plan.ceiling_rate * (now - a.at) >= a.plan.ceiling_burst
            if now - a.at > FORGET and not a.open and full:
                del self._names[a.name], self._accounts[key]
            elif abs(a.pending) > 1e-9 and now - a.asked > 1.0 and a.level < 0.7 * a.plan.burst:
                self._count(now, a)

    def _return_leases(self, now: float, every: bool = False) -> None:
        """A lease ends with the demand that it was sized by: what is above goes back to the store."""
        for name, a in list(self._leases.items()):
            a.refill(now)
            keep = MOST_AHEAD * a.demand_now(now)
            if every or keep < self._units or a.lease > 2 * keep:
                a.give_back(a.lease if every or keep < self._units else a.lease - keep)
            if a.lease <= 1e-9 and not a.ahead:
                del self._leases[name]

    def _gate(self, now: float, r: _Request, reserve: float) -> bool:
        # A shut gate reads nothing and would stay shut; a full bucket lets any one request pass, into debt.
        rate, dt, self._filled = max(TRICKLE * self._arrivals, self._u), now - self._filled, now
        depth = max(THIN, rate * DEPTH)
        self._tokens = min(depth, self._tokens + rate * dt)
        need = r.work / self._mean + reserve * max(0, depth - 2)
        return self._sum is None or self._tokens >= min(depth, need)

    def _arrive(self, now: float, ev: model.Request) -> None:
        unknown = model.RequestClass(ev.request_class, max(ev.timeout, 0.01), 1.0, Idempotency.NONE)
        cls, key = self._classes.get(ev.request_class, unknown), (ev.plan, ev.account)
        if (a := self._accounts.get(key)) is None:
            plan = self._plans.get(ev.plan, model.Plan(ev.plan))
            a = self._accounts[key] = Account(now, ev, plan, self._born, self._set.max_units, self._parts)
            self._names[a.name] = a
        a.refill(now)
        self._tries += not ev.is_retry
        r = self._requests[ev.id] = _Request(now, ev, cls, a, self._set.max_attempts)
        # A quota's units follow a request's work. Taken for equal in work, large ones stood out by their
        # worth alone: gate and bound let those in first, and with them more work than they thought.
        self._units += (ev.units - self._units) * (0.02 if self._units else 1)
        r.size = ev.units / self._units if self._units > 0 and ev.units > 0 else 1.0
        r.work = self._base.setdefault(cls.name, cls.latency_objective * 0.1) * r.size
        self._mean += (r.work - self._mean) * (0.02 if self._mean else 1)
        value = cls.priority_weight * a.plan.price * r.units / r.work
        self._seen.append(value)
        r.rank = bisect_left(self._ranks, value) / len(self._ranks) if self._ranks else 1.0
        if a.plan.ceiling_rate > 0 and a.ceiling < r.units:
            self._end(now, r, "ceiling")
        elif self._gate(now, r, RESERVE * (1 - r.rank)):
            self._quota(now, r)
        else:
            self._end(now, r, "gate")

    def _quota(self, now: float, r: _Request) -> None:
        a, plan = r.account, r.account.plan
        a.wanted(now, r.units)
        expected = min(plan.burst, a.level - a.others * (now - a.synced))
        worst = min(0.9 * plan.burst * (1 - 1 / a.share), max(a.others, plan.rate) * (now - a.synced))
        plain = expected - worst - 0.1 * plan.burst >= r.units or a.share <= 1
        many = plan.concurrency_limit > 0 and a.open >= -(
            -plan.concurrency_limit // a.share
        )  # past the even share
        # The fleet shares the counter: with few calls left one request in so many asks, and counts for all.
        chance = min(1.0, self._calls.left(now) / 2)
        # Of hundreds of gateways each meets a customer once a minute, and takes it for a calm one. What comes
        # again is most likely beyond its quota: first tries have the calls before it.
        chance *= 0.3 if a.thin and r.repeat else 1.0
        if many or plan.rate <= 0:
            inside = not many
        elif a.lease >= r.units:
            self._launch(now, r, True, paid=True)
            return self._lease(now, a)
        elif not self._set.has_counter or now < self._calls.silent_until:
            inside = expected >= r.units if a.thin else a.floor >= r.units * self._rng.random()  # even share
            # A floor, with headroom above: what the others' usual use leaves, while the servers have room.
            idle = self._reading < IDLE
            inside = inside or (idle and expected - 0.25 * plan.burst >= r.units)
        elif a.level < r.units or (plain and not a.thin):
            inside = a.level >= r.units
        elif a.thin:
            return self._sample(now, r, expected)
        else:  # near the quota: what the store is thought to hold, and the floor where nobody has said lately
            fresh = a.total is not None and now - a.synced < TOLD
            self._launch(now, r, expected >= r.units or (a.floor >= r.units and not fresh))
            return self._lease(now, a)
        self._launch(now, r, inside)

    def _sample(self, now: float, r: _Request, expected: float) -> None:
        """Too many gateways for leases: each meets this customer too seldom. Who may call counts for all."""
        a = r.account
        # The fleet shares the counter: with few calls left one request in so many asks, and counts for all.
        # What comes again is most likely beyond its quota: first tries have the calls before it.
        chance = min(1.0, self._calls.left(now) / 2) * (0.3 if r.repeat else 1.0)
        asks = r.deadline - now >= 3 * self._set.counter_timeout and chance >= max(0.05, self._rng.random())
        # So is what comes to this one gateway before the even share of what it was granted has come back.
        inside = expected >= r.units and not r.repeat and a.floor >= max(r.units, UNSPENT * a.floor_cap)
        counts = self._launch(now, r, inside, paid=asks) and inside
        if asks:
            self._count(now, a, own=r.units / max(LEAST_ASKED, chance) * counts, ask=True)

    def _lease(self, now: float, a: Account) -> None:
        """Ask for units ahead of need: who holds them grants them at once; to the counter they are used."""
        horizon = min(MOST_AHEAD, max(LEAST_AHEAD, 2 * len(self._leases) / self._calls.rate))
        if a.ahead or a.lease > 0.5 * horizon * a.demand_now(now) or self._calls.left(now) < 1:
            return
        if (need := a.need(now, horizon)) > 0 or now - a.asked > REFRESH:
            self._leases[a.name], a.ahead = a, max(0.0, need)
            self._count(now, a, ahead=a.ahead, ask=True)

    def _launch(self, now: float, r: _Request, inside: bool, paid: bool = False) -> bool:
        """Send a request on, or end it; ``paid`` where its units are leased or told to the counter apart."""
        a, plan = r.account, r.account.plan
        if not (
            inside or (plan.over_quota_value > plan.over_quota_cost and 0 < self._reading < 0.6 * REFERENCE)
        ):
            self._end(now, r, "quota")
            return False
        if (plan.ceiling_rate > 0 and a.ceiling < r.units) or not self._send(now, r):
            self._end(now, r, self._lack)
            return False
        self._tokens -= r.work / self._mean if self._sum is not None else float("-inf")  # full when fresh
        self._admitted, self._retries = self._admitted + 1, min(10.0, self._retries + 0.1)
        a.ceiling -= r.units if plan.ceiling_rate > 0 else 0.0
        r.inside = inside
        if inside:
            a.floor = max(-r.units, a.floor - r.units)
        if not inside or paid:
            a.lease -= r.units if paid and a.lease >= r.units else 0.0
            return True
        a.level = min(a.level, max(0.0, a.level - r.units))  # settled, it may owe
        if not a.thin or self._calls.silent_until > now:
            a.pending += r.units
            if a.pending >= 0.3 * min(a.level, plan.burst) / a.share and a.share > 1:
                self._count(now, a)
        return True

    def _count(self, now: float, a: Account, own: float = 0.0, ahead: float = 0.0, ask: bool = False) -> None:
        a.pending, a.level = a.pending + own + ahead, a.level - own - ahead
        if (ask or self._calls.left(now) >= 1) and self._set.has_counter and a.plan.rate > 0:
            a.calls.append((a.pending, ahead, now))
            self._out.append(model.IncrementCounter(a.name, LIFETIME, a.pending))
            self._calls.room, a.pending, a.asked = self._calls.room - 1, 0.0, now

    def _counted(self, now: float, ev: model.CounterReplied) -> None:
        a = self._names.get(ev.counter_id)
        if a is None or not a.calls:
            return
        step, ahead, made = a.calls.pop(0)
        a.refill(now)
        self._calls.ended(now, ev.status, made, self._rng.random())
        a.ahead -= ahead
        if ev.status is CallStatus.OK:
            a.told(now, ev.total, step, ahead)
        # What may have been added is taken for added: told twice it would be used twice.
        if ev.status in (
            CallStatus.OK,
            CallStatus.TIMEOUT,
            CallStatus.RESET_AFTER_REQUEST,
            CallStatus.MALFORMED,
        ):
            a.lease += ahead
        else:
            a.pending, a.level = a.pending + step - ahead, a.level + ahead
        if ev.status is CallStatus.OK and (over := min(a.lease, -a.level)) > 0:
            a.give_back(over)  # the store had less
        if a.pending > 0.25 * a.plan.burst and ev.status is CallStatus.OK:
            self._count(now, a)
        a.level = max(a.level, -a.ahead)  # what is asked for is taken off

    def _probed(self, now: float, ev: model.HealthChecked) -> None:
        if ev.status is CallStatus.OK and (s := self._servers.get(ev.endpoint)) and s.lost:
            s.out_until, s.quiet, s.lost, s.cold_at, s.budget_at = now, None, False, now, now
            s.slow, s.answers = 0.0, 0

    def _listed(self, now: float, ev: model.EndpointUpdate) -> None:
        for old in self._servers.values():
            old.up, old.gone = old.up and not ev.complete, old.gone or ev.complete
        for e in ev.endpoints:
            s = self._servers.setdefault(e.name, _Server(e))
            restarted = e.started_at > (s.entry.started_at + 1e-6 if s.entry is not e else 0.0)
            s.entry, s.up, s.gone = (
                e,
                e.health is model.EndpointHealth.HEALTHY,
                e.health is model.EndpointHealth.REMOVED,
            )
            if s.up and restarted and now - e.started_at < self._set.warm_up_time:
                s.cold_at, s.budget, s.budget_at, s.slow, s.answers = e.started_at, 0.0, now, 0.0, 0
                s.out_until = min(s.out_until, now)
        self._told = True
        self._arrange(now)

    def _arrange(self, now: float) -> None:
        # All gateways see one ring of servers, each from a place of its own: parts of it add up evenly.
        usable = (s for n, s in self._servers.items() if s.up and n not in self._banned)
        ring = sorted(usable, key=lambda s: s.place)
        start = self._set.gateway_index * len(ring) // self._set.gateway_count
        self._ring = ring[start:] + ring[:start]
        self._choose(now)

    def _called(self, now: float, ev: model.AdminRequest) -> None:
        listed = [s for s in self._servers.values() if not s.gone]
        if ev.command is model.AdminCommand.STATUS:
            ok = self._told and not self._leaving
        elif ev.command is model.AdminCommand.METRICS:
            ok = True
        else:  # a ban outlives the list's entry, so that the call back is never refused
            known, out = self._servers.get(ev.endpoint), ev.command is model.AdminCommand.SUSPEND
            ok = ev.endpoint in self._banned or (known is not None and not known.gone)
            if ok:
                self._ban(now, self._banned | {ev.endpoint} if out else self._banned - {ev.endpoint})
                self._out.append(model.RecordSuspension(ev.endpoint, out))
        avoided = (s.entry.name in self._banned or s.out_until > now for s in listed)
        self._out.append(model.AdminReply(ev.id, ok, len(listed), sum(avoided)))

    def _ban(self, now: float, names: frozenset[str]) -> None:
        """What is out by hand leaves the ring, whatever the list says; what is called back comes in cold."""
        back = [s for n, s in self._servers.items() if n in self._banned and n not in names]
        self._banned = names
        for s in back:
            # It was out to be restarted, most likely, and what is known of it is of the process before.
            s.cold_at, s.budget, s.budget_at, s.out_until, s.out_for = now, 0.0, now, now, 0.0
            s.slow = s.fails = s.broke = 0.0
            s.trial, s.lost, s.mutes, s.row, s.quiet, s.answers = False, False, 0, 0, None, 0
        self._arrange(now)

    def _shared(self, now: float, ev: model.ProcessCountChanged) -> None:
        """Two processes of one limiter share what it may do: ceilings, even shares, work for cold servers."""
        came, self._parts = ev.count > self._parts, max(1, ev.count)
        spare = list[model.AccountHandover]()
        for (plan, name), a in self._accounts.items():
            a.refill(now)  # so far by the old part
            given = a.split(self._parts)
            # What the counter is still to be told comes to the other process as use of the others.
            level = a.level + a.pending + sum(amount for amount, _, _ in a.calls)
            spare.append(
                model.AccountHandover(plan, name, a.share, level, a.floor, given, a.others, a.synced, a.total)
            )
        if came and self._sum is not None:
            servers = [(n, s) for n, s in self._servers.items() if not s.gone]
            notes = tuple(
                model.EndpointHandover(n, s.entry.started_at, s.cold_at, s.answers, s.pace, s.slow, s.rate)
                for n, s in servers
            )
            known = self._done_rate, self._mean, self._units, dict(self._base), notes
            self._out.append(model.HandOver(model.HandoverState(*known, tuple(spare[-MOST_NOTES:]))))

    def _learned(self, now: float, ev: model.HandoverState) -> None:
        """A process that has just begun takes over what the one before knows; its controller starts fresh."""
        if self._handed or now - self._born > FRESH:
            return
        self._handed, self._done_rate = True, ev.completion_rate or self._done_rate
        self._mean, self._units = ev.mean_work or self._mean, ev.mean_units or self._units
        self._base |= {name: base for name, base in ev.base_latencies.items() if base > 0}
        for n in ev.endpoints:
            if (s := self._servers.get(n.name)) is not None and s.entry.started_at == n.started_at:
                s.cold_at, s.answers, s.pace, s.slow, s.rate = (
                    n.warming_since,
                    n.responses,
                    n.mean_slowdown,
                    n.slowdown,
                    n.work_rate,
                )
                s.budget_at = now
        for note in ev.accounts:
            key = note.plan, note.account
            if (plan := self._plans.get(note.plan)) is None:
                continue
            if (a := self._accounts.get(key)) is None:
                asked = model.Request(
                    0, "", note.plan, 0.0, note.account, serving_gateways=note.serving_gateways
                )
                a = Account(now, asked, plan, self._born, self._set.max_units, self._parts)
                self._accounts[key] = self._names[a.name] = a
            a.take(now, note)

    def _leave(self, now: float, _ev: model.ShutdownStarted) -> None:
        self._leaving = True
        self._return_leases(now, every=True)
        for a in self._accounts.values():
            if abs(a.pending) > 1e-9:
                self._count(now, a)  # nobody else would tell it

    def _retune(self, now: float, ev: model.Settings) -> None:
        """New settings hold for what comes from now on; what is under way keeps its class."""
        self.check(ev)
        self._set, self._plans = ev, {p.name: p for p in ev.plans}
        # A class that went keeps its terms for what was on its way when it did.
        self._classes |= {c.name: c for c in ev.classes}
        for a in self._accounts.values():
            a.refill(now)
            a.replan(self._plans.get(a.plan.name, a.plan), ev.max_units)
        self._pace(ev)
        self._arrange(now)

    def _choose(self, now: float) -> None:
        """A thin gate keeps to few: of hundreds it meets each once a minute and learns each failure anew."""
        want, self._mine = max(FEW, -(-5 * len(self._ring) // self._set.gateway_count)), list[_Server]()
        for s in self._ring:
            want -= s.out_until <= now and (s.quiet is None or now - s.quiet <= self._patience)
            self._mine.append(s)
            if want <= 0:
                break

    def _pick(self, now: float, r: _Request) -> _Server | None:
        # By Little's law: work out is the finished work a second times the stay that is wanted; four a server
        # over all gates at least. Quick answers give a thin gate three more, a load the chance of one.
        up, stay, part = self._mine, self._stay, 1 - RESERVE * 0.5 * (1 - r.rank)
        # Cold ones stand aside: they have a budget, and what they hold is long there for what they finish.
        warm = [s for s in up if s.cold_at is None]
        total, least = stay * sum(s.rate for s in warm), 4.0 * len(self._ring) / self._set.gateway_count
        slack = max(self._rng.random(), 3.0 - 2.5 * self._reading / REFERENCE) * (least < 3)
        fleet = max(total, self._mean * least) + self._mean * slack
        # Rates are a mean of seconds and lag; where answers are quick a burst may have twice the work out.
        calm = max(0.0, 1 - self._reading / (PLAIN_ROOM * REFERENCE)) * (self._sum is not None)
        fleet += calm * (fleet + 4 * (fleet * self._mean) ** 0.5)
        # Where answers are owed for long nothing new goes: a cut, hung or lost server. All alike is slowness.
        quiet = [s for s in up if s.quiet is not None and now - s.quiet > self._patience]
        quiet = quiet if len(quiet) <= len(up) / 2 else []
        taken = sum(s.open for s in warm if s not in quiet and s.out_until <= now) + 0.5 * r.work
        # A fresh gateway has finished nothing yet: a bound by that would refuse what it is to admit freely.
        bound = self._sum is not None and taken > fleet * part
        if bound and len(warm) == len(up):
            self._lack = "bound"
            return None
        least = max(0.5 * total / max(1, len(warm)), 3.5 * self._mean)
        group, first = up, r.ran[0].entry if r.ran else None
        if (
            first
            and r.cls.idempotency is Idempotency.KEYED
            and r.cls.deduplication_scope is not model.DeduplicationScope.ALL
        ):  # it may have run
            group = [s for s in self._ring if s.entry.zone == first.zone]
            group = [
                s
                for s in group
                if r.cls.deduplication_scope is not model.DeduplicationScope.CELL
                or s.entry.cell == first.cell
            ]
        pool = [s for s in group if s not in [x for x, _ in r.tries]] or group
        well = [s for s in pool if s.out_until <= now and not (s.trial and s.open > 0) and s not in quiet]
        well = pool if all(s.out_until > now for s in up) else well  # every server is out: any beats none
        fit = [s for s in well if s.open + r.work * 0.5 <= max(stay * s.rate, least) * part]
        fit = [s for s in fit if s.cold_at is not None] if bound else fit
        self._lack = "bound" if bound else "cold" if fit else "full" if well else "no server"
        fit = [s for s in fit if s.cold_at is None or self._cold_room(now, s, r)]
        fit = self._rng.sample(fit, 2) if len(fit) > 2 else fit
        costs = {s.place: max(1.0, s.slow) * (s.open + r.work) / max(0.05, 1 - s.fails) ** 2 for s in fit}
        return min(fit, key=lambda s: costs[s.place], default=None)

    def _cold_room(self, now: float, s: _Server, r: _Request) -> bool:
        low, age = self._set.initial_capacity, max(0.0, now - (s.cold_at or 0.0))
        warmth = low + (1 - low) * age / max(1e-9, self._set.warm_up_time)
        if warmth >= 1:
            s.cold_at = None
            return True
        # That is the latest it warms up. Its answers tell what it can do: they take longer as it can do less,
        # and longer still where they wait, so that they never make it seem warmer than it is.
        if s.answers >= ENOUGH:
            warmth = max(warmth, min(1.0, 2 * warmth, 0.9 / max(0.9, s.pace)))
        fill = COLD * self._set.overload_multiple * min(1.0, warmth) * self._done_rate / self._parts
        s.budget += fill * (now - s.budget_at)
        s.budget, s.budget_at = min(fill * self._set.overload_window * 0.5, s.budget), now
        # One request at each of hundreds of gates pushes it over: it passes as often as its part is there.
        return s.budget > r.work * self._rng.random()

    def _send(self, now: float, r: _Request) -> bool:
        wait = r.due - now
        s = self._pick(now, r) if wait > 0 else None
        if s is None:
            return False
        # No earlier time-out than the client's use for the answer: servers finish what they have begun, so an
        # attempt given up for another one was work twice, most of it where there was least room.
        r.out[len(r.tries)] = s
        r.tries.append((s, now))
        r.account.open += 1
        s.open += r.work
        if s.quiet is None and not r.uploading:
            s.quiet = now
        s.budget -= r.work if s.cold_at is not None else 0.0  # warm, it owes nothing when unsure again
        # Of a body under way the time begins with its last byte.
        self._out.append(model.Forward(r.id, s.entry.name, wait if not r.uploading else self._use(r)))
        return True

    def _use(self, r: _Request) -> float:
        """How long an answer is of use, from the request's last byte on."""
        return r.ttl if r.cls.late_weight else min(r.ttl, r.cls.latency_objective)

    def _uploaded(self, now: float, ev: model.UploadCompleted) -> None:
        if (r := self._requests.get(ev.request_id)) is not None and r.uploading:
            r.uploading, r.born = False, now
            r.deadline, r.due = now + r.ttl, now + self._use(r)
            for s in r.out.values():
                s.quiet = now if s.quiet is None else s.quiet

    def _outcome(self, now: float, ev: model.AttemptCompleted) -> None:
        r, s = self._requests.get(ev.request_id), self._servers.get(ev.endpoint)
        if s is None or r is None:
            return
        if r.out.pop(ev.attempt, None) is not None:
            s.ended(r.work)
            r.account.open -= 1
            if ev.status not in (CallStatus.TIMEOUT, CallStatus.CANCELLED, CallStatus.UNREACHABLE):
                s.quiet = now if s.open > 1e-9 else None
            self._learn(now, r, s, ev)
            if ev.charged_units is not None and r.inside:
                r.account.settle(min(ev.charged_units, self._set.max_units) - r.units)
            if s.open <= 1e-9:
                s.quiet = None  # with nothing out it owes no answer, and none could ever end its silence
        if ev.status not in NEVER_RAN and r.ran is None and ev.attempt < len(r.tries):
            r.ran = r.tries[ev.attempt]
        if ev.status is CallStatus.REJECTED and not ev.request_finished:
            self._out.append(model.Fail(r.id))  # no other server would take it either
            self._forget(r.id)
        elif ev.request_finished:
            self._forget(ev.request_id)
        elif not r.out:
            self._again(now, r, ev)

    def _learn(self, now: float, r: _Request, s: _Server, ev: model.AttemptCompleted) -> None:
        if ev.status is CallStatus.OK:
            s.done += r.work
            base = self._base[r.cls.name]
            took = ev.elapsed / r.size
            self._base[r.cls.name] = base + (took - base) * (0.01 if took > base else 0.02)
            s.answers += 1
            s.slow += (0.1 if s.slow else 1.0) * (took / base - s.slow)
            s.pace += max(0.1, 1 / s.answers) * (took / base - s.pace)
            self._load.append(min(1.0, ev.elapsed / r.cls.latency_objective * REFERENCE / AIM_SHARE))
        elif ev.status in (CallStatus.OVERLOADED, CallStatus.TIMEOUT):
            self._load.append(1.0)
        mute = ev.status is CallStatus.TIMEOUT and s.quiet is not None and now - s.quiet >= ev.elapsed - 1e-6
        # Nor is one slow request a hung server: where a gateway has one or two out there, the long tail of
        # work is a silence that ends. More must time out in a row, as many as time-outs are usual; on trial
        # one is enough.
        s.mutes = s.mutes + 1 if mute else 0 if ev.status in ANSWERED else s.mutes
        if ev.status in ANSWERED or ev.status is CallStatus.TIMEOUT:
            self._late += 0.02 * ((ev.status is CallStatus.TIMEOUT) - self._late)
        hung = mute and (s.trial or max(0.07, self._late) ** s.mutes < 0.005)
        # One connection that breaks is no dead server: more must, one behind the other (what was out together
        # breaks together), with no answer in between, in a row that is as long as breaks are usual. Where the
        # whole fleet breaks so often, a server that is dead but takes connections is found some tries later.
        snapped, up = (
            ev.status
            in (CallStatus.UNREACHABLE, CallStatus.RESET_BEFORE_REQUEST, CallStatus.RESET_AFTER_REQUEST),
            self._mine or [s],
        )
        usual, outs = sorted(x.fails for x in up)[len(up) // 2], sum(x.out_until > now for x in up)
        vain = ev.status is CallStatus.UNREACHABLE  # each such dial is a sign of its own
        if snapped:
            s.row, s.broke = s.row + (vain or ev.elapsed <= now - s.broke), now
        elif ev.status in ANSWERED:
            s.row = 0
        dead = hung or (snapped and s.row > 1 and (vain or max(0.05, usual) ** s.row < 0.005))
        bad = dead or snapped or ev.status is CallStatus.ERROR
        if ev.status not in (
            CallStatus.CANCELLED,
            CallStatus.NOT_SENT,
            CallStatus.OVERLOADED,
            CallStatus.REJECTED,
        ):
            s.fails += (0.4 if dead else 0.2) * (bad - s.fails)
        if ev.status is CallStatus.OK:
            if s.lost and s.cold_at is None:
                s.cold_at, s.slow, s.answers = now, 0.0, 0  # it may have restarted unseen
            s.lost, s.trial, s.out_for = False, False, s.out_for * (s.fails >= max(0.05, usual))
        # Lost, it may come back restarted and cold: that takes dials in vain. Who takes one and breaks it is
        # there, and one that keeps its connections and is silent hangs or is slow. A restart between two
        # requests is not seen so; such a server is cold only once the list tells its birth.
        s.lost = s.lost or (dead and vain)
        if (
            bad
            and s.out_until <= now
            and s.fails > usual * (2 - dead) + 0.25
            and (dead or outs < len(up) / 2)
        ):
            cause = "hung" if hung else "lost" if dead and vain else "breaking" if dead else "failing"
            self._put[cause] = self._put.get(cause, 0) + 1
            s.out_for = min(10.0, max(1.5, s.out_for * 2))
            s.out_until, s.trial, s.fails = now + s.out_for, True, 0.2
            self._choose(now)

    def _again(self, now: float, r: _Request, ev: model.AttemptCompleted) -> None:
        allowed = (
            len(r.tries) < min(r.most, self._set.max_attempts) and r.due - now > r.work and self._retries >= 1
        )
        if r.ran is not None and r.cls.idempotency is not Idempotency.INHERENT:
            allowed = (
                allowed
                and r.cls.idempotency is Idempotency.KEYED
                and now - r.ran[1] < 0.95 * r.cls.deduplication_window
            )
        if not allowed or not ev.may_retry or not self._send(now, r):
            return self._end(now, r)
        # What broke before a server can have done much of it takes as little of what may be done twice.
        spent = min(1.0, ev.elapsed / r.work) if ev.status is CallStatus.RESET_AFTER_REQUEST else 1.0
        self._retries -= spent * (ev.status not in (CallStatus.UNREACHABLE, CallStatus.RESET_BEFORE_REQUEST))

    def _end(self, now: float, r: _Request, why: str = "attempts") -> None:
        self._why[why] = self._why.get(why, 0) + 1
        a, effect = r.account, r.cls.idempotency
        if (
            r.ran is None
            or effect is Idempotency.INHERENT
            or (effect, r.cls.deduplication_scope) == (Idempotency.KEYED, model.DeduplicationScope.ALL)
        ):
            short = max(0.1, (r.units - a.level) / a.plan.rate if a.plan.rate else 0.0)
            self._out.append(model.Reject(r.id, min(self._set.max_retry_after, short)))
        else:
            self._out.append(model.Fail(r.id))
        self._forget(r.id)

    def _forget(self, request: int) -> None:
        if r := self._requests.pop(request, None):
            for s in r.out.values():
                s.ended(r.work)
                r.account.open -= 1
                s.quiet = s.quiet if s.open > 1e-9 else None  # nobody waits: it owes nothing any more
