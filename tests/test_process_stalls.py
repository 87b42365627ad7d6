"""Stalls of a limiter process at chosen points: it must not decide by a clock reading from before the stall.

Such decisions lead to propagated deadlines that are too long, late responses, attempts for disconnected
clients, and shutdowns that last until SIGKILL may be sent. The sockets receive input during the stall.
"""

from __future__ import annotations

import asyncio
import signal
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import NamedTuple

import pytest

from quota_gateway.lifecycle.shutdown import KILL_GRACE_SECONDS, MAX_DEADLINE_SECONDS
from quota_gateway.net.client.stall_detector import STALL_RECOVERY_SECONDS
from soak.fault_control import StallPoint
from tests.discovery_server import RESPONSE_HEAD, chunk, message, read_request_path
from tests.gateway_process import LimiterProcess, ProcessFaults, make_config, running_limiter
from tests.loopback import (
    OK_RESPONSE,
    ConnectionHandler,
    ScriptedEndpoint,
    async_test,
    http_request,
    read_message,
    running_server,
)

STALL = 0.4  # seconds
SHORT_STALL = 0.14  # seconds; less than the specification allows between a clock read and a write
DEADLINE_SLACK = 0.15  # seconds
TIMEOUT = 2.0  # seconds
CLOCK_READS = 32  # more than occur from the read of a request to the write of its attempt
CONCURRENT_LIMITERS = 16
RESPONSE_GRACE = 0.5  # seconds
DISCONNECT_GRACE = 0.1  # seconds
DRAIN_GRACE = 2.0  # seconds after a change is sent, in which attempts are still allowed


class StallHarness(NamedTuple):
    """A running limiter, whose start no longer counts as a stall, and its endpoint."""

    limiter: LimiterProcess
    endpoint: ScriptedEndpoint

    def propagated_deadline(self) -> float:
        """Return the propagated deadline of the last attempt, in seconds."""
        return int(self.endpoint.requests[-1][1]["x-timeout-ms"]) / 1000


StallCheck = Callable[[int, ProcessFaults, Path], Awaitable[bool]]


@asynccontextmanager
async def limiter_to_stall(
    faults: ProcessFaults,
    folder: Path,
    endpoint: ScriptedEndpoint | None = None,
    serve: ConnectionHandler | None = None,
) -> AsyncIterator[StallHarness]:
    """Run a limiter, and wait until its start no longer counts as a stall.

    ``serve`` replaces the scripted endpoint.
    """
    scripted = endpoint or ScriptedEndpoint()
    async with (
        running_server(serve or scripted.handle_connection) as address,
        running_limiter(make_config(address), folder, environment=faults.environment) as limiter,
    ):
        await asyncio.sleep(STALL_RECOVERY_SECONDS + DEADLINE_SLACK)
        yield StallHarness(limiter, scripted)


@pytest.mark.parametrize(
    ("point", "stall", "count"),
    [
        (StallPoint.BEFORE_READ, STALL, 1),
        (StallPoint.AFTER_READ, STALL, 1),
        (StallPoint.BEFORE_WRITE, SHORT_STALL, 1),
        (StallPoint.BEFORE_READ, STALL, 2),
        (StallPoint.BEFORE_READ, SHORT_STALL, 2),
    ],
)
@async_test
async def test_the_time_of_a_stall_is_deducted_from_the_propagated_deadline(
    point: StallPoint, stall: float, count: int, faults: ProcessFaults, tmp_path: Path
) -> None:
    """With two stalls, the process first stalls at the read of the other request."""
    async with limiter_to_stall(faults, tmp_path) as harness:
        connections = [await harness.limiter.connect() for _ in range(count)]
        for reader, writer in connections:
            writer.write(http_request())
            await read_message(reader)
        faults.control.stall_process(point, stall, count)
        for _reader, writer in connections:
            writer.write(http_request(timeout_ms=int(TIMEOUT * 1000)))
        sent_at = time.monotonic()
        for reader, _writer in connections:
            assert " 200 " in (await read_message(reader))[0]
        assert time.monotonic() - sent_at >= stall  # the process was stalled
        # The last request has waited during all stalls.
        assert harness.propagated_deadline() <= TIMEOUT - count * stall + DEADLINE_SLACK


class ArrivalTimes:
    """The times at which an endpoint receives its requests, all of which it answers."""

    def __init__(self) -> None:
        self.times = list[float]()

    def respond(self, _number: int) -> bytes:
        """Record the arrival of a request, and respond to it."""
        self.times.append(time.monotonic())
        return OK_RESPONSE


