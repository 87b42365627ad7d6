"""``Metrics``: requests are counted by the status of their response, and their counts survive a reload.

``test_wire_formats.py`` checks the text of the metrics byte by byte.
"""

from __future__ import annotations

from pathlib import Path

import pytest

from quota_gateway.net.common.metrics import Metrics
from soak.ports import free_port
from tests.admin_client import fetch_metrics, parse_metrics, send_command, stalled_connections
from tests.gateway_process import LimiterProcess, make_config, running_limiter
from tests.loopback import (
    OK_RESPONSE,
    ScriptedEndpoint,
    async_test,
    http_request,
    read_message,
    running_server,
)


def rendered(metrics: Metrics) -> dict[str, int]:
    return parse_metrics(metrics.render(open_requests=0, known_endpoints=3, avoided_endpoints=1) + "EOT\n")


@pytest.mark.parametrize(
    ("status", "name"),
    [(200, "passed"), (429, "dropped"), (503, "dropped"), (502, "bad_gateway"), (504, "bad_gateway")],
)
def test_request_is_counted_by_the_status_of_its_response(status: int, name: str) -> None:
    metrics = Metrics(["lookup"])
    metrics.record_request("lookup", status)
    counts = {key: value for key, value in rendered(metrics).items() if key.startswith("app.handled.")}
    assert counts.pop(f"app.handled.lookup.{name}") == 1
    assert list(counts.values()) == [0, 0]


def test_request_class_that_is_registered_again_keeps_its_counts() -> None:
    metrics = Metrics(["lookup"])
    metrics.record_request("lookup", 200)
    metrics.record_request("fresh", 200)  # the class is not registered yet
    metrics.register_classes(["fresh", "lookup"])
    assert rendered(metrics)["app.handled.lookup.passed"] == 1
    assert rendered(metrics)["app.handled.fresh.passed"] == 0


def break_second_response(count: int) -> bytes:
    return b"" if count == 2 else OK_RESPONSE


async def request(limiter: LimiterProcess) -> str:
    """Send a request; return the status line of its response."""
    reader, writer = await limiter.connect()
    writer.write(http_request())
    status_line, _, _ = await read_message(reader)
    return status_line


async def check_metrics_of_requests(limiter: LimiterProcess, port: int) -> None:
    before = await fetch_metrics(port)
    assert before["app.handled.lookup.passed"] == 0
    assert before["app.upstream_tries"] == 0
    assert before["app.loads"] == 0
    assert before["app.known_servers"] == 1
    assert before["app.skipped_servers"] == 0
    for _ in range(2):
        await request(limiter)
    after = await fetch_metrics(port)
    assert after["app.handled.lookup.passed"] == 2
    assert after["app.upstream_tries"] == 3
    assert after["app.in_progress"] == 0
    assert after["app.handled.lookup.dropped"] == 0


async def check_metrics_of_a_suspended_endpoint(limiter: LimiterProcess, port: int) -> None:
    for _ in range(2):
        assert await send_command(port, b"SUSPEND s1") == "SUCCESS\n"
    assert (await fetch_metrics(port))["app.skipped_servers"] == 1
    assert " 429 " in await request(limiter)
    assert (await fetch_metrics(port))["app.handled.lookup.dropped"] == 1
    assert await send_command(port, b"RESTORE s1") == "SUCCESS\n"


@async_test
async def test_running_limiter_counts_requests_and_endpoints(tmp_path: Path) -> None:
    port = free_port()
    async with (
        running_server(ScriptedEndpoint(break_second_response).handle_connection) as address,
        running_limiter(
            make_config(address), tmp_path, LB_MGMT=f"127.0.0.1:{port}", TMPDIR=str(tmp_path)
        ) as limiter,
        stalled_connections(port),
    ):
        await check_metrics_of_requests(limiter, port)
        await check_metrics_of_a_suspended_endpoint(limiter, port)
