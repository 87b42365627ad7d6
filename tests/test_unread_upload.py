"""Uploads whose last part waits unread in the socket: the timeout runs from the arrival of the last byte."""

from __future__ import annotations

import asyncio
import socket
import time

import pytest

from quota_gateway import model
from quota_gateway.net.client import listener, upload_monitor
from quota_gateway.net.client.unread_upload import UnreadUpload
from quota_gateway.net.common.body_framing import ChunkedDecoder, LengthDecoder
from quota_gateway.net.upstream import idle_connections
from soak.http_bodies import read_body
from tests.client_helpers import execute, limiter_with_endpoint, take_no_action
from tests.http_bodies import LONG_BODY, read_head, upload, upload_head
from tests.loopback import (
    OK_RESPONSE,
    LoopbackLimiter,
    ScriptedDecisions,
    async_test,
    forward_to_s1,
    http_request,
    read_message,
)
from tests.paused_endpoint import PausedEndpoint, upload_until_backpressure

# Far less than the time after which a stalled upload is aborted, and far more than a busy machine needs.
ANSWER_SECONDS = 5.0
LENGTH = 70_000
WAIT_SECONDS = 0.6  # until an attempt begins
DEADLINE_SLACK_SECONDS = 0.15


class FakeSocket:
    """A socket with the given unread input."""

    def __init__(self, unread: bytes, usage: float | None = 0.0) -> None:
        self.unread = unread
        self.usage = usage

    def unread_size(self) -> int:
        return len(self.unread)

    def peek_input(self, size: int) -> bytes:
        return self.unread[:size]

    def receive_buffer_usage(self) -> float | None:
        return self.usage


def decoder_behind(*parts: bytes) -> ChunkedDecoder:
    """Return a decoder that has taken the given input, which was read."""
    decoder = ChunkedDecoder()
    for part in parts:
        decoder.decode(part)
    return decoder


def is_complete(upload: UnreadUpload) -> bool:
    """Examine all unread input; return whether the end of the upload was found."""
    while upload.has_unexamined_input():
        upload.look_ahead()
    return upload.has_end()


@pytest.mark.parametrize(("unread", "is_complete"), [(0, False), (99, False), (100, True), (150, True)])
def test_upload_of_known_length_is_complete_once_the_missing_bytes_have_arrived(
    unread: int, is_complete: bool
) -> None:
    upload = UnreadUpload(FakeSocket(b"x" * unread), LengthDecoder(100))
    upload.observe(1.0)
    assert upload.has_end() is is_complete


@pytest.mark.parametrize("end", [b"0\r\n\r\n", b"000;a=b\r\n\r\n", b"0\r\nX-A: 1\r\nX-B: 2\r\n\r\n"])
@pytest.mark.parametrize("read_size", [0, 1, 2, 3, 4, 5, 6])
@pytest.mark.parametrize("follower", [b"", b"GET / HTTP/1.1\r\n"])
def test_chunked_upload_is_complete_once_its_end_has_arrived_also_if_the_end_was_read_in_part(
    end: bytes, read_size: int, follower: bytes
) -> None:
    data = b"xy\r\n" + end
    decoder = decoder_behind(b"2\r\n" + data[:2], data[2 : 2 + read_size])
    assert is_complete(UnreadUpload(FakeSocket(data[2 + read_size :] + follower), decoder))


@pytest.mark.parametrize(
    "unread",
    [b"", b"5\r\nabc", b"2\r\nab\r\n0\r\n", b"2\r\nab\r\n0\r\nX-A: 1\r\n", b"10\r\n\r\n", b"\r\n\r\n"],
)
def test_chunked_upload_is_incomplete_before_the_end_of_its_last_chunk(unread: bytes) -> None:
    decoder = decoder_behind(b"1000\r\n" + b"x" * 4096 + b"\r\n")
    assert not is_complete(UnreadUpload(FakeSocket(unread), decoder))


