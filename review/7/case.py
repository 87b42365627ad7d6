"""Case 7: a request that offers an upgrade (RFC 9110, 7.8) reaches its server without its body.

Twenty clients send one ``loan-apply`` each, with a body, and offer h2c as HTTP clients that prefer HTTP/2 do.
The body of five of them quotes a request, as the text of a report may. Without the trouble they send the same
without the offer.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "kit_2"))

from lab import BROKEN, HELD, NOT_RUN, Agent, Client, Counter, Limiter, Record, Server
from lab import default_settings, new_id, request_head, run_case, trouble

OFFER = "Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAMAAABkAAQBAAAAAAIAAAAA\r\n"
REQUESTS = 20
QUOTING = 5  # of them, with a body that quotes a request
TARGET = "/loan-apply?account=00000000b4d65521"


async def send(limiter: Limiter, record: Record, request_id: str, body: bytes) -> int:
    client = await Client.connect(limiter.port)
    extra = OFFER if trouble() else ""
    head = request_head("loan-apply", request_id, 1500, method="POST", length=len(body), extra=extra)
    client.write(head + body)
    answer = await client.read_answer(3.0)
    client.close()
    status = answer.status if answer is not None else 0
    record.add(f"sent {request_id} POST {TARGET} body of {len(body)} bytes; answered {status}")
    return status


async def case(record: Record) -> int:
    servers = [Server(f"s-{number}", record) for number in range(4)]
    for server in servers:
        await server.start()
    agent = Agent(record, [server.entry for server in servers])
    await agent.start()
    counter = Counter()
    await counter.start()
    limiter = Limiter(record, agent, counter, default_settings())
    bodies: dict[str, bytes] = {}
    quoted: list[str] = []
    statuses = []
    try:
        await limiter.start()
        for number in range(REQUESTS):
            body = b'{"partner":"shop-17","amount":%d,"months":12,"note":"sofa"}' % (100 + number)
            if number < QUOTING:
                quoted.append(new_id())
                body = request_head("loan-status", quoted[-1], 1500)
            request_id = new_id()
            bodies[request_id] = body
            statuses.append(await send(limiter, record, request_id, body))
            await asyncio.sleep(0.05)
        await asyncio.sleep(0.5)
    finally:
        await limiter.stop()
        limiter.clean()
    broken = 0
    intact = 0
    for server in servers:
        for request in server.received:
            sent = bodies.get(request.id)
            text = f"{server.name} ran {request.id} {request.method} {request.target} body of {len(request.body)} bytes"
            if sent is None:
                broken += 1
                text += ": NO CLIENT SENT THIS REQUEST"
            elif request.complete_at is not None and (bytes(request.body), request.target) != (sent, TARGET):
                broken += 1
                text += f": THE CLIENT SENT A BODY OF {len(sent)} BYTES"
            else:
                intact += 1
            record.add(text)
    record.add(f"{broken} requests ran that no client sent in this form, {intact} ran as sent")
    if broken:
        return BROKEN
    return HELD if intact >= REQUESTS // 2 else NOT_RUN


run_case(Path(__file__).resolve().parent, case)
