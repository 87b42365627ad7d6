"""The components of one limiter process, and how they are connected."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from random import Random

from quota_gateway.config import Config, ConfigError, Environment
from quota_gateway.decisions.gateway import Gateway
from quota_gateway.lifecycle.connection_limits import ConnectionLimits, connection_limits, limited_by_memory
from quota_gateway.lifecycle.memory_limits import MemoryLimits, memory_limits, resident_bytes
from quota_gateway.net.admin.listener import AdminListener
from quota_gateway.net.client.listener import ClientListener
from quota_gateway.net.common.late_input import LateInput
from quota_gateway.net.common.memory_budget import MemoryBudget
from quota_gateway.net.common.metrics import Metrics
from quota_gateway.net.common.unix_clock import unix_clock, unix_offset
from quota_gateway.net.counter.client import CounterClient
from quota_gateway.net.discovery.client import DiscoveryClient
from quota_gateway.net.discovery.poll_timing import PollTiming
from quota_gateway.net.dispatch.dispatcher import Dispatcher
from quota_gateway.net.process_group.group import ProcessGroup
from quota_gateway.net.upstream.pool import ConnectionPool
from quota_gateway.settings_parser import Timing


@dataclass(frozen=True, slots=True)
class Components:
    """The components of one limiter process."""

    metrics: Metrics
    budget: MemoryBudget
    initial_bytes: int  # memory of the process before it has peers
    process_group: ProcessGroup
    pool: ConnectionPool
    counter: CounterClient | None
    dispatcher: Dispatcher
    listener: ClientListener
    admin: AdminListener | None
    discovery: DiscoveryClient


def build_components(config: Config, environment: Environment) -> Components:
    """Create and connect all components, without opening sockets; raise ConfigError for unusable settings."""
    settings = config.settings
    timing = config.timing
    clock_offset = unix_offset()
    clock = unix_clock(clock_offset)
    # Without an admin address no endpoint can be suspended and no upgrade takes place: nothing is shared.
    shared_directory = environment.shared_directory if config.admin else None
    process_group = ProcessGroup(shared_directory, config.name, clock_offset)
    metrics = Metrics(request_class.name for request_class in settings.classes)
    initial_bytes = resident_bytes()
    memory, limits = process_limits(config, initial_bytes, process_count=1)
    budget = MemoryBudget(memory.contents)
    late_input = LateInput(asyncio.get_running_loop().time)
    pool = ConnectionPool(
        clock, timing.connect_timeout, timing.idle_timeout, limits.endpoints, metrics, late_input, budget
    )
    rng = Random(config.seed)
    counter = _build_counter_client(config, rng)
    gateway = _build_gateway(config, clock(), memory.accounts)
    dispatcher = Dispatcher(
        settings,
        gateway,
        clock,
        pool=pool,
        counter=counter,
        metrics=metrics,
        process_group=process_group,
        late_input=late_input,
    )
    discovery = _build_discovery_client(timing, dispatcher, rng)
    admin = AdminListener(dispatcher) if config.admin else None
    if admin is not None:
        late_input.add_source(admin.suspend_received)
    late_input.add_source(process_group.poll_if_late)
    late_input.add_source(discovery.read_received)
    return Components(
        metrics=metrics,
        budget=budget,
        initial_bytes=initial_bytes,
        process_group=process_group,
        pool=pool,
        counter=counter,
        dispatcher=dispatcher,
        listener=ClientListener(
            dispatcher, settings, limits.clients, metrics, budget, process_group.executed_ids
        ),
        admin=admin,
        discovery=discovery,
    )


def _build_counter_client(config: Config, rng: Random) -> CounterClient | None:
    """Return the client of the shared counter; None without a counter or a timeout for its replies."""
    timeout = config.settings.counter_timeout
    if config.counter is None or not timeout:
        return None
    return CounterClient(*config.counter, timeout, rng)


def _build_discovery_client(timing: Timing, dispatcher: Dispatcher, rng: Random) -> DiscoveryClient:
    poll_timing = PollTiming(
        timing.client_count,
        timing.response_timeout,
        timing.max_poll_interval,
        is_local_agent=timing.is_pushed,
    )
    return DiscoveryClient(dispatcher.on_watch_event, poll_timing, rng)


def process_limits(
    config: Config, initial_bytes: int, process_count: int
) -> tuple[MemoryLimits, ConnectionLimits]:
    """Return the limits of one of ``process_count`` processes, by its memory and by its connections."""
    memory = memory_limits(config.max_memory_bytes, initial_bytes, process_count)
    connections = connection_limits(config.max_descriptors, process_count)
    return memory, limited_by_memory(connections, memory)


def _build_gateway(config: Config, now: float, max_accounts: int) -> Gateway:
    try:
        return Gateway(config.settings, config.seed, now, max_accounts)
    except ValueError as error:
        raise ConfigError(str(error)) from None
