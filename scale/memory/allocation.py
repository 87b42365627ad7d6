"""How much memory this process has allocated, and how much of it is resident."""

from __future__ import annotations

import gc
import os
import tracemalloc
from dataclasses import dataclass
from pathlib import Path

from quota_gateway import __main__ as _program  # noqa: F401  all of the program is in a limiter's memory


@dataclass(frozen=True, slots=True)
class MemoryUse:
    """What the thing that is measured holds, in bytes."""

    allocated: int  # by Python
    resident: int | None = None  # of the process, tracemalloc's own included; None where it is not measured


def allocated_bytes() -> int:
    """Bytes that Python has allocated and not given back since ``tracemalloc`` began."""
    gc.collect()
    return tracemalloc.get_traced_memory()[0]


def resident_bytes() -> int:
    """Bytes of this process in memory now (``/proc/self/statm``)."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


def start_tracing() -> int:
    """Count allocations from now on; gives the resident bytes before."""
    gc.collect()
    before = resident_bytes()
    tracemalloc.start()
    return before
