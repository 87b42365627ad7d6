"""A few real limiters under traffic: the time until a change of configuration or list is in force at each."""

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
from scale.model import Effort, RunFailedError, Size
from scale.processes import Limiter, StandIns, guard, limiter_config, start_limiters, start_stand_ins
from scale.stand_ins.control import Setup
from scale.stand_ins.counter import CounterSpec
from scale.stand_ins.discovery import make_endpoints
from scale.stand_ins.endpoints import EndpointsSpec

LIMITERS = 8
QUICK_LIMITERS = 2
QUICK_SERVERS = 60
MAX_QUICK_RUNS = 2
PORTS = 4  # ports that the endpoints share; all endpoints of a port drain together
REQUEST_INTERVAL_SECONDS = 0.01  # interval between a response and the next request
CLIENT_TIMEOUT_SECONDS = 2.0
SERVING_GATEWAYS = 3
ACCOUNTS = 50  # used by the traffic of one limiter
ACCOUNT_RANGE = 64  # account numbers reserved for one limiter
SEED_SHIFT = 24  # runs with different seeds have different request ids
WARM_UP_SECONDS = 1.5
QUICK_WARM_UP_SECONDS = 0.5
RELOAD_TIMEOUT_SECONDS = 10.0  # time in which a new configuration has to be in force
RELOAD_POLL_SECONDS = 0.005
DRAIN_SECONDS = 1.5  # duration of a drain of a port's endpoints
RECOVERY_SECONDS = 0.5  # after a drain, in which limiters start to use the endpoints again
# A limiter that sent the drained endpoints no request in this time before the drain counts as not using them.
RECENT_USE_SECONDS = 1.0
STOP_TIMEOUT_SECONDS = 3.0
OPEN_PLAN = "open"
BLOCKED_PLAN = "held"  # its requests are rejected in every second configuration
BLOCKED_REQUESTS_PER_SECOND = 0.001  # rate of the blocked plan while it is blocked


@dataclass(slots=True)
class RealLimiterTimes:
    """Seconds until a change was in force at each real limiter, for each run."""

    config: list[list[float]]
    endpoints: list[list[float]]
    servers: int
    unused: int = 0  # limiters that did not use the drained endpoints, summed over the runs

    def add_drain(self, times: list[float], unused: int) -> None:
        """Add the times of one drain, and the number of limiters that did not use the drained endpoints."""
        self.endpoints.append(times)
        self.unused += unused


def limiter_settings(size: Size, *, blocked: bool) -> dict[str, Any]:
    """Return a limiter's settings by their names on the wire; ``blocked``: reject ``BLOCKED_PLAN``."""
    blocked_rate = BLOCKED_REQUESTS_PER_SECOND * blocked
    tariffs = [
        {"name": OPEN_PLAN, "never_over_rate": 0.0, "hard_burst": 0.0},
        {"name": BLOCKED_PLAN, "never_over_rate": blocked_rate, "hard_burst": blocked_rate},
    ]
    return make_settings(size, tariffs)


