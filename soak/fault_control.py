"""Builds the fault library that limiters preload, and switches its faults through a mapped control block."""

from __future__ import annotations

import errno
import mmap
import shutil
import struct
import subprocess
from enum import IntEnum, IntFlag
from pathlib import Path

from soak.errors import SoakError

SOURCE = Path(__file__).with_name("fault_library.c")
COMPILE_TIMEOUT_SECONDS = 60.0
MAX_COMPILER_OUTPUT_CHARACTERS = 400
NANOSECONDS_PER_SECOND = 1_000_000_000

# Byte offsets in the control block, ``struct control`` in fault_library.c.
BLOCK_BYTES = 208
CLOCK_OFFSET_POSITION = 0
INTERRUPTED_WAITS_POSITION = 40
MAX_TRANSFER_POSITION = 44
DIRECTORY_ERRNO_POSITION = 48
DIRECTORY_CALLS_POSITION = 52
STALL_POINT_POSITION = 56
STALL_MILLISECONDS_POSITION = 60
STALLS_POSITION = 64
CLOCK_READS_POSITION = 68
FAILED_PEER_PORTS_POSITION = 76
FAILED_PEER_PORTS = 32
MILLISECONDS_PER_SECOND = 1000
INT64 = struct.Struct("=q")
INT32 = struct.Struct("=i")


class SystemCall(IntEnum):
    """The system calls that can fail a given number of times.

    The value is the offset of the call's error number in the control block. The number of remaining failures
    follows it.
    """

    ACCEPT = 8
    SOCKET = 16
    CONNECT = 24
    READ = 32


class DirectoryCalls(IntFlag):
    """A mask of the calls on files of the shared directory that fail."""

    NONE = 0
    WRITING = 1
    READING = 2
    LOCKING = 4


class StallPoint(IntEnum):
    """The call before or after which a process stalls."""

    BEFORE_READ = 1  # of a socket that epoll has reported as readable
    AFTER_READ = 2  # of a socket, if it returned data
    BEFORE_WRITE = 3  # to a socket
    BEFORE_CLOCK_READ = 4  # after a socket read that returned data


def build_library(directory: Path) -> Path:
    """Compile the library into ``directory``. Raise ``SoakError`` if there is no compiler or it fails."""
    compiler = shutil.which("cc") or shutil.which("gcc")
    if compiler is None:
        raise SoakError("cannot build the fault library: no C compiler (cc or gcc) on the PATH")
    library = directory / "fault_library.so"
    command = [compiler, "-O2", "-shared", "-fPIC", "-o", str(library), str(SOURCE), "-ldl"]
    built = subprocess.run(
        command, capture_output=True, text=True, timeout=COMPILE_TIMEOUT_SECONDS, check=False
    )
    if built.returncode != 0:
        output = built.stderr.strip()[-MAX_COMPILER_OUTPUT_CHARACTERS:]
        raise SoakError(f"cannot build the fault library: the C compiler failed: {output}")
    return library


class FaultControl:
    """A control block, shared with the processes that map it through the fault library."""

    def __init__(self, path: Path) -> None:
        """Create the file of the block, with all faults off."""
        self.path = path
        path.write_bytes(bytes(BLOCK_BYTES))
        with path.open("r+b") as file:
            self._block = mmap.mmap(file.fileno(), BLOCK_BYTES)

    def fail_calls(self, call: SystemCall, error: int, count: int) -> None:
        """Make the next ``count`` calls fail with the error number ``error``."""
        self._set(call, error)
        self._set(call + INT32.size, count)

    def interrupt_waits(self, count: int) -> None:
        """Make the next ``count`` calls of epoll_wait fail with EINTR."""
        self._set(INTERRUPTED_WAITS_POSITION, count)

    def limit_transfers(self, max_bytes: int) -> None:
        """Limit each read and write of a socket to ``max_bytes``; 0 means no limit."""
        self._set(MAX_TRANSFER_POSITION, max_bytes)

    def step_clock(self, seconds: float) -> None:
        """Make the wall clock wrong by ``seconds``; a previous offset is replaced."""
        INT64.pack_into(self._block, CLOCK_OFFSET_POSITION, int(seconds * NANOSECONDS_PER_SECOND))

    def fail_directory_calls(self, error: int, calls: DirectoryCalls) -> None:
        """Make only these calls on the shared directory fail, with the error number ``error``."""
        self._set(DIRECTORY_ERRNO_POSITION, error or errno.EIO)
        self._set(DIRECTORY_CALLS_POSITION, calls)

    def stall_process(self, point: StallPoint, seconds: float, count: int = 1, clock_reads: int = 0) -> None:
        """Stall the process for ``seconds`` at each of its next ``count`` calls that reach ``point``.

        At ``BEFORE_CLOCK_READ``, ``clock_reads`` clock reads after a socket read with data precede the stall.
        """
        self._set(CLOCK_READS_POSITION, clock_reads)
        self._set(STALL_POINT_POSITION, point)
        self._set(STALL_MILLISECONDS_POSITION, int(seconds * MILLISECONDS_PER_SECOND))
        self._set(STALLS_POSITION, count)

    def failed_peer_ports(self) -> set[int]:
        """Return the peer ports of the last ``FAILED_PEER_PORTS`` socket reads that were made to fail."""
        positions = range(
            FAILED_PEER_PORTS_POSITION,
            FAILED_PEER_PORTS_POSITION + FAILED_PEER_PORTS * INT32.size,
            INT32.size,
        )
        return {INT32.unpack_from(self._block, position)[0] for position in positions} - {0}

    def clear_call_faults(self) -> None:
        """End all faults except the error of the wall clock."""
        for call in SystemCall:
            self._set(call + INT32.size, 0)
        self.interrupt_waits(0)
        self.limit_transfers(0)
        self._set(STALLS_POSITION, 0)
        self.fail_directory_calls(0, DirectoryCalls.NONE)

    def close(self) -> None:
        """Unmap the block."""
        self._block.close()

    def _set(self, position: int, value: int) -> None:
        INT32.pack_into(self._block, position, value)
