"""Writes to connections that the other side may close at any time."""

from __future__ import annotations

import asyncio


def write_data(writer: asyncio.StreamWriter, data: bytes) -> None:
    """Write to a connection; raise ``ConnectionResetError`` if it is closed.

    Without this check the event loop would raise ``RuntimeError``, as an error in the soak test may do, too.
    """
    if writer.is_closing():
        raise ConnectionResetError("cannot write: the connection is closed")
    writer.write(data)


def close_sending_side(writer: asyncio.StreamWriter) -> None:
    """Close the sending side of a connection; raise ``ConnectionResetError`` if the connection is closed."""
    if writer.is_closing():
        raise ConnectionResetError("cannot write: the connection is closed")
    writer.write_eof()
