"""A simulated limiter: the starts and kills of its processes, and the endpoint list that it knows."""

from __future__ import annotations

import math
from collections.abc import Callable
from random import Random
from typing import Any, ClassVar

from scale.fleet.discovery import EndpointHistory
from scale.fleet.endpoint_watch import EndpointWatch
from scale.fleet.limiter_process import LimiterProcess, ProcessMessage
from scale.fleet.mailbox import Mailbox
from scale.fleet.messages import (
    AttemptEnded,
    ClientRequest,
    CounterReplied,
    DiscoveryCallDue,
    DiscoveryCallTimedOut,
    EndpointFailed,
    EndpointsChanged,
    Envelope,
    HealthChecked,
    LimiterKilled,
    LimiterStarted,
    TimerDue,
    WatchOpened,
    WatchTimedOut,
)
from scale.fleet.parameters import CLIENT_START_SECONDS
from scale.fleet.scenario import World
from scale.fleet.tally import Tally

_SEED_BITS = 62


class Limiter:
    """Delivers messages to the limiter's process.

    Drops a message while no process runs, and a message to an earlier incarnation.
    """

    def __init__(
        self, index: int, world: World, *, history: EndpointHistory, tally: Tally, mailbox: Mailbox
    ) -> None:
        """Schedule the starts of a limiter, its kill, and the notifications of endpoint changes."""
        self._index = index
        self._world = world
        self._tally = tally
        self._mailbox = mailbox
        self._rng = Random(f"{world.seed} limiter {index}")
        self._process: LimiterProcess | None = None
        self._incarnation = 0
        self._schedule_lifetime(history)
        self._watch = EndpointWatch(
            index, world, history=history, mailbox=mailbox, rng=self._rng, tally=tally
        )
        self._watch.schedule_partition_timeout()

    def receive(self, envelope: Envelope) -> None:
        """Handle a message or an expired timer."""
        self._HANDLERS[type(envelope.event)](self, envelope.time, envelope.event)

    def warming_up_endpoints(self) -> int:
        """Return the number of endpoints of the subset that the limiter considers to be warming up."""
        return 0 if self._process is None else self._process.warming_up_endpoints()

    def _schedule_lifetime(self, history: EndpointHistory) -> None:
        """Schedule the start, the kill and restart if the limiter has them, and the agent's notifications."""
        faults = self._world.faults
        self._mailbox.schedule(self._rng.random() * CLIENT_START_SECONDS, LimiterStarted())
        if faults.killed_at[self._index] < math.inf:
            self._mailbox.schedule(faults.killed_at[self._index], LimiterKilled())
            self._mailbox.schedule(faults.restarted_at[self._index], LimiterStarted())
        for notification in history.notifications(self._index):
            self._mailbox.schedule(notification.at, EndpointsChanged(notification.known_change_count))

    def _on_client_request(self, now: float, message: ClientRequest) -> None:
        assert self._process is not None  # clients cannot reach a limiter that is down
        self._process.accept(now, message)

    def _on_process_message(self, now: float, message: ProcessMessage) -> None:
        if self._process is not None and message.incarnation == self._process.incarnation:
            self._process.receive(now, message)

    def _on_started(self, now: float, _: LimiterStarted) -> None:
        self._incarnation += 1
        self._process = LimiterProcess(
            self._index,
            self._world,
            incarnation=self._incarnation,
            seed=self._rng.getrandbits(_SEED_BITS),
            now=now,
            mailbox=self._mailbox,
            tally=self._tally,
        )
        self._process.update_endpoints(now, self._watch.complete_list())
        self._watch.reconnect(now, self._incarnation)

    def _on_killed(self, now: float, _: LimiterKilled) -> None:
        assert self._process is not None
        self._process.kill(now)
        self._process = None
        self._watch.disconnect()

    def _on_endpoints_changed(self, now: float, message: EndpointsChanged) -> None:
        update = self._watch.on_endpoints_changed(message)
        if update is not None and self._process is not None:
            self._process.update_endpoints(now, update)

    def _on_endpoint_failed(self, now: float, message: EndpointFailed) -> None:
        update = self._watch.on_endpoint_failed(message)
        if update is not None and self._process is not None:
            self._process.update_endpoints(now, update)

    def _on_watch_timed_out(self, now: float, _: WatchTimedOut) -> None:
        if self._process is not None:
            self._watch.reconnect(now, self._incarnation)

    def _on_discovery_call_due(self, now: float, message: DiscoveryCallDue) -> None:
        if self._process is not None and message.incarnation == self._incarnation:
            self._watch.call(now, self._incarnation)

    def _on_discovery_call_timed_out(self, now: float, message: DiscoveryCallTimedOut) -> None:
        if self._process is not None and message.incarnation == self._incarnation:
            self._watch.on_call_timed_out(now, message)

    def _on_watch_opened(self, now: float, message: WatchOpened) -> None:
        if self._process is not None and message.incarnation == self._incarnation:
            update = self._watch.on_opened(now, message)
            if update is not None:
                self._process.update_endpoints(now, update)

    _HANDLERS: ClassVar[dict[type[Any], Callable[[Limiter, float, Any], None]]] = {
        ClientRequest: _on_client_request,
        AttemptEnded: _on_process_message,
        TimerDue: _on_process_message,
        CounterReplied: _on_process_message,
        HealthChecked: _on_process_message,
        LimiterStarted: _on_started,
        LimiterKilled: _on_killed,
        EndpointsChanged: _on_endpoints_changed,
        EndpointFailed: _on_endpoint_failed,
        WatchTimedOut: _on_watch_timed_out,
        DiscoveryCallDue: _on_discovery_call_due,
        DiscoveryCallTimedOut: _on_discovery_call_timed_out,
        WatchOpened: _on_watch_opened,
    }
