"""The watch on discovery over loopback sockets: chunks, versions, silence, odd lines."""

from __future__ import annotations

import asyncio
from random import Random

import pytest

from quota_gateway import model
from quota_gateway.net import backoff, endpoint_watch
from quota_gateway.net.endpoint_watch import EndpointWatcher
from quota_gateway.net.watch_event import WatchEvent
from quota_gateway.settings import timing_from
from tests.discovery_server import HEAD, Agent, Line, chunk, faster, message
from tests.loopback import listening, run


async def follow(agent: Agent, count: int, connections: int = 1) -> list[WatchEvent]:
    heard, enough = list[WatchEvent](), asyncio.Event()

    def tell(listing: WatchEvent) -> None:
        heard.append(listing)
        if len(heard) >= count and len(agent.asked) >= connections:
            enough.set()

    async with listening(agent.talk) as address:
        host, port = address.split(":")
        task = asyncio.create_task(EndpointWatcher(host, int(port), 41, tell).follow())
        await enough.wait()
        task.cancel()
    return heard


def test_chunks_end_where_they_like() -> None:
    async def main() -> None:
        data = message(42) + b"\n" + message(43, "draining") + message(44, "gone", dial="")
        pieces = [HEAD] + [chunk(data[at : at + 11]) for at in range(0, len(data), 11)]
        heard = await follow(Agent(pieces), 3)
        states = [listing.update.endpoints[0].health for listing in heard]
        assert states == [
            model.EndpointHealth.HEALTHY,
            model.EndpointHealth.DRAINING,
            model.EndpointHealth.REMOVED,
        ]

    run(main())


def test_a_watch_that_ends_goes_on_from_the_last_version() -> None:
    async def main() -> None:
        agent = Agent([HEAD, chunk(message(57))], [HEAD, chunk(message(58))])
        await follow(agent, 2, 2)
        assert agent.asked == ["/v1/servers?follow=1&since=41", "/v1/servers?follow=1&since=57"]

    run(main())


