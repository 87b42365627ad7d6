"""The network side of the decisions: turns what happens into events, and carries their actions out.

No policy lives here.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Any, Protocol

from quota_gateway import model
from quota_gateway.net.admin.listener import ReplyCallback
from quota_gateway.net.client.request import ClientRequest
from quota_gateway.net.common.metrics import Metrics
from quota_gateway.net.counter.client import CounterClient
from quota_gateway.net.discovery.watch_event import WatchEvent
from quota_gateway.net.dispatch.admin_calls import AdminCalls
from quota_gateway.net.dispatch.request_table import RequestTable
from quota_gateway.net.process_group.group import ProcessGroup
from quota_gateway.net.upstream.exchange import Exchange
from quota_gateway.net.upstream.health_check import health_check_event, new_health_check
from quota_gateway.net.upstream.pool import ConnectionPool

log = logging.getLogger(__name__)

TIMER_RETRY_DELAY = 1.0  # seconds until a timer fires again after the decisions have failed on it


def unix_offset() -> float:
    """Seconds of Unix time less those of the monotonic clock, now."""
    return time.time() - time.monotonic()


def unix_clock(offset: float | None = None) -> Callable[[], float]:
    """A clock of Unix time that never jumps: endpoints report their start in Unix time.

    Without an ``offset`` it has the one of now.
    """
    fixed_offset = unix_offset() if offset is None else offset
    return lambda: fixed_offset + time.monotonic()


class Decisions(Protocol):
    """What answers events with actions: ``decisions.gateway.Gateway``."""

    def handle(self, now: float, event: model.Event) -> list[model.Action]:
        """Take one event at ``now``, in seconds of Unix time; returns the actions in their order."""


class Dispatcher:
    """The only caller of the decisions: hands them one event at a time and executes their actions."""

    def __init__(
        self,
        settings: model.Settings,
        decisions: Decisions,
        clock: Callable[[], float],
        pool: ConnectionPool,
        counter: CounterClient | None,
        metrics: Metrics | None = None,
        process_group: ProcessGroup | None = None,
    ) -> None:
        """Create the dispatcher in a running event loop; ``clock`` gives seconds of Unix time."""
        self.settings = settings
        self._decisions = decisions
        self._clock = clock
        self._pool = pool
        self._counter = counter
        self._metrics = metrics or Metrics()
        self._process_group = process_group or ProcessGroup(None, "")
        self._loop = asyncio.get_running_loop()
        self._events: deque[model.Event] = deque()
        self._dispatching = False
        self._terminating = False
        self._requests = RequestTable(settings, clock, pool, self.dispatch, self._metrics.invariants)
        self._admin_calls = AdminCalls(self._metrics, self._requests, self._process_group)
        self._executors = self._executors_by_action()

    def _executors_by_action(self) -> dict[type, Callable[[Any], None]]:
        return {
            model.Forward: self._requests.forward,
            model.Reject: self._requests.reject,
            model.Fail: self._requests.fail,
            model.CancelAttempt: self._requests.cancel_attempt,
            model.IncrementCounter: self._increment_counter,
            model.CheckHealth: self._check_health,
            model.SetTimer: self._set_timer,
            model.Log: self._log,
            model.AdminReply: self._admin_calls.reply,
            model.RecordSuspension: self._record_suspension,
            model.HandOver: self._hand_over,
        }

    @property
    def open_requests(self) -> int:
        """How many requests have no final answer yet."""
        return len(self._requests)

    def dispatch(self, event: model.Event) -> None:
        """Hand an event to the decisions and execute their actions; events caused by these queue up."""
        self._events.append(event)
        if self._dispatching:
            return
        self._dispatching = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._dispatching = False

    def _handle(self, event: model.Event) -> None:
        try:
            actions = self._decisions.handle(self._clock(), event)
        except Exception:
            log.exception("the decisions failed on %s", type(event).__name__)
            self._handle_failure(event)
            return
        for action in actions:
            try:
                self._executors[type(action)](action)
            except Exception:
                log.exception("an action failed: %s", action)

    def _handle_failure(self, event: model.Event) -> None:
        if isinstance(event, model.Request):
            self._requests.abandon(event.id, 500)
        elif isinstance(event, model.AdminRequest):
            self._admin_calls.fail(event.id)
        elif isinstance(event, model.TimerFired):
            # The decisions set their next timer when one fires: without a retry there would be no more.
            self._loop.call_later(TIMER_RETRY_DELAY, self.dispatch, event)

    # What happens.

    def on_watch_event(self, watch_event: WatchEvent) -> None:
        """Endpoints have changed: the connection pool follows before the decisions are notified."""
        update = watch_event.update
        if update.complete:
            self._pool.retain_only(set(watch_event.addresses))
        for endpoint in update.endpoints:
            is_healthy = endpoint.health is model.EndpointHealth.HEALTHY
            address = watch_event.addresses[endpoint.name]
            self._pool.update_endpoint(
                endpoint.name, address, available=is_healthy, started_at=endpoint.started_at
            )
        self._pool.log_transitions()
        self.dispatch(update)

    def on_request(self, request: ClientRequest) -> None:
        """A request has come, of a long one the head."""
        self._process_group.poll_if_late()
        event = request.event
        assert event is not None
        if self._terminating:
            request.respond(503, retry_after=self._requests.shutdown_retry_after)
        else:
            self.dispatch(self._requests.add(request, event))

    def on_upload_completed(self, request: ClientRequest) -> None:
        """The last byte of a long request body has come."""
        event = request.event
        assert event is not None
        if self._requests.complete_upload(event):
            self.dispatch(model.UploadCompleted(event.id))

    def on_client_disconnected(self, request: ClientRequest) -> None:
        """The client of a request has gone."""
        event = request.event
        if event is not None and self._requests.close(event.id) is not None:
            self.dispatch(model.ClientDisconnected(event.id))

    def on_client_maybe_disconnected(self, request: ClientRequest) -> None:
        """The client may have gone: no attempt begins any more."""
        if request.event is not None:
            self._requests.stop_forwarding(request.event.id)

    def on_admin_command(self, command: model.AdminCommand, endpoint: str, on_reply: ReplyCallback) -> None:
        """An operator has sent a command; ``endpoint`` is empty where it names none."""
        self.dispatch(model.AdminRequest(self._admin_calls.add(command, on_reply), command, endpoint))

    def on_process_group_changed(
        self, process_count: int, suspensions: frozenset[str], seconds_unknown: float
    ) -> None:
        """The number of processes of this limiter or the suspended endpoints have changed.

        For ``seconds_unknown`` before nobody looked.
        """
        names = sorted(suspensions) or "none"
        log.info("processes of this limiter: %d; suspended endpoints: %s", process_count, names)
        self.dispatch(model.ProcessCountChanged(process_count, seconds_unknown))
        self._pool.exclude(suspensions)
        self.dispatch(model.SuspensionsChanged(suspensions))

    def on_handover(self, state: model.HandoverState) -> None:
        """Another process of this limiter has handed its state over."""
        log.info(
            "another process handed over %d endpoints, %d accounts", len(state.endpoints), len(state.accounts)
        )
        self.dispatch(state)

    def reconfigure(self, settings: model.Settings) -> None:
        """Use new settings; open requests keep their class and their timeout."""
        self.settings = settings
        self._requests.apply_settings(settings)
        self._metrics.register_classes(request_class.name for request_class in settings.classes)
        self.dispatch(settings)

    def begin_shutdown(self) -> None:
        """Notify the decisions that this process is shutting down."""
        self.dispatch(model.ShutdownStarted())

    def abandon_all(self) -> None:
        """Answer all open requests and those still to come: the process is about to end."""
        self._terminating = True
        self._requests.abandon_all()

    # Actions.

    def _increment_counter(self, action: model.IncrementCounter) -> None:
        if self._counter is None:
            self._counter_replied(action.counter_id, model.CallStatus.UNREACHABLE, 0.0)
        else:
            on_reply = partial(self._counter_replied, action.counter_id)
            self._counter.increment(action.counter_id, action.amount, action.lifetime, on_reply)

    def _counter_replied(self, counter_id: int, status: model.CallStatus, total: float) -> None:
        self.dispatch(model.CounterReplied(counter_id, status, total))

    def _check_health(self, action: model.CheckHealth) -> None:
        with_load = self.settings.load_in_health_check
        exchange = new_health_check(
            endpoint=action.endpoint, now=self._clock(), with_load=with_load, on_complete=self._health_checked
        )
        self._pool.start(exchange)

    def _health_checked(self, exchange: Exchange) -> None:
        self.dispatch(health_check_event(exchange, with_load=self.settings.load_in_health_check))

    def _set_timer(self, action: model.SetTimer) -> None:
        self._loop.call_later(action.delay, self.dispatch, model.TimerFired(action.token))

    def _log(self, action: model.Log) -> None:
        log.info("%s", action.text)

    def _record_suspension(self, action: model.RecordSuspension) -> None:
        log.info("endpoint %s: %s", action.endpoint, "suspended" if action.suspended else "restored")
        suspensions = self._process_group.set_suspended(action.endpoint, action.suspended)
        if (action.endpoint in suspensions) is not action.suspended:
            self._admin_calls.refuse_next()  # there are too many
        self._pool.exclude(suspensions)
        # Another process may have recorded more of them meanwhile.
        self.dispatch(model.SuspensionsChanged(suspensions))

    def _hand_over(self, action: model.HandOver) -> None:
        self._process_group.write_handover(action.state)
