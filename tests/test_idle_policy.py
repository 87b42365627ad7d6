"""``IdlePolicy`` through the pool: only stale connections reduce the idle limit, and not to zero."""

from __future__ import annotations

import asyncio

import pytest

from quota_gateway.model import CallStatus
from quota_gateway.net.upstream import idle_connections
from quota_gateway.net.upstream.exchange import Exchange
from tests.loopback import OK_RESPONSE, ScriptedEndpoint, async_test, read_message, running_server
from tests.pool_harness import PoolHarness


async def break_on_reuse(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Respond to the first request on a connection, and close the connection at the second one."""
    await read_message(reader)
    writer.write(OK_RESPONSE)
    await read_message(reader)


async def reuse_until_break(harness: PoolHarness, idle_time: float, break_delay: float) -> Exchange:
    """Reuse a connection after ``idle_time``; it breaks ``break_delay`` later. Return the failed exchange."""
    assert (await harness.fetch()).status is CallStatus.OK
    idle_since = harness.clock()
    harness.set_clock(idle_since + idle_time)
    _, completed = harness.start()
    harness.set_clock(idle_since + idle_time + break_delay)
    return await completed


@async_test
async def test_a_break_on_reuse_prevents_reuse_after_the_same_idle_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(idle_connections, "SETTLE_DELAY_SECONDS", 0.0)
    async with running_server(break_on_reuse) as address, PoolHarness(address) as harness:
        results = list[CallStatus]()
        for second in range(6):  # all idle times are equal on a stopped clock
            harness.set_clock(float(second))
            results.append((await harness.fetch()).status)
        assert results == [CallStatus.OK, CallStatus.RESET_AFTER_REQUEST, *[CallStatus.OK] * 4]


@pytest.mark.parametrize(("break_delay", "reused"), [(0.06, True), (0.001, False)])
@async_test
async def test_only_an_immediate_break_on_reuse_reduces_the_idle_limit(
    break_delay: float, reused: bool
) -> None:
    endpoint = ScriptedEndpoint()
    async with (
        running_server(break_on_reuse) as breaking,
        running_server(endpoint.handle_connection) as healthy,
        PoolHarness(breaking) as harness,
    ):
        harness.pool.update_endpoint("s2", healthy, available=True)
        harness.set_clock(harness.clock())
        broken = await reuse_until_break(harness, 0.2, break_delay)
        assert broken.status is CallStatus.RESET_AFTER_REQUEST
        await harness.fetch(endpoint="s2")
        harness.set_clock(harness.clock() + 0.18)  # exceeds the reduced limit, 0.7 of 0.2 s
        await harness.fetch(endpoint="s2")
        assert endpoint.connection_count == (1 if reused else 2)


@async_test
async def test_random_breaks_do_not_end_the_reuse_of_connections() -> None:
    endpoint = ScriptedEndpoint()
    async with (
        running_server(break_on_reuse) as breaking,
        running_server(endpoint.handle_connection) as healthy,
        PoolHarness(breaking) as harness,
    ):
        harness.pool.update_endpoint("s2", healthy, available=True)
        harness.set_clock(harness.clock())
        for _ in range(5):  # after just over the settle delay, the shortest idle time for reuse
            broken = await reuse_until_break(harness, 0.031, 0.001)
            assert broken.status is CallStatus.RESET_AFTER_REQUEST
        await harness.fetch(endpoint="s2")
        harness.set_clock(harness.clock() + 0.04)
        await harness.fetch(endpoint="s2")
        assert endpoint.connection_count == 1
