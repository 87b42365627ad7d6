"""Case 9: at the connection limit, answers are cut off that their clients have not read completely.

Four clients send a request each half second, with ``Connection: close``, and read answers of 0.6 to 1.6 MB at 200 kB a
second. Meanwhile idle clients fill the limiter's connections, and connect again when they are closed; without the
trouble they stay away.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "kit_2"))

from lab import BROKEN, HELD, HOST, NOT_RUN, Agent, Counter, Lateness, Limiter, Received, Record, Server
from lab import default_settings, new_id, request_head, response, run_case, trouble

SOCKETS = 256
IDLE_CLIENTS = 130
ROUNDS = 15
CLIENTS = 4
MIN_ANSWER_BYTES = 600_000
ANSWER_STEP_BYTES = 17_000  # each answer is longer by this than the one before
READ_BYTES = 20_000
READ_INTERVAL_S = 0.1
SEGMENT_BYTES = 1460  # the clients' largest segment, as on an Ethernet
RECEIVE_BUFFER_BYTES = 32_768
TIMEOUT_MS = 2000
MAX_LATENESS_S = 1.0  # of the stand-ins


async def answer_long(server: Server, request: Received, writer: asyncio.StreamWriter) -> None:
    await asyncio.sleep(server.work_s)
    writer.write(response(b"." * int(request.headers["x-answer-bytes"])))


async def stay_idle(limiter: Limiter, stop: asyncio.Event) -> None:
    """Keep an idle connection, and connect again when it is closed."""
    while not stop.is_set():
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(HOST, limiter.port)
            await reader.read(1)
            writer.close()
        await asyncio.sleep(0.1)


async def read_slowly(limiter: Limiter, record: Record, size: int, results: list[str]) -> None:
    loop = asyncio.get_running_loop()
    request_id = new_id()
    client = socket.socket()
    client.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    client.setblocking(False)
    received = bytearray()
    end = "end of the connection"
    try:
        await loop.sock_connect(client, (HOST, limiter.port))
        extra = f"Connection: close\r\nX-Answer-Bytes: {size}\r\n"
        await loop.sock_sendall(client, request_head("loan-status", request_id, TIMEOUT_MS, extra=extra))
        async with asyncio.timeout(40):
            while part := await loop.sock_recv(client, READ_BYTES):
                received += part
                await asyncio.sleep(READ_INTERVAL_S)
    except TimeoutError:
        end = "not whole after 40 s"
    except OSError as error:
        end = repr(error)
    client.close()
    head, _, body = bytes(received).partition(b"\r\n\r\n")
    status = head.split(b" ")[1].decode() if head.startswith(b"HTTP/1.1 ") else "none"
    if status == "none":
        result = "shut unread"
    elif status != "200":
        result = "refused or failed"
    elif len(body) == size:
        result = "whole"
    else:
        result = "LOST"
    results.append(result)
    record.add(
        f"sent {request_id} GET loan-status: status {status}, {len(body)} of {size} bytes, {end}: {result}"
    )


async def case(record: Record) -> int:
    servers = [Server(f"s-{number}", record, answer_long) for number in range(4)]
    for server in servers:
        await server.start()
    agent = Agent(record, [server.entry for server in servers])
    await agent.start()
    counter = Counter()
    await counter.start()
    limiter = Limiter(record, agent, counter, default_settings())
    limiter.limits["sockets"] = SOCKETS
    results: list[str] = []
    lateness = Lateness()
    stop = asyncio.Event()
    try:
        await limiter.start()
        tasks = []
        if trouble():
            idle = [asyncio.create_task(stay_idle(limiter, stop)) for _ in range(IDLE_CLIENTS)]
            await asyncio.sleep(0.5)
        for _ in range(ROUNDS):
            for _ in range(CLIENTS):
                size = MIN_ANSWER_BYTES + ANSWER_STEP_BYTES * len(tasks)
                tasks.append(asyncio.create_task(read_slowly(limiter, record, size, results)))
            await asyncio.sleep(0.5)
        await asyncio.gather(*tasks)
        if trouble():
            stop.set()
            for task in idle:
                task.cancel()
    finally:
        await limiter.stop()
        limiter.clean()
    counts = {result: results.count(result) for result in sorted(set(results))}
    record.add(f"answers: {counts}; stand-ins late by {lateness.worst:.3f} s")
    if lateness.worst > MAX_LATENESS_S or not counts.keys() & {"whole", "LOST"}:
        return NOT_RUN
    return BROKEN if "LOST" in counts else HELD


run_case(Path(__file__).resolve().parent, case)
