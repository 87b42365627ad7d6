"""Events in, actions out: the only caller of the decisions, and the table of open requests.

No policy lives here. Every request that comes in gets exactly one final answer: the decisions',
or, if they are silent, a failure just before the client's time is up.
"""

from __future__ import annotations

import asyncio
import logging
import math
import time
from collections import deque
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from typing import Any, Protocol

from quota_gateway import model
from quota_gateway.net.body_stream import BodyStream
from quota_gateway.net.connection_pool import ConnectionPool, Exchange, load_report
from quota_gateway.net.counter_client import CounterClient
from quota_gateway.net.listener import ClientRequest
from quota_gateway.net.metrics import Metrics
from quota_gateway.net.process_group import ProcessGroup
from quota_gateway.net.watch_event import WatchEvent

log = logging.getLogger(__name__)

MARGIN, MARGIN_SHARE = 0.02, 0.1  # seconds kept for the way back of an answer; their share of a short time
SILENT_SHARE = 0.5  # of the margin that the decisions have for their answer at the deadline
PROBE_TIMEOUT = 0.25
AGAIN = 0.1  # seconds until a client that was turned away at the end may come again: others take it


def unix_clock() -> Callable[[], float]:
    """Unix time that never jumps: ``born`` of a server and ``now`` must have one base."""
    offset = time.time() - time.monotonic()
    return lambda: offset + time.monotonic()


class Decisions(Protocol):
    """What answers events with actions: ``decisions.gateway.Gateway``."""

    def handle(self, now: float, event: model.Event) -> list[model.Action]: ...


class _Open:
    """A request that has no final answer yet."""

    __slots__ = ("attempts", "deadline", "most", "request", "timer")

    def __init__(self, request: ClientRequest, deadline: float, most: int) -> None:
        self.request, self.deadline, self.most = request, deadline, most
        self.attempts = list[Exchange]()
        self.timer: asyncio.TimerHandle | None = None


