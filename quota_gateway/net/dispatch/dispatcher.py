"""The network side of the decisions: passes events to them, and executes their actions.

It contains no policy.
"""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

from quota_gateway import model
from quota_gateway.net.admin.listener import ReplyCallback
from quota_gateway.net.client.request import ClientRequest
from quota_gateway.net.common.late_input import LateInput
from quota_gateway.net.common.metrics import Metrics
from quota_gateway.net.counter.client import CounterClient
from quota_gateway.net.discovery.watch_event import WatchEvent
from quota_gateway.net.dispatch.admin_calls import PendingCommands
from quota_gateway.net.dispatch.attempt_forwarder import AttemptForwarder
from quota_gateway.net.dispatch.network_actions import NetworkActions
from quota_gateway.net.dispatch.process_group_events import ProcessGroupEvents
from quota_gateway.net.dispatch.request_table import (
    STATUS_INTERNAL_ERROR,
    STATUS_SHUTTING_DOWN,
    RequestTable,
)
from quota_gateway.net.process_group.group import GroupChange, ProcessGroup
from quota_gateway.net.upstream.pool import ConnectionPool

log = logging.getLogger(__name__)

TIMER_RETRY_DELAY_SECONDS = 1.0  # until a timer event on which the decisions failed is dispatched again


class Decisions(Protocol):
    """Responds to events with actions; implemented by ``decisions.gateway.Gateway``."""

    def handle(self, now: float, event: model.Event) -> list[model.Action]:
        """Handle one event at ``now``, in seconds of Unix time; return the actions in their order."""