async def propagated_deadline_is_too_long(clock_reads: int, faults: ProcessFaults, folder: Path) -> bool:
    """Whether the propagated deadline exceeds the remaining time after a stall before one clock read."""
    arrivals = ArrivalTimes()
    async with limiter_to_stall(faults, folder, ScriptedEndpoint(arrivals.respond)) as harness:
        reader, writer = await harness.limiter.connect()
        writer.write(http_request())
        await read_message(reader)
        faults.control.stall_process(StallPoint.BEFORE_CLOCK_READ, STALL, clock_reads=clock_reads)
        writer.write(http_request(timeout_ms=int(TIMEOUT * 1000)))
        sent_at = time.monotonic()
        assert " 200 " in (await read_message(reader))[0]
        remaining = TIMEOUT - (arrivals.times[-1] - sent_at)
        return harness.propagated_deadline() > remaining + DEADLINE_SLACK


async def answered_too_late(clock_reads: int, faults: ProcessFaults, folder: Path) -> bool:
    """Whether a client is answered too late after a stall before one clock read; the endpoint is silent."""
    timeout = 0.6
    stall = 0.9
    async with limiter_to_stall(faults, folder, ScriptedEndpoint(lambda _number: None)) as harness:
        reader, writer = await harness.limiter.connect()
        faults.control.stall_process(StallPoint.BEFORE_CLOCK_READ, stall, clock_reads=clock_reads)
        writer.write(http_request(timeout_ms=int(timeout * 1000)))
        sent_at = time.monotonic()
        await read_message(reader)
        return time.monotonic() - sent_at > timeout + RESPONSE_GRACE


async def forwarded_after_disconnect(clock_reads: int, faults: ProcessFaults, folder: Path) -> bool:
    """Whether an attempt begins for a client that disconnects in a stall before one clock read.

    An attempt that was written before the client disconnected is allowed.
    """
    arrivals = ArrivalTimes()
    async with limiter_to_stall(faults, folder, ScriptedEndpoint(arrivals.respond)) as harness:
        reader, writer = await harness.limiter.connect()
        writer.write(http_request())
        await read_message(reader)
        faults.control.stall_process(StallPoint.BEFORE_CLOCK_READ, STALL, clock_reads=clock_reads)
        writer.write(http_request())
        await asyncio.sleep(0.02)
        writer.close()
        disconnected_at = time.monotonic()
        await asyncio.sleep(2 * STALL)
        return any(at - disconnected_at > DISCONNECT_GRACE for at in arrivals.times)


async def violating_clock_reads(violates: StallCheck, library: Path, folder: Path) -> list[int]:
    """Return the numbers of the clock reads before which a stall leads to a violation."""

    async def check(clock_reads: int) -> bool:
        own_folder = folder / f"{clock_reads}"
        own_folder.mkdir()
        faults = ProcessFaults(library, own_folder)
        try:
            return await violates(clock_reads, faults, own_folder)
        finally:
            faults.control.close()

    violating = list[int]()
    for first in range(0, CLOCK_READS, CONCURRENT_LIMITERS):
        numbers = range(first, first + CONCURRENT_LIMITERS)
        found = await asyncio.gather(*(check(number) for number in numbers))
        violating += [number for number, is_violation in zip(numbers, found, strict=True) if is_violation]
    return violating


@async_test
async def test_a_stall_between_any_two_clock_reads_counts_against_the_propagated_deadline(
    fault_library: Path, tmp_path: Path
) -> None:
    """A stall is noticed only by the clock reads after it, so a stall before each of them is tried."""
    assert await violating_clock_reads(propagated_deadline_is_too_long, fault_library, tmp_path) == []


@async_test
async def test_a_stall_between_any_two_clock_reads_does_not_delay_the_response(
    fault_library: Path, tmp_path: Path
) -> None:
    """The client receives its response within ``RESPONSE_GRACE`` after its timeout."""
    assert await violating_clock_reads(answered_too_late, fault_library, tmp_path) == []


@async_test
async def test_no_attempt_begins_for_a_client_that_disconnected_in_a_stall_before_any_clock_read(
    fault_library: Path, tmp_path: Path
) -> None:
    assert await violating_clock_reads(forwarded_after_disconnect, fault_library, tmp_path) == []


@async_test
async def test_no_attempt_begins_for_a_client_that_disconnected_between_wake_up_and_read(
    faults: ProcessFaults, tmp_path: Path
) -> None:
    async with limiter_to_stall(faults, tmp_path) as harness:
        reader, writer = await harness.limiter.connect()
        writer.write(http_request())
        await read_message(reader)
        faults.control.stall_process(StallPoint.BEFORE_READ, STALL)
        writer.write(http_request())
        await asyncio.sleep(0.02)
        writer.close()
        await asyncio.sleep(STALL)
        request = http_request()
        other_reader, other_writer = await harness.limiter.connect()
        other_writer.write(request)
        assert " 200 " in (await read_message(other_reader))[0]  # this request is forwarded after all others
        assert harness.endpoint.requests[-1][1]["x-request-id"].encode() in request
        assert len(harness.endpoint.requests) == 2