class Dispatcher:
    """The decisions on real sockets."""

    def __init__(
        self,
        settings: model.Settings,
        gateway: Decisions,
        clock: Callable[[], float],
        upstream: ConnectionPool,
        counter: CounterClient | None,
        figures: Metrics | None = None,
        shared: ProcessGroup | None = None,
    ) -> None:
        self._figures, self._together = figures or Metrics(), shared or ProcessGroup(None, "")
        self._calls, self._last_call = dict[int, tuple[model.AdminCommand, Callable[[bool, str], None]]](), 0
        self.settings, self._gateway, self._clock = settings, gateway, clock
        self._upstream, self._counter = upstream, counter
        self._loop = asyncio.get_running_loop()
        self._open = dict[int, _Open]()
        self._events = deque[model.Event]()
        self._busy = self._over = False
        self._actions: dict[type, Callable[[Any], None]] = {
            model.Forward: self._send,
            model.Reject: self._refuse,
            model.Fail: self._fail,
            model.CancelAttempt: self._cancel,
            model.IncrementCounter: self._count,
            model.CheckHealth: self._probe,
            model.SetTimer: self._set_timer,
            model.Log: self._log,
            model.AdminReply: self._reply,
            model.RecordSuspension: self._ban,
            model.HandOver: lambda action: self._together.write_handover(action.state),
        }

    @property
    def open_requests(self) -> int:
        return len(self._open)

    def dispatch(self, event: model.Event) -> None:
        """Hand an event to the decisions and carry out their actions; events that these cause follow on."""
        self._events.append(event)
        if self._busy:
            return
        self._busy = True
        try:
            while self._events:
                self._step(self._events.popleft())
        finally:
            self._busy = False

    def on_watch_event(self, listing: WatchEvent) -> None:
        """Discovery has told something: the sockets heed it before the decisions hear of it."""
        if listing.update.complete:
            self._upstream.retain_only(set(listing.addresses))
        for entry in listing.update.endpoints:
            self._upstream.update_endpoint(
                entry.name, listing.addresses[entry.name], entry.health is model.EndpointHealth.HEALTHY
            )
        self.dispatch(listing.update)

    def on_request(self, request: ClientRequest) -> None:
        event = request.event
        assert event is not None
        if self._over:
            return request.respond(503, retry_after=min(AGAIN, self.settings.max_retry_after))
        margin = self._margin(event.timeout)
        if event.uploading:  # its time begins with its last byte
            self._open[event.id] = _Open(request, math.inf, self.settings.max_attempts)
            return self.dispatch(replace(event, timeout=event.timeout - margin))
        opened = self._open[event.id] = _Open(
            request, self._clock() + event.timeout - margin, self.settings.max_attempts
        )
        last = event.timeout - SILENT_SHARE * margin
        opened.timer = self._loop.call_later(last, self._abandon, event.id, 504)
        self.dispatch(replace(event, timeout=event.timeout - margin))

    @staticmethod
    def _margin(ttl: float) -> float:
        return min(MARGIN, MARGIN_SHARE * ttl)

    def on_upload_completed(self, request: ClientRequest) -> None:
        """The last byte of a long body has come."""
        event = request.event
        assert event is not None
        if (opened := self._open.get(event.id)) is None:
            return
        now, margin = self._clock(), self._margin(event.timeout)
        opened.deadline = now + event.timeout - margin
        last = event.timeout - SILENT_SHARE * margin
        opened.timer = self._loop.call_later(last, self._abandon, event.id, 504)
        for attempt in opened.attempts:
            self._upstream.set_expiry(attempt, min(opened.deadline, now + attempt.timeout))
        self.dispatch(model.UploadCompleted(event.id))

    def on_client_disconnected(self, request: ClientRequest) -> None:
        if request.event is not None and self._close(request.event.id) is not None:
            self.dispatch(model.ClientDisconnected(request.event.id))

    def on_client_maybe_gone(self, request: ClientRequest) -> None:
        """The client may have gone: nothing more is sent on, and what has not gone out yet does not."""
        if request.event is None or (opened := self._open.get(request.event.id)) is None:
            return
        opened.most = len(opened.attempts)
        for attempt in list(opened.attempts):
            self._upstream.withdraw_unsent(attempt)

    def on_admin_command(
        self, verb: model.AdminCommand, server: str, done: Callable[[bool, str], None]
    ) -> None:
        """An operator's call; ``done`` is told yes or no, and the figures where they were asked for."""
        self._last_call += 1
        self._calls[self._last_call] = verb, done
        self.dispatch(model.AdminRequest(self._last_call, verb, server))

    def on_process_group_changed(self, processes: int, bans: frozenset[str]) -> None:
        """What the processes of this limiter know together has changed."""
        log.info("processes of this limiter: %d; servers out by hand: %s", processes, sorted(bans) or "none")
        self.dispatch(model.ProcessCountChanged(processes))
        self._upstream.exclude(bans)
        self.dispatch(model.SuspensionsChanged(bans))

    def on_handover(self, notes: model.HandoverState) -> None:
        log.info(
            "another process told of %d servers, %d customers", len(notes.endpoints), len(notes.accounts)
        )
        self.dispatch(notes)

    def reconfigure(self, settings: model.Settings) -> None:
        """New settings; what is under way keeps what it came with."""
        self.settings = settings
        self._figures.register_classes(c.name for c in settings.classes)
        self.dispatch(settings)

    def begin_shutdown(self) -> None:
        self.dispatch(model.ShutdownStarted())

    def abandon_all(self) -> None:
        """Answer what is still open, and what comes from now on: the process is about to end, and a request
        must not end with it. What nobody has had whole can be tried elsewhere without harm."""
        self._over = True
        for id, opened in list(self._open.items()):
            self._abandon(id, 504 if any(attempt.request_written for attempt in opened.attempts) else 503)

    def _step(self, event: model.Event) -> None:
        try:
            actions = self._gateway.handle(self._clock(), event)
        except Exception:
            log.exception("the decisions failed on %s", type(event).__name__)
            if isinstance(event, model.Request):
                self._abandon(event.id, 500)
            elif isinstance(event, model.AdminRequest):
                self._calls.pop(event.id)[1](False, "")
            elif isinstance(event, model.TimerFired):
                # The next timer was to come with these actions: without it they would never tick again.
                self._loop.call_later(1.0, self.dispatch, event)
            return
        for action in actions:
            try:
                self._actions[type(action)](action)
            except Exception:
                log.exception("an action failed: %s", action)

    def _close(self, id: int) -> _Open | None:
        """Take a request off the table; attempts that are out are of no more use."""
        opened = self._open.pop(id, None)
        if opened is not None:
            if opened.timer is not None:
                opened.timer.cancel()
            for attempt in opened.attempts:
                self._upstream.cancel(attempt)
        return opened

    def _abandon(self, id: int, status: int) -> None:
        """Answer for decisions that are silent or broken."""
        if (opened := self._close(id)) is not None:
            log.warning("a request was answered %d in place of the decisions", status)
            again = min(AGAIN, self.settings.max_retry_after) if status == 503 else None
            opened.request.respond(status, retry_after=again)
            self.dispatch(model.ClientDisconnected(id))

    # Actions.

    def _send(self, action: model.Forward) -> None:
        opened = self._open.get(action.request_id)
        if opened is None:
            log.error("a send for a request that has ended was dropped")
            return
        number = len(opened.attempts)
        request, wait = opened.request, action.timeout or float("inf")
        expires = min(opened.deadline, self._clock() + wait)
        done, begun = (
            partial(self._attempted, action.request_id, number),
            partial(self._begun, action.request_id),
        )
        if opened.deadline == math.inf:
            expires = math.inf
        attempt = Exchange(
            action.endpoint,
            request.head,
            request.body,
            expires,
            done,
            begun,
            request.upload,
            wait,
            is_client_connected=request.is_client_connected,
        )
        opened.attempts.append(attempt)
        if number < min(opened.most, self.settings.max_attempts):
            self._upstream.start(attempt)
        else:
            self._upstream.complete(attempt, model.CallStatus.NOT_SENT)

    def _begun(self, id: int, attempt: Exchange, pipe: BodyStream) -> bool:
        """A long answer has begun: it is the client's now, and no deadline cuts it off."""
        if (opened := self._open.get(id)) is None:
            return False
        opened.attempts.remove(attempt)
        self._close(id)
        opened.request.begin_response(attempt.response_headers, pipe)
        return True

    def _attempted(self, id: int, number: int, attempt: Exchange) -> None:
        if attempt.status is model.CallStatus.OK and (opened := self._close(id)) is not None:
            opened.request.respond(200, attempt.response_body, attempt.response_headers)
        finished = id not in self._open
        again = attempt.upload is None or not attempt.upload.consumed
        # Only a good answer settles the units.
        charged = attempt.charged_units if attempt.status is model.CallStatus.OK else None
        self.dispatch(
            model.AttemptCompleted(
                id,
                number,
                attempt.endpoint,
                attempt.status,
                attempt.elapsed,
                finished,
                attempt.load_report,
                charged,
                again,
            )
        )

    def _refuse(self, action: model.Reject) -> None:
        if (opened := self._close(action.request_id)) is not None:
            opened.request.respond(429, retry_after=max(0.0, action.retry_after))

    def _fail(self, action: model.Fail) -> None:
        if (opened := self._close(action.request_id)) is not None:
            opened.request.respond(502)

    def _cancel(self, action: model.CancelAttempt) -> None:
        opened = self._open.get(action.request_id)
        if opened is not None and action.attempt < len(opened.attempts):
            self._upstream.cancel(opened.attempts[action.attempt])

    def _count(self, action: model.IncrementCounter) -> None:
        name = action.counter_id
        if self._counter is None:
            self.dispatch(model.CounterReplied(name, model.CallStatus.UNREACHABLE))
        else:
            self._counter.increment(
                name,
                action.amount,
                action.lifetime,
                lambda status, total: self.dispatch(model.CounterReplied(name, status, total)),
            )

    def _probe(self, action: model.CheckHealth) -> None:
        path = b"/load" if self.settings.load_in_health_check else b"/healthz"
        head = b"GET %b HTTP/1.1\r\nHost: %b\r\n" % (path, action.endpoint.encode())
        expires = self._clock() + PROBE_TIMEOUT
        self._upstream.start(
            Exchange(action.endpoint, head, b"", expires, self._probed, is_health_check=True)
        )

    def _probed(self, probe: Exchange) -> None:
        report = probe.load_report
        if self.settings.load_in_health_check and probe.status is model.CallStatus.OK and not report:
            report = load_report(probe.response_body.decode("latin-1"))
        self.dispatch(model.HealthChecked(probe.endpoint, probe.status, probe.elapsed, report))

    def _set_timer(self, action: model.SetTimer) -> None:
        self._loop.call_later(action.delay, self.dispatch, model.TimerFired(action.token))

    def _reply(self, action: model.AdminReply) -> None:
        verb, done = self._calls.pop(action.request_id)
        taken = sum(opened.deadline < math.inf for opened in self._open.values())
        self._figures.in_progress = taken + self._figures.streaming_responses
        done(
            action.ok,
            self._figures.render(action.known_endpoints, action.avoided_endpoints)
            if verb is model.AdminCommand.METRICS
            else "",
        )

    def _ban(self, action: model.RecordSuspension) -> None:
        log.info("server %s: %s", action.endpoint, "out by hand" if action.suspended else "called back")
        bans = self._together.set_suspended(action.endpoint, action.suspended)
        self._upstream.exclude(bans)
        self.dispatch(model.SuspensionsChanged(bans))  # with those that another process was told of meanwhile

    def _log(self, action: model.Log) -> None:
        log.info("%s", action.text)
