"""Client of the admin address for the tests."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

RETRY_INTERVAL = 0.02  # seconds
STALLED_CONNECTIONS = 40  # more than the admin address keeps open


async def send_command(port: int, command: bytes, terminator: bytes = b"\n") -> str:
    """Send one command and return the reply; retry the connect while nothing listens on the port yet."""
    while True:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            break
        except ConnectionRefusedError:
            await asyncio.sleep(RETRY_INTERVAL)
    writer.write(command + terminator)
    if not terminator:
        writer.write_eof()
    reply = await reader.read()
    writer.close()
    return reply.decode()


def parse_metrics(text: str) -> dict[str, int]:
    """Return the metrics in a reply to METRICS, by name."""
    lines = text.splitlines()
    assert lines[-1] == "EOT"
    return {name: int(value) for name, value in (line.split("=") for line in lines[:-1])}


async def fetch_metrics(port: int) -> dict[str, int]:
    """Send METRICS to a limiter; return its metrics by name."""
    return parse_metrics(await send_command(port, b"METRICS"))


@asynccontextmanager
async def stalled_connections(port: int) -> AsyncIterator[None]:
    """Open connections to the admin address that send part of a command and then stall."""
    await send_command(port, b"STATUS")  # waits until the limiter listens on the port
    writers = list[asyncio.StreamWriter]()
    for _ in range(STALLED_CONNECTIONS):
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writers.append(writer)
    for writer in writers:
        writer.write(b"STAT")
    try:
        yield
    finally:
        for writer in writers:
            writer.close()
