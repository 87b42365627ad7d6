"""A few real limiters under traffic: the time until a change of configuration or list is in force."""

from __future__ import annotations

import asyncio
import signal
import time
from contextlib import AsyncExitStack
from dataclasses import dataclass
from itertools import count
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

import uvloop

from scale.http_client import HttpClient, encode_request
from scale.limiter_settings import make_settings
from scale.model import BrokenRunError, Effort, Size
from scale.processes import Limiter, StandIns, guard, limiter_config, start_limiters, start_stand_ins
from scale.stand_ins.control import Setup
from scale.stand_ins.counter import CounterSpec
from scale.stand_ins.discovery import make_endpoints
from scale.stand_ins.endpoints import EndpointsSpec

LIMITERS = 8
QUICK_LIMITERS = 2
QUICK_SERVERS = 60
MAX_QUICK_RUNS = 2
PORTS = 4  # of the endpoints; the endpoints of one port drain together
REQUEST_INTERVAL_SECONDS = 0.01  # between a response and the next request
CLIENT_TIMEOUT_SECONDS = 2.0
SERVING_GATEWAYS = 3
ACCOUNTS = 50  # used at one limiter
ACCOUNT_RANGE = 64  # account numbers reserved for one limiter
SEED_SHIFT = 24  # keeps the request ids of different seeds apart
WARM_UP_SECONDS = 1.5
QUICK_WARM_UP_SECONDS = 0.5
RELOAD_TIMEOUT_SECONDS = 10.0  # until a new configuration has to be in force
RELOAD_POLL_SECONDS = 0.005
DRAIN_SECONDS = 1.5  # for which the endpoints of a port drain
RECOVERY_SECONDS = 0.5  # after a drain, until limiters use the endpoints again
RECENT_USE_SECONDS = (
    1.0  # before a drain; a limiter without a request in this time does not use the endpoints
)
STOP_TIMEOUT_SECONDS = 3.0
OPEN_PLAN = "open"
BLOCKED_PLAN = "held"  # its requests are rejected while it is blocked
BLOCKED_REQUESTS_PER_SECOND = 0.001  # admitted while it is blocked


@dataclass(slots=True)
class RealTimes:
    """Seconds until a change was in force at each real limiter, by run."""

    config: list[list[float]]
    endpoints: list[list[float]]
    servers: int
    unused: int = 0  # limiters that did not use the drained endpoints, in all runs

    def add_drain(self, times: list[float], unused: int) -> None:
        """Add the times of one drain, and the number of limiters that did not use the endpoints."""
        self.endpoints.append(times)
        self.unused += unused


def limiter_settings(size: Size, *, blocked: bool) -> dict[str, Any]:
    """Return a limiter's settings by their names on the wire; ``blocked`` applies to ``BLOCKED_PLAN``."""
    blocked_rate = BLOCKED_REQUESTS_PER_SECOND * blocked
    tariffs = [
        {"name": OPEN_PLAN, "never_over_rate": 0.0, "hard_burst": 0.0},
        {"name": BLOCKED_PLAN, "never_over_rate": blocked_rate, "hard_burst": blocked_rate},
    ]
    return make_settings(size, tariffs)


