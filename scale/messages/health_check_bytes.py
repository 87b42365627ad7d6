"""A job that measures the bytes of a health check with the real connection pool."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

import uvloop

from quota_gateway import model
from quota_gateway.net.common.unix_clock import unix_clock
from quota_gateway.net.dispatch.dispatcher import Dispatcher
from quota_gateway.net.upstream.pool import ConnectionPool
from quota_gateway.settings_parser import parse_settings
from scale.messages.counting_stand_in import REPLY_TIMEOUT_SECONDS, CountingStandIn
from scale.synthetic_inputs import synthetic_settings

ENDPOINT = "s-00000000"
IDLE_TIMEOUT_SECONDS = 30.0
MAX_CONNECTIONS = 8


@dataclass(frozen=True, slots=True)
class HealthCheckBytes:
    """Bytes of one health check."""

    request: float
    response: float

    @property
    def total(self) -> float:
        """The bytes of the request and the response."""
        return self.request + self.response


class _HealthCheckDecisions:
    """Decisions that only start a health check at a tick and store its status."""

    def __init__(self) -> None:
        self.status: asyncio.Future[model.CallStatus] = asyncio.get_running_loop().create_future()

    def handle(self, now: float, event: model.Event) -> list[model.Action]:
        """Start the health check at a tick, or store the status of a completed one."""
        if isinstance(event, model.HealthChecked):
            self.status.set_result(event.status)
        return [model.CheckHealth(ENDPOINT)] if isinstance(event, model.TimerFired) else []


async def _respond(
    stand_in: CountingStandIn, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    while True:
        await stand_in.read_until(reader, b"\r\n\r\n")
        stand_in.write(writer, b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")


async def _measure() -> HealthCheckBytes:
    stand_in = CountingStandIn()
    decisions = _HealthCheckDecisions()
    async with stand_in.serve(_respond) as (host, port):
        pool = ConnectionPool(unix_clock(), REPLY_TIMEOUT_SECONDS, IDLE_TIMEOUT_SECONDS, MAX_CONNECTIONS)
        pool.update_endpoint(ENDPOINT, f"{host}:{port}", available=True)
        dispatcher = Dispatcher(
            parse_settings(synthetic_settings(3, 1.0)), decisions, unix_clock(), pool, None
        )
        dispatcher.dispatch(model.TimerFired(0))
        status = await stand_in.wait(decisions.status)
        if status is not model.CallStatus.OK:
            raise ConnectionError(f"the health check ended with status {status.value}")
        pool.close()
    return HealthCheckBytes(request=stand_in.received, response=stand_in.sent)


def measure_health_check_bytes() -> HealthCheckBytes:
    """Measure the bytes of a health check with its response."""
    return uvloop.run(_measure())
