"""The environment of a run: endpoints, discovery, counter, limiters and their clients."""

from __future__ import annotations

import asyncio
import time
from itertools import count
from pathlib import Path
from random import Random
from typing import Any

from scale.stand_ins.counter import CounterSpec, CounterStandIn
from scale.stand_ins.discovery import DiscoveryStandIn, EndpointEntry
from scale.stand_ins.timers import PreciseTimers
from soak.client_connection import ConnectionPool
from soak.clients import LimiterClients
from soak.endpoints import SoakEndpoint
from soak.history import EndpointChange, History
from soak.limiter import Limiter
from soak.proxy import Address, Proxy
from soak.request_factory import RequestFactory
from soak.scenario import Scenario

ZONES = ("a", "b")
COUNTER_CALLS_PER_SECOND = 2000.0
MAX_COUNTER_CONNECTIONS = 10_000
CONCURRENT_STARTS = 8
UNKNOWN_ADDRESS = Address("", 0)


class Environment:
    """Starts and closes the limiters of a scenario and everything that they and their clients need.

    After a change of an endpoint, ``publish`` updates discovery's endpoint list.
    """

    def __init__(self, scenario: Scenario, directory: Path, library: Path, history: History) -> None:
        """Keep logs and files in ``directory``, and load ``library`` into the limiters."""
        self.limiters = list[Limiter]()
        self.endpoints = list[SoakEndpoint]()
        self.clients = list[LimiterClients]()
        self.history = history
        self.discovery_address = UNKNOWN_ADDRESS
        self._scenario = scenario
        self._directory = directory
        self._library = library
        self._counter_address = UNKNOWN_ADDRESS
        self._entries = dict[str, EndpointEntry]()
        self._discovery = DiscoveryStandIn(())
        self._timers: PreciseTimers

    async def start(self) -> None:
        """Start everything; return when all limiters are ready."""
        await self._start_endpoints()
        self._timers = PreciseTimers()
        counter = CounterStandIn(
            CounterSpec(rate=COUNTER_CALLS_PER_SECOND, max_connections=MAX_COUNTER_CONNECTIONS),
            self._timers,
        )
        self._counter_address = Address.parse(await counter.open())
        self._discovery = DiscoveryStandIn(self._entries.values())
        self.discovery_address = Address.parse(await self._discovery.open())
        await self._start_limiters()

    async def _start_endpoints(self) -> None:
        for index in range(self._scenario.endpoint_count):
            random = Random(f"endpoint {self._scenario.seed} {index}")
            endpoint = SoakEndpoint(f"s-{index}", ZONES[index % len(ZONES)], self.history, random)
            self.endpoints.append(endpoint)
            await endpoint.open()
            self._entries[endpoint.name] = _make_entry(endpoint)

    async def _start_limiters(self) -> None:
        request_ids = count(self._scenario.seed << 32 | 1)
        for index in range(self._scenario.limiter_count):
            limiter = await self._create_limiter(index)
            self.clients.append(self._create_clients(limiter, request_ids))
        for first in range(0, len(self.limiters), CONCURRENT_STARTS):
            batch = self.limiters[first : first + CONCURRENT_STARTS]
            await asyncio.gather(*(limiter.start() for limiter in batch))

    async def _create_limiter(self, index: int) -> Limiter:
        directory = self._directory / f"limiter-{index}"
        directory.mkdir()
        limiter = Limiter(
            index,
            directory,
            self._library,
            self.history,
            discovery=Proxy(self.discovery_address),
            counter=Proxy(self._counter_address),
            listener_kept_open=self._scenario.listener_kept_open[index],
            longest_deadline=self._scenario.longest_deadline,
            memory_mb=self._scenario.memory_mb,
        )
        self.limiters.append(limiter)
        await limiter.discovery.open()
        await limiter.counter.open()
        limiter.control.step_clock(self._scenario.clock_error)
        self.write_config(limiter)
        return limiter

    def _create_clients(self, limiter: Limiter, request_ids: count[int]) -> LimiterClients:
        random = Random(f"clients {self._scenario.seed} {limiter.index}")
        factory = RequestFactory(
            limiter.index,
            self._scenario.limiter_count,
            self.history,
            random,
            request_ids,
            self._scenario.longest_deadline,
        )
        connections = ConnectionPool(limiter.port)
        return LimiterClients(connections, factory, self.history, random)

    def publish(self, endpoint: SoakEndpoint) -> None:
        """Update discovery's endpoint list with the current state of an endpoint."""
        entry = _make_entry(endpoint)
        self._entries[endpoint.name] = entry
        self._discovery.publish(entry)
        change = EndpointChange(time.monotonic(), endpoint.name, endpoint.health, endpoint.incarnation)
        self.history.endpoint_changes.append(change)

    def write_config(self, limiter: Limiter) -> None:
        """Write a limiter's configuration file with the current endpoint list."""
        hosts = [entry.to_json() for entry in self._entries.values()]
        known: dict[str, Any] = {"seq": self._discovery.version, "whole": True, "hosts": hosts}
        limiter.write_config(self._scenario.limiter_count, known)

    async def close(self) -> None:
        """Kill the limiters and close everything."""
        await asyncio.gather(*(limiter.close() for limiter in self.limiters), return_exceptions=True)
        for endpoint in self.endpoints:
            endpoint.close()
        self._discovery.close()
        await asyncio.sleep(0)  # lets cancelled tasks finish


def _make_entry(endpoint: SoakEndpoint) -> EndpointEntry:
    return EndpointEntry(
        endpoint.name, endpoint.proxy.address, endpoint.health, endpoint.zone, endpoint.started_at_ms
    )