class _Traffic:
    """Requests to one limiter, one after the other, in turn of the open plan and of the blocked plan."""

    def __init__(self, number: int, limiter: Limiter, ids: count[int]) -> None:
        self._number = number
        self._client = HttpClient(limiter.address)
        self._ids = ids
        self._is_stopping = False
        self.blocked: bool | None = None  # by the last response
        self.changed_at = 0.0  # time of the first such response, in seconds of ``time.monotonic``

    async def run(self) -> None:
        """Send until ``stop``."""
        for turn in count():
            if self._is_stopping:
                self._client.close()
                return
            plan = BLOCKED_PLAN if turn % 2 else OPEN_PLAN
            response = await self._client.fetch(self._request(plan, turn // 2))
            is_shown = plan == BLOCKED_PLAN and (response.is_served or response.is_rejected)
            if is_shown and self.blocked is not response.is_rejected:
                self.blocked = response.is_rejected
                self.changed_at = response.received_at
            await asyncio.sleep(REQUEST_INTERVAL_SECONDS)

    def _request(self, plan: str, turn: int) -> bytes:
        account = self._number * ACCOUNT_RANGE + turn % ACCOUNTS
        return encode_request(
            request_id=f"{self._number:04x}{next(self._ids):012x}",
            path=f"/read?account={account:016x}",
            plan=plan,
            timeout=CLIENT_TIMEOUT_SECONDS,
            serving_gateways=SERVING_GATEWAYS,
        )

    def stop(self) -> None:
        """End after the open request."""
        self._is_stopping = True


class _Experiment:
    """Changes at limiters under traffic."""

    def __init__(
        self, stand_ins: StandIns, limiters: list[Limiter], traffic: list[_Traffic], size: Size
    ) -> None:
        self._stand_ins = stand_ins
        self._limiters = limiters
        self._traffic = traffic
        self._size = size

    async def run(self, servers: int, runs: int, warm_up: float) -> RealTimes:
        """Return the times. Raise ``BrokenRunError`` if a limiter did not reload its configuration."""
        await asyncio.sleep(warm_up)
        times = RealTimes([], [], servers)
        for turn in range(runs):
            times.config.append(await self._reload(blocked=turn % 2 == 1))
        await self._check_reloads(runs)
        for turn in range(runs):
            await self._drain(turn % PORTS, times)
        return times

    async def _reload(self, *, blocked: bool) -> list[float]:
        started_at = time.monotonic()
        for limiter in self._limiters:
            index = {"me": limiter.config["settings"]["me"]}
            settings = limiter_settings(self._size, blocked=blocked) | index
            limiter.write_settings(settings)
            limiter.process.send_signal(signal.SIGHUP)
        deadline = started_at + RELOAD_TIMEOUT_SECONDS
        while any(one.blocked is not blocked for one in self._traffic) and time.monotonic() < deadline:
            await asyncio.sleep(RELOAD_POLL_SECONDS)
        return [
            max(0.0, one.changed_at - started_at) if one.blocked is blocked else RELOAD_TIMEOUT_SECONDS
            for one in self._traffic
        ]

    async def _check_reloads(self, runs: int) -> None:
        for limiter in self._limiters:
            metrics = await limiter.metrics()
            if metrics["loads"] != runs or metrics["load_errors"]:
                raise BrokenRunError(f"{limiter.name} reloaded {metrics['loads']} of {runs} configurations")

    async def _drain(self, port: int, times: RealTimes) -> None:
        """Drain the endpoints of a port, and add the times until the limiters stopped to use them."""
        drained_at = (await self._stand_ins.change_health(port, "draining")).published_at
        assert drained_at is not None
        await asyncio.sleep(DRAIN_SECONDS)
        last = (await self._stand_ins.change_health(port, "ready")).last_request_at
        last_at = [last.get(f"{port} {sender:04x}") for sender in range(len(self._limiters))]
        unused = sum(when is None or when < drained_at - RECENT_USE_SECONDS for when in last_at)
        times.add_drain([max(0.0, when - drained_at) for when in last_at if when is not None], unused)
        await asyncio.sleep(RECOVERY_SECONDS)


async def _measure(size: Size, effort: Effort, directory: Path) -> RealTimes:
    number = QUICK_LIMITERS if effort.quick else LIMITERS
    servers = QUICK_SERVERS if effort.quick else size.servers
    runs = min(MAX_QUICK_RUNS, effort.runs) if effort.quick else effort.runs
    warm_up = QUICK_WARM_UP_SECONDS if effort.quick else WARM_UP_SECONDS
    async with AsyncExitStack() as stack:
        stand_ins = await stack.enter_async_context(
            start_stand_ins(directory, Setup(servers, _endpoints_spec(), CounterSpec(), effort.seed))
        )
        configs = _configs(stand_ins, number, servers, size, effort)
        limiters = await stack.enter_async_context(start_limiters(directory, configs))
        ids = count(effort.seed << SEED_SHIFT)
        traffic = [_Traffic(index, limiter, ids) for index, limiter in enumerate(limiters)]
        experiment = _Experiment(stand_ins, limiters, traffic, size)
        tasks = [asyncio.create_task(one.run()) for one in traffic]
        try:
            return await guard(experiment.run(servers, runs, warm_up), stand_ins, *limiters)
        finally:
            for one in traffic:
                one.stop()
            await asyncio.wait(tasks, timeout=STOP_TIMEOUT_SECONDS)
            for task in tasks:
                task.cancel()


def _endpoints_spec() -> EndpointsSpec:
    return EndpointsSpec(
        ports=PORTS,
        min_service_time=0.001,
        max_service_time=0.003,
        idle_closing_ports=0,
        slow_setup_ports=0,
    )


def _configs(
    stand_ins: StandIns, number: int, servers: int, size: Size, effort: Effort
) -> list[dict[str, Any]]:
    """Return the configurations of limiters whose indices are distributed evenly over the fleet."""
    known = make_endpoints(servers, stand_ins.addresses.endpoints)
    settings = limiter_settings(size, blocked=True)
    indices = [place * size.limiters // number for place in range(number)]
    return [
        limiter_config(
            index, settings, stand_ins.addresses, known, seed=effort.seed + index, with_counter=False
        )
        for index in indices
    ]


def measure_real_limiters(size: Size, effort: Effort) -> RealTimes:
    """Measure changes of the configuration and of the list at real limiters."""

    async def main() -> RealTimes:
        with TemporaryDirectory(prefix="propagation-") as directory:
            return await _measure(size, effort, Path(directory))

    return uvloop.run(main())
