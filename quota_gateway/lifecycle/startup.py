"""Startup: accept connections once the suspensions and discovery's endpoint list are known."""

from __future__ import annotations

import asyncio
import gc
import logging
import socket
from functools import partial

from quota_gateway.config import Config, ConfigError, Environment
from quota_gateway.lifecycle.components import Components, process_limits
from quota_gateway.net.common.acceptor import is_listening
from quota_gateway.net.discovery.client import DiscoveryClient
from quota_gateway.net.process_group.group import GroupChange, ProcessGroup

log = logging.getLogger("quota_gateway")  # log lines about the process as a whole carry the package's name

# How long startup waits for a suspension file that cannot be read. A process must be ready within 6 s.
SUSPENSIONS_TIMEOUT_SECONDS = 4.0
SUSPENSIONS_POLL_SECONDS = 0.05


async def start(components: Components, config: Config, environment: Environment) -> None:
    """Get discovery's endpoint list, then accept clients and operators; may raise ConfigError.

    Where discovery pushes, its changes count as notified from the start of the process. The list of the
    configuration may be older, and the drain grace may have passed before this function runs.
    """
    await _bind(components, config, environment)
    initial_version = None if config.initial_endpoints is None else config.initial_endpoints.version
    log.info("starting with endpoint list %s of the configuration", initial_version)
    if config.initial_endpoints is not None:
        components.dispatcher.on_watch_event(config.initial_endpoints)
    # Polling starts after the endpoints are set: another process may have handed over state about them.
    on_group_changed = partial(_on_group_changed, components, config)
    components.process_group.start_polling(on_group_changed, components.dispatcher.on_handover)
    # An agent responds at no cost, so the complete list is requested: it is sent even if nothing has changed.
    since_version = None if config.timing.is_pushed else initial_version
    components.discovery.set_address(*config.discovery, since_version)
    await asyncio.gather(
        _wait_for_suspensions(components.process_group), _wait_for_endpoint_list(components.discovery)
    )
    _start_accepting(components)
    components.process_group.announce_accepting()
    if components.counter is not None:
        components.counter.start()


def announce_ready(config: Config) -> None:
    """Exempt the long-lived objects from garbage collection, then log that the process is ready."""
    _freeze_long_lived_objects()
    _log_ready(config)


async def _wait_for_suspensions(process_group: ProcessGroup) -> None:
    """Wait until the suspensions can be read: without them, suspended endpoints would receive requests."""
    deadline = asyncio.get_running_loop().time() + SUSPENSIONS_TIMEOUT_SECONDS
    while not process_group.suspensions_loaded:
        if asyncio.get_running_loop().time() > deadline:
            log.error("starting without the suspensions of earlier processes: their file cannot be read")
            return
        await asyncio.sleep(SUSPENSIONS_POLL_SECONDS)


async def _wait_for_endpoint_list(discovery: DiscoveryClient) -> None:
    """Wait for discovery's list: endpoints of the configuration may be draining or may have restarted."""
    if not await discovery.wait_for_first_event():
        log.warning("starting without contact to discovery, with the endpoint list of the configuration")


def _on_group_changed(components: Components, config: Config, change: GroupChange) -> None:
    """Divide descriptors and memory among the running processes, and pass the change to the dispatcher."""
    memory, limits = process_limits(config, components.initial_bytes, change.process_count)
    components.budget.set_limit(memory.contents)
    components.listener.set_max_connections(limits.clients)
    components.pool.set_max_connections(limits.endpoints)
    components.dispatcher.on_process_group_changed(change)


async def _bind(components: Components, config: Config, environment: Environment) -> None:
    """Reserve the addresses of clients and operators; raise ConfigError if one is in use."""
    try:
        inherited = _inherited_socket(environment.listen_fd)
        # With an admin address, a new version can listen at the address of the old one even without an
        # inherited socket.
        await components.listener.bind(*config.listen, inherited, reuse_port=config.admin is not None)
        if components.admin is not None and config.admin is not None:
            await components.admin.bind(*config.admin)
    except OSError as error:
        raise ConfigError(f"cannot listen: {error}") from None


def _start_accepting(components: Components) -> None:
    """Accept clients and operators; raise ConfigError if another process listens at the address by now."""
    try:
        components.listener.start_accepting()
        if components.admin is not None:
            components.admin.start_accepting()
    except OSError as error:
        raise ConfigError(f"cannot listen: {error}") from None


def _inherited_socket(descriptor: str) -> socket.socket | None:
    """Return the listening socket that the platform passes to every process; None without a descriptor."""
    if not descriptor:
        return None
    try:
        inherited = socket.socket(fileno=int(descriptor))
        if not is_listening(inherited):
            raise ValueError("not a listening stream socket")
    except (OSError, ValueError) as error:
        raise ConfigError(f"LB_LISTEN_FD={descriptor:.20}: {error}") from None
    return inherited


def _freeze_long_lived_objects() -> None:
    # All objects that exist now live as long as the process.
    gc.collect()
    gc.freeze()


def _log_ready(config: Config) -> None:
    settings = config.settings
    log.info(
        "ready: gateway %d of %d, %d file descriptors, counter timeout %.0f ms, "
        "idle connection timeout %.1f s, Retry-After at most %.2f s",
        settings.gateway_index,
        settings.gateway_count,
        config.max_descriptors,
        settings.counter_timeout * 1000,
        config.timing.idle_timeout,
        settings.max_retry_after,
    )