@pytest.mark.parametrize("data", [b"\r\n0\r\n\r\n", b"0\r\n" * 10_000, b"\r\n0\r\n\r\n" * 5000])
def test_data_that_looks_like_the_end_of_a_chunked_body_is_not_taken_for_it(data: bytes) -> None:
    chunk = b"%x\r\n%b" % (len(data), data)
    decoder = decoder_behind(chunk[:5])
    assert not is_complete(UnreadUpload(FakeSocket(chunk[5:]), decoder))
    assert is_complete(UnreadUpload(FakeSocket(chunk[5:] + b"\r\n0\r\n\r\n"), decoder))


def test_unread_input_is_examined_from_where_reading_has_arrived() -> None:
    data = b"6\r\n" + b"0\r\n\r\n!" + b"\r\n0\r\n\r\n"
    for read_size in range(1, len(data) - 1):
        input_socket = FakeSocket(data[:-1])
        decoder = ChunkedDecoder()
        upload = UnreadUpload(input_socket, decoder)
        assert not is_complete(upload)
        decoder.decode(data[:read_size])
        input_socket.unread = data[read_size:-1]
        assert not is_complete(upload)
        input_socket.unread = data[read_size:]
        assert is_complete(upload)


class CountingDecoder(ChunkedDecoder):
    """Counts the bytes that it and its copies are given."""

    examined = 0

    def skip(self, data: bytes, start: int = 0) -> None:
        CountingDecoder.examined += len(data) - start
        super().skip(data, start)


# The search for the end was repeated, and took more than linear time, for each scan and each attempt.
@pytest.mark.parametrize("data", [b"0\r\n" * 20_000, b"1\r\nx\r\n" * 10_000, b"x" * 60_000])
def test_each_unread_byte_of_a_chunked_upload_is_examined_once(data: bytes) -> None:
    """Guards against uploads that keep the process from running while they wait."""
    CountingDecoder.examined = 0
    stream = data if data.startswith(b"1") else b"%x\r\n%b\r\n" % (len(data), data)
    input_socket = FakeSocket(b"")
    upload = UnreadUpload(input_socket, CountingDecoder())
    for end in range(0, len(stream), 5000):
        input_socket.unread = stream[:end]
        for _ in range(3):  # scans and attempts
            upload.observe(1.0)
            assert not is_complete(upload)
    assert CountingDecoder.examined == len(input_socket.unread)


@pytest.mark.parametrize(("usage", "is_silent"), [(0.1, True), (0.9, False), (None, False)])
def test_client_is_silent_only_if_it_could_send_more(usage: float | None, is_silent: bool) -> None:
    input_socket = FakeSocket(b"x", usage)
    upload = UnreadUpload(input_socket, ChunkedDecoder())
    for now in (1.0, 1.2, 3.1):
        upload.observe(now)
        assert not upload.is_client_silent(now, 2.0)
    assert upload.is_client_silent(3.3, 2.0) is is_silent
    input_socket.unread += b"y"
    upload.observe(3.3)
    assert not upload.is_client_silent(9.9, 2.0)


async def send_all(client: socket.socket, data: bytes) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    client.sendall(data)
    client.setblocking(False)  # noqa: FBT003 - positional only
    return await asyncio.open_connection(sock=client)


@pytest.mark.parametrize("framing", ["length", "chunked"])
@async_test
async def test_upload_without_an_attempt_is_answered_in_time_although_its_end_is_unread(framing: str) -> None:
    """Guards against requests that were received completely and got no answer in their time."""
    script = ScriptedDecisions(take_no_action)
    async with LoopbackLimiter(script, {}) as limiter:
        client = socket.create_connection(limiter.address)
        parts = (b"x" * LENGTH, b"x" * LENGTH)
        if framing == "chunked":
            parts = (b"%x\r\n" % LENGTH + parts[0], b"\r\n%x\r\n" % LENGTH + parts[1] + b"\r\n0\r\n\r\n")
        client.sendall(upload_head(framing, 2 * LENGTH, timeout_ms=300) + parts[0])
        while not any(other.pipeline.reader.body.paused for other in limiter.listener.connections):
            await asyncio.sleep(0.01)
        reader, writer = await send_all(client, parts[1])
        async with asyncio.timeout(ANSWER_SECONDS):
            assert " 504 " in (await read_message(reader))[0]
        writer.close()


