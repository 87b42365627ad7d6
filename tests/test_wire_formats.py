"""Formats on disk and on the wire, compared with literals: a rename in the code must not change any byte.

During an upgrade, processes of two versions exchange the files in the shared directory. Programs of the
platform parse the texts on the wire. Formats that other tests compare with literals are not repeated here.
"""

from __future__ import annotations

import asyncio
import fcntl
import importlib.util
import json
import os
import re
import tomllib
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from quota_gateway import model
from quota_gateway.config import Environment, parse_config
from quota_gateway.decisions.gateway import Gateway
from quota_gateway.net.admin.listener import AdminListener
from quota_gateway.net.common.metrics import Metrics
from quota_gateway.net.common.unix_clock import unix_clock
from quota_gateway.net.discovery.watch_event import WatchEvent
from quota_gateway.net.discovery.watcher import EndpointWatcher
from quota_gateway.net.dispatch.dispatcher import Dispatcher
from quota_gateway.net.process_group.group import ProcessGroup
from quota_gateway.net.upstream.pool import ConnectionPool
from quota_gateway.settings_parser import Timing, check_reloaded_settings, parse_settings, parse_timing
from tests.loopback import (
    SETTINGS,
    LoopbackLimiter,
    ScriptedDecisions,
    async_test,
    forward_to_s1,
    running_server,
    watch_event_listing,
)

ROOT = Path(__file__).parent.parent
OTHER_PROCESS_FILE = "process-31-0a1b2c3d"  # name of the file that a process of another version locks
HANDOVER_TEXT = """{"clock": 0.0,
 "done_rate": 0.5, "mean": 0.125, "units": 2.5, "bases": {"read": 0.04, "write": 0.08},
 "servers": [
  {"name": "s0", "born": 1.5, "cold_at": null, "answers": 3, "pace": 1.25, "slow": 1.125, "rate": 0.2},
  {"name": "s1", "born": 2.5, "cold_at": 9.5, "answers": 4, "pace": 1.75, "slow": 1.375, "rate": 0.3}],
 "accounts": [
  {"plan": "basic", "account": "00000000b4d65521", "gateways": 2, "level": 3.5, "floor": 1.5,
   "ceiling": 0.75, "others": 0.1, "synced": 7.5, "total": null},
  {"plan": "large", "account": "00000000c0ffee11", "gateways": 5, "level": 4.5, "floor": 2.25,
   "ceiling": 0.625, "others": 0.7, "synced": 8.5, "total": 6.5}]}"""
HANDOVER_STATE = model.HandoverState(
    0.5, 0.125, 2.5, {"read": 0.04, "write": 0.08},
    (
        model.EndpointHandover("s0", 1.5, None, 3, 1.25, 1.125, 0.2),
        model.EndpointHandover("s1", 2.5, 9.5, 4, 1.75, 1.375, 0.3),
    ),
    (
        model.AccountHandover("basic", "00000000b4d65521", 2, 3.5, 1.5, 0.75, 0.1, 7.5, None),
        model.AccountHandover("large", "00000000c0ffee11", 5, 4.5, 2.25, 0.625, 0.7, 8.5, 6.5),
    ),
)  # fmt: skip


def open_locked(path: Path, flags: int = fcntl.LOCK_EX | fcntl.LOCK_NB) -> int:
    """Lock a file as a process of another version does, creating it if missing; return its descriptor."""
    descriptor = os.open(path, os.O_RDWR | os.O_CREAT)
    fcntl.flock(descriptor, flags)
    return descriptor


def names_in(directory: Path) -> list[str]:
    return sorted(path.name for path in directory.iterdir())


@pytest.mark.parametrize(
    ("name", "directory"),
    [
        ("n1", "cypresspulley-6e31"), ("", "cypresspulley-"), ("ü/x", "cypresspulley-c3bc2f78"),
        ("a" * 40, "cypresspulley-" + "61" * 32),
    ],
)  # fmt: skip
def test_names_and_permissions_of_the_shared_directory_and_the_process_file(
    name: str, directory: str, tmp_path: Path
) -> None:
    group = ProcessGroup(str(tmp_path), name)
    assert names_in(tmp_path) == [directory]
    (own_file,) = (tmp_path / directory).iterdir()
    assert re.fullmatch(f"process-{os.getpid()}-[0-9a-f]{{8}}", own_file.name)
    assert (tmp_path / directory).stat().st_mode & 0o777 == 0o700
    assert own_file.stat().st_mode & 0o777 == 0o600
    with pytest.raises(BlockingIOError):
        open_locked(own_file, fcntl.LOCK_SH | fcntl.LOCK_NB)  # fails because the group's lock is exclusive
    group.close()
    assert names_in(tmp_path / directory) == []


