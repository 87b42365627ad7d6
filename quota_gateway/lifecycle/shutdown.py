"""Graceful shutdown: every accepted request gets its response before the platform sends SIGKILL.

A streamed response that has begun is completed: the process does not end before it, because the platform may
send SIGKILL later than at the earliest time.
"""

from __future__ import annotations

import asyncio
import logging

from quota_gateway import model
from quota_gateway.lifecycle.components import Components

log = logging.getLogger("quota_gateway")  # log lines about the process as a whole carry the package's name

# New connections are accepted for this time after SIGTERM, since clients cannot know of the shutdown yet.
ACCEPT_PERIOD_SECONDS = 0.5
# The platform sends SIGKILL when the longest deadline (at most MAX_DEADLINE_SECONDS) and then this time have
# passed since SIGTERM.
KILL_GRACE_SECONDS = 0.7
MAX_DEADLINE_SECONDS = 3.0  # also used if the settings have no deadline
SIGNAL_DELAY_SECONDS = 0.2  # safety margin before SIGKILL, since SIGTERM may be handled late
FLUSH_TIMEOUT_SECONDS = 0.15  # time to write the last responses after the drain has timed out
# Longest time for the streamed responses after the drain: 32 MB at 64 kB a second, and the longest hang.
STREAMS_TIMEOUT_SECONDS = 600.0


def drain_timeout(settings: model.Settings) -> float:
    """Return the time in seconds to answer accepted requests after the end of the accept period."""
    longest_deadline = max((request_class.deadline for request_class in settings.classes), default=0.0)
    kill_delay = min(longest_deadline or MAX_DEADLINE_SECONDS, MAX_DEADLINE_SECONDS) + KILL_GRACE_SECONDS
    return kill_delay - SIGNAL_DELAY_SECONDS - FLUSH_TIMEOUT_SECONDS - ACCEPT_PERIOD_SECONDS


async def shut_down(components: Components, terminated_at: float) -> None:
    """Drain, answer the requests that are still open, and close all connections and files.

    ``terminated_at`` is the earliest time at which SIGTERM may have been sent, by the event loop's clock. All
    steps are timed from there, so a stall of the process does not delay the responses beyond SIGKILL.
    """
    await _drain(components, terminated_at)
    components.dispatcher.respond_to_all()
    await _finish_streams(components)
    await components.listener.close(FLUSH_TIMEOUT_SECONDS)
    if components.admin is not None:
        await components.admin.close()
    components.process_group.close()
    components.discovery.close()
    components.pool.close()
    if components.counter is not None:
        components.counter.close()


async def _drain(components: Components, terminated_at: float) -> None:
    """Stop accepting clients, and wait for the responses to the accepted requests."""
    loop = asyncio.get_running_loop()
    listener = components.listener
    listener.start_draining()
    components.dispatcher.begin_shutdown()
    accept_until = terminated_at + ACCEPT_PERIOD_SECONDS
    drain_until = accept_until + drain_timeout(components.dispatcher.settings)
    components.process_group.withdraw_accepting()
    if components.process_group.has_accepting_peer():
        # The other process accepts new clients. Connected clients migrate with their next response; an
        # earlier close could cross a request that is already on its way.
        await listener.stop_accepting()
        await listener.wait_until_empty(drain_until - loop.time())
    else:
        await asyncio.sleep(accept_until - loop.time())
        await listener.close(drain_until - loop.time())


async def _finish_streams(components: Components) -> None:
    """Wait for the streamed responses; requests that arrive meanwhile are rejected at once."""
    unfinished = await components.listener.finish_responses(FLUSH_TIMEOUT_SECONDS)
    if not unfinished:
        return
    log.info("shutting down: %d responses are still being written", unfinished)
    unfinished = await components.listener.finish_responses(STREAMS_TIMEOUT_SECONDS)
    if unfinished:
        log.warning("ending with %d responses cut off", unfinished)