class _TrafficClient:
    """Sends requests to one limiter one at a time, alternately for the open plan and for the blocked plan."""

    def __init__(self, number: int, limiter: Limiter, ids: count[int]) -> None:
        self._number = number
        self._client = HttpClient(limiter.address)
        self._ids = ids
        self._is_stopping = False
        self.blocked: bool | None = None  # whether the last response of the blocked plan was a rejection
        self.changed_at = 0.0  # time of the response that changed ``blocked``, in ``time.monotonic`` seconds

    async def run(self) -> None:
        """Send requests until ``stop`` is called."""
        for index in count():
            if self._is_stopping:
                self._client.close()
                return
            plan = BLOCKED_PLAN if index % 2 else OPEN_PLAN
            response = await self._client.fetch(self._request(plan, index // 2))
            shows_state = plan == BLOCKED_PLAN and (response.is_served or response.is_rejected)
            if shows_state and self.blocked is not response.is_rejected:
                self.blocked = response.is_rejected
                self.changed_at = response.received_at
            await asyncio.sleep(REQUEST_INTERVAL_SECONDS)

    def _request(self, plan: str, index: int) -> bytes:
        account = self._number * ACCOUNT_RANGE + index % ACCOUNTS
        return encode_request(
            request_id=f"{self._number:04x}{next(self._ids):012x}",
            path=f"/read?account={account:016x}",
            plan=plan,
            timeout=CLIENT_TIMEOUT_SECONDS,
            serving_gateways=SERVING_GATEWAYS,
        )

    def stop(self) -> None:
        """Let ``run`` end after the request in flight."""
        self._is_stopping = True


class _Experiment:
    """Changes the configuration and the endpoint list of limiters under traffic."""

    def __init__(
        self, stand_ins: StandIns, limiters: list[Limiter], traffic: list[_TrafficClient], size: Size
    ) -> None:
        self._stand_ins = stand_ins
        self._limiters = limiters
        self._traffic = traffic
        self._size = size

    async def run(self, servers: int, runs: int, warm_up: float) -> RealLimiterTimes:
        """Measure all changes. Raise ``RunFailedError`` if a limiter did not reload each configuration."""
        await asyncio.sleep(warm_up)
        times = RealLimiterTimes([], [], servers)
        for run in range(runs):
            times.config.append(await self._reload(blocked=run % 2 == 1))
        await self._check_reloads(runs)
        for run in range(runs):
            await self._drain(run % PORTS, times)
        return times

    async def _reload(self, *, blocked: bool) -> list[float]:
        started_at = time.monotonic()
        for limiter in self._limiters:
            index = {"me": limiter.config["settings"]["me"]}
            settings = limiter_settings(self._size, blocked=blocked) | index
            limiter.write_settings(settings)
            limiter.process.send_signal(signal.SIGHUP)
        deadline = started_at + RELOAD_TIMEOUT_SECONDS
        while any(client.blocked is not blocked for client in self._traffic) and time.monotonic() < deadline:
            await asyncio.sleep(RELOAD_POLL_SECONDS)
        return [
            max(0.0, client.changed_at - started_at) if client.blocked is blocked else RELOAD_TIMEOUT_SECONDS
            for client in self._traffic
        ]

    async def _check_reloads(self, runs: int) -> None:
        for limiter in self._limiters:
            metrics = await limiter.metrics()
            if metrics["loads"] != runs or metrics["load_errors"]:
                raise RunFailedError(f"{limiter.name} reloaded {metrics['loads']} of {runs} configurations")

    async def _drain(self, port: int, times: RealLimiterTimes) -> None:
        """Drain the endpoints of a port, and add the time until each limiter stopped using them."""
        drained_at = (await self._stand_ins.change_health(port, "draining")).published_at
        assert drained_at is not None
        await asyncio.sleep(DRAIN_SECONDS)
        last = (await self._stand_ins.change_health(port, "ready")).last_request_at
        last_at = [last.get(f"{port} {sender:04x}") for sender in range(len(self._limiters))]
        unused = sum(when is None or when < drained_at - RECENT_USE_SECONDS for when in last_at)
        times.add_drain([max(0.0, when - drained_at) for when in last_at if when is not None], unused)
        await asyncio.sleep(RECOVERY_SECONDS)


async def _measure(size: Size, effort: Effort, directory: Path) -> RealLimiterTimes:
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
        traffic = [_TrafficClient(index, limiter, ids) for index, limiter in enumerate(limiters)]
        experiment = _Experiment(stand_ins, limiters, traffic, size)
        tasks = [asyncio.create_task(client.run()) for client in traffic]
        try:
            return await guard(experiment.run(servers, runs, warm_up), stand_ins, *limiters)
        finally:
            for client in traffic:
                client.stop()
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
    """Return configurations of limiters; their indices are distributed evenly over the fleet."""
    known = make_endpoints(servers, stand_ins.addresses.endpoints)
    settings = limiter_settings(size, blocked=True)
    indices = [position * size.limiters // number for position in range(number)]
    return [
        limiter_config(
            index, settings, stand_ins.addresses, known, seed=effort.seed + index, with_counter=False
        )
        for index in indices
    ]


def measure_real_limiters(size: Size, effort: Effort) -> RealLimiterTimes:
    """Measure the time until changes of the configuration and of the list are in force at real limiters."""

    async def main() -> RealLimiterTimes:
        with TemporaryDirectory(prefix="propagation-") as directory:
            return await _measure(size, effort, Path(directory))

    return uvloop.run(main())
