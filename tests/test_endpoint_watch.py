"""``EndpointWatcher`` over loopback sockets: no update is lost or late when a watch fails.

A watch fails when it ends, stops sending heartbeats or contains malformed lines, and when discovery is down
or overloaded.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from random import Random
from typing import Any

import pytest

from quota_gateway import model
from quota_gateway.net.common import backoff
from quota_gateway.net.common.http_common import split_address
from quota_gateway.net.discovery import watch_request
from quota_gateway.net.discovery.poll_timing import PollTiming
from quota_gateway.net.discovery.watch_event import WatchEvent
from quota_gateway.net.discovery.watcher import MAX_UNANSWERED_REQUESTS, EndpointWatcher
from quota_gateway.settings_parser import parse_timing
from tests.discovery_server import (
    OVERLOADED_RESPONSE,
    RESPONSE_HEAD,
    QueueingDiscovery,
    ScriptedDiscovery,
    chunk,
    message,
    read_request_path,
    scale_times,
)
from tests.loopback import async_test, running_server

FLEET_SIZE = 200


async def follow(discovery: ScriptedDiscovery, count: int, connections: int = 1) -> list[WatchEvent]:
    """Follow a discovery until it has accepted ``connections`` and sent ``count`` events, and return them."""
    events = list[WatchEvent]()
    enough = asyncio.Event()

    def on_event(event: WatchEvent) -> None:
        events.append(event)
        if len(events) >= count and len(discovery.request_paths) >= connections:
            enough.set()

    async with running_server(discovery.serve) as address:
        host, port = address.split(":")
        task = asyncio.create_task(EndpointWatcher(host, int(port), 41, on_event).follow())
        await enough.wait()
        task.cancel()
    return events


def make_watcher(
    address: str,
    on_event: Callable[[WatchEvent], None],
    *,
    timing: PollTiming,
    seed: int,
) -> EndpointWatcher:
    """Return a watcher that resumes from version 41."""
    host, port = address.split(":")
    return EndpointWatcher(host, int(port), 41, on_event, timing, rng=Random(seed))


class FleetMember:
    """A watcher in a fleet of ``FLEET_SIZE``, with its times multiplied by ``time_scale``.

    ``first_event_at`` completes at the first event, with the event loop's time.
    """

    def __init__(self, address: str, seed: int, time_scale: float) -> None:
        self._loop = asyncio.get_running_loop()
        self.first_event_at: asyncio.Future[float] = self._loop.create_future()
        timing = parse_timing({"discovery": "ask", "n_instances": FLEET_SIZE})
        watcher = make_watcher(
            address,
            self._on_event,
            timing=PollTiming(
                FLEET_SIZE, timing.response_timeout * time_scale, timing.max_poll_interval * time_scale
            ),
            seed=seed,
        )
        self.task = self._loop.create_task(watcher.follow())

    def _on_event(self, _event: WatchEvent) -> None:
        if not self.first_event_at.done():
            self.first_event_at.set_result(self._loop.time())


@async_test
async def test_events_are_parsed_wherever_chunks_end() -> None:
    data = message(42) + b"\n" + message(43, "draining") + message(44, "gone", dial="")
    script = [RESPONSE_HEAD] + [chunk(data[start : start + 11]) for start in range(0, len(data), 11)]
    events = await follow(ScriptedDiscovery(script), 3)
    states = [event.update.endpoints[0].health for event in events]
    assert states == [
        model.EndpointHealth.HEALTHY,
        model.EndpointHealth.DRAINING,
        model.EndpointHealth.REMOVED,
    ]


@async_test
async def test_watch_that_ends_is_resumed_from_the_last_version() -> None:
    discovery = ScriptedDiscovery([RESPONSE_HEAD, chunk(message(57))], [RESPONSE_HEAD, chunk(message(58))])
    await follow(discovery, 2, 2)
    assert discovery.request_paths == ["/v1/servers?follow=1&since=41", "/v1/servers?follow=1&since=57"]


@async_test
async def test_watch_without_heartbeats_is_restarted(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(watch_request, "SILENCE_TIMEOUT_SECONDS", 0.2)
    discovery = ScriptedDiscovery(
        [RESPONSE_HEAD], [RESPONSE_HEAD, chunk(message(58))], close_connections=False
    )
    await follow(discovery, 1, 2)
    assert len(discovery.request_paths) == 2


@async_test
async def test_the_silence_of_a_watch_counts_from_the_arrival_of_its_last_line_and_not_from_its_reading(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a silent watch that is restarted late because its last line was read after a stall.

    The event loop, which runs the limiter's watch and discovery, stands still for longer than the timeout
    after the heartbeat was written, so the heartbeat is read when it is already older than the timeout.
    """
    silence_timeout = 0.4
    monkeypatch.setattr(watch_request, "SILENCE_TIMEOUT_SECONDS", silence_timeout)
    polled = asyncio.Queue[asyncio.StreamWriter]()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_request_path(reader)
        writer.write(RESPONSE_HEAD + chunk(message(58)))
        polled.put_nowait(writer)
        await reader.read()

    async with running_server(serve) as address:
        watcher = make_watcher(
            address, lambda _event: None, timing=PollTiming(max_interval=silence_timeout), seed=1
        )
        task = asyncio.create_task(watcher.follow())
        watch = await polled.get()
        await asyncio.sleep(0.1)
        watch.write(chunk(b"\n"))
        time.sleep(1.5 * silence_timeout)  # the stall
        resumed_at = time.monotonic()
        await polled.get()
        task.cancel()
        assert time.monotonic() - resumed_at < 0.5 * silence_timeout


