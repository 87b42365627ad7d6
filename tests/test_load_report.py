"""``parse_load_report``: a load report is parsed completely, or dropped if any part is malformed."""

from __future__ import annotations

import pytest

from quota_gateway.net.upstream.load_report import parse_load_report
from tests.loopback import ScriptedEndpoint, async_test, running_server
from tests.pool_harness import PoolHarness, empty_response


def test_a_load_report_is_parsed_into_numbers_by_name() -> None:
    assert parse_load_report("inflight=7,queue=2,util=0.61") == {"inflight": 7.0, "queue": 2.0, "util": 0.61}


@pytest.mark.parametrize("malformed", ["", "queue", "queue=nan", "=3", "queue=2,,"])
def test_a_malformed_load_report_is_dropped(malformed: str) -> None:
    assert parse_load_report(malformed) == {}


@async_test
async def test_a_load_report_in_a_response_header_is_parsed() -> None:
    endpoint = ScriptedEndpoint(lambda _number: empty_response("200 OK", "X-Server-Load: queue=2\r\n"))
    async with running_server(endpoint.handle_connection) as address, PoolHarness(address) as harness:
        assert (await harness.fetch()).load_report == {"queue": 2.0}