def test_a_silent_watch_is_begun_anew(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(endpoint_watch, "SILENCE", 0.2)

    async def main() -> None:
        agent = Agent([HEAD], [HEAD, chunk(message(58))], end=False)
        await follow(agent, 1, 2)
        assert len(agent.asked) == 2

    run(main())


def test_odd_lines_are_dropped_and_the_watch_goes_on() -> None:
    async def main() -> None:
        odd = [
            b"not json\n", b"[]\n", b'{"seq":1}\n', b'{"seq":1,"whole":true,"hosts":[3]}\n', b"\xff\n",
            message(9, "upbeat"), message(9, dial="nowhere"), message(9, born_ms="then"),
        ]  # fmt: skip
        heard = await follow(Agent([HEAD, chunk(b"".join(odd) + message(60))]), 1)
        assert [listing.version for listing in heard] == [60]

    run(main())


def test_an_empty_list_leaves_the_last_and_a_row_of_odd_lines_is_logged_once(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def main() -> None:
        empty = b'{"seq":58,"whole":true,"hosts":[]}\n'
        nothing_new = b'{"seq":59,"whole":false,"hosts":[]}\n'
        heard = await follow(
            Agent([HEAD, chunk(empty * 30 + b"not json\n" * 30 + nothing_new + message(60))]), 2
        )
        assert [(listing.version, listing.update.complete) for listing in heard] == [
            (59, False),
            (60, False),
        ]

    run(main())
    assert len([r for r in caplog.records if "dropped a line" in r.getMessage()]) == 1


def test_a_row_of_calls_in_vain_is_logged_once(
    caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(backoff, "LEAST_SPREAD", 0.001)

    async def main() -> None:
        busy = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
        heard = await follow(Agent(*[[busy]] * 12, [HEAD, chunk(message(58))]), 1, 13)
        assert heard[0].version == 58

    run(main())
    assert len([r for r in caplog.records if "watch on discovery ended" in r.getMessage()]) == 1


def test_a_refused_version_is_not_asked_for_again() -> None:
    async def main() -> None:
        agent = Agent([b"HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n"], [HEAD, chunk(message(1))])
        await follow(agent, 1, 2)
        assert agent.asked[1] == "/v1/servers?follow=1"

    run(main())


def test_a_watch_turned_away_as_too_busy_is_not_asked_for_the_whole_list() -> None:
    async def main() -> None:
        busy = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
        agent = Agent([busy], [HEAD, chunk(message(58))])
        await follow(agent, 1, 2)
        assert agent.asked[1] == "/v1/servers?follow=1&since=41"

    run(main())


@pytest.mark.parametrize("start", [b"HTTP/1.1 200 O", HEAD])
def test_half_a_head_and_a_line_without_an_end_are_silence(
    start: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(endpoint_watch, "SILENCE", 0.3)

    async def main() -> None:
        asked, heard = list[str](), asyncio.Event()

        async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            asked.append((await reader.readuntil(b"\r\n\r\n")).decode().split()[1])
            if len(asked) > 1:
                writer.write(HEAD + chunk(message(58)))
                await reader.read()
                return
            writer.write(start)
            while True:  # it trickles until the limiter ends the connection
                writer.write(chunk(b"{") if start is HEAD else b"x")
                await writer.drain()
                await asyncio.sleep(0.02)

        async with listening(talk) as address:
            host, port = address.split(":")
            watch = EndpointWatcher(host, int(port), 41, lambda _listing: heard.set())
            watch.answer = 0.3
            task = asyncio.create_task(watch.follow())
            await heard.wait()
            task.cancel()

    run(main())


def test_the_change_in_an_unreadable_line_is_asked_for_again() -> None:
    async def main() -> None:
        lost = message(58, "upbeat") + message(59, host="s2")
        agent = Agent([HEAD, chunk(message(57) + lost)], [HEAD, chunk(message(59, "draining"))], end=False)
        heard = await follow(agent, 3, 2)
        assert [listing.version for listing in heard] == [57, 59, 59]
        assert heard[2].update.endpoints[0].health is model.EndpointHealth.DRAINING
        assert agent.asked[1] == "/v1/servers?follow=1&since=57"

    run(main())


def test_a_line_that_stays_unreadable_is_not_asked_for_in_a_row() -> None:
    async def main() -> None:
        odd = message(58, "upbeat")
        agent = Agent([HEAD, chunk(odd)], [HEAD, chunk(odd), chunk(message(60))], end=False)
        heard = await follow(agent, 1, 2)
        assert [listing.version for listing in heard] == [60] and len(agent.asked) == 2

    run(main())


def test_a_limiter_that_was_refused_for_long_has_the_list_in_time(monkeypatch: pytest.MonkeyPatch) -> None:
    """On sockets, in a tenth of the time: nobody listens, then discovery is back where it was."""
    waits, scale = timing_from({"discovery": "ask", "n_instances": 200}), 0.1
    faster(monkeypatch, scale)

    async def main() -> None:
        loop, heard, late = asyncio.get_running_loop(), dict[int, float](), list[float]()
        async with listening(Agent().talk) as address:
            host, port = address.split(":")  # free again when this ends, and refused

        async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(HEAD + chunk(message(58)))
            await reader.read()

        async def one(n: int) -> None:
            got = asyncio.Event()

            def tell(_listing: WatchEvent) -> None:
                heard[n] = loop.time()
                got.set()

            watch = EndpointWatcher(
                host, int(port), 41, tell, 200, Random(n), waits.answer * scale, waits.call_again * scale
            )
            task = asyncio.create_task(watch.follow())
            await got.wait()
            task.cancel()

        limiters = [asyncio.create_task(one(n)) for n in range(24)]
        await asyncio.sleep(12 * scale)
        assert not heard
        back = loop.time()
        server = await asyncio.start_server(talk, host, int(port))
        await asyncio.wait(limiters)
        server.close()
        late = [at - back for at in heard.values() if at - back > 6 * scale]
        assert len(heard) == 24 and not late, late

    run(main())


def test_an_overbooked_discovery_tells_all_in_the_order_of_their_coming(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The line is eight times as long as a call waits for the next: who leaves it never comes to its head."""
    scale = 0.1
    faster(monkeypatch, scale)
    waits = timing_from({"discovery": "ask", "n_instances": 200})

    async def main() -> None:
        line, told = Line(per_second=16.0), list[asyncio.Event]()
        async with listening(line.talk) as address:
            host, port = address.split(":")
            tasks = [asyncio.create_task(line.serve())]
            for n in range(40):
                heard = asyncio.Event()
                told.append(heard)
                watch = EndpointWatcher(
                    host,
                    int(port),
                    41,
                    lambda _listing, heard=heard: heard.set(),  # type: ignore[misc]
                    200,
                    Random(n),
                    waits.answer * scale,
                    waits.call_again * scale,
                )
                tasks.append(asyncio.create_task(watch.follow()))
            for heard in told:
                await heard.wait()
            for task in tasks:
                task.cancel()

    run(main())


def test_few_calls_wait_beside_each_other_for_a_discovery_that_answers_none(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    faster(monkeypatch, 0.02)

    async def main() -> None:
        asked, line = list[int](), Line(per_second=1.0)

        async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            asked.append(len(watch._waiting))
            await line.talk(reader, writer)

        async with listening(talk) as address:
            host, port = address.split(":")
            watch = EndpointWatcher(host, int(port), 41, lambda _listing: None, 1, Random(1), 0.02, 0.03)
            task = asyncio.create_task(watch.follow())
            while len(asked) < 12:
                await asyncio.sleep(0.01)
            task.cancel()
            assert max(asked) == endpoint_watch.MOST_CALLS
            while line.open:  # its end takes all of them along
                await asyncio.sleep(0.01)

    run(main())