@async_test
async def test_malformed_lines_are_dropped_and_the_watch_continues() -> None:
    malformed = [
        b"not json\n", b"[]\n", b'{"seq":1}\n', b'{"seq":1,"whole":true,"hosts":[3]}\n', b"\xff\n",
        message(9, "upbeat"), message(9, dial="nowhere"), message(9, born_ms="then"),
    ]  # fmt: skip
    script = [RESPONSE_HEAD, chunk(b"".join(malformed) + message(60))]
    events = await follow(ScriptedDiscovery(script), 1)
    assert [event.version for event in events] == [60]


@async_test
async def test_empty_list_is_ignored_and_consecutive_malformed_lines_are_logged_once(
    caplog: pytest.LogCaptureFixture,
) -> None:
    empty_list = b'{"seq":58,"whole":true,"hosts":[]}\n'
    no_change = b'{"seq":59,"whole":false,"hosts":[]}\n'
    lines = empty_list * 30 + b"not json\n" * 30 + no_change + message(60)
    events = await follow(ScriptedDiscovery([RESPONSE_HEAD, chunk(lines)]), 2)
    assert [(event.version, event.update.complete) for event in events] == [(59, False), (60, False)]
    assert (
        len([record for record in caplog.records if "dropped a malformed line" in record.getMessage()]) == 1
    )