@async_test
async def test_upload_to_a_hung_endpoint_is_answered_in_time_although_its_end_is_unread() -> None:
    """Guards against requests that got no answer in their time because an endpoint stopped reading them."""
    endpoint = PausedEndpoint()
    script = ScriptedDecisions(forward_to_s1)
    async with limiter_with_endpoint(endpoint.serve, script) as limiter:
        client = socket.create_connection(limiter.address)
        await upload_until_backpressure(client, limiter, timeout_ms=1500)
        (pending,) = limiter.dispatcher.requests.open_requests()
        reader, writer = await send_all(client, b"")
        async with asyncio.timeout(ANSWER_SECONDS):
            status_line = (await read_message(reader))[0]
        assert " 429 " in status_line or " 504 " in status_line  # the latter after a delay of this process
        (completed,) = await script.wait_for(model.AttemptCompleted)
        assert completed.status in (model.CallStatus.NOT_SENT, model.CallStatus.CANCELLED)
        assert not pending.attempts[0].request_written
        writer.close()


@async_test
async def test_upload_whose_end_was_unread_is_served_if_the_endpoint_goes_on_in_time() -> None:
    endpoint = PausedEndpoint()
    script = ScriptedDecisions(forward_to_s1)
    async with limiter_with_endpoint(endpoint.serve, script) as limiter:
        client = socket.create_connection(limiter.address)
        size = await upload_until_backpressure(client, limiter, timeout_ms=15_000)
        reader, writer = await send_all(client, b"")
        (pending,) = limiter.dispatcher.requests.open_requests()
        while not pending.has_deadline:  # before the endpoint reads anything
            await asyncio.sleep(0.01)
        assert not any(isinstance(event, model.UploadCompleted) for event in script.events)
        deadline = pending.deadline
        endpoint.resume.set()
        assert await endpoint.body_size == size
        assert (await read_message(reader))[2] == b"hi"
        assert pending.deadline == deadline  # reading the end did not start the timeout again
        assert len(await script.wait_for(model.UploadCompleted)) == 1
        writer.close()


