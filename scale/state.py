"""State: bytes of a server, a customer, a connection, a count and a class, and the whole process."""

from __future__ import annotations

import asyncio
import gc
import json
import os
import selectors
import socket
import tracemalloc
from collections.abc import Callable
from contextlib import suppress
from dataclasses import asdict, replace
from statistics import median
from typing import Any

import uvloop

from quota_gateway import __main__ as _program  # noqa: F401  all of the program is in a limiter's memory
from quota_gateway import model
from quota_gateway.decisions.gateway import Gateway
from quota_gateway.net.connection_pool import ConnectionPool, Exchange
from quota_gateway.net.counter_client import CounterClient
from quota_gateway.net.dispatcher import Dispatcher, unix_clock
from quota_gateway.net.listener import ClientListener, RequestParser
from quota_gateway.net.watch_event import parse_watch_event
from quota_gateway.settings import settings_from
from scale import load_profile, regression
from scale.hollow import PLAN, TTL, Hollow, settings, whole_list
from scale.model import Budget, Effort, Figure, Origin, Result, ScaleTest, Size, Slope
from scale.sample_sizes import sample_sizes
from scale.worker import Job, call_all, resident

CONNECTIONS = 480  # a process has room for so many of clients and to servers, each (1,024 descriptors)
IN_FLIGHT = 2000  # counts out at once: far beyond any second's calls, for a slope that shows
CLASSES = 400
A_NAME = 32  # connections to one server: the program's bound is 64
PATIENCE = 30.0  # seconds for a stand-in's word
LOAD, HOUR = 180.0, 3600.0  # emulated seconds of load, then of churn
TURNOVER = 0.05  # of the customers go for good each minute of that hour, and as many new ones come (assumed)
WHOLE_RUNS = 3  # of the whole process at most: each is two hours' worth of ticks
DONE = b"done"
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"


class Refusing:
    """Decisions that turn each request away: all that is kept then is the connection's."""

    def handle(self, now: float, event: model.Event) -> list[model.Action]:
        return [model.Reject(event.id, 0.1)] if isinstance(event, model.Request) else []


# Jobs: each runs in a process of its own.


def held_by_servers(count: int, size: dict[str, Any]) -> int:
    """Bytes that decisions and sockets hold for a list of so many servers."""

    async def main() -> int:
        whole = replace(Size(**size), servers=count)
        gateway = Gateway(settings_from(settings(whole.limiters, 1.0)), 1, 0.0)
        upstream = ConnectionPool(unix_clock(), 0.25, 30.0, 64)
        text = whole_list(whole)
        tracemalloc.start()
        listing = parse_watch_event(json.loads(text))
        for entry in listing.update.endpoints:
            upstream.update_endpoint(entry.name, listing.addresses[entry.name], True)
        gateway.handle(0.0, listing.update)
        del listing, entry
        held = traced()
        upstream.close()
        return held

    return uvloop.run(main())


def held_by_customers(count: int, size: dict[str, Any]) -> int:
    """Bytes that the decisions hold for so many customers whose requests are over."""
    whole = Size(**size)
    gateway = Gateway(settings_from(settings(whole.limiters, 4.0)), 1, 0.0)
    gateway.handle(0.0, parse_watch_event(json.loads(whole_list(replace(whole, servers=20)))).update)
    tracemalloc.start()
    for i in range(count):
        now = 1.0 + i * 1e-3
        todo = gateway.handle(
            now, model.Request(i, "class-0", PLAN, TTL, f"{i:016x}", serving_gateways=min(3, whole.limiters))
        )
        while todo:
            action = todo.pop()
            if isinstance(action, model.Forward):
                done = model.AttemptCompleted(i, 0, action.endpoint, model.CallStatus.OK, 0.04, True, {})
                todo += gateway.handle(now, done)
            elif isinstance(action, model.IncrementCounter):
                todo += gateway.handle(
                    now, model.CounterReplied(action.counter_id, model.CallStatus.OK, action.amount)
                )
    return traced()