def test_process_counts_as_running_while_its_file_is_locked(tmp_path: Path) -> None:
    group = ProcessGroup(str(tmp_path), "n1")
    directory = tmp_path / "cypresspulley-6e31"
    locked_file = open_locked(directory / OTHER_PROCESS_FILE)
    (directory / f"notes-for-{OTHER_PROCESS_FILE}").write_text(HANDOVER_TEXT)
    (directory / "other-31-0a1b2c3d").touch()
    assert group.count_processes() == 2
    os.close(locked_file)
    assert group.count_processes() == 1
    assert [name for name in names_in(directory) if name.endswith("0a1b2c3d")] == ["other-31-0a1b2c3d"]
    group.close()


def test_handover_file_is_written_for_another_process(tmp_path: Path) -> None:
    group = ProcessGroup(str(tmp_path), "n1")
    directory = tmp_path / "cypresspulley-6e31"
    locked_file = open_locked(directory / OTHER_PROCESS_FILE)
    group.write_handover(HANDOVER_STATE)
    group.close()
    assert names_in(directory) == [f"notes-for-{OTHER_PROCESS_FILE}", OTHER_PROCESS_FILE]
    assert json.loads((directory / f"notes-for-{OTHER_PROCESS_FILE}").read_bytes()) == json.loads(
        HANDOVER_TEXT
    )
    os.close(locked_file)


def test_handover_file_of_another_process_is_read(tmp_path: Path) -> None:
    group = ProcessGroup(str(tmp_path), "n1")
    directory = tmp_path / "cypresspulley-6e31"
    (own_name,) = names_in(directory)
    (directory / f"notes-for-{own_name}").write_text(HANDOVER_TEXT)
    assert group.read_handover() == HANDOVER_STATE
    assert names_in(directory) == [own_name]
    group.close()


def test_suspension_file_is_written_and_read(tmp_path: Path) -> None:
    group = ProcessGroup(str(tmp_path), "n1")
    directory = tmp_path / "cypresspulley-6e31"
    (own_name,) = names_in(directory)
    group.set_suspended("s2", suspended=True)
    group.set_suspended("s1", suspended=True)
    assert (directory / "bans.json").read_bytes() == b'{"out": ["s1", "s2"]}'
    assert names_in(directory) == ["bans.json", "bans.lock", own_name]
    (directory / "fresh").write_text('{"out": ["s7", "s3"]}')
    (directory / "fresh").rename(directory / "bans.json")
    assert group.read_suspensions() == {"s3", "s7"}
    assert group.set_suspended("s7", suspended=False) == {"s3"}
    assert (directory / "bans.json").read_bytes() == b'{"out": ["s3"]}'
    group.close()


def test_suspension_is_saved_only_after_the_lock_file_is_free(tmp_path: Path) -> None:
    group = ProcessGroup(str(tmp_path), "n1")
    directory = tmp_path / "cypresspulley-6e31"
    locked_file = open_locked(directory / "bans.lock")
    # The process does not wait for the lock, because that would block its event loop.
    assert group.set_suspended("s1", suspended=True) == {"s1"}
    assert not group.suspensions_saved
    assert not (directory / "bans.json").exists()
    os.close(locked_file)
    assert group.set_suspended("s2", suspended=True) == {"s1", "s2"}
    assert group.suspensions_saved
    assert json.loads((directory / "bans.json").read_bytes()) == {"out": ["s1", "s2"]}
    group.close()


METRICS_TEXT = """app.handled.lookup.passed=1
app.handled.lookup.dropped=2
app.handled.lookup.bad_gateway=3
app.handled.post.passed=0
app.handled.post.dropped=1
app.handled.post.bad_gateway=0
app.upstream_tries=11
app.in_progress=4
app.known_servers=2
app.skipped_servers=1
app.loads=6
app.load_errors=7
app.violations.answered_once=0
app.violations.answered_before_close=0
app.violations.sent_while_open=0
app.violations.one_request_a_connection=0
app.violations.one_attempt_at_a_time=0
app.violations.repeated_safely=0
app.violations.started_completely=0
EOT
"""


