"""The life of one gateway process: start, reload on SIGHUP, graceful shutdown on SIGTERM or SIGINT."""

from __future__ import annotations

import asyncio
import gc
import logging
import signal
import socket
from dataclasses import dataclass, replace
from functools import partial
from random import Random
from typing import Any, NamedTuple

from quota_gateway import model
from quota_gateway.config import Config, ConfigError, ConfigUnreadableError, Environment, load_config
from quota_gateway.decisions.gateway import Gateway
from quota_gateway.net.admin.listener import AdminListener
from quota_gateway.net.client.listener import ClientListener
from quota_gateway.net.common.metrics import Metrics
from quota_gateway.net.counter.client import CounterClient
from quota_gateway.net.discovery.client import DiscoveryClient
from quota_gateway.net.dispatch.dispatcher import Dispatcher, unix_clock, unix_offset
from quota_gateway.net.process_group.group import ProcessGroup
from quota_gateway.net.upstream.pool import ConnectionPool
from quota_gateway.settings_parser import Timing, check_reloaded_settings

log = logging.getLogger("quota_gateway")  # the lines on the process itself carry the package's name

RESERVED_SOCKETS = 48  # descriptors for everything but clients and endpoints, and for sockets being closed
RESERVED_SOCKETS_IN_GROUP = 24  # the same for each process, while several share the descriptors
MIN_CONNECTIONS = 8  # of clients, and to endpoints, however few descriptors there are
ACCEPT_PERIOD = 0.5  # seconds after SIGTERM in which clients, which cannot know yet, are still accepted
# The platform sends SIGKILL this long after SIGTERM, on top of the longest deadline (3 s at most). Until then
# all requests must have their response and all connections be closed: what SIGKILL meets is lost.
KILL_GRACE = 0.7  # seconds
MAX_DEADLINE = 3.0  # seconds; also where the settings hold no deadline
FLUSH_TIMEOUT = 0.15  # seconds to write the responses to what is open even when the drain has timed out
SUSPENSIONS_TIMEOUT = 4.0  # seconds that a start waits for a file that cannot be read; it is owed 6 s after
SUSPENSIONS_POLL_INTERVAL = 0.05  # seconds
RELOAD_RETRY_TIME = 3.0  # seconds in which a file that cannot be read is tried again: news binds after 4
RELOAD_RETRY_INTERVAL = 0.1  # seconds
SIGNAL_DELAY = 0.2  # seconds before SIGKILL that stay unused: SIGTERM may have been noticed late


class ConnectionLimits(NamedTuple):
    """The connections that one process may hold."""

    clients: int
    endpoints: int


