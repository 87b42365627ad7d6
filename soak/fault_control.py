"""The fault library that is loaded into limiters, and the control block that tells it what to do."""

from __future__ import annotations

import errno
import mmap
import shutil
import struct
import subprocess
from enum import IntFlag
from pathlib import Path

from soak.errors import SoakError

SOURCE = Path(__file__).with_name("fault_library.c")
COMPILE_TIMEOUT = 60.0  # seconds
NANOSECONDS = 1_000_000_000


class FolderCalls(IntFlag):
    """The calls on files of the shared folder that fail."""

    NONE = 0
    WRITING = 1
    READING = 2
    LOCKING = 4


class Field:
    """One number of the control block (``struct control`` in the library)."""

    def __init__(self, offset: int, layout: str) -> None:
        """``layout`` is a format of ``struct``, ``offset`` in bytes."""
        self.offset = offset
        self.layout = layout


CLOCK_OFFSET = Field(0, "=q")
ACCEPT_ERRNO = Field(8, "=i")
ACCEPT_FAILURES = Field(12, "=i")
SOCKET_ERRNO = Field(16, "=i")
SOCKET_FAILURES = Field(20, "=i")
CONNECT_ERRNO = Field(24, "=i")
CONNECT_FAILURES = Field(28, "=i")
READ_ERRNO = Field(32, "=i")
READ_FAILURES = Field(36, "=i")
INTERRUPTED_WAITS = Field(40, "=i")
MAX_TRANSFER = Field(44, "=i")
FOLDER_ERRNO = Field(48, "=i")
FOLDER_CALLS = Field(52, "=i")
SIZE = 56
RESET_AT_THE_END = (
    ACCEPT_FAILURES,
    SOCKET_FAILURES,
    CONNECT_FAILURES,
    READ_FAILURES,
    INTERRUPTED_WAITS,
    MAX_TRANSFER,
)  # of a trouble: failures that were not used up must not outlast it


def build_library(folder: Path) -> Path:
    """Compile the library into a folder; ``SoakError`` where there is no compiler or it fails."""
    compiler = shutil.which("cc") or shutil.which("gcc")
    if compiler is None:
        raise SoakError("no C compiler (cc or gcc) to build the fault library")
    library = folder / "fault_library.so"
    command = [compiler, "-O2", "-shared", "-fPIC", "-o", str(library), str(SOURCE), "-ldl"]
    built = subprocess.run(command, capture_output=True, text=True, timeout=COMPILE_TIMEOUT, check=False)
    if built.returncode != 0:
        raise SoakError(f"the fault library could not be built: {built.stderr.strip()[-400:]}")
    return library


class FaultControl:
    """The control block of one process."""

    def __init__(self, path: Path) -> None:
        """Create the block in a file, without faults."""
        self.path = path
        path.write_bytes(bytes(SIZE))
        with path.open("r+b") as file:
            self._block = mmap.mmap(file.fileno(), SIZE)

    def set(self, field: Field, value: int) -> None:
        """Set one number."""
        struct.pack_into(field.layout, self._block, field.offset, value)

    def step_clock(self, seconds: float) -> None:
        """Have the wall clock so many seconds off the true one."""
        self.set(CLOCK_OFFSET, int(seconds * NANOSECONDS))

    def fail_folder(self, error: int, calls: FolderCalls) -> None:
        """Have calls on the shared folder fail."""
        self.set(FOLDER_ERRNO, error or errno.EIO)
        self.set(FOLDER_CALLS, int(calls))

    def close(self) -> None:
        """Release the block."""
        self._block.close()
