"""Entry point: run one limiter process from its configuration to its shutdown."""

from __future__ import annotations

import asyncio
import logging
import signal
from typing import Any

from quota_gateway.config import Config, Environment
from quota_gateway.lifecycle.components import build_components
from quota_gateway.lifecycle.reload import ConfigReloader
from quota_gateway.lifecycle.shutdown import shut_down
from quota_gateway.lifecycle.startup import announce_ready, start

log = logging.getLogger("quota_gateway")  # log lines about the process as a whole carry the package's name


async def serve(config: Config, environment: Environment) -> None:
    """Run one limiter process until SIGTERM or SIGINT; raise ConfigError if it cannot start."""
    loop = asyncio.get_running_loop()
    stop_requested = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    loop.set_exception_handler(_log_unhandled_error)
    components = build_components(config, environment)
    await start(components, config, environment)
    loop.add_signal_handler(signal.SIGHUP, ConfigReloader(components, config, environment))
    announce_ready(config)
    await stop_requested.wait()
    log.info("shutting down")
    await shut_down(components, components.listener.signal_sent_after())


def _log_unhandled_error(_loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    log.error("%s", context.get("message"), exc_info=context.get("exception"))
