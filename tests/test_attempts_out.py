"""``UpstreamConnection``: after a failed attempt it is closed before the next attempt is written.

Otherwise two attempts of one request could be in flight at once.
"""

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

INCOMPLETE_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nbegin"


def peer_has_closed(connection: socket.socket) -> bool:
    """Whether the peer has closed its side of the connection by now."""
    poll = select.poll()
    poll.register(connection.fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))


@async_test
async def test_the_connection_of_an_abandoned_attempt_is_closed_before_the_next_attempt_is_written(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """When the second attempt is written, the first endpoint can already observe the close."""
    monkeypatch.setattr(response_timer, "MAX_RESPONSE_GAP_SECONDS", 0.05)
    monkeypatch.setattr(idle_connections, "SETTLE_DELAY_SECONDS", 0.0)
    first_socket = list[socket.socket]()
    was_closed = list[bool]()

    async def respond_incompletely(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_message(reader)
        first_socket.append(writer.get_extra_info("socket"))
        writer.write(INCOMPLETE_RESPONSE)
        await asyncio.Event().wait()

    def retry_after_error(event: model.Event) -> list[model.Action]:
        if isinstance(event, model.Request):
            return [model.Forward(event.id, "s1", 5.0)]
        if isinstance(event, model.AttemptCompleted) and event.status is model.CallStatus.ERROR:
            was_closed.append(peer_has_closed(first_socket[0]))
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
        assert was_closed == [True]
