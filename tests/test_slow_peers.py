"""Peers that accept long bodies slowly are served, and peers that accept nothing are disconnected.

The limiter's timeout checks are called with times of the test, so that no test waits for a timeout.
"""

from __future__ import annotations

import pytest

from quota_gateway.model import CallStatus
from quota_gateway.net.upstream import pool
from tests.body_transfers import (
    SCAN_SECONDS,
    SlowReader,
    begin_upload,
    harness_for,
    pass_time,
    serve_slow_network,
)
from tests.http_bodies import LONG_BODY
from tests.loopback import async_test

STEP_SECONDS = 25.0  # of the limiter's clock, between two reads of a slow peer
STEPS = 4  # together far longer than the stall timeout
STEP_BYTES = 128 * 1024
CLIENT_BUFFER_BYTES = 32 * 1024
SETTLE_SECONDS = 0.1  # real time in which the system passes on what was read


@pytest.fixture(autouse=True)
def scans_by_the_test(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(pool, "SCAN_INTERVAL_SECONDS", SCAN_SECONDS)


@async_test
async def test_upload_is_whole_if_its_endpoint_accepts_it_slowly() -> None:
    """Guards against uploads that are cut off although their endpoint goes on reading."""
    endpoint = SlowReader()
    server = await serve_slow_network(endpoint.serve)
    async with server, harness_for(server) as harness:
        completed = await begin_upload(harness)
        for _ in range(STEPS):
            endpoint.allowed.put_nowait(STEP_BYTES)
            await pass_time(harness, STEP_SECONDS)
            assert not completed.done()
        endpoint.allowed.put_nowait(len(LONG_BODY))
        assert (await completed).status is CallStatus.OK
