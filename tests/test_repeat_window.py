"""Repeats of keyed requests: written within the window in which the key is known, whatever holds them up."""

from __future__ import annotations

import asyncio
import time
from dataclasses import replace
from typing import Any

import pytest

from quota_gateway import model
from quota_gateway.net.upstream import connector
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

WINDOW = 0.5  # seconds
HOLD_UP = 0.15  # seconds that a limiter may be held up between its clock and a write
KEYED = model.RequestClass(
    "entry", 2.0, 1.0, model.Idempotency.KEYED, deduplication_window=WINDOW, deadline=5.0
)
ERROR_RESPONSE = b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"


def retry_errors(event: model.Event) -> list[model.Action]:
    """Forward to s1, and repeat at s2 what failed there."""
    if isinstance(event, model.Request):
        return [model.Forward(event.id, "s1", 5.0)]
    if isinstance(event, model.AttemptCompleted) and event.status is model.CallStatus.ERROR:
        return [model.Forward(event.request_id, "s2", 5.0)]
    if isinstance(event, model.AttemptCompleted) and not event.request_finished:
        return [model.Fail(event.request_id)]
    return []


@async_test
async def test_a_repeat_whose_connect_takes_longer_than_the_window_is_not_written(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    class SlowLoop:
        """An event loop whose second connection comes up late."""

        connections = 0

        def __getattr__(self, name: str) -> Any:
            return getattr(asyncio.get_running_loop(), name)

        async def create_connection(self, *args: Any) -> Any:
            connected = await asyncio.get_running_loop().create_connection(*args)
            SlowLoop.connections += 1
            if SlowLoop.connections == 2:
                time.sleep(WINDOW)
            return connected

    class Asyncio:
        """The asyncio module with that event loop."""

        get_running_loop = SlowLoop

        def __getattr__(self, name: str) -> Any:
            return getattr(asyncio, name)

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
        monkeypatch.setattr(connector, "asyncio", Asyncio())
        reader, writer = await limiter.connect()
        writer.write(http_request("/entry?account=00000000b4d65521", b"abc"))
        assert " 502 " in (await read_message(reader))[0]
        assert len(first.requests) == 1 and not second.requests
        writer.close()


@pytest.mark.parametrize("window", [0.4, 1.5, 4.0])
def test_a_repeat_is_decided_early_enough_to_be_held_up(window: float) -> None:
    """Its write may come so much later than the decision, and has to be within the window."""
    scope = model.DeduplicationScope.CELL
    keyed = replace(KEYED, deduplication_scope=scope, deduplication_window=window)
    repeated = list[float]()
    for step in range(1, 60):
        age = window * step / 50
        simulation = GatewaySimulation(make_settings(classes=(replace(keyed, latency_objective=9.0),)))
        simulation.feed(endpoint_list("s0", "s1", "s2"))
        simulation.feed(make_request(1, "entry", timeout=9.0))
        (sent,) = simulation.forwarded
        simulation.now += age
        simulation.feed(model.AttemptCompleted(1, 0, sent.endpoint, model.CallStatus.ERROR, age, False, {}))
        if len(simulation.forwarded) > 1:
            repeated.append(age)
    assert repeated and max(repeated) <= window - HOLD_UP
