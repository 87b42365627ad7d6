"""``python -m quota_gateway``: one limiter, configured by the file that LB_CONFIG names."""

from __future__ import annotations

import asyncio
import gc
import json
import logging
import os
import signal
import socket
import sys
import time
from dataclasses import dataclass, field, replace
from random import Random
from typing import Any

import uvloop

from quota_gateway import model
from quota_gateway.decisions.gateway import Gateway
from quota_gateway.net.admin import AdminListener
from quota_gateway.net.connection_pool import ConnectionPool
from quota_gateway.net.counter_client import CounterClient
from quota_gateway.net.discovery_client import DiscoveryClient
from quota_gateway.net.dispatcher import Dispatcher, unix_clock
from quota_gateway.net.http_common import split_address
from quota_gateway.net.listener import ClientListener
from quota_gateway.net.metrics import Metrics
from quota_gateway.net.process_group import ProcessGroup
from quota_gateway.net.watch_event import WatchEvent, parse_watch_event
from quota_gateway.settings_parser import Timing, check_retuned, settings_from, timing_from

log = logging.getLogger("quota_gateway")

SPARE_SOCKETS = 48  # descriptors kept for everything but clients and servers, and for those being closed
SPARE_OF_TWO = 24  # for each process, while two of them share the descriptors
ACCEPT_FOR = 0.5  # seconds after SIGTERM for which clients still come
# SIGKILL may come this long after SIGTERM, on top of the longest deadline or of 3 s where that is longer.
# What it finds unanswered is lost unless it came early: all is answered, and all connections end, before.
GRACE, LONGEST = 0.7, 3.0
FLUSH_WITHIN = 0.15  # for the answers to what even then is open
SPARE = 0.2  # and kept between them and SIGKILL: the signal may have been noticed late
LOGS_A_SECOND = 20


@dataclass(frozen=True, slots=True)
class Config:
    listen: tuple[str, int]
    discovery: tuple[str, int]
    counter: tuple[str, int] | None
    mgmt: tuple[str, int] | None
    name: str
    seed: int
    sockets: int
    known: WatchEvent | None
    settings: model.Settings
    timing: Timing
    raw: dict[str, Any] = field(repr=False, compare=False)


class ConfigError(Exception):
    """A configuration that cannot be run."""


class LogRateLimit(logging.Filter):
    """Drops what exceeds so many lines a second, and tells how many."""

    def __init__(self, per_second: int) -> None:
        super().__init__()
        self._limit, self._second, self._seen = per_second, 0, 0

    def filter(self, record: logging.LogRecord) -> bool:
        if (second := int(time.monotonic())) != self._second:
            dropped, self._second, self._seen = self._seen - self._limit, second, 0
            if dropped > 0:
                record.msg = f"{record.msg} (and {dropped} lines dropped before)"
        self._seen += 1
        return self._seen <= self._limit


def config_from(raw: Any) -> Config:
    """The configuration object; ``ConfigError`` names what is wrong."""
    if not isinstance(raw, dict) or not isinstance(raw.get("settings"), dict):
        raise ConfigError("the configuration is not an object with settings")
    try:
        limits = raw.get("limits") or {}
        return Config(
            listen=split_address(str(raw.get("listen"))),
            discovery=split_address(str(raw.get("discovery"))),
            counter=split_address(str(raw["counter"])) if raw.get("counter") else None,
            # Two processes of one limiter may read one file: what the environment says is this one's.
            mgmt=split_address(mgmt) if (mgmt := os.environ.get("LB_MGMT") or raw.get("mgmt")) else None,
            name=str(raw.get("name") or os.environ.get("LB_NAME") or ""),
            seed=int(str(raw.get("seed") or "0"), 16),
            sockets=int(limits.get("sockets") or 1024),
            known=parse_watch_event(raw["known"]) if raw.get("known") else None,
            settings=settings_from(raw["settings"]),
            timing=timing_from(raw["settings"]),
            raw=raw,
        )
    except (ValueError, TypeError, AttributeError) as error:
        raise ConfigError(str(error)) from None


