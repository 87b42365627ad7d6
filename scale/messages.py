"""Messages: bytes and calls a second of lists, watches, counter and probes, and of a resync of all."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import asdict, replace
from random import Random
from statistics import mean, median
from typing import Any, TypeVar

import uvloop

from quota_gateway import model
from quota_gateway.net.connection_pool import ConnectionPool
from quota_gateway.net.counter_client import CounterClient
from quota_gateway.net.dispatcher import Dispatcher, unix_clock
from quota_gateway.net.endpoint_watch import EndpointWatcher
from quota_gateway.net.watch_event import WatchEvent, parse_watch_event
from quota_gateway.settings import settings_from
from scale import load_profile, regression
from scale.hollow import CALM, STORE, TENSE, Hollow, Mix, settings, told, whole_list
from scale.model import Budget, Effort, Figure, Origin, Result, ScaleTest, Size
from scale.sample_sizes import PARTS, QUICK, sample_sizes
from scale.worker import Job, call, call_all

CALLS = 200  # to the counter, whose bytes are counted
IDLE = 21.0  # seconds in which the pings of a quiet client are counted: ten of each connection
QUICK_IDLE = 2.5
PATIENCE = 10.0  # seconds for an answer of the real code
KEEP_ALIVE, EVERY = b"1\r\n\n\r\n", 2.0  # an empty line as a chunk; seconds between two
WARM, LOAD = 240.0, 60.0  # emulated seconds until the limiter's own bound on calls has risen, and of load
PROBED = 60.0  # seconds from a failure until the list tells it, in which a server is probed (assumed)
PROBE_EVERY = 2.0  # seconds between two probes of it: it rests one and a half ticks, and ticks tell the time
LISTS = (8.0, 100.0)  # calls a second that discovery serves (assumed)

T = TypeVar("T")


class Tap:
    """A stand-in on a port of its own; counts what comes and what it says."""

    def __init__(self) -> None:
        self.heard, self.said = 0, 0
        self._died: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    async def wait(self, over: asyncio.Future[T]) -> T:
        """What ``over`` gives; an error of the stand-in's own, or ``TimeoutError``, ends the wait for it."""
        await asyncio.wait((over, self._died), timeout=PATIENCE, return_when=asyncio.FIRST_COMPLETED)
        if self._died.done():
            raise ConnectionError(f"a stand-in died: {self._died.exception()!r}")
        return await asyncio.wait_for(over, 0.1)

    async def line(self, reader: asyncio.StreamReader, end: bytes) -> bytes:
        data = await reader.readuntil(end)
        self.heard += len(data)
        return data

    def say(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        self.said += len(data)
        writer.write(data)

    @asynccontextmanager
    async def listening(self, talk: Callable[..., Awaitable[None]]) -> Any:
        async def guarded(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            try:
                await talk(self, reader, writer)
            except (OSError, EOFError, asyncio.CancelledError):
                pass  # the limiter's side ended it
            except Exception as error:
                if not self._died.done():
                    self._died.set_exception(error)
            writer.transport.abort()

        server = await asyncio.start_server(guarded, "127.0.0.1", 0)
        try:
            yield server.sockets[0].getsockname()
        finally:
            server.close()


def chunk(text: str) -> bytes:
    """A line of the watch as a chunk of its answer."""
    data = text.encode() + b"\n"
    return b"%x\r\n%b\r\n" % (len(data), data)


# Jobs.


def counter_bytes(idle: float = IDLE) -> dict[str, float]:
    """Bytes of a call with its answer, and a second of a client that has nothing to ask."""

    async def counter(tap: Tap, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        total = 0.0
        while True:
            words = (await tap.line(reader, b"\n")).split()
            if words[0] == b"tally":
                total += float(words[2])
                tap.say(writer, b"ok %.7g\r\n" % total)
            else:
                tap.say(writer, b"pong\r\n")

    async def main() -> dict[str, float]:
        tap, rng = Tap(), Random(1)
        async with tap.listening(counter) as (host, port):
            client = CounterClient(host, port, PATIENCE)
            client.start()
            left, over = CALLS, asyncio.get_running_loop().create_future()

            def done(status: model.CallStatus, _total: float) -> None:
                nonlocal left
                left -= 1
                if not over.done() and status is not model.CallStatus.OK:
                    over.set_exception(ConnectionError(f"a call ended as {status.value}"))
                elif not over.done() and not left:
                    over.set_result(None)

            for _ in range(CALLS):
                client.increment(rng.getrandbits(63), rng.randrange(1, 5), 60.0, done)
            await tap.wait(over)
            asked, answered = tap.heard, tap.said
            await asyncio.sleep(idle)
            client.close()
            pings = (tap.heard - asked + tap.said - answered) / idle
            return {"asked": asked / CALLS, "answered": answered / CALLS, "pings": pings}

    return uvloop.run(main())


def probe_bytes() -> dict[str, float]:
    """Bytes of a probe with its answer."""

    class Probing:
        def __init__(self) -> None:
            self.ended: asyncio.Future[model.CallStatus] = asyncio.get_running_loop().create_future()

        def handle(self, now: float, event: model.Event) -> list[model.Action]:
            if isinstance(event, model.HealthChecked):
                self.ended.set_result(event.status)
            return [model.CheckHealth("s-00000000")] if isinstance(event, model.TimerFired) else []

    async def server(tap: Tap, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            await tap.line(reader, b"\r\n\r\n")
            tap.say(writer, b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

    async def main() -> dict[str, float]:
        tap, probing = Tap(), Probing()
        async with tap.listening(server) as (host, port):
            upstream = ConnectionPool(unix_clock(), PATIENCE, 30.0, 8)
            upstream.update_endpoint("s-00000000", f"{host}:{port}", True)
            node = Dispatcher(settings_from(settings(3, 1.0)), probing, unix_clock(), upstream, None)
            node.dispatch(model.TimerFired(0))
            status = await tap.wait(probing.ended)
            if status is not model.CallStatus.OK:
                raise ConnectionError(f"the probe ended as {status.value}")
            upstream.close()
        return {"asked": float(tap.heard), "answered": float(tap.said)}

    return uvloop.run(main())


def watch_bytes(size: dict[str, Any]) -> dict[str, float]:
    """Bytes of a whole list by the real client: its call, and the answer up to the list's last byte."""
    whole = Size(**size)

    async def discovery(tap: Tap, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await tap.line(reader, b"\r\n\r\n")
        tap.say(writer, b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n")
        tap.say(writer, b"Transfer-Encoding: chunked\r\n\r\n")
        tap.say(writer, chunk(whole_list(whole)))
        await reader.read()

    async def main() -> dict[str, float]:
        tap, heard = Tap(), asyncio.get_running_loop().create_future()

        def tell(listing: WatchEvent) -> None:
            if not heard.done():
                heard.set_result(len(listing.addresses))

        async with tap.listening(discovery) as (host, port):
            follower = asyncio.create_task(EndpointWatcher(host, port, None, tell).follow())
            servers = await tap.wait(heard)
            follower.cancel()
        if servers != whole.servers:
            raise ValueError(f"a list of {whole.servers} servers was read as one of {servers}")
        return {"asked": float(tap.heard), "answered": float(tap.said)}

    return uvloop.run(main())


def counter_calls(
    size: dict[str, Any], wide: bool, near: float, over: float, seed: int, warm: float, load: float
) -> dict[str, float]:
    """Calls and requests a second of one limiter whose counter answers all: at first, and later on."""
    limiter = Hollow(Size(**size), wide, seed, Mix(near, over))
    limiter.begin()
    limiter.run(load / 2)
    limiter.calls = limiter.arrived = 0
    limiter.run(load / 2)
    first = limiter.calls / (load / 2)
    limiter.run(warm)
    limiter.calls = limiter.arrived = limiter.refused = 0
    limiter.run(load)
    return {
        "first": first,
        "calls": limiter.calls / load,
        "requests": limiter.arrived / load,
        "refused": limiter.refused / max(1, limiter.arrived),
    }


# The test.


def run(size: Size, budget: Budget, effort: Effort) -> Result:
    """Bytes of each message, calls by load and mix, and what they come to at the size."""
    result = Result()
    at = [(n, run) for n in sample_sizes(size.servers, effort) for run in range(effort.runs)]
    jobs: list[Job] = [
        ("scale.messages:watch_bytes", {"size": asdict(replace(size, servers=n))}) for n, _ in at
    ]
    lists: dict[float, list[float]] = {}
    for (servers, _), one in zip(at, call_all(jobs, effort.processes), strict=True):
        lists.setdefault(servers, []).append(one["answered"])
    result.slopes.append(regression.line("a whole list, by servers", "bytes", "servers", lists))
    demand = calls(size, effort, result)
    counter, probe = (
        call("scale.messages:counter_bytes", idle=QUICK_IDLE if effort.quick else IDLE),
        call("scale.messages:probe_bytes"),
    )
    result.notes.append(
        "bytes are those of the messages, without TCP's and IP's own; the watch's lines are as short as JSON "
        "allows, and discovery's and the servers' answers bear the fewest headers"
    )
    result.notes.append(
        f"counter: {CALM.near:.0%} of the customers are near their quota, {CALM.over:.0%} at three times it "
        f"(calm), or {TENSE.near:.0%} and {TENSE.over:.0%} (tense), the rest at 0.3 of it; a customer's "
        f"store holds {STORE:.0f} s of its quota; refused clients do not come again; the made counter "
        f"answers each call in 5 ms, so that after {WARM:.0f} emulated seconds the limiter's own bound binds "
        "no more: that is what it wants. A counter that is full slows its answers, and the limiters keep to "
        "what it bears"
    )
    if not effort.quick:
        rates(size, budget, result, lists[size.servers], counter, probe, demand)
    return result


def calls(size: Size, effort: Effort, result: Result) -> dict[tuple[bool, str], list[dict[str, float]]]:
    """Slopes of the counter's calls by load; gives the runs at the full load."""
    warm, load = (20.0, 10.0) if effort.quick else (WARM, LOAD)
    series = [(wide, name, mix) for wide in (False, True) for name, mix in (("calm", CALM), ("tense", TENSE))]
    parts = [part * (QUICK if effort.quick else 1.0) for part in PARTS]
    at = [(*one, part, run) for one in series for part in parts for run in range(effort.runs)]
    jobs: list[Job] = []
    for wide, _, mix, part, run in at:
        less = replace(size, rate=size.rate * part, tenants=max(1, round(size.tenants * part)))
        jobs.append(
            ("scale.messages:counter_calls",
             {"size": asdict(less), "wide": wide, "near": mix.near, "over": mix.over,
              "seed": effort.seed + run, "warm": warm, "load": load})
        )  # fmt: skip
    full: dict[tuple[bool, str], list[dict[str, float]]] = {}
    by_load: dict[tuple[bool, str], dict[float, list[float]]] = {}
    for (wide, name, _, part, _), one in zip(at, call_all(jobs, effort.processes), strict=True):
        place = size.rate * part / size.limiters
        by_load.setdefault((wide, name), {}).setdefault(place, []).append(one["calls"])
        if part == 1.0:
            full.setdefault((wide, name), []).append(one)
    for (wide, name), costs in by_load.items():
        end = f"{size.limiters if wide else min(size.spread, size.limiters)} limiters a customer"
        result.slopes.append(
            regression.line(f"counter calls of a limiter, {end}, {name}", "calls/s", "requests/s", costs)
        )
    return full


def rates(
    size: Size, budget: Budget, result: Result, lists: list[float], counter: dict[str, float],
    probe: dict[str, float], demand: dict[tuple[bool, str], list[dict[str, float]]],
) -> None:  # fmt: skip
    """What the messages come to a second and limiter, and a resync of all."""
    put = result.figures.append
    limiter = Hollow(size, False, 1)
    lines = [limiter.change() for _ in range(300)]
    for line in lines:
        parse_watch_event(json.loads(line))  # what is counted is what the limiter reads
    change = mean(len(chunk(line)) for line in lines)
    put(Figure("a change of the list", "B", change, Origin.MEASURED, "mean of 300 lines as chunks"))
    alone = len(chunk(told([], 2, False)))
    put(Figure("the same without the server's row", "B", alone, Origin.MEASURED, "a line without rows"))
    whole = median(lists)
    put(Figure("a whole list", "B", whole, Origin.MEASURED, f"{size.servers} servers, with its head"))
    a_call = counter["asked"] + counter["answered"]
    put(
        Figure("a counter call with its answer", "B", a_call, Origin.MEASURED, f"mean of {CALLS} on a socket")
    )
    put(
        Figure(
            "pings of a quiet counter client", "B/s", counter["pings"], Origin.MEASURED, f"{IDLE:.0f} s idle"
        )
    )
    a_probe = probe["asked"] + probe["answered"]
    put(Figure("a probe with its answer", "B", a_probe, Origin.MEASURED, "one on a socket"))
    watch = len(KEEP_ALIVE) / EVERY
    put(Figure("keep-alives of a watch", "B/s", watch, Origin.DERIVED, "an empty line as a chunk each 2 s"))
    probes = load_profile.FAILURES * PROBED / PROBE_EVERY / load_profile.DAY
    how = f"{load_profile.FAILURES} failures a day, "
    how += f"each probed every {PROBE_EVERY:.0f} s for {PROBED:.0f} s (assumed)"
    put(Figure("probes of a limiter", "/s", probes, Origin.DERIVED, how))
    asked = {key: median(one["calls"] for one in runs) for key, runs in demand.items()}
    for (wide, name), runs in demand.items():
        end = f"{size.limiters if wide else min(size.spread, size.limiters)} limiters a customer, {name}"
        per = asked[wide, name] / max(1e-9, median(one["requests"] for one in runs))
        put(Figure(f"counter calls a request, {end}", "", per, Origin.MEASURED, "hollow limiter, full load"))
        first = median(one["first"] for one in runs) * size.limiters
        how = f"x {size.limiters} limiters, 30 to 60 s after their start, before their own bound has risen"
        put(Figure(f"counter calls at first, {end}", "/s", first, Origin.DERIVED, how, budget.counter_calls))
        fleet = asked[wide, name] * size.limiters
        how = f"x {size.limiters} limiters; what they ask where the counter bears it all"
        put(Figure(f"counter calls wanted, {end}", "/s", fleet, Origin.DERIVED, how, budget.counter_calls))
    # What the counter bears at least, shared evenly; a small fleet wants less.
    bound = min(budget.counter_calls / size.limiters, *asked.values())
    for roll in (False, True):
        when = load_profile.when(roll)
        changes = load_profile.list_changes(roll)
        rest = watch + changes * change + counter["pings"] + probes * a_probe
        for what, each in (
            (f"{bound:.2f} counter calls a second", bound),
            *((f"counter calls as wanted, {'all' if w else 'few'} limiters a customer, {n}", c)
              for (w, n), c in asked.items()),
        ):  # fmt: skip
            parts = (
                f"watch {watch:.1f}, {changes:.3f} changes/s {changes * change:.1f}, counter "
                f"{each * a_call:.1f}, pings {counter['pings']:.1f}, probes {probes * a_probe:.2f}"
            )
            put(Figure(f"bytes of a limiter, {when}, {what}", "B/s", rest + each * a_call, Origin.DERIVED,
                       parts, budget.control_bytes))  # fmt: skip
    everyone = whole * size.limiters / 1e6
    put(Figure("a resync of all limiters", "MB", everyone, Origin.DERIVED, f"{size.limiters} whole lists"))
    for served in LISTS:
        how = (
            f"{size.limiters} lists at {served:.0f} calls a second (assumed); a watch begun anew with its "
            "version may be told the changes alone"
        )
        seconds = size.limiters / served
        put(Figure(f"a resync of all limiters, {served:.0f} calls/s", "s", seconds, Origin.ASSUMED, how,
                   budget.list_in_force))  # fmt: skip


TEST = ScaleTest("messages", "bytes and calls a second of lists, watches, counter and probes; a resync", run)
