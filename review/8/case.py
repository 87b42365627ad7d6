"""Case 8: long bodies in chunks keep the limiter from running, and the requests of other clients stay unanswered.

Other clients send 20 small requests a second. Clients upload 16 MB each, ten more a second and 64 at a time at
most, to servers that read 1 MB of a body at a time and then pause for 2.5 s. The bodies are lines that hold a 0 and
end in CRLF, as in an export of numbers. Without the trouble the same bodies come with a length.
"""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "kit_2"))

from lab import BROKEN, HELD, NOT_RUN, Agent, Client, Counter, Lateness, Limiter, Record, Server
from lab import default_settings, new_id, request_head, run_case, trouble

SERVERS = 12
SERVER_BURST = 1 << 20  # bytes that a server reads before it pauses
SERVER_PAUSE_S = 2.5
UPLOADS = 64  # open at a time, at most
UPLOAD_INTERVAL_S = 0.1
BODY = (b"0\r\n" * 5_600_000)[: 16 << 20]
CHUNK = 1 << 16
SMALL_PER_S = 20
SMALL_SECONDS = 30
TIMEOUT_MS = 240
GRACE_S = 0.5 + 0.05  # after its time an answer only earns nothing; time limits are longer by 50 ms
WAIT_S = 8.0
MAX_LATENESS_S = (
    1.0  # of the stand-ins; a request counts as lost only if it was later by more than their lateness
)


async def send_small(
    limiter: Limiter, record: Record, number: int, late: list[float], answered: list[int]
) -> None:
    request_id = new_id()
    client = await Client.connect(limiter.port)
    sent_at = time.monotonic()
    client.write(request_head("loan-status", request_id, TIMEOUT_MS, account=f"{number % 50 + 1:016x}"))
    answer = await client.read_answer(WAIT_S)
    client.close()
    if answer is None or answer.at - sent_at > TIMEOUT_MS / 1000 + GRACE_S:
        late.append(WAIT_S if answer is None else answer.at - sent_at)
        text = f"never (within {WAIT_S} s)" if answer is None else f"{answer.status} after {late[-1]:.3f} s"
        record.add(f"sent {request_id} GET loan-status, time {TIMEOUT_MS} ms: answered {text}: LATE")
    else:
        answered.append(answer.status)


async def upload(limiter: Limiter, record: Record, number: int) -> None:
    request_id = new_id()
    client = await Client.connect(limiter.port)
    account = f"{number + 101:016x}"
    if trouble():
        extra = "Transfer-Encoding: chunked\r\n"
        client.write(
            request_head("loan-apply", request_id, 1500, method="POST", extra=extra, account=account)
        )
    else:
        client.write(
            request_head("loan-apply", request_id, 1500, method="POST", length=len(BODY), account=account)
        )
    reading = asyncio.create_task(client.read_answer(60.0))
    sent = 0
    try:
        while sent < len(BODY) and not reading.done():
            part = BODY[sent : sent + CHUNK]
            client.write(b"%x\r\n%b\r\n" % (len(part), part) if trouble() else part)
            await client.writer.drain()
            sent += len(part)
        if trouble() and sent == len(BODY):
            client.write(b"0\r\n\r\n")
    except ConnectionError:
        pass
    answer = await reading
    client.close()
    status = answer.status if answer is not None else 0
    record.add(f"upload {request_id}: {sent} of {len(BODY)} bytes sent, answered {status}")


async def case(record: Record) -> int:
    servers = [Server(f"s-{number}", record) for number in range(SERVERS)]
    for server in servers:
        await server.start()
        server.burst, server.pause_s = SERVER_BURST, SERVER_PAUSE_S
    agent = Agent(record, [server.entry for server in servers])
    await agent.start()
    counter = Counter()
    await counter.start()
    limiter = Limiter(record, agent, counter, default_settings())
    late: list[float] = []  # seconds to the answer, of the small requests that were answered late
    answered: list[int] = []
    lateness = Lateness()
    try:
        await limiter.start()
        tasks = []
        uploading = []
        for number in range(SMALL_SECONDS * SMALL_PER_S):
            tasks.append(asyncio.create_task(send_small(limiter, record, number, late, answered)))
            elapsed = number / SMALL_PER_S - 2.0
            is_due = elapsed >= len(uploading) * UPLOAD_INTERVAL_S
            if is_due and sum(not task.done() for task in uploading) < UPLOADS:
                uploading.append(asyncio.create_task(upload(limiter, record, len(uploading))))
            await asyncio.sleep(1 / SMALL_PER_S)
        await asyncio.gather(*tasks)
        for task in uploading:
            task.cancel()
    finally:
        await limiter.stop()
        limiter.clean()
    counts = {status: answered.count(status) for status in sorted(set(answered))}
    lost = sum(seconds > TIMEOUT_MS / 1000 + GRACE_S + lateness.worst for seconds in late)
    record.add(
        f"{lost} small requests lost, {len(late) - lost} others late, answered in time {counts}; "
        f"stand-ins late by {lateness.worst:.3f} s"
    )
    if lateness.worst > MAX_LATENESS_S:
        return NOT_RUN
    return BROKEN if lost else HELD


run_case(Path(__file__).resolve().parent, case)
