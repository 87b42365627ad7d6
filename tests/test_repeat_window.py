"""Retries of requests with an idempotency key: no retry is written after the deduplication window."""

from __future__ import annotations

import asyncio
import itertools
import time
from dataclasses import replace
from typing import Any

import pytest

from quota_gateway import model
from quota_gateway.net.upstream import connector
from tests.connect_faults import replace_create_connection
from tests.loopback import (
    OK_RESPONSE,
    SETTINGS,
    LoopbackLimiter,
    ScriptedDecisions,
    ScriptedEndpoint,
    async_test,
    http_request,
    read_message,
    running_server,
)
from tests.simulation import GatewaySimulation, endpoint_list, make_request, make_settings

WINDOW_SECONDS = 0.5
MAX_WRITE_DELAY_SECONDS = 0.15  # between the decision and the write, on a busy machine
KEYED = model.RequestClass(
    "entry", 2.0, 1.0, model.Idempotency.KEYED, deduplication_window=WINDOW_SECONDS, deadline=5.0
)
ERROR_RESPONSE = b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"


def retry_errors(event: model.Event) -> list[model.Action]:
    """Forward each request to s1, and retry it at s2 after an error response."""
    if isinstance(event, model.Request):
        return [model.Forward(event.id, "s1", 5.0)]
    if isinstance(event, model.AttemptCompleted) and event.status is model.CallStatus.ERROR:
        return [model.Forward(event.request_id, "s2", 5.0)]
    if isinstance(event, model.AttemptCompleted) and not event.request_finished:
        return [model.Fail(event.request_id)]
    return []


@async_test
async def test_a_retry_whose_connect_takes_longer_than_the_deduplication_window_is_not_written(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    connects = itertools.count(1)

    async def connect_late(*args: Any) -> Any:
        """Delay the second connection until after the deduplication window."""
        connected = await asyncio.get_running_loop().create_connection(*args)
        if next(connects) == 2:
            time.sleep(WINDOW_SECONDS)
        return connected

    first = ScriptedEndpoint(lambda _number: ERROR_RESPONSE)
    second = ScriptedEndpoint(lambda _number: OK_RESPONSE)
    async with (
        running_server(first.handle_connection) as first_address,
        running_server(second.handle_connection) as second_address,
        LoopbackLimiter(
            ScriptedDecisions(retry_errors), {"s1": first_address, "s2": second_address}
        ) as limiter,
    ):
        settings = replace(SETTINGS, classes=(*SETTINGS.classes, KEYED))
        limiter.dispatcher.reconfigure(settings)
        limiter.listener.parser.reconfigure(settings)
        replace_create_connection(monkeypatch, connector, connect_late)
        reader, writer = await limiter.connect()
        writer.write(http_request("/entry?account=00000000b4d65521", b"abc"))
        assert " 502 " in (await read_message(reader))[0]
        assert len(first.requests) == 1
        assert not second.requests
        writer.close()


@pytest.mark.parametrize("window", [0.4, 1.5, 4.0])
def test_a_retry_is_decided_early_enough_for_a_late_write(window: float) -> None:
    """A write that is delayed by ``MAX_WRITE_DELAY_SECONDS`` must still be within the window."""
    scope = model.DeduplicationScope.CELL
    keyed = replace(KEYED, deduplication_scope=scope, deduplication_window=window)
    retry_ages = list[float]()
    for step in range(1, 60):
        age = window * step / 50
        simulation = GatewaySimulation(make_settings(classes=(replace(keyed, latency_objective=9.0),)))
        simulation.feed(endpoint_list("s0", "s1", "s2"))
        simulation.feed(make_request(1, "entry", timeout=9.0))
        (sent,) = simulation.forwarded
        simulation.now += age
        completed = model.AttemptCompleted(
            1, 0, sent.endpoint, model.CallStatus.ERROR, age, request_finished=False, load_report={}
        )
        simulation.feed(completed)
        if len(simulation.forwarded) > 1:
            retry_ages.append(age)
    assert retry_ages
    assert max(retry_ages) <= window - MAX_WRITE_DELAY_SECONDS
