"""Allocates loopback ports to limiters of soak runs and tests, outside the range of outgoing connections.

A limiter keeps its port across restarts, so no outgoing connection may occupy it in the meantime.
"""

from __future__ import annotations

import contextlib
import os
import socket
from itertools import cycle, islice

from soak.errors import SoakError
from soak.proxy import LOOPBACK

FIRST_PORT = 12_000  # all ports are below those that the system assigns to outgoing connections
PORTS_PER_RUN = 1_000
CONCURRENT_RUNS = 18  # a run's range of ports is selected by its process id modulo this number

_first_port = FIRST_PORT + os.getpid() % CONCURRENT_RUNS * PORTS_PER_RUN
_ports = cycle(range(_first_port, _first_port + PORTS_PER_RUN))


def free_port() -> int:
    """Return the next unused port. Raise ``SoakError`` if all are in use.

    Ports are allocated in rotation. If two limiters got the same port before either listened on it, both
    would listen on it: limiters set SO_REUSEPORT, which lets the processes of one limiter share an address.
    """
    for port in islice(_ports, PORTS_PER_RUN):
        with socket.socket() as candidate, contextlib.suppress(OSError):
            candidate.bind((LOOPBACK, port))
            return port
    raise SoakError(f"all ports from {_first_port} to {_first_port + PORTS_PER_RUN - 1} are in use")
