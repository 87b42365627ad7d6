"""A simulated limiter's knowledge of the endpoint list, and its watch of discovery."""

from __future__ import annotations

from random import Random

from quota_gateway import model
from quota_gateway.net.common.backoff import poll_delay
from quota_gateway.net.discovery.poll_timing import SILENCE_TIMEOUT_SECONDS
from scale.fleet.discovery import EndpointHistory
from scale.fleet.mailbox import Mailbox
from scale.fleet.messages import (
    DiscoveryCall,
    DiscoveryCallDue,
    DiscoveryCallTimedOut,
    EndpointFailed,
    EndpointsChanged,
    WatchOpened,
    WatchTimedOut,
)
from scale.fleet.scenario import World
from scale.fleet.tally import Tally
from scale.fleet.topology import COORDINATION_ZONE, pair_draw

_NO_CALL = 0


class EndpointWatch:
    """Calls discovery with the jitter and backoff of the real client until a watch is open.

    If ``discovery_capacity`` is 0, an agent notifies the limiter, and the watch is always open.
    """

    def __init__(
        self,
        index: int,
        world: World,
        *,
        history: EndpointHistory,
        mailbox: Mailbox,
        rng: Random,
        tally: Tally,
    ) -> None:
        """Create the watch of a limiter, which sends through its mailbox."""
        self._index = index
        self._world = world
        self._history = history
        self._mailbox = mailbox
        self._rng = rng
        self._tally = tally
        self._zone = world.topology.zone(index)
        self._calls_discovery = world.scenario.discovery_capacity > 0
        self._is_open = not self._calls_discovery
        self._known_change_count = 0  # changes of the endpoint list that the limiter has received
        self._failed_endpoints = set[str]()
        self._call_id = _NO_CALL  # id of the call in flight
        self._reconnecting_since = 0.0
        self._failures = 0  # consecutive calls that timed out

    def complete_list(self) -> model.EndpointUpdate:
        """Return the endpoint list that the limiter knows."""
        return self._history.complete_list(self._known_change_count, self._failed_endpoints)

    def on_endpoints_changed(self, event: EndpointsChanged) -> model.EndpointUpdate | None:
        """Return the change that the watch delivers; None if the watch is not open."""
        if not self._is_open:
            return None
        self._known_change_count = max(self._known_change_count, event.known_change_count)
        change = self._history.changes[event.known_change_count - 1]
        return model.EndpointUpdate(change.endpoints, complete=False)

    def on_endpoint_failed(self, event: EndpointFailed) -> model.EndpointUpdate | None:
        """Return the removal that the watch delivers; None if the watch is not open.

        From now on complete lists do not contain the endpoint.
        """
        self._failed_endpoints.add(event.endpoint.name)
        return model.EndpointUpdate((event.endpoint,), complete=False) if self._is_open else None

    def schedule_partition_timeout(self) -> None:
        """Schedule the timeout of the watch that the partition interrupts.

        Only the watches of limiters without an agent in the far region are interrupted.
        """
        if self._calls_discovery and self._world.topology.region(self._zone):
            self._mailbox.schedule(
                self._world.schedule.partition.begin + SILENCE_TIMEOUT_SECONDS, WatchTimedOut()
            )

    def reconnect(self, now: float, incarnation: int) -> None:
        """Close the watch and schedule a call to discovery, unless an agent notifies the limiter."""
        if not self._calls_discovery:
            return
        self._is_open = False
        self._call_id = _NO_CALL
        self._reconnecting_since = now
        self._failures = 0
        self._schedule_call(now, incarnation)

    def disconnect(self) -> None:
        """Discard the call in flight, because the limiter was killed."""
        self._call_id = _NO_CALL

    def call(self, now: float, incarnation: int) -> None:
        """Call discovery, unless a call is in flight or the watch is open."""
        if self._call_id or self._is_open:
            return
        self._call_id = self._mailbox.next_sequence_number()
        self._tally.at(now)["discovery calls"] += 1
        self._mailbox.schedule(
            now + SILENCE_TIMEOUT_SECONDS, DiscoveryCallTimedOut(incarnation, self._call_id)
        )
        if not self._world.faults.partitioned(self._zone, COORDINATION_ZONE, now):
            draw = pair_draw(self._index, COORDINATION_ZONE)
            arrives_at = now + self._world.topology.delay(self._zone, COORDINATION_ZONE, draw)
            call = DiscoveryCall(incarnation, self._call_id)
            self._mailbox.send(self._index, arrives_at, call)

    def on_call_timed_out(self, now: float, event: DiscoveryCallTimedOut) -> None:
        """Call again after a longer backoff, unless the call got a response."""
        if event.call_id != self._call_id:
            return
        self._call_id = _NO_CALL
        self._failures += 1
        self._tally.at(now)["discovery calls timed out"] += 1
        self._schedule_call(now, event.incarnation)

    def on_opened(self, now: float, event: WatchOpened) -> model.EndpointUpdate | None:
        """Open the watch and return the complete list; None if the event belongs to an earlier call."""
        if event.call_id != self._call_id:
            return None
        self._call_id = _NO_CALL
        self._failures = 0
        self._is_open = True
        counts = self._tally.at(now)
        counts["watches"] += 1
        counts["watch delay ms"] += round((now - self._reconnecting_since) * 1000)
        self._known_change_count = max(self._known_change_count, event.known_change_count)
        return self.complete_list()

    def _schedule_call(self, now: float, incarnation: int) -> None:
        backoff = poll_delay(self._world.size.limiters, self._failures, self._rng.random())
        self._mailbox.schedule(now + backoff, DiscoveryCallDue(incarnation))
