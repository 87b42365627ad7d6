"""Calls on the sockets of transports that the event loop has no method for."""

from __future__ import annotations

import asyncio
import contextlib
import socket


def shut_down_sending(transport: asyncio.Transport) -> None:
    """Send the end of the connection in this very step; the event loop would do so in a later turn."""
    descriptor = transport.get_extra_info("socket").fileno()
    if descriptor < 0:
        return
    borrowed = socket.socket(socket.AF_INET, socket.SOCK_STREAM, 0, fileno=descriptor)
    with contextlib.suppress(OSError):
        borrowed.shutdown(socket.SHUT_WR)
    borrowed.detach()
