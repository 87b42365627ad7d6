"""Configuration reload on SIGHUP: a new configuration is applied completely or not at all."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import replace

from quota_gateway.config import Config, ConfigError, ConfigUnreadableError, Environment, load_config
from quota_gateway.lifecycle.components import Components
from quota_gateway.settings_parser import check_reloaded_settings

log = logging.getLogger("quota_gateway")  # log lines about the process as a whole carry the package's name

# How long an unreadable file is retried. A new configuration must be in force within 4 s of SIGHUP.
RETRY_TIMEOUT_SECONDS = 3.0
RETRY_INTERVAL_SECONDS = 0.1


class ConfigReloader:
    """The handler of SIGHUP; owns the configuration in force."""

    def __init__(self, components: Components, config: Config, environment: Environment) -> None:
        """Handle SIGHUP for a process that has started with ``config``."""
        self._components = components
        self._running = config
        self._environment = environment
        self._retry_timer: asyncio.TimerHandle | None = None

    def __call__(self) -> None:
        """Reload the configuration; an invalid file leaves the running configuration in force."""
        self._reload(asyncio.get_running_loop().time() + RETRY_TIMEOUT_SECONDS)

    def _reload(self, retry_until: float) -> None:
        """Reload; retry an unreadable file up to ``retry_until``, in seconds of the event loop's clock."""
        if self._retry_timer is not None:
            self._retry_timer.cancel()
        running = self._running
        metrics = self._components.metrics
        try:
            updated = load_config(self._environment)
            _check_reload(updated, running)
        except ConfigError as error:
            loop = asyncio.get_running_loop()
            if isinstance(error, ConfigUnreadableError) and loop.time() < retry_until:
                self._retry_timer = loop.call_later(RETRY_INTERVAL_SECONDS, self._reload, retry_until)
                return
            metrics.record_reload(succeeded=False)
            log.error("configuration not reloaded: %s", error)
            return
        metrics.record_reload(succeeded=True)
        self._apply(updated)
        # The listening socket keeps its address, and so does the running configuration. Until the restart,
        # every reload therefore logs that some changes need one.
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
    """Raise ConfigError if a running process cannot switch to the updated configuration."""
    try:
        check_reloaded_settings(updated.raw_settings, running.raw_settings)
        updated.settings.validate()
    except ValueError as error:
        raise ConfigError(str(error)) from None
    if running.counter is not None and updated.counter is None:
        raise ConfigError("counter is missing: a reload cannot remove the counter")


def _needs_restart(updated: Config, running: Config) -> bool:
    """Whether the updated configuration has changes that a reload does not apply."""
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
        class_names = ", ".join(request_class.name for request_class in updated.settings.classes)
        changes = f": classes {class_names}, {updated.settings.max_attempts} attempts"
    restart_note = "; some changes need a restart" if _needs_restart(updated, running) else ""
    log.info("configuration reloaded%s%s", changes, restart_note)
