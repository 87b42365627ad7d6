"""Writing to connections that the other side may end at any time."""

from __future__ import annotations

import asyncio


def write_open(writer: asyncio.StreamWriter, data: bytes) -> None:
    """Write to a connection; raise ``ConnectionResetError`` if it has ended.

    The event loop raises a ``RuntimeError`` then, which an error in the soak test raises too.
    """
    if writer.is_closing():
        raise ConnectionResetError("the connection has ended")
    writer.write(data)


def write_end(writer: asyncio.StreamWriter) -> None:
    """End the output; raise ``ConnectionResetError`` if the connection has ended."""
    if writer.is_closing():
        raise ConnectionResetError("the connection has ended")
    writer.write_eof()
