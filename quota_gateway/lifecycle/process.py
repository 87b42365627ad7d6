"""Entry point: run one limiter process from its configuration to its shutdown."""

from __future__ import annotations

import asyncio
import logging
import signal
from typing import Any

from quota_gateway.config import Config, Environment
from quota_gateway.lifecycle.components import Components, build_components
from quota_gateway.lifecycle.reload import ConfigReloader
from quota_gateway.lifecycle.shutdown import shut_down
from quota_gateway.lifecycle.startup import announce_ready, start

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)

log = logging.getLogger("quota_gateway")  # log lines about the process as a whole carry the package's name


async def serve(config: Config, environment: Environment) -> None:
    """Run one limiter process until SIGTERM or SIGINT; raise ConfigError if it cannot start."""
    loop = asyncio.get_running_loop()
    stop_requested = asyncio.Event()
    for signal_number in STOP_SIGNALS:
        loop.add_signal_handler(signal_number, stop_requested.set)
    loop.set_exception_handler(_log_unhandled_error)
    components = build_components(config, environment)
    if await _start_unless_stopped(components, config, environment, stop_requested):
        loop.add_signal_handler(signal.SIGHUP, ConfigReloader(components, config, environment))
        announce_ready(config)
        await stop_requested.wait()
    log.info("shutting down")
    await shut_down(components, components.listener.signal_sent_after())
    _ignore_further_signals(loop)


def _ignore_further_signals(loop: asyncio.AbstractEventLoop) -> None:
    """Let no second SIGTERM kill the process before it has exited: the loop's end restores the defaults."""
    signal.pthread_sigmask(signal.SIG_BLOCK, STOP_SIGNALS)
    for signal_number in STOP_SIGNALS:
        loop.remove_signal_handler(signal_number)
        signal.signal(signal_number, signal.SIG_IGN)


async def _start_unless_stopped(
    components: Components, config: Config, environment: Environment, stop_requested: asyncio.Event
) -> bool:
    """Start, and return True; cancel the start and return False if a stop is requested before it is complete.

    SIGKILL follows SIGTERM after a fixed time, which a start may use up.
    """
    starting = asyncio.create_task(start(components, config, environment))
    stopping = asyncio.create_task(stop_requested.wait())
    await asyncio.wait((starting, stopping), return_when=asyncio.FIRST_COMPLETED)
    stopping.cancel()
    if starting.done():
        await starting  # raises ConfigError if the start has failed
        return True
    starting.cancel()
    await asyncio.wait((starting,))
    return False


def _log_unhandled_error(_loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    log.error("%s", context.get("message"), exc_info=context.get("exception"))
