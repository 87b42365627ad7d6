"""Unexpected exceptions: the service continues, and each attempt is reported as ended."""

from __future__ import annotations

import asyncio
import itertools
from random import Random
from types import ModuleType
from typing import Any

import pytest

from quota_gateway import model
from quota_gateway.model import CallStatus
from quota_gateway.net.common.invariants import Invariant, Violation
from quota_gateway.net.counter import connector as counter_connector
from quota_gateway.net.counter.client import CounterClient
from quota_gateway.net.discovery import watcher as watcher_module
from quota_gateway.net.discovery.watcher import EndpointWatcher
from quota_gateway.net.upstream import connector, idle_connections
from quota_gateway.net.upstream.exchange_control import ExchangeControl
from tests.connect_faults import replace_create_connection
from tests.loopback import (
    LoopbackLimiter,
    ScriptedDecisions,
    ScriptedEndpoint,
    async_test,
    forward_to_s1,
    http_request,
    running_server,
)
from tests.pool_harness import PoolHarness


class UnexpectedError(Exception):
    """An error that the called library does not document."""


def fail_first_connect(monkeypatch: pytest.MonkeyPatch, module: ModuleType) -> None:
    """Have the first connect that the module makes raise an unexpected error."""
    connects = itertools.count(1)

    async def fail_or_connect(*args: Any) -> Any:
        if next(connects) == 1:
            raise UnexpectedError
        return await asyncio.get_running_loop().create_connection(*args)

    replace_create_connection(monkeypatch, module, fail_or_connect)


@async_test
async def test_an_attempt_whose_connect_raises_ends_and_frees_its_connection_slot(
    monkeypatch: pytest.MonkeyPatch, no_violations: list[Violation]
) -> None:
    async with (
        running_server(ScriptedEndpoint().handle_connection) as address,
        PoolHarness(address, max_connections=1) as harness,
    ):
        fail_first_connect(monkeypatch, connector)
        async with asyncio.timeout(2.0):
            assert (await harness.fetch(timeout=5.0)).status is CallStatus.NOT_SENT
            assert (await harness.fetch(timeout=5.0)).status is CallStatus.OK
    assert [violation.invariant for violation in no_violations] == [Invariant.STARTED_COMPLETELY]
    no_violations.clear()


@async_test
async def test_the_counter_client_connects_again_after_a_connect_that_raises(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    connected = asyncio.Event()

    async def serve(reader: asyncio.StreamReader, _writer: asyncio.StreamWriter) -> None:
        connected.set()
        await reader.read()

    async with running_server(serve) as address:
        host, port = address.split(":")
        fail_first_connect(monkeypatch, counter_connector)
        client = CounterClient(host, int(port), 1.0, Random(1))
        client.start()
        async with asyncio.timeout(3.0):
            await connected.wait()
        client.close()


@async_test
async def test_the_watcher_polls_discovery_after_an_unexpected_error(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    polled = asyncio.Event()

    async def serve(reader: asyncio.StreamReader, _writer: asyncio.StreamWriter) -> None:
        polled.set()
        await reader.read()

    failures = iter([UnexpectedError()])

    def fail_once(*_args: Any, **_options: Any) -> float:
        for failure in failures:
            raise failure
        return 0.0

    monkeypatch.setattr(watcher_module, "poll_delay", fail_once)
    async with running_server(serve) as address:
        host, port = address.split(":")
        watcher = EndpointWatcher(host, int(port), None, lambda _event: None)
        follow_task = asyncio.create_task(watcher.follow())
        async with asyncio.timeout(3.0):
            await polled.wait()
        follow_task.cancel()


@pytest.mark.parametrize("on_reused_connection", [True, False])
@async_test
async def test_an_attempt_that_raises_after_its_write_counts_as_possibly_executed(
    on_reused_connection: bool, monkeypatch: pytest.MonkeyPatch, no_violations: list[Violation]
) -> None:
    """If the attempt were reported as not sent, the decisions could retry the request unsafely."""
    monkeypatch.setattr(idle_connections, "SETTLE_DELAY_SECONDS", 0.0)
    script = ScriptedDecisions(forward_to_s1)
    async with (
        running_server(ScriptedEndpoint().handle_connection) as address,
        LoopbackLimiter(script, {"s1": address}) as limiter,
    ):
        if on_reused_connection:
            assert " 200 " in (await limiter.fetch(http_request()))[0]

        def fail(*_arguments: object) -> None:
            raise UnexpectedError

        monkeypatch.setattr(ExchangeControl, "record_request_written", fail)
        _, writer = await limiter.connect()
        writer.write(http_request("/post?account=00000000b4d65521", b"abc"))
        completed = await script.wait_for(model.AttemptCompleted, 1 + on_reused_connection)
        assert completed[-1].status not in model.PROVES_NOT_EXECUTED
        writer.close()
    assert {violation.invariant for violation in no_violations} == {Invariant.STARTED_COMPLETELY}
    no_violations.clear()