def held_by_counts(count: int) -> int:
    """Bytes that the counter's client holds for so many calls that have no answer yet."""

    async def main() -> int:
        client = CounterClient("127.0.0.1", 1, 3600.0)  # never started: the calls stand in its queue
        tracemalloc.start()
        for i in range(count):
            client.increment(2**62 + i, 1.0, 60.0, lambda _status, _total: None)
        return traced()

    return uvloop.run(main())


def held_by_classes(count: int) -> int:
    """Bytes that a configuration of so many classes holds: as read, as settings, and where they are used."""
    text = json.dumps(settings(3, 1.0, count))
    tracemalloc.start()
    raw = json.loads(text)
    read = settings_from(raw)
    held = raw, Gateway(read, 1, 0.0), RequestParser(read)
    size = traced()
    del held
    return size


def held_by_clients(count: int) -> tuple[int, int]:
    """Bytes, and memory in use, of so many kept connections of clients that have had an answer each."""

    def knock(said: socket.socket) -> None:
        port = int(said.recv(64))
        kept = [socket.create_connection(("127.0.0.1", port)) for _ in range(count)]
        for i, one in enumerate(kept):
            one.sendall(
                b"GET /class-0?account=%016x HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: %016x\r\n"
                b"X-Priority-Class: class-0\r\nX-Plan: basic\r\nX-Timeout-Ms: 2000\r\n"
                b"X-Quota: units=1,spread=3,first=1\r\n\r\n" % (i, i)
            )
            if not one.recv(4096).startswith(b"HTTP/1.1 429"):
                raise ConnectionError("a request was not refused")
        said.sendall(DONE)
        said.recv(1)  # keeps the connections until the other side ends

    async def main() -> tuple[int, int]:
        read = settings_from(settings(3, 1.0))
        upstream = ConnectionPool(unix_clock(), 0.25, 30.0, 64)
        node = Dispatcher(read, Refusing(), unix_clock(), upstream, None)
        # Ten times the room: a crowded frontend closes connections with their answers.
        frontend = ClientListener(node, read, 10 * count)
        _, port = await frontend.listen("127.0.0.1", 0)
        begun = measured_from()
        with suppress(BrokenPipeError):  # it is dead: the wait for its word tells
            said.sendall(b"%d" % port)
        await word(said)
        held = traced(), resident() - begun
        await frontend.close(0.0)
        upstream.close()
        return held

    said = stand_in(knock)
    return uvloop.run(main())


def held_by_server_side(count: int) -> tuple[int, int]:
    """Bytes, and memory in use, of so many kept connections to servers that have carried a request each."""

    def answer(said: socket.socket) -> None:
        waiting = selectors.DefaultSelector()
        waiting.register(listener, selectors.EVENT_READ)
        waiting.register(said, selectors.EVENT_READ)
        while True:
            for key, _ in waiting.select():
                if key.fileobj is listener:
                    waiting.register(listener.accept()[0], selectors.EVENT_READ)
                elif not (one := key.fileobj) or one is said or not one.recv(4096):  # type: ignore[union-attr]
                    return
                else:
                    one.sendall(OK)  # type: ignore[union-attr]

    async def main() -> tuple[int, int]:
        upstream = ConnectionPool(unix_clock(), PATIENCE, 10 * PATIENCE, count + 8)
        for i in range(0, count, A_NAME):
            upstream.update_endpoint(f"s-{i}", address, True)
        left, over = count, asyncio.get_running_loop().create_future()

        def done(exchange: Exchange) -> None:
            nonlocal left
            left -= 1
            if not over.done() and exchange.status is not model.CallStatus.OK:
                over.set_exception(ConnectionError(f"a request ended as {exchange.status.value}"))
            elif not over.done() and not left:
                over.set_result(None)

        begun = measured_from()
        for i in range(count):
            server, expires = f"s-{i // A_NAME * A_NAME}", unix_clock()() + PATIENCE
            head = b"GET /class-0 HTTP/1.1\r\nHost: %b\r\n" % server.encode()
            upstream.start(Exchange(server, head, b"", expires, done))
        try:
            await asyncio.wait_for(over, PATIENCE)
        except (ConnectionError, TimeoutError):
            await word(said)  # where the stand-in died, that is the cause
            raise
        held = traced(), resident() - begun
        upstream.close()
        said.close()
        return held

    listener = socket.create_server(("127.0.0.1", 0), backlog=1024)
    address = f"127.0.0.1:{listener.getsockname()[1]}"
    said = stand_in(answer)
    listener.close()
    return uvloop.run(main())


