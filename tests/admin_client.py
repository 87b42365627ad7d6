"""Client of the admin address for the tests."""

from __future__ import annotations

import asyncio


async def call(port: int, line: bytes, end: bytes = b"\n") -> str:
    """One call at the second address; retried while nobody listens there yet."""
    while True:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            break
        except ConnectionRefusedError:
            await asyncio.sleep(0.02)
    writer.write(line + end)
    if not end:
        writer.write_eof()
    answer = await reader.read()
    writer.close()
    return answer.decode()


def figures(text: str) -> dict[str, int]:
    lines = text.splitlines()
    assert lines[-1] == "EOT"
    return {name: int(value) for name, value in (line.split("=") for line in lines[:-1])}