@async_test
async def test_a_stall_during_the_shutdown_does_not_delay_the_exit_beyond_sigkill(
    faults: ProcessFaults, tmp_path: Path
) -> None:
    """The earliest time of SIGKILL does not move when the process stalls for a second."""
    silent_endpoint = ScriptedEndpoint(lambda _number: None)
    async with limiter_to_stall(faults, tmp_path, silent_endpoint) as harness:
        process = harness.limiter.process
        reader, writer = await harness.limiter.connect()
        writer.write(http_request(timeout_ms=10_000))
        await silent_endpoint.request_received.wait()
        process.terminate()
        terminated_at = time.monotonic()
        faults.control.stall_process(StallPoint.BEFORE_READ, 1.0)
        _reader, other_writer = await harness.limiter.connect()
        other_writer.write(b"G")  # the process stalls before it reads this
        await read_message(reader)
        await process.wait()
        assert time.monotonic() - terminated_at <= MAX_DEADLINE_SECONDS + KILL_GRACE_SECONDS


@async_test
async def test_a_shutdown_that_begins_in_a_stall_ends_before_sigkill_may_be_sent(
    faults: ProcessFaults, tmp_path: Path
) -> None:
    """SIGTERM is handled when the process resumes, but SIGKILL is due at a fixed time after it was sent."""
    silent_endpoint = ScriptedEndpoint(lambda _number: None)
    async with limiter_to_stall(faults, tmp_path, silent_endpoint) as harness:
        process = harness.limiter.process
        reader, writer = await harness.limiter.connect()
        writer.write(http_request(timeout_ms=10_000))
        await silent_endpoint.request_received.wait()
        process.send_signal(signal.SIGSTOP)
        process.terminate()
        terminated_at = time.monotonic()
        await asyncio.sleep(1.0)
        process.send_signal(signal.SIGCONT)
        await read_message(reader)
        await process.wait()
        assert time.monotonic() - terminated_at <= MAX_DEADLINE_SECONDS + KILL_GRACE_SECONDS


async def respond_late(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Respond to one request after a second."""
    await read_message(reader)
    await asyncio.sleep(1.0)
    writer.write(OK_RESPONSE)
    await reader.read()


@async_test
async def test_a_shutdown_soon_after_a_stall_answers_the_requests_in_flight(
    faults: ProcessFaults, tmp_path: Path
) -> None:
    """SIGTERM was not sent during the stall, or it would have been handled when the process resumed."""
    async with limiter_to_stall(faults, tmp_path, serve=respond_late) as harness:
        process = harness.limiter.process
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(MAX_DEADLINE_SECONDS + KILL_GRACE_SECONDS)
        process.send_signal(signal.SIGCONT)
        await asyncio.sleep(0.3)
        reader, writer = await harness.limiter.connect()
        writer.write(http_request(timeout_ms=3000))
        await asyncio.sleep(0.1)
        process.terminate()
        assert " 200 " in (await read_message(reader))[0]


class ControlledDiscovery:
    """Discovery that sends an endpoint's drain when the test calls ``send_drain``."""

    def __init__(self) -> None:
        self._watches = asyncio.Queue[asyncio.StreamWriter]()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Open a watch, and keep it open."""
        await read_request_path(reader)
        writer.write(RESPONSE_HEAD + chunk(b"\n"))
        self._watches.put_nowait(writer)
        await asyncio.Event().wait()

    async def opened_watch(self) -> asyncio.StreamWriter:
        """Wait until a watch was opened, and return its writer."""
        return await self._watches.get()

    async def send_drain(self, watch: asyncio.StreamWriter, endpoint: str) -> None:
        """Write the drain of the endpoint at this address to the watch."""
        watch.write(chunk(message(42, "draining", dial=endpoint, born_ms=0)))
        await watch.drain()


@async_test
async def test_no_attempt_goes_to_an_endpoint_whose_drain_was_told_during_a_stall(tmp_path: Path) -> None:
    """When the process resumes, the drain's grace has passed, and both the drain and a request are unread."""
    endpoint = ScriptedEndpoint()
    discovery = ControlledDiscovery()
    async with (
        running_server(endpoint.handle_connection) as address,
        running_server(discovery.serve) as discovery_address,
        running_limiter(make_config(address, discovery_address), tmp_path) as limiter,
    ):
        reader, writer = await limiter.connect()
        writer.write(http_request())
        assert " 200 " in (await read_message(reader))[0]
        watch = await discovery.opened_watch()
        limiter.process.send_signal(signal.SIGSTOP)
        await discovery.send_drain(watch, address)
        await asyncio.sleep(DRAIN_GRACE + DEADLINE_SLACK)
        writer.write(http_request())
        await asyncio.sleep(0.05)
        limiter.process.send_signal(signal.SIGCONT)
        assert " 429 " in (await read_message(reader))[0]
        assert len(endpoint.requests) == 1