@async_test
async def test_replies_at_the_admin_address() -> None:
    metrics = Metrics(["lookup", "post"])
    clock = unix_clock()
    for status in (200, 429, 503, 502, 504, 400):
        metrics.record_request("lookup", status)
    metrics.record_request("post", 429)
    for _ in range(11):
        metrics.record_attempt()
    for _ in range(4):
        metrics.record_streaming_started()
    for succeeded in (*[True] * 6, *[False] * 7):
        metrics.record_reload(succeeded=succeeded)
    upstream = ConnectionPool(clock, 0.25, 30.0, 64)
    dispatcher = Dispatcher(SETTINGS, Gateway(SETTINGS, 1, clock()), clock, upstream, None, metrics)
    listener = AdminListener(dispatcher)
    address = await listener.listen("127.0.0.1", 0)

    async def send_command(line: bytes) -> str:
        reader, writer = await asyncio.open_connection(*address)
        writer.write(line)
        reply = await reader.read()
        writer.close()
        return reply.decode()

    assert await send_command(b"STATUS\n") == "FAILURE\n"
    dispatcher.on_watch_event(watch_event_listing({"s1": "127.0.0.1:1", "s2": "127.0.0.1:1"}))
    assert await send_command(b"STATUS\n") == "SUCCESS\n"
    assert await send_command(b"SUSPEND s1\n") == "SUCCESS\n"
    assert await send_command(b"METRICS\n") == METRICS_TEXT
    assert await send_command(b"RESTORE s1\n") == "SUCCESS\n"
    assert await send_command(b"RESTORE s1\n") == "SUCCESS\n"
    assert await send_command(b"SUSPEND s9\n") == "FAILURE\n"
    assert await send_command(b"METRICS\n") == METRICS_TEXT.replace("skipped_servers=1", "skipped_servers=0")
    await listener.close()
    upstream.close()


SETTINGS_TEXT = """{
 "me": 2, "n_instances": 7, "my_zone": "b", "discovery": "ask",
 "classes": [
  {"name": "read", "aim_s": 1.5, "worth": 2.5, "effect": "idempotent", "late_worth": 0.25, "group": "all",
   "window_s": 3.5, "hard_limit_s": 4.5},
  {"name": "pay", "aim_s": 5.5, "worth": 6.5, "effect": "deduplicated", "late_worth": 0.5, "group": "zone",
   "window_s": 7.5, "hard_limit_s": 8.5},
  {"name": "post", "aim_s": 9.5, "worth": 10.5, "effect": "at_most_once", "late_worth": 0.75,
   "group": "cell", "window_s": 11.5, "hard_limit_s": 12.5}],
 "tariffs": [
  {"name": "basic", "price": 1.25, "quota_rate": 2.25, "store_size": 3.25, "parallel": 4, "over_worth": 5.25,
   "over_cost": 6.25, "never_over_rate": 7.25, "hard_burst": 8.25}],
 "limits": {"max_attempts": 3, "may_duplicate": true, "cancel": true, "probes": true, "retry_after": true,
  "max_retry_after_s": 1.75, "dial_timeout_s": 0.375, "conn_idle_s": 21.5},
 "report": {"how": "on_probe"},
 "specifics": {"has_counter": true, "count_wait_s": 0.0625, "max_units": 16.5},
 "contract": {"cold_from": 0.2, "warm_after_s": 5.125, "fall_multiple": 2.125, "fall_s": 2.375,
  "stop_sending_within_s": 2.0}}"""
PARSED_SETTINGS = model.Settings(
    gateway_index=2,
    gateway_count=7,
    zone="b",
    classes=(
        model.RequestClass(
            "read", 1.5, 2.5, model.Idempotency.INHERENT, 0.25, model.DeduplicationScope.ALL, 3.5, 4.5
        ),
        model.RequestClass(
            "pay", 5.5, 6.5, model.Idempotency.KEYED, 0.5, model.DeduplicationScope.ZONE, 7.5, 8.5
        ),
        model.RequestClass(
            "post", 9.5, 10.5, model.Idempotency.NONE, 0.75, model.DeduplicationScope.CELL, 11.5, 12.5
        ),
    ),
    plans=(model.Plan("basic", 1.25, 2.25, 3.25, 4, 5.25, 6.25, 7.25, 8.25),),
    max_attempts=3,
    may_hedge=True,
    may_cancel=True,
    may_check_health=True,
    load_in_health_check=True,
    has_counter=True,
    counter_timeout=0.0625,
    max_units=16.5,
    max_retry_after=1.75,
    initial_capacity=0.2,
    warm_up_time=5.125,
    overload_multiple=2.125,
    overload_window=2.375,
)


