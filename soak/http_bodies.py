"""Reads HTTP/1.1 message bodies: with a Content-Length, chunked, or ended by the close of the connection."""

from __future__ import annotations

import asyncio

CRLF = b"\r\n"


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Read a body in the framing that the headers announce and return it; trailers are not supported.

    Raises ValueError if a chunk is malformed.
    """
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    if headers.get("transfer-encoding") != "chunked":
        return await reader.read()
    chunks = []
    while size := int((await reader.readline()).partition(b";")[0], 16):
        chunks.append(await reader.readexactly(size))
        await _read_crlf(reader)
    await _read_crlf(reader)
    return b"".join(chunks)


async def _read_crlf(reader: asyncio.StreamReader) -> None:
    line = await reader.readline()
    if line != CRLF:
        raise ValueError(f"malformed chunked body: expected CRLF, got {line[:40]!r}")
