"""Actions of the decisions that belong to no request: counter calls, health checks, timers, log lines."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from functools import partial

from quota_gateway import model
from quota_gateway.net.counter.client import CounterClient
from quota_gateway.net.counter.line_protocol import CallResult
from quota_gateway.net.upstream.exchange import Exchange
from quota_gateway.net.upstream.health_check import health_check_event, new_health_check
from quota_gateway.net.upstream.pool import ConnectionPool

log = logging.getLogger(__name__)


class NetworkActions:
    """Executes the actions that belong to no request, and dispatches their results as events."""

    def __init__(
        self,
        settings: model.Settings,
        clock: Callable[[], float],
        pool: ConnectionPool,
        counter: CounterClient | None,
        dispatch: Callable[[model.Event], None],
    ) -> None:
        """Create the object in a running event loop; ``counter`` is None for a limiter without a counter."""
        self._settings = settings
        self._clock = clock
        self._pool = pool
        self._counter = counter
        self._dispatch = dispatch
        self._loop = asyncio.get_running_loop()

    def apply_settings(self, settings: model.Settings) -> None:
        """Use these settings for health checks from now on."""
        self._settings = settings

    def increment_counter(self, action: model.IncrementCounter) -> None:
        """Call the counter; if the limiter has none, the call ends as unreachable."""
        if self._counter is None:
            self._on_counter_replied(action.counter_id, CallResult(model.CallStatus.UNREACHABLE))
        else:
            on_reply = partial(self._on_counter_replied, action.counter_id)
            self._counter.increment(action.counter_id, action.amount, action.lifetime, on_reply)

    def _on_counter_replied(self, counter_id: int, result: CallResult) -> None:
        self._dispatch(model.CounterReplied(counter_id, result.status, result.total))

    def check_health(self, action: model.CheckHealth) -> None:
        """Send a health check to an endpoint."""
        exchange = new_health_check(
            endpoint=action.endpoint,
            now=self._clock(),
            with_load=self._settings.load_in_health_check,
            on_complete=self._on_health_checked,
        )
        self._pool.start(exchange)

    def _on_health_checked(self, exchange: Exchange) -> None:
        self._dispatch(health_check_event(exchange, with_load=self._settings.load_in_health_check))

    def set_timer(self, action: model.SetTimer) -> None:
        """Dispatch ``TimerFired`` after a delay."""
        self._loop.call_later(action.delay, self._dispatch, model.TimerFired(action.token))

    def log(self, action: model.Log) -> None:
        """Write a log line."""
        log.info("%s", action.text)
