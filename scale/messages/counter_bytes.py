"""Bytes of the counter's protocol, by the real client; a job."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from random import Random

import uvloop

from quota_gateway import model
from quota_gateway.net.counter.client import CounterClient
from quota_gateway.net.counter.line_protocol import CallResult
from scale.messages.counting_stand_in import REPLY_TIMEOUT, CountingStandIn

CALLS = 200  # whose bytes are counted
LIFETIME = 60.0  # seconds of a counter
MAX_AMOUNT = 4


@dataclass(frozen=True, slots=True)
class CounterBytes:
    """Mean bytes of a call, and what an idle client sends and gets."""

    request: float
    reply: float
    idle: float  # bytes a second

    @property
    def call(self) -> float:
        """Bytes of a call with its reply."""
        return self.request + self.reply


async def _converse(
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


class _Replies:
    """Counts replies; ``all_received`` fails with the first call that does not end well."""

    def __init__(self, expected: int) -> None:
        self._missing = expected
        self.all_received: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def on_reply(self, result: CallResult) -> None:
        """Count a reply."""
        self._missing -= 1
        if self.all_received.done():
            return
        if result.status is not model.CallStatus.OK:
            self.all_received.set_exception(ConnectionError(f"a call ended as {result.status.value}"))
        elif not self._missing:
            self.all_received.set_result(None)


async def _measure(idle_seconds: float) -> CounterBytes:
    stand_in = CountingStandIn()
    rng = Random(1)
    async with stand_in.serve(_converse) as (host, port):
        client = CounterClient(host, port, REPLY_TIMEOUT)
        client.start()
        replies = _Replies(CALLS)
        for _ in range(CALLS):
            client.increment(
                rng.getrandbits(63), rng.randrange(1, MAX_AMOUNT + 1), LIFETIME, replies.on_reply
            )
        await stand_in.wait(replies.all_received)
        received = stand_in.received
        sent = stand_in.sent
        await asyncio.sleep(idle_seconds)
        client.close()
        idle = (stand_in.total - received - sent) / idle_seconds
        return CounterBytes(request=received / CALLS, reply=sent / CALLS, idle=idle)


def measure_counter_bytes(idle_seconds: float) -> CounterBytes:
    """Bytes of a call with its reply, and a second of a client that has nothing to ask for so long."""
    return uvloop.run(_measure(idle_seconds))