def load_config(path: str | None) -> Config:
    if not path:
        raise ConfigError("LB_CONFIG is not set")
    try:
        with open(path, encoding="utf-8") as file:
            raw = json.load(file)
    except (OSError, ValueError) as error:
        raise ConfigError(f"cannot read {path}: {error}") from None
    return config_from(raw)


def inherited_socket() -> socket.socket | None:
    """The clients' listening socket, where the platform holds it and hands it to every process."""
    text = os.environ.get("LB_LISTEN_FD")
    if not text:
        return None
    try:
        taken = socket.socket(fileno=int(text))
        if taken.type is not socket.SOCK_STREAM or not taken.getsockopt(
            socket.SOL_SOCKET, socket.SO_ACCEPTCONN
        ):
            raise ValueError("it does not listen")
    except (OSError, ValueError) as error:
        raise ConfigError(f"LB_LISTEN_FD={text:.20}: {error}") from None
    return taken


def share_of(sockets: int, processes: int) -> tuple[int, int]:
    """Connections that this process may hold, of clients and to servers."""
    if processes > 1:
        # Clients hold a third of all at most, and leave the old process one by one: it needs room for most.
        clients = max(8, sockets // (2 * processes))
        return clients, max(8, (sockets - SPARE_OF_TWO * processes) // processes - clients)
    # Usual clients hold a third of all at most; what silent ones hold beyond gives way to them.
    each = max(8, (sockets - SPARE_SOCKETS) // 2)
    return each, each


def answer_time(settings: model.Settings) -> float:
    """Seconds for what was taken, once clients no longer come."""
    longest = max((c.deadline for c in settings.classes), default=0.0)
    return min(longest or LONGEST, LONGEST) + GRACE - SPARE - FLUSH_WITHIN - ACCEPT_FOR


class Reload:
    """SIGHUP: the file is read again, and taken whole or not at all."""

    def __init__(
        self,
        config: Config,
        node: Dispatcher,
        frontend: ClientListener,
        upstream: ConnectionPool,
        follower: DiscoveryClient,
        counter: CounterClient | None,
        figures: Metrics,
    ) -> None:
        self._config, self._node, self._frontend, self._upstream = config, node, frontend, upstream
        self._follower, self._counter, self._figures = follower, counter, figures

    def __call__(self) -> None:
        try:
            new = load_config(os.environ.get("LB_CONFIG"))
            check_retuned(new.raw["settings"], self._config.raw["settings"])
            new.settings.validate()
            if self._config.counter is not None and new.counter is None:
                raise ConfigError("counter is missing")
        except (ConfigError, ValueError) as error:
            # A half-written or wrong file must not end a limiter that serves.
            self._figures.reload_errors += 1
            log.error("the configuration was not reloaded: %s", error)
            return
        self._figures.reloads += 1
        self._follower.watch(*new.discovery)
        if self._counter is not None and new.counter is not None:
            self._counter.set_address(*new.counter)
            self._counter.set_timeout(new.settings.counter_timeout or self._config.settings.counter_timeout)
        self._upstream.set_timeouts(new.timing.dial_timeout, new.timing.conn_idle)
        if new.settings != self._config.settings:
            self._frontend.parser.reconfigure(new.settings)
            self._node.reconfigure(new.settings)
        same = replace(
            self._config, discovery=new.discovery, counter=new.counter, known=new.known,
            settings=new.settings, timing=new.timing,
        )  # fmt: skip
        retuned, self._config = new.settings != self._config.settings, replace(new, listen=same.listen)
        log.info(
            "the configuration was reloaded%s%s",
            f": classes {', '.join(c.name for c in new.settings.classes)}, "
            f"{new.settings.max_attempts} attempts" * retuned,
            "" if new == same else "; some of it needs a restart",
        )


async def serve(config: Config) -> None:
    """Run one limiter until SIGTERM or SIGINT."""
    loop, stop = asyncio.get_running_loop(), asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.set_exception_handler(
        lambda _loop, context: log.error("%s", context.get("message"), exc_info=context.get("exception"))
    )
    clock = unix_clock()
    # Where there is no second address nobody can take a server out, and no second process comes.
    shared = ProcessGroup(os.environ.get("TMPDIR") if config.mgmt else None, config.name)
    clients, servers = share_of(config.sockets, 1)
    timing, figures = config.timing, Metrics(c.name for c in config.settings.classes)
    upstream = ConnectionPool(clock, timing.dial_timeout, timing.conn_idle, servers, figures)
    timeout = config.settings.counter_timeout
    rng = Random(config.seed)
    counter = CounterClient(*config.counter, timeout, rng) if config.counter and timeout else None
    try:
        gateway = Gateway(config.settings, config.seed, clock())
    except ValueError as error:
        raise ConfigError(str(error)) from None
    node = Dispatcher(config.settings, gateway, clock, upstream, counter, figures, shared)
    frontend = ClientListener(node, config.settings, clients, figures)
    mgmt = AdminListener(node) if config.mgmt else None

    def together(processes: int, bans: frozenset[str]) -> None:
        clients, servers = share_of(config.sockets, processes)
        frontend.set_max_connections(clients)
        upstream.set_max_connections(servers)
        node.on_process_group_changed(processes, bans)

    shared.watch(together, node.on_handover)
    if config.known is not None:
        node.on_watch_event(config.known)
    try:
        # Where no socket is handed over, a new version can still stand beside the old one.
        await frontend.listen(*config.listen, inherited_socket(), beside=config.mgmt is not None)
        if mgmt is not None and config.mgmt is not None:
            await mgmt.listen(*config.mgmt)
    except OSError as error:
        raise ConfigError(f"cannot listen: {error}") from None
    since = config.known.version if config.known else None
    follower = DiscoveryClient(node.on_watch_event, timing.callers, rng, timing.answer, timing.call_again)
    follower.watch(*config.discovery, since)
    if counter is not None:
        counter.start()
    loop.add_signal_handler(
        signal.SIGHUP, Reload(config, node, frontend, upstream, follower, counter, figures)
    )
    gc.collect()
    gc.freeze()  # what is here now stays: the collector need not walk it again
    log.info(
        "ready: gateway %d of %d, %d descriptors, counter waits %.0f ms, idle connections end after %.1f s, "
        "retry after %.2f s at most",
        config.settings.gateway_index, config.settings.gateway_count, config.sockets,
        config.settings.counter_timeout * 1000, timing.conn_idle, config.settings.max_retry_after,
    )  # fmt: skip
    await stop.wait()
    log.info("stopping")
    frontend.start_draining()
    node.begin_shutdown()
    answer_within = answer_time(node.settings)
    if shared.process_count > 1:
        # The other process takes what comes. Clients that hold connections here leave with their next answer;
        # closed sooner, one would cross a request on its way.
        await frontend.stop_accepting()
        await frontend.wait_until_empty(ACCEPT_FOR + answer_within)
    else:
        await asyncio.sleep(ACCEPT_FOR)  # clients do not know yet: what they still open is taken and answered
        await frontend.close(answer_within)
    node.abandon_all()
    await frontend.close(FLUSH_WITHIN)
    if mgmt is not None:
        mgmt.close()
    shared.close()
    follower.close()
    upstream.close()
    if counter is not None:
        counter.close()


def main() -> int:
    handler = logging.StreamHandler(sys.stderr)
    handler.addFilter(LogRateLimit(LOGS_A_SECOND))
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until the loop handles it: it must never end the process
    logging.basicConfig(level=logging.INFO, handlers=[handler], format="%(asctime)s %(name)s: %(message)s")
    try:
        uvloop.run(serve(load_config(os.environ.get("LB_CONFIG"))))
    except ConfigError as error:
        print(f"quota_gateway: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
