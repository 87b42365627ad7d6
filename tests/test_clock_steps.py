"""Slow start: it applies to every endpoint that has just started, even if a wall clock is wrong."""

from __future__ import annotations

import asyncio
import time
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from scale.stand_ins.discovery import DiscoveryStandIn, EndpointEntry
from tests.gateway_process import WIRE_SETTINGS, LimiterProcess, ProcessFaults, make_config, running_limiter
from tests.loopback import (
    OK_RESPONSE,
    ScriptedEndpoint,
    async_test,
    http_request,
    read_message,
    running_server,
)

HOUR = 3600.0  # seconds
REQUEST_GAP = 0.01  # seconds between a response and the next request
LEARNING_SECONDS = 2.5  # time in which the limiter measures the completion rate of a warm endpoint
COLD_SECONDS = 1.0  # time after the start of the cold endpoint in which requests are counted
# Seconds. The latency objective is ten times as long, so this is the initial latency estimate.
SERVICE_TIME = 0.005


def slow_start_config(endpoint: str, discovery: str) -> dict[str, Any]:
    raw = make_config(endpoint, discovery)
    raw["known"] = None
    contract = {"cold_from": 0.1, "warm_after_s": 10.0, "fall_multiple": 1.5, "fall_s": 1.0}
    raw["settings"] = WIRE_SETTINGS | {"contract": contract}
    raw["settings"]["classes"] = [WIRE_SETTINGS["classes"][0] | {"aim_s": 10 * SERVICE_TIME}]
    raw["settings"]["tariffs"] = [{"name": "basic", "quota_rate": 1e5, "store_size": 1e5}]
    return raw


class SlowEndpoint(ScriptedEndpoint):
    """Takes ``SERVICE_TIME`` for each request."""

    async def handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            self.requests.append(await read_message(reader))
            await asyncio.sleep(SERVICE_TIME)
            writer.write(OK_RESPONSE)


async def send_for(limiter: LimiterProcess, seconds: float) -> None:
    """Send one request after the other for this time."""
    reader, writer = await limiter.connect()
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        writer.write(http_request())
        await read_message(reader)
        await asyncio.sleep(REQUEST_GAP)
    writer.close()


@pytest.mark.parametrize(
    ("clock_error", "is_known", "start_error"),
    [
        pytest.param(0.0, False, 0.0, id="in step"),
        pytest.param(HOUR, False, 0.0, id="ahead"),
        pytest.param(-HOUR, False, 0.0, id="behind"),
        pytest.param(0.0, True, -12 * HOUR, id="restart with an earlier start time"),
        pytest.param(HOUR, True, 0.0, id="restart, ahead"),
        pytest.param(0.0, False, -HOUR, id="new endpoint with an earlier start time"),
    ],
)
@async_test
async def test_a_started_endpoint_gets_a_slow_start_despite_wrong_clocks(
    clock_error: float, is_known: bool, start_error: float, tmp_path: Path, faults: ProcessFaults
) -> None:
    """Either the limiter's clock is wrong when it starts, or the clock of the started endpoint's machine."""
    warm = SlowEndpoint()
    cold = SlowEndpoint()
    faults.control.step_clock(clock_error)
    async with (
        running_server(warm.handle_connection) as warm_address,
        running_server(cold.handle_connection) as cold_address,
    ):
        cold_entry = EndpointEntry("s2", cold_address, zone="a")
        entries = [EndpointEntry(f"warm-{number}", warm_address, zone="a") for number in range(3)]
        if is_known:
            entries.append(replace(cold_entry, started_at_ms=int((time.time() - 10 * HOUR) * 1000)))
        discovery = DiscoveryStandIn(entries)
        raw = slow_start_config(warm_address, await discovery.open())
        async with running_limiter(raw, tmp_path, environment=faults.environment) as limiter:
            await send_for(limiter, LEARNING_SECONDS)
            before = len(warm.requests), len(cold.requests)
            started_at_ms = int((time.time() + start_error) * 1000)
            discovery.publish(replace(cold_entry, started_at_ms=started_at_ms))
            await send_for(limiter, COLD_SECONDS)
            sent_to_warm = len(warm.requests) - before[0]
            sent_to_cold = len(cold.requests) - before[1]
            assert sent_to_cold < 0.1 * sent_to_warm
        discovery.close()
