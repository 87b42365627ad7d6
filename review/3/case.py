"""Clients send many requests at once on a connection: is each of them answered?"""

from __future__ import annotations

import asyncio
import sys
from dataclasses import dataclass
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from stand_ins import (  # noqa: E402
    BROKEN, HELD, HOST, Limiter, TruncatedAnswerError, World, new_id, read_answer, request_bytes, run_case,
    warm_up,
)  # fmt: skip

CLIENTS = 4
REQUESTS_AT_ONCE = 12  # the page: "many", without a number
TIMEOUT_MS = 2000
LATE_SECONDS = 0.55  # half a second after the request's time, and 50 ms on sockets


@dataclass
class Sent:
    """One request, as its client sees it."""

    request_id: str
    status: int | None = None


async def run_client(world: World, limiter: Limiter, number: int, at_once: int) -> list[Sent]:
    """Send the requests, ``at_once`` on the connection, and read their answers in order."""
    record = world.record
    reader, writer = await asyncio.open_connection(HOST, limiter.port)
    sent = [Sent(new_id()) for _ in range(REQUESTS_AT_ONCE)]
    for start in range(0, len(sent), at_once):
        group = sent[start : start + at_once]
        data = [
            request_bytes(request.request_id, "loan-status", TIMEOUT_MS, account=0x6000 + number * 64 + start + place)
            for place, request in enumerate(group)
        ]
        writer.write(b"".join(data))
        sent_at = record.now()
        record.write(f"client {number} sends {len(group)} requests at once to {limiter.name}")
        for request in group:
            latest = sent_at + TIMEOUT_MS / 1000 + LATE_SECONDS
            try:
                async with asyncio.timeout(latest - record.now()):
                    answer = await read_answer(reader, record)
            except (TimeoutError, TruncatedAnswerError, OSError) as error:
                record.write(f"client {number}: no whole answer to {request.request_id}: {error!r}")
                break
            if answer is None:
                record.write(f"client {number}: the limiter has ended the connection before {request.request_id}")
                break
            request.status = answer.status
            record.write(f"client {number}: {request.request_id} answered {answer.status}")
            if answer.headers.get("connection", "").lower() == "close" and request is not sent[-1]:
                record.write(f"client {number}: the answer to {request.request_id} announces the close")
    writer.close()
    return sent


async def play(world: World, trouble: bool) -> int:  # noqa: FBT001
    """Run the case."""
    await world.start()
    await warm_up(world, 4.0)
    at_once = REQUESTS_AT_ONCE if trouble else 1
    clients = []
    for number in range(CLIENTS):
        limiter = world.limiters[number % len(world.limiters)]
        clients.append(await run_client(world, limiter, number, at_once))
        await asyncio.sleep(0.5)
    lost = [request for sent in clients for request in sent if request.status is None]
    total = sum(len(sent) for sent in clients)
    world.record.write(f"{total} requests, {len(lost)} without an answer")
    return BROKEN if lost else HELD


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