def connection_limits(max_sockets: int, process_count: int) -> ConnectionLimits:
    """How a process divides its descriptors, alone or in a group of processes on the same ones."""
    if process_count > 1:
        # Clients hold a third of all at most, and leave the old process one by one: it needs most of that.
        clients = max(MIN_CONNECTIONS, max_sockets // (2 * process_count))
        unreserved = max_sockets - RESERVED_SOCKETS_IN_GROUP * process_count
        return ConnectionLimits(clients, max(MIN_CONNECTIONS, unreserved // process_count - clients))
    # Clients usually hold a third of all at most; silent ones beyond that are evicted for new ones.
    half = max(MIN_CONNECTIONS, (max_sockets - RESERVED_SOCKETS) // 2)
    return ConnectionLimits(half, half)


def drain_timeout(settings: model.Settings) -> float:
    """Seconds to respond to the accepted requests, from the end of the accept period."""
    longest_deadline = max((each.deadline for each in settings.classes), default=0.0)
    kill_delay = min(longest_deadline or MAX_DEADLINE, MAX_DEADLINE) + KILL_GRACE
    return kill_delay - SIGNAL_DELAY - FLUSH_TIMEOUT - ACCEPT_PERIOD


@dataclass(frozen=True, slots=True)
class Components:
    """The parts of one gateway process."""

    metrics: Metrics
    process_group: ProcessGroup
    pool: ConnectionPool
    counter: CounterClient | None
    dispatcher: Dispatcher
    listener: ClientListener
    admin: AdminListener | None
    discovery: DiscoveryClient


async def serve(config: Config, environment: Environment) -> None:
    """Run one gateway until SIGTERM or SIGINT; ``ConfigError`` where it cannot start."""
    loop = asyncio.get_running_loop()
    stop_requested = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    loop.set_exception_handler(_log_unhandled_error)
    components = _build(config, environment)
    await _start(components, config, environment)
    loop.add_signal_handler(signal.SIGHUP, ConfigReloader(components, config, environment))
    _freeze_long_lived_objects()
    _log_ready(config)
    await stop_requested.wait()
    log.info("shutting down")
    await _shut_down(components)


def _log_unhandled_error(_loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    log.error("%s", context.get("message"), exc_info=context.get("exception"))


# Start


def _build(config: Config, environment: Environment) -> Components:
    """All parts, connected with each other; none has a socket yet."""
    settings = config.settings
    timing = config.timing
    clock_offset = unix_offset()
    clock = unix_clock(clock_offset)
    # Without an admin address no endpoint can be suspended, and no second process starts.
    shared_directory = environment.shared_directory if config.admin else None
    process_group = ProcessGroup(shared_directory, config.name, clock_offset)
    metrics = Metrics(each.name for each in settings.classes)
    limits = connection_limits(config.max_sockets, process_count=1)
    pool = ConnectionPool(clock, timing.connect_timeout, timing.idle_timeout, limits.endpoints, metrics)
    rng = Random(config.seed)
    counter = _build_counter_client(config, rng)
    gateway = _build_gateway(config, clock())
    dispatcher = Dispatcher(
        settings, gateway, clock, pool=pool, counter=counter, metrics=metrics, process_group=process_group
    )
    return Components(
        metrics=metrics,
        process_group=process_group,
        pool=pool,
        counter=counter,
        dispatcher=dispatcher,
        listener=ClientListener(dispatcher, settings, limits.clients, metrics),
        admin=AdminListener(dispatcher) if config.admin else None,
        discovery=_build_discovery_client(timing, dispatcher, rng),
    )


def _build_counter_client(config: Config, rng: Random) -> CounterClient | None:
    """The client of the shared counter; None where there is no counter or no time to wait for it."""
    timeout = config.settings.counter_timeout
    if config.counter is None or not timeout:
        return None
    return CounterClient(*config.counter, timeout, rng)


def _build_discovery_client(timing: Timing, dispatcher: Dispatcher, rng: Random) -> DiscoveryClient:
    return DiscoveryClient(
        dispatcher.on_watch_event,
        client_count=timing.client_count,
        rng=rng,
        answer_timeout=timing.answer_timeout,
        max_poll_interval=timing.max_poll_interval,
    )


def _build_gateway(config: Config, now: float) -> Gateway:
    try:
        return Gateway(config.settings, config.seed, now)
    except ValueError as error:
        raise ConfigError(str(error)) from None


async def _start(components: Components, config: Config, environment: Environment) -> None:
    """Accept clients and operators, and connect to discovery and the counter."""
    on_group_changed = partial(_on_process_group_changed, components, config.max_sockets)
    components.process_group.watch(on_group_changed, components.dispatcher.on_handover)
    initial_version = None
    if config.initial_endpoints is not None:
        components.dispatcher.on_watch_event(config.initial_endpoints)
        initial_version = config.initial_endpoints.version
    await _wait_for_suspensions(components.process_group)
    await _listen(components, config, environment)
    components.process_group.announce_accepting()
    components.discovery.set_address(*config.discovery, initial_version)
    if components.counter is not None:
        components.counter.start()


async def _wait_for_suspensions(process_group: ProcessGroup) -> None:
    """Not ready while what operators have suspended cannot be read: it would be forwarded to."""
    deadline = asyncio.get_running_loop().time() + SUSPENSIONS_TIMEOUT
    while not process_group.knows_suspensions:
        if asyncio.get_running_loop().time() > deadline:
            log.error("starting without the suspensions of earlier processes, which cannot be read")
            return
        await asyncio.sleep(SUSPENSIONS_POLL_INTERVAL)


def _on_process_group_changed(
    components: Components,
    max_sockets: int,
    process_count: int,
    suspended: frozenset[str],
    seconds_unknown: float,
) -> None:
    """Share the descriptors with the processes that run now, and let the decisions know."""
    limits = connection_limits(max_sockets, process_count)
    components.listener.set_max_connections(limits.clients)
    components.pool.set_max_connections(limits.endpoints)
    components.dispatcher.on_process_group_changed(process_count, suspended, seconds_unknown)


async def _listen(components: Components, config: Config, environment: Environment) -> None:
    try:
        inherited = _inherited_socket(environment.listen_fd)
        # Without an inherited socket, a new version can still listen beside the old one.
        await components.listener.listen(*config.listen, inherited, beside=config.admin is not None)
        if components.admin is not None and config.admin is not None:
            await components.admin.listen(*config.admin)
    except OSError as error:
        raise ConfigError(f"cannot listen: {error}") from None


def _inherited_socket(descriptor: str) -> socket.socket | None:
    """The clients' listening socket, where the platform keeps it and hands it to every process."""
    if not descriptor:
        return None
    try:
        inherited = socket.socket(fileno=int(descriptor))
        if not _is_listening(inherited):
            raise ValueError("it does not listen")
    except (OSError, ValueError) as error:
        raise ConfigError(f"LB_LISTEN_FD={descriptor:.20}: {error}") from None
    return inherited


def _is_listening(candidate: socket.socket) -> bool:
    is_stream = candidate.type is socket.SOCK_STREAM
    return is_stream and bool(candidate.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN))


def _freeze_long_lived_objects() -> None:
    """Spare the garbage collector what exists now: it lives as long as the process."""
    gc.collect()
    gc.freeze()


def _log_ready(config: Config) -> None:
    settings = config.settings
    log.info(
        "ready: gateway %d of %d, %d file descriptors, counter timeout %.0f ms, "
        "idle connection timeout %.1f s, Retry-After at most %.2f s",
        settings.gateway_index,
        settings.gateway_count,
        config.max_sockets,
        settings.counter_timeout * 1000,
        config.timing.idle_timeout,
        settings.max_retry_after,
    )


# Reload


class ConfigReloader:
    """The handler of SIGHUP: reads the configuration again and applies all of it or nothing."""

    def __init__(self, components: Components, config: Config, environment: Environment) -> None:
        """Reload a process that has started with ``config``."""
        self._components = components
        self._running = config
        self._environment = environment
        self._retry_timer: asyncio.TimerHandle | None = None

    def __call__(self) -> None:
        """Reload; a file that is incomplete or wrong must not end a gateway that serves."""
        self._reload(asyncio.get_running_loop().time() + RELOAD_RETRY_TIME)

    def _reload(self, give_up_at: float) -> None:
        """Reload; a file that cannot be read is tried again until then, by the event loop's clock."""
        if self._retry_timer is not None:
            self._retry_timer.cancel()
        running = self._running
        metrics = self._components.metrics
        try:
            updated = load_config(self._environment)
            _check_reload(updated, running)
        except ConfigError as error:
            loop = asyncio.get_running_loop()
            if isinstance(error, ConfigUnreadableError) and loop.time() < give_up_at:
                self._retry_timer = loop.call_later(RELOAD_RETRY_INTERVAL, self._reload, give_up_at)
                return
            metrics.reload_errors += 1
            log.error("configuration not reloaded: %s", error)
            return
        metrics.reloads += 1
        self._apply(updated)
        # The socket listens where it did: another address is logged at each reload until the restart.
        self._running = replace(updated, listen=running.listen)
        _log_reloaded(updated, running)

    def _apply(self, updated: Config) -> None:
        components = self._components
        running_settings = self._running.settings
        components.discovery.set_address(*updated.discovery)
        if components.counter is not None and updated.counter is not None:
            components.counter.set_address(*updated.counter)
            counter_timeout = updated.settings.counter_timeout or running_settings.counter_timeout
            components.counter.set_timeout(counter_timeout)
        components.pool.set_timeouts(updated.timing.connect_timeout, updated.timing.idle_timeout)
        if updated.settings != running_settings:
            components.listener.parser.reconfigure(updated.settings)
            components.dispatcher.reconfigure(updated.settings)


def _check_reload(updated: Config, running: Config) -> None:
    """``ConfigError`` where a running gateway cannot change to a configuration."""
    try:
        check_reloaded_settings(updated.raw_settings, running.raw_settings)
        updated.settings.validate()
    except ValueError as error:
        raise ConfigError(str(error)) from None
    if running.counter is not None and updated.counter is None:
        raise ConfigError("counter is missing")


def _needs_restart(updated: Config, running: Config) -> bool:
    """Whether a configuration differs in more than what a reload applies."""
    applied = replace(
        running,
        discovery=updated.discovery,
        counter=updated.counter,
        initial_endpoints=updated.initial_endpoints,
        settings=updated.settings,
        timing=updated.timing,
    )
    return updated != applied


def _log_reloaded(updated: Config, running: Config) -> None:
    changes = ""
    if updated.settings != running.settings:
        class_names = ", ".join(each.name for each in updated.settings.classes)
        changes = f": classes {class_names}, {updated.settings.max_attempts} attempts"
    restart_note = "; some changes need a restart" if _needs_restart(updated, running) else ""
    log.info("configuration reloaded%s%s", changes, restart_note)


# Shutdown


async def _shut_down(components: Components) -> None:
    """Drain, then close everything: all requests get their response before SIGKILL may come."""
    await _drain(components)
    components.dispatcher.abandon_all()
    await components.listener.close(FLUSH_TIMEOUT)
    if components.admin is not None:
        await components.admin.close()
    components.process_group.close()
    components.discovery.close()
    components.pool.close()
    if components.counter is not None:
        components.counter.close()


async def _drain(components: Components) -> None:
    """Stop accepting, and wait for the responses to the accepted requests."""
    listener = components.listener
    listener.start_draining()
    components.dispatcher.begin_shutdown()
    timeout = drain_timeout(components.dispatcher.settings)
    components.process_group.withdraw_accepting()
    if components.process_group.has_accepting_peer():
        # The other process accepts. Clients that are connected here leave with their next response; a
        # connection closed sooner could cross a request on its way.
        await listener.stop_accepting()
        await listener.wait_until_empty(ACCEPT_PERIOD + timeout)
    else:
        await asyncio.sleep(ACCEPT_PERIOD)
        await listener.close(timeout)
