"""Free TCP ports of loopback for limiters, which have to get the same port again after a restart."""

from __future__ import annotations

import contextlib
import os
import socket
from itertools import cycle, islice

from soak.errors import SoakError
from soak.proxy import LOOPBACK

FIRST_PORT = 12_000  # below the ports that the system assigns to outgoing connections
PORTS_PER_RUN = 1_000
CONCURRENT_RUNS = 18  # that get different ports, by the number of their process

_first_port = FIRST_PORT + os.getpid() % CONCURRENT_RUNS * PORTS_PER_RUN
_ports = cycle(range(_first_port, _first_port + PORTS_PER_RUN))


def free_port() -> int:
    """Return the next unused port. Raise ``SoakError`` if all are in use.

    The ports are returned in turn: two limiters that get the same port before either of them listens would
    both listen at it, because the processes of a limiter share their address.
    """
    for port in islice(_ports, PORTS_PER_RUN):
        with socket.socket() as candidate, contextlib.suppress(OSError):
            candidate.bind((LOOPBACK, port))
            return port
    raise SoakError(f"no free port from {_first_port} to {_first_port + PORTS_PER_RUN - 1}")
