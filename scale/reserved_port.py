"""Reserves loopback ports for child processes."""

from __future__ import annotations

import socket
from collections.abc import Iterator
from contextlib import contextmanager

LOOPBACK = "127.0.0.1"


@contextmanager
def reserved_port() -> Iterator[int]:
    """Reserve an unused port while the context is open.

    The port stays bound to a socket that does not listen, so that the system assigns it to no other socket. A
    child process can still listen on the port, because both sockets have SO_REUSEADDR.
    """
    with socket.socket() as reservation:
        reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        reservation.bind((LOOPBACK, 0))
        port: int = reservation.getsockname()[1]
        yield port