@async_test
async def test_consecutive_failures_are_logged_once(
    caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(backoff, "MIN_POLL_SPREAD_SECONDS", 0.001)
    scripts = [[OVERLOADED_RESPONSE]] * 12
    discovery = ScriptedDiscovery(*scripts, [RESPONSE_HEAD, chunk(message(58))])
    events = await follow(discovery, 1, 13)
    assert events[0].version == 58
    failed = [record for record in caplog.records if "watch on discovery has failed" in record.getMessage()]
    assert len(failed) == 1


@async_test
async def test_rejected_version_is_not_requested_again() -> None:
    rejection = b"HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n"
    discovery = ScriptedDiscovery([rejection], [RESPONSE_HEAD, chunk(message(1))])
    await follow(discovery, 1, 2)
    assert discovery.request_paths[1] == "/v1/servers?follow=1"


@async_test
async def test_overloaded_discovery_receives_no_request_for_the_complete_list() -> None:
    discovery = ScriptedDiscovery([OVERLOADED_RESPONSE], [RESPONSE_HEAD, chunk(message(58))])
    await follow(discovery, 1, 2)
    assert discovery.request_paths[1] == "/v1/servers?follow=1&since=41"


@pytest.mark.parametrize("start", [b"HTTP/1.1 200 O", RESPONSE_HEAD])
@async_test
async def test_incomplete_head_and_incomplete_line_do_not_extend_the_timeout(
    start: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(watch_request, "SILENCE_TIMEOUT_SECONDS", 0.3)
    request_paths = list[str]()
    notified = asyncio.Event()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        request_paths.append(await read_request_path(reader))
        if len(request_paths) > 1:
            writer.write(RESPONSE_HEAD + chunk(message(58)))
            await reader.read()
            return
        writer.write(start)
        while True:  # sends slowly until the watcher closes the connection
            writer.write(chunk(b"{") if start is RESPONSE_HEAD else b"x")
            await writer.drain()
            await asyncio.sleep(0.02)

    async with running_server(serve) as address:
        host, port = address.split(":")
        timing = PollTiming(response_timeout=0.3)
        watcher = EndpointWatcher(host, int(port), 41, lambda _event: notified.set(), timing)
        task = asyncio.create_task(watcher.follow())
        await notified.wait()
        task.cancel()


@async_test
async def test_watch_is_restarted_to_receive_the_change_in_a_malformed_line() -> None:
    malformed_and_next = message(58, "upbeat") + message(59, host="s2")
    discovery = ScriptedDiscovery(
        [RESPONSE_HEAD, chunk(message(57) + malformed_and_next)],
        [RESPONSE_HEAD, chunk(message(59, "draining"))],
        close_connections=False,
    )
    events = await follow(discovery, 3, 2)
    assert [event.version for event in events] == [57, 59, 59]
    assert events[2].update.endpoints[0].health is model.EndpointHealth.DRAINING
    assert discovery.request_paths[1] == "/v1/servers?follow=1&since=57"


@async_test
async def test_watch_is_not_restarted_repeatedly_for_a_line_that_stays_malformed() -> None:
    malformed = message(58, "upbeat")
    discovery = ScriptedDiscovery(
        [RESPONSE_HEAD, chunk(malformed)],
        [RESPONSE_HEAD, chunk(malformed), chunk(message(60))],
        close_connections=False,
    )
    events = await follow(discovery, 1, 2)
    assert [event.version for event in events] == [60]
    assert len(discovery.request_paths) == 2


async def respond_at_once(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Serve a connection as an idle discovery does."""
    await reader.readuntil(b"\r\n\r\n")
    writer.write(RESPONSE_HEAD + chunk(message(58)))
    await reader.read()


@async_test
async def test_watchers_receive_the_list_within_six_seconds_after_their_connections_were_refused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Connections are refused for 12 s, then discovery returns. The test runs in a tenth of these times."""
    time_scale = 0.1
    scale_times(monkeypatch, time_scale)
    loop = asyncio.get_running_loop()
    async with running_server(ScriptedDiscovery().serve) as address:
        host, port = address.split(":")  # connections are refused from the end of this block on
    fleet = [FleetMember(address, seed, time_scale) for seed in range(24)]
    await asyncio.sleep(12 * time_scale)
    assert not any(member.first_event_at.done() for member in fleet)
    returned_at = loop.time()
    server = await asyncio.start_server(respond_at_once, host, int(port))
    delays = [await member.first_event_at - returned_at for member in fleet]
    for member in fleet:
        member.task.cancel()
    server.close()
    late = [delay for delay in delays if delay > 6 * time_scale]
    assert len(delays) == 24, late
    assert not late


@async_test
async def test_all_watchers_get_a_response_from_an_overloaded_discovery_with_a_queue(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Discovery responds in the order of arrival, and a client that leaves its queue gets no response.

    Serving the whole queue takes eight times the interval between two requests of a watcher.
    """
    time_scale = 0.1
    scale_times(monkeypatch, time_scale)
    discovery = QueueingDiscovery(responses_per_second=16.0)
    async with running_server(discovery.serve) as address:
        queue_task = asyncio.create_task(discovery.process_queue())
        fleet = [FleetMember(address, seed, time_scale) for seed in range(40)]
        for member in fleet:
            await member.first_event_at
        for task in (queue_task, *(member.task for member in fleet)):
            task.cancel()


@async_test
async def test_the_number_of_requests_without_a_response_is_limited(monkeypatch: pytest.MonkeyPatch) -> None:
    scale_times(monkeypatch, 0.02)
    unanswered = list[int]()
    discovery = QueueingDiscovery(responses_per_second=1.0)

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        unanswered.append(watcher.unanswered_requests)
        await discovery.serve(reader, writer)

    async with running_server(serve) as address:
        watcher = make_watcher(
            address,
            lambda _event: None,
            timing=PollTiming(client_count=1, response_timeout=0.02, max_interval=0.03),
            seed=1,
        )
        task = asyncio.create_task(watcher.follow())
        while len(unanswered) < 12:
            await asyncio.sleep(0.01)
        task.cancel()
        assert max(unanswered) == MAX_UNANSWERED_REQUESTS
        while discovery.open_connections:  # cancelling the watcher closes all of them
            await asyncio.sleep(0.01)


class FirstRequestDiscovery:
    """Responds only to its first request, once ``may_respond`` is set."""

    def __init__(self) -> None:
        self.may_respond = asyncio.Event()
        self.request_count = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        await reader.readuntil(b"\r\n\r\n")
        self.request_count += 1
        if self.request_count == 1:
            await self.may_respond.wait()
            writer.write(RESPONSE_HEAD)
        await asyncio.Event().wait()


def running_requests() -> list[asyncio.Task[Any]]:
    """Return the tasks of watch requests that have not ended."""
    return [task for task in asyncio.all_tasks() if "WatchRequest._run" in repr(task)]


@async_test
async def test_watcher_leaves_no_task_if_cancelled_when_a_response_starts(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The response goes to a request that is not the latest one.

    If the watcher did not cancel the task of that request, the task would run until the new watch ends.
    """
    scale_times(monkeypatch, 0.1)
    discovery = FirstRequestDiscovery()
    async with running_server(discovery.serve) as address:
        host, port = split_address(address)
        watcher = EndpointWatcher(host, port, None, lambda _event: None, PollTiming(response_timeout=0.1))
        following = asyncio.create_task(watcher.follow())
        on_response_started = watcher.on_response_started

        def cancel_when_answered(answered: Any) -> None:
            on_response_started(answered)
            following.cancel()

        watcher.on_response_started = cancel_when_answered  # type: ignore[method-assign]
        while discovery.request_count < 2:
            await asyncio.sleep(0.01)
        assert len(running_requests()) >= 2
        discovery.may_respond.set()
        await asyncio.wait([following])
        for _ in range(20):
            await asyncio.sleep(0)
        assert running_requests() == []
