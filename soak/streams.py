"""Writes to connections that the other side may close at any time."""

from __future__ import annotations

import asyncio


def write_open(writer: asyncio.StreamWriter, data: bytes) -> None:
    """Write to a connection; raise ``ConnectionResetError`` if it is closed.

    The event loop would raise ``RuntimeError``, which an error in the soak test may raise too.
    """
    if writer.is_closing():
        raise ConnectionResetError("cannot write: the connection is closed")
    writer.write(data)


def write_end(writer: asyncio.StreamWriter) -> None:
    """Close the sending side of a connection; raise ``ConnectionResetError`` if the connection is closed."""
    if writer.is_closing():
        raise ConnectionResetError("cannot write: the connection is closed")
    writer.write_eof()
