"""Allocated and resident memory of this process."""

from __future__ import annotations

import gc
import os
import tracemalloc
from dataclasses import dataclass
from pathlib import Path

from quota_gateway import __main__ as _program  # noqa: F401  loads the whole program


@dataclass(frozen=True, slots=True)
class MemoryUse:
    """The memory of the measured objects in bytes."""

    allocated: int  # memory of Python objects
    # Growth of the process's resident memory, which includes that of tracemalloc; None: not measured.
    resident: int | None = None


def allocated_bytes() -> int:
    """Return the bytes that Python has allocated since ``tracemalloc`` started and has not freed."""
    gc.collect()
    return tracemalloc.get_traced_memory()[0]


def resident_bytes() -> int:
    """Return the resident memory of this process in bytes (``/proc/self/statm``)."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


def start_tracing() -> int:
    """Start ``tracemalloc``; return the resident memory in bytes before the start."""
    gc.collect()
    before = resident_bytes()
    tracemalloc.start()
    return before
