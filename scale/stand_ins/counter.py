"""Stand-in of the counter: adds amounts to totals, at a limited rate of calls."""

from __future__ import annotations

import asyncio
import re
import time
from dataclasses import dataclass
from functools import partial
from random import Random
from typing import Self

from scale.stand_ins.connection import LoopbackListener, StandInConnection
from scale.stand_ins.timers import PreciseTimers

MAX_CONNECTIONS = 32  # maximum of open connections from one address
IDLE_TIMEOUT_SECONDS = 10.0
MAX_LIFETIME_MS = 60_000
MILLISECONDS_PER_SECOND = 1000
INCREMENT = re.compile(rb"tally ([!-~]{1,64}) ([-+]?[0-9.]+(?:[eE][-+]?[0-9]+)?) ([0-9]{1,9})")


@dataclass(frozen=True, slots=True)
class CounterSpec:
    """The capacity and the network latency of the counter."""

    rate: float = 1100.0  # calls a second of all shards together
    shards: int = 1
    round_trip: float = 0.0002  # seconds on the network
    background_rate: float = 0.0  # calls a second of the other limiters of the fleet
    max_connections: int = MAX_CONNECTIONS  # maximum of open connections from one address
    queue_limit: int = 0  # further calls are rejected (``busy``) while this many wait; 0: no limit


@dataclass(slots=True)
class CounterStats:
    """Calls since the start."""

    calls: int = 0  # served
    busy: int = 0  # rejected

    def count_served(self) -> None:
        """Count a served call."""
        self.calls += 1

    def count_rejected(self) -> None:
        """Count a rejected call."""
        self.busy += 1


@dataclass(slots=True)
class Total:
    """The total of one counter."""

    amount: float
    expires_at: float  # seconds of ``time.monotonic``

    def add(self, amount: float) -> float:
        """Add an amount and return the total."""
        self.amount += amount
        return self.amount


@dataclass(frozen=True, slots=True)
class ScheduledReply:
    """A reply, and the time at which it is sent."""

    at: float  # seconds of ``time.monotonic``
    line: bytes


class CounterStandIn:
    """Serves increments in one queue for all shards, in the order of arrival."""

    def __init__(self, spec: CounterSpec, timers: PreciseTimers, seed: int = 1) -> None:
        """``seed`` determines the times of the background calls."""
        self.spec = spec
        self.timers = timers
        self.stats = CounterStats()
        self._rng = Random(seed)
        self._shards_free_at = [0.0] * spec.shards
        self._next_background_call = time.monotonic()
        self._totals = dict[bytes, Total]()
        self._connections = set[_CounterConnection]()
        self._listener = LoopbackListener(lambda: _CounterConnection(self, self._connections))

    async def open(self) -> str:
        """Listen; return ``host:port``."""
        return await self._listener.open()

    @property
    def has_too_many_connections(self) -> bool:
        """Whether one address has too many connections; on loopback all limiters have the same address."""
        return len(self._connections) > self.spec.max_connections

    def handle(self, line: bytes) -> ScheduledReply:
        """Return the reply to a line that has just arrived."""
        now = time.monotonic()
        spec = self.spec
        if line == b"ping":
            return ScheduledReply(now + spec.round_trip, b"pong")
        increment = INCREMENT.fullmatch(line)
        if increment is None:
            return ScheduledReply(now + spec.round_trip, b"error")
        self._serve_background_calls(now)
        arrival = now + spec.round_trip / 2
        if spec.queue_limit and self._queue_length(arrival) >= spec.queue_limit:
            self.stats.count_rejected()
            return ScheduledReply(now + spec.round_trip, b"busy")
        self.stats.count_served()
        name, amount, lifetime_ms = increment.groups()
        total = self._add(name, float(amount), int(lifetime_ms), now)
        return ScheduledReply(self._serve(arrival) + spec.round_trip / 2, b"ok %.7g" % total)

    def _serve_background_calls(self, now: float) -> None:
        while self.spec.background_rate > 0 and self._next_background_call <= now:
            self._serve(self._next_background_call)
            self._next_background_call += self._rng.expovariate(self.spec.background_rate)

    def _queue_length(self, arrival: float) -> float:
        return (min(self._shards_free_at) - arrival) * self.spec.rate / self.spec.shards

    def _serve(self, arrival: float) -> float:
        """Let the shard that is free first serve a call; return the time at which the call ends."""
        shard = self._shards_free_at.index(min(self._shards_free_at))
        start = max(arrival, self._shards_free_at[shard])
        self._shards_free_at[shard] = start + self.spec.shards / self.spec.rate
        return self._shards_free_at[shard]

    def _add(self, name: bytes, amount: float, lifetime_ms: int, now: float) -> float:
        total = self._totals.get(name)
        if total is None or total.expires_at < now:
            lifetime = min(MAX_LIFETIME_MS, max(1, lifetime_ms)) / MILLISECONDS_PER_SECOND
            total = self._totals[name] = Total(0.0, now + lifetime)
        return total.add(amount)


class _CounterConnection(StandInConnection):
    def __init__(self, counter: CounterStandIn, connections: set[Self]) -> None:
        super().__init__(connections)
        self._counter = counter
        self._last_reply_at = 0.0
        self._last_used = time.monotonic()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Reset the connection if there are too many."""
        super().connection_made(transport)
        if self._counter.has_too_many_connections:
            self.abort()
        else:
            self._close_when_idle()

    def _close_when_idle(self) -> None:
        if self.transport is None:
            return
        remaining = self._last_used + IDLE_TIMEOUT_SECONDS - time.monotonic()
        if remaining <= 0:
            self.transport.close()
        else:
            asyncio.get_running_loop().call_later(remaining, self._close_when_idle)

    def data_received(self, data: bytes) -> None:
        """Schedule the reply to each complete line."""
        self._last_used = time.monotonic()
        *lines, self.buffer = (self.buffer + data).split(b"\r\n")
        for line in lines:
            reply = self._counter.handle(line)
            # Shards may finish in another order, but replies are sent in the order of the calls.
            self._last_reply_at = max(self._last_reply_at, reply.at)
            self._counter.timers.call_at(self._last_reply_at, partial(self.write, reply.line + b"\r\n"))
