"""A job that measures the memory of a whole limiter process under load and churn."""

from __future__ import annotations

import gc
import json
from dataclasses import dataclass
from typing import Any

import uvloop

from quota_gateway import model
from quota_gateway.net.common.unix_clock import unix_clock
from quota_gateway.net.discovery.watch_event import parse_watch_event
from quota_gateway.net.upstream.pool import ConnectionPool
from scale import load_profile
from scale.memory.allocation import resident_bytes
from scale.model import Size
from scale.simulated_limiter import SimulatedLimiter

# Client connections, and as many connections to endpoints: together they fit into 1,024 file descriptors.
MAX_CONNECTIONS = 480
CONNECT_TIMEOUT_SECONDS = 0.25
IDLE_TIMEOUT_SECONDS = 30.0
FILL_SECONDS = 20.0  # virtual, at the start of the load; each tenant sends one request in this time
TURNOVER_FRACTION = 0.05  # fraction of the tenants replaced in each minute of churn (assumed)
SECONDS_PER_MINUTE = 60.0


@dataclass(frozen=True, slots=True)
class ProcessMemory:
    """Resident bytes of a process, and the number of tenants in its memory."""

    at_start: int
    with_list: int
    after_load: int
    after_churn: int
    tenants_after_load: int
    tenants_after_churn: int
    harness: int  # bytes of the simulation's own tables, included in the resident bytes


class _LimiterProcess:
    """A simulated limiter with a real connection pool."""

    def __init__(self, size: Size, *, full_spread: bool, seed: int) -> None:
        self.limiter = SimulatedLimiter(size, full_spread=full_spread, seed=seed)
        self._pool = ConnectionPool(
            unix_clock(), CONNECT_TIMEOUT_SECONDS, IDLE_TIMEOUT_SECONDS, MAX_CONNECTIONS
        )

    def apply_list(self, text: str) -> None:
        """Apply an endpoint update from the text of a watch event, as the program does."""
        event = parse_watch_event(json.loads(text))
        if event.update.complete:
            self._pool.retain_only(set(event.addresses))
        for endpoint in event.update.endpoints:
            is_healthy = endpoint.health is model.EndpointHealth.HEALTHY
            self._pool.update_endpoint(endpoint.name, event.addresses[endpoint.name], available=is_healthy)
        self.limiter.handle(event.update)

    def start(self) -> None:
        """Apply the complete list."""
        self.limiter.start()
        self.apply_list(self.limiter.complete_list())
        gc.collect()
        gc.freeze()  # as the program does when it is ready

    def run_load(self, seconds: float) -> None:
        """Run virtual seconds of load; in the first ``FILL_SECONDS`` each tenant sends one request."""
        self.limiter.visit_all_tenants(min(FILL_SECONDS, seconds))
        self.limiter.run(max(0.0, seconds - FILL_SECONDS))

    def run_churn(self, seconds: float) -> None:
        """Apply the list changes of a whole day and replace tenants, within a number of virtual seconds."""
        minutes = max(1, round(seconds / SECONDS_PER_MINUTE))
        changes = load_profile.daily_list_changes()
        for minute in range(minutes):
            self.limiter.replace_tenants(max(1, round(TURNOVER_FRACTION * self.limiter.tenants)))
            for _ in range(changes // minutes):
                self.apply_list(self.limiter.next_list_change())
            if minute == minutes // 2:
                self.apply_list(self.limiter.complete_list())  # a new watch sends the complete list
            self.limiter.run(SECONDS_PER_MINUTE)

    def close(self) -> None:
        """Close the connection pool."""
        self._pool.close()


def measure_process(
    size: dict[str, Any], *, full_spread: bool, seed: int, load: float, churn: float
) -> ProcessMemory:
    """Measure a limiter's process at its start, with the list, after the load and after the churn.

    ``load`` and ``churn`` are virtual seconds. With ``full_spread`` all limiters serve each tenant.
    """
    return uvloop.run(_measure(Size(**size), full_spread=full_spread, seed=seed, load=load, churn=churn))


async def _measure(size: Size, *, full_spread: bool, seed: int, load: float, churn: float) -> ProcessMemory:
    at_start = resident_bytes()
    process = _LimiterProcess(size, full_spread=full_spread, seed=seed)
    process.start()
    with_list = resident_bytes()
    process.run_load(load)
    after_load = resident_bytes()
    tenants_after_load = process.limiter.known_tenants()
    process.run_churn(churn)
    measured = ProcessMemory(
        at_start=at_start,
        with_list=with_list,
        after_load=after_load,
        after_churn=resident_bytes(),
        tenants_after_load=tenants_after_load,
        tenants_after_churn=process.limiter.known_tenants(),
        harness=process.limiter.harness_bytes(),
    )
    process.close()
    return measured
