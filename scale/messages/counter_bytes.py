"""A job that measures the bytes of the counter protocol with the limiter's real client."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from random import Random

import uvloop

from quota_gateway import model
from quota_gateway.net.counter.client import CounterClient
from quota_gateway.net.counter.line_protocol import CallResult
from scale.messages.counting_stand_in import REPLY_TIMEOUT_SECONDS, CountingStandIn

CALLS = 200
COUNTER_LIFETIME_SECONDS = 60.0
MAX_AMOUNT_UNITS = 4


@dataclass(frozen=True, slots=True)
class CounterBytes:
    """Mean bytes of a counter call, and the traffic of an idle client."""

    request: float
    reply: float
    idle: float  # bytes a second

    @property
    def call(self) -> float:
        """The bytes of a request with its reply."""
        return self.request + self.reply


async def _reply_to_calls(
    stand_in: CountingStandIn, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    total = 0.0
    while True:
        words = (await stand_in.read_until(reader, b"\n")).split()
        if words[0] == b"tally":
            total += float(words[2])
            stand_in.write(writer, b"ok %.7g\r\n" % total)
        else:
            stand_in.write(writer, b"pong\r\n")


class _ReplyCounter:
    """Counts replies; ``all_received`` fails as soon as a call fails."""

    def __init__(self, expected: int) -> None:
        self._pending = expected
        self.all_received: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def on_reply(self, result: CallResult) -> None:
        """Count a reply."""
        self._pending -= 1
        if self.all_received.done():
            return
        if result.status is not model.CallStatus.OK:
            self.all_received.set_exception(
                ConnectionError(f"a counter call ended with status {result.status.value}")
            )
        elif not self._pending:
            self.all_received.set_result(None)


async def _measure(idle_seconds: float) -> CounterBytes:
    stand_in = CountingStandIn()
    rng = Random(1)
    async with stand_in.serve(_reply_to_calls) as (host, port):
        client = CounterClient(host, port, REPLY_TIMEOUT_SECONDS)
        client.start()
        replies = _ReplyCounter(CALLS)
        for _ in range(CALLS):
            client.increment(
                rng.getrandbits(63),
                rng.randrange(1, MAX_AMOUNT_UNITS + 1),
                COUNTER_LIFETIME_SECONDS,
                replies.on_reply,
            )
        await stand_in.wait(replies.all_received)
        received = stand_in.received
        sent = stand_in.sent
        await asyncio.sleep(idle_seconds)
        client.close()
        idle = (stand_in.total - received - sent) / idle_seconds
        return CounterBytes(request=received / CALLS, reply=sent / CALLS, idle=idle)


def measure_counter_bytes(idle_seconds: float) -> CounterBytes:
    """Measure the bytes of a call with its reply, and of a client that is idle for ``idle_seconds``."""
    return uvloop.run(_measure(idle_seconds))
