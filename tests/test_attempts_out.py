"""Abandoned attempts: their connection ends before another attempt of the request is written."""

from __future__ import annotations

import asyncio
import select
import socket

import pytest

from quota_gateway import model
from quota_gateway.net.upstream import idle_connections, response_timer
from tests.loopback import (
    OK_RESPONSE,
    LoopbackLimiter,
    ScriptedDecisions,
    ScriptedEndpoint,
    async_test,
    http_request,
    read_message,
    running_server,
)

ENDLESS_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nbegin"


def has_received_end(connection: socket.socket) -> bool:
    """Whether the peer has ended its side of a connection, at this moment."""
    poll = select.poll()
    poll.register(connection.fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))


@async_test
async def test_the_connection_of_an_abandoned_attempt_has_ended_when_the_next_attempt_is_written(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """At the time of the second request the first endpoint can see the end of its connection."""
    monkeypatch.setattr(response_timer, "MAX_RESPONSE_GAP_SECONDS", 0.05)
    monkeypatch.setattr(idle_connections, "SETTLE_DELAY_SECONDS", 0.0)
    first_socket = list[socket.socket]()
    has_ended = list[bool]()

    async def respond_incompletely(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_message(reader)
        first_socket.append(writer.get_extra_info("socket"))
        writer.write(ENDLESS_RESPONSE)
        await asyncio.Event().wait()

    def retry_after_error(event: model.Event) -> list[model.Action]:
        if isinstance(event, model.Request):
            return [model.Forward(event.id, "s1", 5.0)]
        if isinstance(event, model.AttemptCompleted) and event.status is model.CallStatus.ERROR:
            has_ended.append(has_received_end(first_socket[0]))
            return [model.Forward(event.request_id, "s2", 5.0)]
        return []

    second = ScriptedEndpoint(lambda _number: OK_RESPONSE)
    script = ScriptedDecisions(retry_after_error)
    async with (
        running_server(respond_incompletely) as first_address,
        running_server(second.handle_connection) as second_address,
        LoopbackLimiter(script, {"s1": first_address, "s2": second_address}) as limiter,
    ):
        assert " 200 " in (await limiter.fetch(http_request()))[0]
        assert has_ended == [True]
