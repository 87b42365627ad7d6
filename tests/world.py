"""Helpers for the tests: settings and a legal-event driver that checks the five rules as invariants."""

from __future__ import annotations

from dataclasses import replace
from random import Random

from quota_gateway import model
from quota_gateway.decisions.gateway import Gateway

NEVER_RAN = {
    model.CallStatus.OVERLOADED,
    model.CallStatus.UNREACHABLE,
    model.CallStatus.RESET_BEFORE_REQUEST,
    model.CallStatus.NOT_SENT,
}
SAFE = model.RequestClass("read", 1.0, 1.0, model.Idempotency.INHERENT)
KEYED = model.RequestClass(
    "entry",
    2.0,
    3.0,
    model.Idempotency.KEYED,
    deduplication_scope=model.DeduplicationScope.CELL,
    deduplication_window=4.0,
)
UNSAFE = model.RequestClass("post", 2.0, 5.0, model.Idempotency.NONE, deduplication_window=5.0)


def settings(**changes: object) -> model.Settings:
    base = model.Settings(
        gateway_index=0, gateway_count=3, zone="a", classes=(SAFE, KEYED, UNSAFE),
        plans=(model.Plan("free"), model.Plan("small", rate=2.0, burst=8.0, over_quota_cost=0.5)),
        max_attempts=3, may_cancel=True, may_check_health=True, has_counter=True, counter_timeout=0.05,
        max_units=4.0, max_retry_after=1.0,
        initial_capacity=0.2, warm_up_time=10.0, overload_multiple=2.0, overload_window=2.0,
    )  # fmt: skip
    return replace(base, **changes)  # type: ignore[arg-type]