def whole_process(size: dict[str, Any], wide: bool, seed: int, load: float, hour: float) -> dict[str, float]:
    """Memory in use of a limiter's process at its start, with the list, after the load, after the churn."""

    async def main() -> dict[str, float]:
        seen = {"start": float(resident())}
        whole = Size(**size)
        limiter = Hollow(whole, wide, seed)
        upstream = ConnectionPool(unix_clock(), 0.25, 30.0, CONNECTIONS)

        def tell(text: str) -> None:
            listing = parse_watch_event(json.loads(text))
            if listing.update.complete:
                upstream.retain_only(set(listing.addresses))
            for entry in listing.update.endpoints:
                upstream.update_endpoint(
                    entry.name, listing.addresses[entry.name], entry.health is model.EndpointHealth.HEALTHY
                )
            limiter.feed(listing.update)

        limiter.begin()
        tell(limiter.whole())
        gc.collect()
        gc.freeze()  # as the program does once it is ready
        seen["list"] = float(resident())
        limiter.fill(min(20.0, load))
        limiter.run(max(0.0, load - 20.0))
        seen["load"], seen["known"] = float(resident()), float(limiter.known())
        minutes = max(1, round(hour / 60))
        changes = load_profile.daily_list_changes()
        for minute in range(minutes):
            limiter.move_on(max(1, round(TURNOVER * limiter.tenants)))
            for _ in range(changes // minutes):
                tell(limiter.change())
            if minute == minutes // 2:
                tell(limiter.whole())  # a watch begun anew
            limiter.run(60.0)
        seen["hour"], seen["left"] = float(resident()), float(limiter.known())
        seen["made"] = float(limiter.weight())
        upstream.close()
        return seen

    return uvloop.run(main())


# What the jobs share.


def traced() -> int:
    """Bytes that Python has allocated and not given back since ``tracemalloc`` began."""
    gc.collect()
    return tracemalloc.get_traced_memory()[0]


def measured_from() -> int:
    gc.collect()
    begun = resident()
    tracemalloc.start()
    return begun


def stand_in(play: Callable[[socket.socket], None]) -> socket.socket:
    """Play a peer in a forked process, so that its memory is not the limiter's; gives the line to it."""
    ours, theirs = socket.socketpair()
    if os.fork() == 0:
        ours.close()
        try:
            play(theirs)
        except Exception as error:
            theirs.sendall(f"{error!r:.200}".encode())
        finally:
            os._exit(0)  # the line to it ends, and so does the wait for its word
    theirs.close()
    ours.settimeout(PATIENCE)
    return ours


async def word(said: socket.socket) -> None:
    """Wait until a stand-in is done; ``ConnectionError`` where it died, with its own word on that."""
    told = await asyncio.to_thread(said.recv, 256)
    if told != DONE:
        raise ConnectionError(f"a stand-in died: {told.decode() or 'without a word'}")


# The test.


def slope(name: str, by: str, function: str, sizes: list[int], effort: Effort, **fixed: Any) -> list[Slope]:
    """The cost by size; a second slope where the job tells the memory in use as well."""
    at = [(count, run) for count in sizes for run in range(effort.runs)]
    jobs: list[Job] = [(f"scale.state:{function}", {"count": count, **fixed}) for count, _ in at]
    found = [one if isinstance(one, list) else [one] for one in call_all(jobs, effort.processes)]
    lines = []
    for which, unit in enumerate(("bytes", "bytes in use")[: len(found[0])]):
        by_size: dict[float, list[float]] = {}
        for (count, _), one in zip(at, found, strict=True):
            by_size.setdefault(count, []).append(one[which])
        lines.append(regression.line(name if not which else f"{name}, of the process", unit, by, by_size))
    return lines


def run(size: Size, budget: Budget, effort: Effort) -> Result:
    """Slopes of memory, and the whole process at both ends of the spread of customers."""
    given, result = asdict(size), Result()
    servers, customers = sample_sizes(size.servers, effort), sample_sizes(size.tenants, effort)
    connections, counts = sample_sizes(CONNECTIONS, effort), sample_sizes(IN_FLIGHT, effort)
    result.slopes += slope("state of the servers", "servers", "held_by_servers", servers, effort, size=given)
    result.slopes += slope(
        "state of the customers", "customers", "held_by_customers", customers, effort, size=given
    )
    result.slopes += slope("clients' connections", "connections", "held_by_clients", connections, effort)
    result.slopes += slope(
        "connections to servers", "connections", "held_by_server_side", connections, effort
    )
    result.slopes += slope("counts in flight", "counts", "held_by_counts", counts, effort)
    result.slopes += slope(
        "classes of the settings", "classes", "held_by_classes", sample_sizes(CLASSES, effort), effort
    )
    result.notes.append(
        "missing: routes and services have no place in the settings; a class is the nearest thing, and what "
        f"{size.routes} routes would come to is reckoned as if each were one"
    )
    result.notes.append(
        "bytes are what tracemalloc counts in a fresh process; 'of the process' is its resident memory, "
        "tracemalloc's own included"
    )
    if effort.quick:
        return result
    by_name = {one.name: one for one in result.slopes}
    for name, each, count in (
        ("state of the servers", "a server", size.servers),
        ("state of the customers", "a customer", size.tenants),
        ("clients' connections", "a client's connection", CONNECTIONS),
        ("connections to servers", "a connection to a server", CONNECTIONS),
        ("counts in flight", "a count in flight", None),
        ("classes of the settings", "a class, for a route", size.routes),
    ):
        line = by_name[name]
        how = f"slope of '{name}'"
        result.figures.append(Figure(f"bytes of {each}", "B", line.slope, Origin.MEASURED, how))
        if count is not None:
            held = line.slope * count / 1e6
            result.figures.append(Figure(f"{name}, {count}", "MB", held, Origin.DERIVED, f"{how} x {count}"))
    processes(size, budget, effort, result)
    return result


def processes(size: Size, budget: Budget, effort: Effort, result: Result) -> None:
    """The whole process at both ends."""
    given, runs = asdict(size), min(effort.runs, WHOLE_RUNS)
    # The longer ones first: they are what the run waits for.
    jobs: list[Job] = [
        ("scale.state:whole_process",
         {"size": given, "wide": wide, "seed": effort.seed + i, "load": LOAD, "hour": HOUR})
        for wide in (True, False)
        for i in range(runs)
    ]  # fmt: skip
    found = call_all(jobs, effort.processes)
    for wide, seen in ((False, found[runs:]), (True, found[:runs])):
        limiter = Hollow(size, wide, effort.seed)
        end = f"{limiter.tenants} customers at a limiter"
        for key, when in (
            ("start", "before the list"),
            ("list", "with the list"),
            ("load", f"after {LOAD:.0f} s of load"),
            ("hour", "after an hour of churn"),
        ):
            costs = [one[key] / 1e6 for one in seen]
            how = f"RSS, median of {runs} runs [{min(costs):.1f}..{max(costs):.1f}]"
            checked = budget.control_memory / 1e6 if key in ("load", "hour") else None
            result.figures.append(
                Figure(f"whole process, {end}, {when}", "MB", median(costs), Origin.MEASURED, how, checked)
            )
        made = median(one["made"] for one in seen) / 1e6
        known, left = (round(median(one[key] for one in seen)) for key in ("known", "left"))
        result.notes.append(
            f"whole process, {end}: {made:.1f} MB of it are tables of the made customers and counter, not "
            "the limiter's (what they weigh by sys.getsizeof); open connections are not in it; after the "
            f"load it knew {known} customers, after the hour {left}: who stays away for 60 s is forgotten"
        )
    result.notes.append(
        f"the hour of churn: the day's {load_profile.RESTARTS} restarts and {load_profile.FAILURES} failures "
        f"all come in it, a whole list once, and {TURNOVER:.0%} of the customers a minute go for good while as "
        "many come; the "
        f"load is {size.rate / size.limiters:.0f} requests a second, {LOAD:.0f} s of it before the hour"
    )


TEST = ScaleTest("state", "bytes of a server, customer, connection, count and class; the whole process", run)
