"""The trusted idle time of connections after stale ones, through the pool."""

from __future__ import annotations

import asyncio

import pytest

from quota_gateway.model import CallStatus
from quota_gateway.net.upstream import idle_connections
from quota_gateway.net.upstream.exchange import Exchange
from tests.loopback import OK_RESPONSE, ScriptedEndpoint, async_test, read_message, running_server
from tests.pool_harness import PoolHarness


async def break_on_reuse(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Respond to a connection's first request, and break the connection at the second one."""
    await read_message(reader)
    writer.write(OK_RESPONSE)
    await read_message(reader)


async def reuse_until_break(harness: PoolHarness, idle_time: float, break_delay: float) -> Exchange:
    """Return an exchange on a connection that was idle for ``idle_time`` and breaks after ``break_delay``."""
    assert (await harness.fetch()).status is CallStatus.OK
    idle_since = harness.clock()
    harness.set_clock(idle_since + idle_time)
    _, completed = harness.start()
    harness.set_clock(idle_since + idle_time + break_delay)
    return await completed


@async_test
async def test_after_an_idle_connection_broke_on_reuse_none_of_that_idle_time_is_reused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(idle_connections, "SETTLE_DELAY_SECONDS", 0.0)
    async with running_server(break_on_reuse) as address, PoolHarness(address) as harness:
        results = list[CallStatus]()
        for second in range(6):  # on a stopped clock, so that all idle times are the same
            harness.set_clock(float(second))
            results.append((await harness.fetch()).status)
        assert results == [CallStatus.OK, CallStatus.RESET_AFTER_REQUEST, *[CallStatus.OK] * 4]


@pytest.mark.parametrize(("break_delay", "reused"), [(0.06, True), (0.001, False)])
@async_test
async def test_only_an_immediate_break_shows_that_a_connection_was_stale(
    break_delay: float, reused: bool
) -> None:
    origin = ScriptedEndpoint()
    async with (
        running_server(break_on_reuse) as breaking,
        running_server(origin.handle_connection) as sound,
        PoolHarness(breaking) as harness,
    ):
        harness.pool.update_endpoint("s2", sound, available=True)
        harness.set_clock(harness.clock())
        broken = await reuse_until_break(harness, 0.2, break_delay)
        assert broken.status is CallStatus.RESET_AFTER_REQUEST
        await harness.fetch(endpoint="s2")
        harness.set_clock(harness.clock() + 0.18)  # above the trusted fraction of 0.2 s
        await harness.fetch(endpoint="s2")
        assert origin.connection_count == (1 if reused else 2)


@async_test
async def test_random_breaks_do_not_end_the_reuse_of_connections() -> None:
    origin = ScriptedEndpoint()
    async with (
        running_server(break_on_reuse) as breaking,
        running_server(origin.handle_connection) as sound,
        PoolHarness(breaking) as harness,
    ):
        harness.pool.update_endpoint("s2", sound, available=True)
        harness.set_clock(harness.clock())
        for _ in range(5):  # each after the shortest idle time at which a connection is reused
            broken = await reuse_until_break(harness, 0.031, 0.001)
            assert broken.status is CallStatus.RESET_AFTER_REQUEST
        await harness.fetch(endpoint="s2")
        harness.set_clock(harness.clock() + 0.04)
        await harness.fetch(endpoint="s2")
        assert origin.connection_count == 1