def test_settings_object_with_every_key_is_parsed() -> None:
    raw = json.loads(SETTINGS_TEXT)
    assert parse_settings(raw) == PARSED_SETTINGS
    assert parse_timing(raw) == Timing(0.375, 21.5, 7, 3.0, 4.5)
    assert parse_timing(raw | {"discovery": "push"}) == Timing(0.375, 21.5, 1, 0.6, 1.2, is_pushed=True)
    disabled = {"limits": raw["limits"] | {"retry_after": False}, "report": {"how": "on_answer"}}
    assert parse_settings(raw | disabled) == replace(
        PARSED_SETTINGS, max_retry_after=0.0, load_in_health_check=False
    )


def test_reloaded_settings_may_omit_the_class_key_aim_stretch() -> None:
    raw = json.loads(SETTINGS_TEXT)
    check_reloaded_settings(raw, raw | {"classes": [row | {"aim_stretch": 2.0} for row in raw["classes"]]})


@pytest.mark.parametrize("by_environment", [False, True])
def test_configuration_with_every_key_is_parsed(
    by_environment: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    raw: dict[str, Any] = {
        "name": "n4", "listen": "127.0.0.1:7001", "discovery": "127.0.0.1:7002", "counter": "127.0.0.1:7003",
        "mgmt": "127.0.0.1:7004", "seed": "1f", "limits": {"sockets": 333},
        "known": {"seq": 41, "whole": True, "hosts": [{"host": "s1", "dial": "[::1]:70", "health": "ready"}]},
        "settings": json.loads(SETTINGS_TEXT),
    }  # fmt: skip
    for variable in ("LB_NAME", "LB_MGMT"):
        monkeypatch.delenv(variable, raising=False)
    name, mgmt = "n4", 7004
    if by_environment:
        name, mgmt = "n5", 7005
        del raw["name"]
        monkeypatch.setenv("LB_NAME", "n5")
        monkeypatch.setenv("LB_MGMT", "127.0.0.1:7005")
    config = parse_config(raw, Environment.from_variables(os.environ))
    assert (config.name, config.seed, config.max_descriptors) == (name, 31, 333)
    addresses = config.listen, config.discovery, config.counter, config.admin
    assert addresses == tuple(("127.0.0.1", port) for port in (7001, 7002, 7003, mgmt))
    entry = model.Endpoint("s1", model.EndpointHealth.HEALTHY, "")
    assert config.initial_endpoints == WatchEvent(
        41, model.EndpointUpdate((entry,), complete=True), {"s1": "[::1]:70"}
    )
    assert config.settings == PARSED_SETTINGS
    assert config.timing == parse_timing(raw["settings"])


@pytest.mark.parametrize(("since", "query"), [(None, b""), (41, b"&since=41")])
@async_test
async def test_request_to_discovery_and_parsing_of_a_watch_event(since: int | None, query: bytes) -> None:
    line = (
        b'{"seq": 58, "whole": false, "hosts": [{"host": "s1", "dial": "10.1.0.18:7070", "site": "a", '
        b'"class": "m2", "block": 3, "health": "ready", "share": 1.5, "born_ms": 1800000000250}, '
        b'{"host": "s2", "dial": "10.1.0.19:7071", "site": "b", "block": 4, "health": "draining", '
        b'"share": 2.5, "born_ms": 1250}, {"host": "s3", "dial": "", "health": "gone"}]}\n'
    )
    entries = (
        model.Endpoint("s1", model.EndpointHealth.HEALTHY, "a", 3, 1.5, 1_800_000_000.25),
        model.Endpoint("s2", model.EndpointHealth.DRAINING, "b", 4, 2.5, 1.25),
        model.Endpoint("s3", model.EndpointHealth.REMOVED, ""),
    )
    addresses = {"s1": "10.1.0.18:7070", "s2": "10.1.0.19:7071", "s3": ""}
    requests = asyncio.Queue[bytes]()
    events = asyncio.Queue[WatchEvent]()

    async def handle_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        requests.put_nowait(await reader.readuntil(b"\r\n\r\n"))
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        writer.write(b"%x\r\n%b\r\n" % (len(line), line))
        await asyncio.Event().wait()

    async with running_server(handle_connection) as address:
        host, port = address.split(":")
        task = asyncio.create_task(EndpointWatcher(host, int(port), since, events.put_nowait).follow())
        assert await events.get() == WatchEvent(58, model.EndpointUpdate(entries, complete=False), addresses)
        request = b"GET /v1/servers?follow=1%b HTTP/1.1\r\nHost: %b\r\n\r\n" % (query, address.encode())
        assert await requests.get() == request
        task.cancel()


@async_test
async def test_requests_and_health_checks_to_an_endpoint_and_responses_to_a_client() -> None:
    request_heads = list[bytes]()
    served = asyncio.Queue[None]()

    def decide(event: model.Event) -> list[model.Action]:
        return [model.CheckHealth("s1")] if isinstance(event, model.EndpointUpdate) else forward_to_s1(event)

    async def handle_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            request_heads.append(await reader.readuntil(b"\r\n\r\n"))
            status = b"200 OK" if len(request_heads) < 4 else b"500 Error"
            writer.write(b"HTTP/1.1 %b\r\nX-A: b\r\nContent-Length: 2\r\n\r\nhi" % status)
            served.put_nowait(None)

    client_request = (
        b"GET /lookup?account=00000000b4d65521 HTTP/1.1\r\nHost: origin.svc\r\n"
        b"X-Request-ID: 9b1f03aa5c7e2d4%d\r\nX-Priority-Class: lookup\r\nX-Plan: basic\r\n"
        b"X-Timeout-Ms: 5000\r\nX-Quota: units=1,spread=3,first=1\r\nX-Retried: 1\r\n%b\r\n"
    )
    async with (
        running_server(handle_connection) as address,
        LoopbackLimiter(ScriptedDecisions(decide), {"s1": address}) as limiter,
    ):
        await served.get()
        limiter.dispatcher.reconfigure(replace(SETTINGS, load_in_health_check=True))
        limiter.dispatcher.on_watch_event(watch_event_listing({"s1": address}))
        await served.get()
        reader, writer = await limiter.connect()
        writer.write(client_request % (1, b""))
        accepted = await reader.readuntil(b"hi")
        writer.write(client_request % (2, b"Connection: close\r\n"))
        rejected = await reader.read()
        writer.close()
    assert accepted == b"HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 2\r\n\r\nhi"
    rejection = b"HTTP/1.1 429 Too Many Requests\r\nRetry-After: 0.250\r\nConnection: close\r\n"
    assert rejected == rejection + b"Content-Length: 0\r\n\r\n"
    # The last header holds the propagated deadline, the only part of a request that differs between runs.
    forwarded_request = (
        b"GET /lookup?account=00000000b4d65521 HTTP/1.1\r\nHost: origin.svc\r\n"
        b"X-Request-ID: 9b1f03aa5c7e2d4%d\r\nX-Priority-Class: lookup\r\nX-Plan: basic\r\n"
        b"X-Quota: units=1,spread=3,first=1\r\nX-Retried: 1\r\nX-Timeout-Ms: N\r\n\r\n"
    )
    assert [re.sub(rb": [0-9]+\r\n\r\n$", b": N\r\n\r\n", head) for head in request_heads] == [
        b"GET /healthz HTTP/1.1\r\nHost: s1\r\nX-Timeout-Ms: N\r\n\r\n",
        b"GET /load HTTP/1.1\r\nHost: s1\r\nX-Timeout-Ms: N\r\n\r\n",
        forwarded_request % 1,
        forwarded_request % 2,
    ]


def test_deploy_file_names_existing_files_and_modules() -> None:
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    assert sorted(deploy) == ["build", "node", "packages", "policy", "run", "sim"]
    assert deploy["packages"] == []
    for path in deploy["policy"] + deploy["node"]:
        assert (ROOT / path).exists(), path
    for key in ("run", "sim"):
        module = re.fullmatch(r"exec \.venv/bin/python -m ([a-z_.]+)", deploy[key])
        assert module
        assert importlib.util.find_spec(module[1]) is not None, module[1]
    for path in re.findall(r"(?:-r|cmp -s) (\S+)", deploy["build"]):
        assert (ROOT / path).exists(), path
