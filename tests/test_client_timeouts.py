"""Timeouts of client connections: idle connections are closed, and clients that are too slow get an error."""

from __future__ import annotations

import asyncio

import pytest

from quota_gateway import model
from quota_gateway.net.client import connection as client_connection
from quota_gateway.net.client import listener, request_body, request_reader
from tests.client_helpers import (
    POST,
    execute,
    limiter_with_endpoint,
    reject,
    take_no_action,
    wait_for_connections,
)
from tests.loopback import (
    LoopbackLimiter,
    ScriptedDecisions,
    async_test,
    forward_to_s1,
    http_request,
    read_message,
)


@pytest.fixture
def short_timeouts(monkeypatch: pytest.MonkeyPatch) -> None:
    """Shorten the timeouts to tenths of a second."""
    monkeypatch.setattr(listener, "SCAN_INTERVAL_SECONDS", 0.01)
    monkeypatch.setattr(client_connection, "IDLE_TIMEOUT_SECONDS", 0.1)
    monkeypatch.setattr(request_body, "BODY_TIMEOUT_SECONDS", 0.1)
    monkeypatch.setattr(request_body, "MAX_BUFFERING_SECONDS", 0.3)


@pytest.mark.parametrize(
    ("sent", "status"),
    [(b"", ""), (b"GET /loo", " 408 "), (POST[:-1], " 408 "), (b"\r\n\r\n", "")],
)
@pytest.mark.usefixtures("short_timeouts")
@async_test
async def test_idle_connections_close_and_incomplete_requests_time_out(sent: bytes, status: str) -> None:
    script = ScriptedDecisions(take_no_action)
    async with LoopbackLimiter(script, {}) as limiter:
        waiting_reader, waiting_writer = await limiter.connect()
        waiting_writer.write(http_request())
        (request,) = await script.wait_for(model.Request)
        reader, writer = await limiter.connect()
        writer.write(sent)
        response = (await reader.read()).decode()
        assert (status in response.splitlines()[0]) if status else response == ""
        # A connection with an open request has no timeout.
        execute(limiter, [model.Reject(request.id, 0.1)])
        assert " 429 " in (await read_message(waiting_reader))[0]
        assert await waiting_reader.read() == b""  # closed after the idle timeout