@pytest.mark.parametrize("framing", ["length", "chunked"])
@async_test
async def test_client_that_stops_within_an_upload_that_is_not_read_gets_an_error(
    framing: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against clients that stop within a body and get no error while an endpoint accepts nothing."""
    monkeypatch.setattr(upload_monitor, "SILENCE_TIMEOUT_SECONDS", 0.3)
    endpoint = PausedEndpoint()
    async with limiter_with_endpoint(endpoint.serve, ScriptedDecisions(take_no_action)) as limiter:
        client = socket.create_connection(limiter.address)
        head = upload_head(framing, 3 * LENGTH, timeout_ms=300)
        client.sendall(head + (b"%x\r\n" % (3 * LENGTH) if framing == "chunked" else b"") + b"x" * LENGTH)
        while not any(other.pipeline.reader.body.paused for other in limiter.listener.connections):
            await asyncio.sleep(0.01)
        reader, writer = await send_all(client, b"x" * 1000)
        async with asyncio.timeout(ANSWER_SECONDS):
            assert " 408 " in (await read_message(reader))[0]
        writer.close()


@async_test
async def test_client_whose_input_is_not_accepted_is_not_taken_for_silent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(upload_monitor, "SILENCE_TIMEOUT_SECONDS", 0.3)
    endpoint = PausedEndpoint()
    body = LONG_BODY * 4  # more than all buffers on the way hold
    async with limiter_with_endpoint(endpoint.serve) as limiter:
        reader, writer = await limiter.connect()
        writer.write(upload("length", body))
        while not any(other.pipeline.reader.body.paused for other in limiter.listener.connections):
            await asyncio.sleep(0.01)
        await asyncio.sleep(1.0)
        endpoint.resume.set()
        assert await endpoint.body_size == len(body)
        assert (await read_message(reader))[2] == b"hi"


def propagated_timeout(headers: dict[str, str]) -> float:
    """Return the timeout that an attempt states, in seconds."""
    return int(headers["x-timeout-ms"]) / 1000


class HeadRecorder:
    """An endpoint that records the headers of requests, and serves them."""

    def __init__(self) -> None:
        self.headers = asyncio.Queue[dict[str, str]]()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        while True:
            _, headers = await read_head(reader)
            self.headers.put_nowait(headers)
            await read_body(reader, headers)
            writer.write(OK_RESPONSE)


@pytest.mark.parametrize("framing", ["length", "chunked"])
@async_test
async def test_attempt_at_an_upload_that_waits_unread_states_the_time_that_is_left(
    framing: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against attempts that state more time than their client has left."""
    monkeypatch.setattr(listener, "SCAN_INTERVAL_SECONDS", 1000.0)  # no scan sees that the upload has arrived
    endpoint = HeadRecorder()
    script = ScriptedDecisions(take_no_action)
    async with limiter_with_endpoint(endpoint.serve, script) as limiter:
        client = socket.create_connection(limiter.address)
        parts = (b"x" * LENGTH, b"x" * LENGTH)
        if framing == "chunked":
            parts = (b"%x\r\n" % LENGTH + parts[0], b"\r\n%x\r\n" % LENGTH + parts[1] + b"\r\n0\r\n\r\n")
        client.sendall(upload_head(framing, 2 * LENGTH, timeout_ms=5000) + parts[0])
        while not any(other.pipeline.reader.body.paused for other in limiter.listener.connections):
            await asyncio.sleep(0.01)
        reader, writer = await send_all(client, parts[1])
        await asyncio.sleep(WAIT_SECONDS)
        (waiting,) = await script.wait_for(model.Request)
        execute(limiter, forward_to_s1(waiting))
        timeout = propagated_timeout(await endpoint.headers.get())
        assert timeout <= 5.0 - WAIT_SECONDS + DEADLINE_SLACK_SECONDS
        assert (await read_message(reader))[2] == b"hi"
        writer.close()


@pytest.mark.parametrize("framing", ["length", "chunked"])
@async_test
async def test_attempt_at_an_upload_that_arrived_during_a_stall_states_the_time_that_is_left(
    framing: str,
) -> None:
    """Guards against attempts that state more time than their client has left, behind a stall."""
    endpoint = HeadRecorder()
    async with limiter_with_endpoint(endpoint.serve) as limiter:
        await limiter.fetch(http_request("/post?account=00000000b4d65521", b"xy"))
        await endpoint.headers.get()
        await asyncio.sleep(
            2 * idle_connections.SETTLE_DELAY_SECONDS
        )  # the attempt begins while the body is read
        client = socket.create_connection(limiter.address)
        await asyncio.sleep(0.05)
        body = b"x" * LENGTH
        framed = b"%x\r\n" % LENGTH + body + b"\r\n0\r\n\r\n" if framing == "chunked" else body
        client.sendall(upload_head(framing, LENGTH, timeout_ms=5000) + framed)
        time.sleep(WAIT_SECONDS)
        reader, writer = await send_all(client, b"")
        timeout = propagated_timeout(await endpoint.headers.get())
        assert timeout <= 5.0 - WAIT_SECONDS + DEADLINE_SLACK_SECONDS
        assert (await read_message(reader))[2] == b"hi"
        writer.close()