class Dispatcher:
    """The only caller of the decisions: passes them one event at a time and executes their actions.

    Events that an action causes are queued until all actions of the current event have been executed.
    """

    def __init__(
        self,
        settings: model.Settings,
        decisions: Decisions,
        clock: Callable[[], float],
        pool: ConnectionPool,
        counter: CounterClient | None,
        metrics: Metrics | None = None,
        process_group: ProcessGroup | None = None,
        late_input: LateInput | None = None,
    ) -> None:
        """Create the dispatcher in a running event loop; ``clock`` returns seconds of Unix time.

        ``late_input`` is read before the decisions handle an event.
        """
        self.settings = settings
        self._decisions = decisions
        self._clock = clock
        self._pool = pool
        self._metrics = metrics or Metrics()
        self._process_group = process_group or ProcessGroup(None, "")
        self._loop = asyncio.get_running_loop()
        self._late_input = late_input or LateInput(self._loop.time)
        self._events = deque[model.Event]()
        self._dispatching = False
        self._terminating = False
        self.requests = RequestTable(settings, clock, pool.exchanges, self.dispatch)
        self._attempts = AttemptForwarder(
            settings, clock, pool, self.requests, self.dispatch, self._metrics.invariants
        )
        self._pending_commands = PendingCommands(self._metrics, self.requests, self._process_group)
        self._group_events = ProcessGroupEvents(
            self._process_group, pool, self._pending_commands, self.dispatch
        )
        self._network_actions = NetworkActions(settings, clock, pool, counter, self.dispatch)
        self._executors = self._executors_by_action()

    def _executors_by_action(self) -> dict[type, Callable[[Any], None]]:
        return {
            model.Forward: self._attempts.forward,
            model.CancelAttempt: self._attempts.cancel,
            model.Reject: self.requests.reject,
            model.Fail: self.requests.fail,
            model.IncrementCounter: self._network_actions.increment_counter,
            model.CheckHealth: self._network_actions.check_health,
            model.SetTimer: self._network_actions.set_timer,
            model.Log: self._network_actions.log,
            model.AdminReply: self._pending_commands.reply,
            model.RecordSuspension: self._group_events.record_suspension,
            model.HandOver: self._group_events.hand_over,
        }

    @property
    def open_request_count(self) -> int:
        """The number of requests without a final response."""
        return len(self.requests)

    def dispatch(self, event: model.Event) -> None:
        """Pass an event to the decisions and execute their actions.

        The event is queued if another one is being handled.
        """
        if self._dispatching:
            self._events.append(event)
            return
        self._late_input.read_if_due()
        self._events.append(event)
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
                log.exception("action of the decisions failed, continuing with the next action: %s", action)

    def _handle_failure(self, event: model.Event) -> None:
        """Respond to the client or operator, or retry a timer, after the decisions raised an exception."""
        if isinstance(event, model.Request):
            self.requests.respond_without_decisions(event.id, STATUS_INTERNAL_ERROR)
        elif isinstance(event, model.AdminRequest):
            self._pending_commands.fail(event.id)
        elif isinstance(event, model.TimerFired):
            # The decisions set their next timer when one fires: without the retry no timer would fire again.
            self._loop.call_later(TIMER_RETRY_DELAY_SECONDS, self.dispatch, event)

    # Events of discovery, of client connections, of operators and of the process group.

    def on_watch_event(self, watch_event: WatchEvent) -> None:
        """Update the connection pool with changed endpoints, then notify the decisions."""
        update = watch_event.update
        if update.complete:
            self._pool.retain_only(set(watch_event.addresses))
        for endpoint in update.endpoints:
            is_healthy = endpoint.health is model.EndpointHealth.HEALTHY
            address = watch_event.addresses[endpoint.name]
            self._pool.update_endpoint(
                endpoint.name, address, available=is_healthy, started_at=endpoint.started_at
            )
        self._pool.log_transitions(watch_event.version)
        self.dispatch(update)

    def on_request(self, request: ClientRequest) -> None:
        """Dispatch a request; if its body is streamed, only the head has been received completely."""
        event = request.event
        assert event is not None
        if self._terminating:
            request.respond(STATUS_SHUTTING_DOWN, retry_after=self.requests.shutdown_retry_after)
        else:
            self.dispatch(self.requests.add(request, event))

    def on_upload_arrived(self, request: ClientRequest) -> None:
        """Start the client's timeout of a streamed upload whose last byte waits unread.

        The decisions are notified when it is read: until then, no endpoint can be expected to respond.
        """
        event = request.event
        assert event is not None
        self.requests.start_upload_deadline(event)

    def on_upload_completed(self, request: ClientRequest) -> None:
        """Notify the decisions of a streamed upload that was received completely."""
        event = request.event
        assert event is not None
        if self.requests.complete_upload(event):
            self.dispatch(model.UploadCompleted(event.id))

    def on_client_disconnected(self, request: ClientRequest) -> None:
        """Close the request of a client that has disconnected."""
        event = request.event
        if event is not None and self.requests.close(event.id) is not None:
            self.dispatch(model.ClientDisconnected(event.id))

    def on_client_maybe_disconnected(self, request: ClientRequest) -> None:
        """Start no further attempt for a client that may have disconnected."""
        if request.event is not None:
            self.requests.stop_forwarding(request.event.id)

    def on_admin_command(self, command: model.AdminCommand, endpoint: str, on_reply: ReplyCallback) -> None:
        """Dispatch an operator's command; ``endpoint`` is empty if the command takes none."""
        self.dispatch(model.AdminRequest(self._pending_commands.add(command, on_reply), command, endpoint))

    def on_process_group_changed(self, change: GroupChange) -> None:
        """Dispatch a change of the number of processes or of the suspended endpoints."""
        self._group_events.on_changed(change)

    def on_handover(self, state: model.HandoverState) -> None:
        """Dispatch the state that another process of this limiter handed over."""
        self._group_events.on_handover(state)

    # Settings and shutdown.

    def reconfigure(self, settings: model.Settings) -> None:
        """Replace the settings; open requests keep their class and their timeout."""
        self.settings = settings
        self.requests.apply_settings(settings)
        self._attempts.apply_settings(settings)
        self._network_actions.apply_settings(settings)
        self._metrics.register_classes(request_class.name for request_class in settings.classes)
        self.dispatch(settings)

    def begin_shutdown(self) -> None:
        """Notify the decisions that this process is shutting down."""
        self.dispatch(model.ShutdownStarted())

    def respond_to_all(self) -> None:
        """Respond to all open requests and to those that arrive later: the process is about to end."""
        self._terminating = True
        self.requests.respond_to_all()