@pytest.mark.parametrize(("size", "status"), [(20, " 429 "), (100, " 408 ")])
@pytest.mark.usefixtures("short_timeouts")
@async_test
async def test_body_above_the_minimum_rate_extends_the_timeout_up_to_a_maximum(
    size: int, status: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(request_body, "MIN_BODY_BYTES_PER_SECOND", 10)

    async with LoopbackLimiter(ScriptedDecisions(reject), {}) as limiter:
        reader, writer = await limiter.connect()
        request = http_request("/post?account=00000000b4d65521", b"x" * size)
        writer.write(request[:-size])
        response = asyncio.create_task(read_message(reader))
        for _ in range(size):
            if response.done():
                break
            writer.write(b"x")
            await asyncio.sleep(0.01)
        assert status in (await response)[0]


@pytest.mark.parametrize(("sent_bytes", "times_out"), [(0, True), (40_000, False)])
@async_test
async def test_timeout_of_a_missing_body_after_a_late_head_counts_from_the_connect(
    sent_bytes: int, times_out: bool
) -> None:
    """If the body arrives above the minimum rate, its own timeout replaces that of the head."""
    async with LoopbackLimiter(ScriptedDecisions(reject), {}) as limiter:
        reader, writer = await limiter.connect()
        request = http_request("/post?account=00000000b4d65521", b"x" * 60_000)
        writer.write(request[: len(request) - 60_000 + sent_bytes])
        (client,) = await wait_for_connections(limiter)
        request_state = client.pipeline.reader
        while request_state.body.size < sent_bytes:
            await asyncio.sleep(0)
        while request_state.phase is not request_reader.ReaderPhase.BODY:
            await asyncio.sleep(0)
        head_seconds = 2.3
        began_at = request_state.body._started_at - head_seconds
        request_state._started_at = began_at
        client.check_timeouts(began_at + request_reader.HEAD_TIMEOUT_SECONDS - 0.1)
        assert not request_state.is_stopped
        client.check_timeouts(began_at + request_reader.HEAD_TIMEOUT_SECONDS + 0.1)
        assert request_state.is_stopped is times_out
        if times_out:
            assert " 408 " in (await read_message(reader))[0]
        writer.close()


@async_test
async def test_timeout_of_a_late_and_slow_first_request_counts_from_the_connect() -> None:
    async with LoopbackLimiter(ScriptedDecisions(reject), {}) as limiter:
        _, writer = await limiter.connect()
        (client,) = await wait_for_connections(limiter)
        began_at = client.pipeline.queue.active_at - 1.9
        client.pipeline.queue.active_at = began_at
        writer.write(b"GET /lookup")
        while not client.pipeline.reader.in_request:
            await asyncio.sleep(0.001)
        assert client.pipeline.queue.active_at == began_at
        client.check_timeouts(began_at + request_reader.HEAD_TIMEOUT_SECONDS - 0.1)
        assert not client.pipeline.reader.is_stopped
        client.check_timeouts(began_at + request_reader.HEAD_TIMEOUT_SECONDS + 0.1)
        assert client.pipeline.reader.is_stopped


HUGE_POST = http_request("/post?account=00000000b4d65521", b"x", Content_Length="2000000")[:-1]
LONG_POST = http_request("/post?account=00000000b4d65521", b"x", Content_Length="64000")[:-1]


@pytest.mark.parametrize(
    ("sent", "requests_before"),
    [
        (LONG_POST + b"x" * 60_000, 0),
        (HUGE_POST + b"x" * 1_000_000, 0),
        (http_request() + b"GET /lookup", 1),
        (POST + POST[:-1], 1),
    ],
    ids=["fast body", "upload", "head after a request", "body after a request"],
)
@async_test
async def test_client_that_stops_sending_within_a_request_receives_an_error(
    sent: bytes, requests_before: int
) -> None:
    """The error is sent whatever the earlier rate, and also if an earlier request waits for its response."""

    def forward_uploads(event: model.Event) -> list[model.Action]:
        is_upload = isinstance(event, model.Request) and event.uploading
        return forward_to_s1(event) if is_upload else []

    async def read_all(reader: asyncio.StreamReader, _writer: asyncio.StreamWriter) -> None:
        while await reader.read(65536):
            pass

    script = ScriptedDecisions(forward_uploads)
    async with limiter_with_endpoint(read_all, script) as limiter:
        reader, writer = await limiter.connect()
        writer.write(sent)
        async with asyncio.timeout(3.0):
            while not any(client.pipeline.reader.is_stopped for client in limiter.listener.connections):
                await asyncio.sleep(0.01)
        for event in (await script.wait_for(model.Request, requests_before))[:requests_before]:
            execute(limiter, [model.Reject(event.id, 0.1)])
            assert " 429 " in (await read_message(reader))[0]
        assert " 408 " in (await read_message(reader))[0]
        writer.close()


@pytest.mark.usefixtures("short_timeouts")
@async_test
async def test_rejected_upload_after_a_waiting_request_does_not_disable_the_timeouts_of_others() -> None:
    script = ScriptedDecisions(take_no_action)
    async with LoopbackLimiter(script, {}) as limiter:
        reader, writer = await limiter.connect()
        upload_to_unknown_path = HUGE_POST.replace(b"/post?", b"/none?") + b"x" * 100_000
        writer.write(http_request() + upload_to_unknown_path)
        (waiting,) = await script.wait_for(model.Request)
        await asyncio.sleep(3 * request_body.BODY_TIMEOUT_SECONDS)
        other_reader, other_writer = await limiter.connect()
        other_writer.write(b"GET /loo")
        assert " 408 " in (await read_message(other_reader))[0]
        execute(limiter, [model.Reject(waiting.id, 0.1)])
        assert " 429 " in (await read_message(reader))[0]
        assert " 404 " in (await read_message(reader))[0]
        writer.close()
        other_writer.close()
