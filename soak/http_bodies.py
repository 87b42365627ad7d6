"""Reading of message bodies in all framings of HTTP/1.1."""

from __future__ import annotations

import asyncio

LINE_END = b"\r\n"


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Return a body in the framing that the headers announce; it must have no trailers.

    Raises ValueError if a chunk is malformed.
    """
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    if headers.get("transfer-encoding") != "chunked":
        return await reader.read()
    chunks = []
    while size := int((await reader.readline()).partition(b";")[0], 16):
        chunks.append(await reader.readexactly(size))
        await _read_line_end(reader)
    await _read_line_end(reader)
    return b"".join(chunks)


async def _read_line_end(reader: asyncio.StreamReader) -> None:
    line = await reader.readline()
    if line != LINE_END:
        raise ValueError(f"expected the end of a line, found {line[:40]!r}")