def servers(
    *names: str, born: float = 0.0, health: model.EndpointHealth = model.EndpointHealth.HEALTHY
) -> model.EndpointUpdate:
    entries = tuple(model.Endpoint(n, health, "ab"[i % 2], i // 2, 1.0, born) for i, n in enumerate(names))
    return model.EndpointUpdate(entries, True)


def request(
    id: int, kind: str = "read", plan: str = "free", account: str = "x", ttl: float = 3.0, units: float = 1.0
) -> model.Request:
    return model.Request(id, kind, plan, ttl, account, units, 3)


def outcome(
    id: int, attempt: int, server: str, status: model.CallStatus, elapsed: float = 0.1
) -> model.AttemptCompleted:
    return model.AttemptCompleted(id, attempt, server, status, elapsed, status is model.CallStatus.OK, {})


class World:
    """Feeds one gateway legal events and fails as soon as an answer breaks a rule."""

    def __init__(self, config: model.Settings, seed: int = 1, now: float = 100.0) -> None:
        self.config, self.now = config, now
        self.gateway = Gateway(config, seed, now)
        self.up: dict[str, model.Endpoint] = {}
        self.known: set[str] = set()
        self.requests: dict[int, tuple[model.Request, float]] = {}
        self.attempts: dict[int, list[tuple[str, float]]] = {}
        self.out: dict[tuple[int, int], tuple[str, float]] = {}
        self.ran: dict[int, tuple[str, float]] = {}
        self.answered: dict[int, str] = {}
        self.timers: list[tuple[float, int]] = []
        self.counts: list[model.IncrementCounter] = []
        self.sends: list[tuple[float, str, model.Request]] = []
        self.totals: dict[int, float] = {}

    def feed(self, event: model.Event) -> list[model.Action]:
        if isinstance(event, model.EndpointUpdate):
            listed = {e.name: e for e in event.endpoints}
            if event.complete:
                self.up = {}
            self.up.update(listed)
            self.known |= set(listed)
        if isinstance(event, model.Request):
            self.requests[event.id] = (event, self.now + event.timeout)
            self.attempts[event.id] = []
        if isinstance(event, model.AttemptCompleted):
            server, sent = self.out.pop((event.request_id, event.attempt))
            if event.status not in NEVER_RAN:
                self.ran.setdefault(event.request_id, (server, sent))
            if event.request_finished:
                self.answered[event.request_id] = "served"
        if isinstance(event, model.ClientDisconnected):
            self.answered.setdefault(event.request_id, "left")
        actions = self.gateway.handle(self.now, event)
        for action in actions:
            self._check(action)
        return actions

    def _kind(self, asked: model.Request) -> model.RequestClass:
        unknown = model.RequestClass(asked.request_class, 1.0, 1.0, model.Idempotency.NONE)
        return next((c for c in self.config.classes if c.name == asked.request_class), unknown)

    def _check(self, action: model.Action) -> None:
        if isinstance(action, model.SetTimer):
            self.timers.append((self.now + action.delay, action.token))
        elif isinstance(action, model.IncrementCounter):
            self.counts.append(action)
        elif isinstance(action, model.Forward):
            asked, deadline = self.requests[action.request_id]
            assert action.request_id not in self.answered, "sent after the final answer"
            assert 0 < action.timeout <= deadline - self.now + 1e-9
            assert self.up[action.endpoint].health is model.EndpointHealth.HEALTHY, (
                "sent to a draining or gone server"
            )
            tries = self.attempts[action.request_id]
            assert len(tries) < self.config.max_attempts
            assert not any(key[0] == action.request_id for key in self.out), "two attempts at once"
            kind = self._kind(asked)
            if action.request_id in self.ran:
                assert kind.idempotency is not model.Idempotency.NONE, "an unsafe request may have run"
                if kind.idempotency is model.Idempotency.KEYED:
                    server, sent = self.ran[action.request_id]
                    assert self.up[server].cell == self.up[action.endpoint].cell, "left the group"
                    assert self.now - sent < kind.deduplication_window, "past the window"
            self.out[(action.request_id, len(tries))] = (action.endpoint, self.now)
            tries.append((action.endpoint, self.now))
            self.sends.append((self.now, action.endpoint, asked))
        elif isinstance(action, model.Reject | model.Fail):
            assert action.request_id not in self.answered, "answered twice"
            asked, deadline = self.requests[action.request_id]
            kind = self._kind(asked)
            if isinstance(action, model.Reject) and action.request_id in self.ran:
                everywhere = (
                    kind.idempotency is model.Idempotency.KEYED
                    and kind.deduplication_scope is model.DeduplicationScope.ALL
                )
                assert kind.idempotency is model.Idempotency.INHERENT or everywhere, (
                    "refused though it may have run"
                )
            assert self.now <= deadline + 1e-6, "answered late"
            self.answered[action.request_id] = "refused" if isinstance(action, model.Reject) else "failed"

    def advance(self, to: float) -> None:
        """Move the clock, firing timers and clipping attempts at their clients' deadlines."""
        while True:
            due = [(at, 0, token, 0) for at, token in self.timers if at <= to]
            due += [(self.requests[i][1], 1, i, n) for i, n in self.out if self.requests[i][1] <= to]
            if not due:
                break
            at, kind, first, second = min(due)
            self.now = max(self.now, at)
            if kind == 0:
                self.timers.remove((at, first))
                self.feed(model.TimerFired(first))
            else:
                server = self.out[(first, second)][0]
                self.feed(outcome(first, second, server, model.CallStatus.TIMEOUT))
        self.now = to

    def answer_counts(self, status: model.CallStatus = model.CallStatus.OK) -> None:
        while self.counts:
            call = self.counts.pop(0)
            if status is model.CallStatus.OK:
                self.totals[call.counter_id] = self.totals.get(call.counter_id, 0.0) + call.amount
            self.feed(model.CounterReplied(call.counter_id, status, self.totals.get(call.counter_id, 0.0)))

    def serve(self, status: model.CallStatus = model.CallStatus.OK, elapsed: float = 0.1) -> None:
        for (id, attempt), (server, _) in list(self.out.items()):
            self.feed(outcome(id, attempt, server, status, elapsed))


def random_run(seed: int, steps: int, config: model.Settings | None = None) -> list[list[model.Action]]:
    """A long arbitrary but legal run; returns all actions."""
    rng = Random(seed)
    world = World(config or settings(), seed)
    names = [f"s{i}" for i in range(6)]
    log = [world.feed(servers(*names))]
    statuses = [s for s in model.CallStatus if s is not model.CallStatus.OK]
    for step in range(steps):
        world.advance(world.now + rng.choice((0.0, 0.01, 0.1, 0.7)))
        move = rng.random()
        if move < 0.5:
            kind = rng.choice(("read", "entry", "post"))
            asked = request(
                step, kind, rng.choice(("free", "small", "odd")), rng.choice("abc"), rng.uniform(0.02, 4)
            )
            log.append(world.feed(asked))
        elif move < 0.8 and world.out:
            key = rng.choice(list(world.out))
            ended = world.answered.get(key[0])
            status = model.CallStatus.OK if rng.random() < 0.5 else rng.choice(statuses)
            event = model.AttemptCompleted(
                *key, world.out[key][0], status, 0.1, ended is not None or status is model.CallStatus.OK, {}
            )
            log.append(world.feed(event))
        elif move < 0.9:
            world.answer_counts(
                rng.choice(
                    (
                        model.CallStatus.OK,
                        model.CallStatus.OK,
                        model.CallStatus.OVERLOADED,
                        model.CallStatus.TIMEOUT,
                    )
                )
            )
        elif move < 0.95:
            health = rng.choice(list(model.EndpointHealth))
            entry = model.Endpoint(
                rng.choice(names), health, "a", rng.randrange(3), 1.0, rng.choice((0.0, world.now))
            )
            known = world.up.get(entry.name)
            if known is not None:
                entry = replace(entry, zone=known.zone, cell=known.cell)
            log.append(world.feed(model.EndpointUpdate((entry,), False)))
        elif world.requests:
            gone = rng.choice(list(world.requests))
            if gone not in world.answered and not any(key[0] == gone for key in world.out):
                log.append(world.feed(model.ClientDisconnected(gone)))
    world.answer_counts(model.CallStatus.UNREACHABLE)
    world.advance(world.now + 10)
    assert set(world.requests) == set(world.answered), "a request was lost"
    return log
