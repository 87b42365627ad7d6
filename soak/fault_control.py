"""The fault library that is loaded into limiters, and the control block through which faults are switched."""

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

# Layout of the control block, ``struct control`` in the library.
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
    """The system calls that can fail a number of times; the value is the position of their error number.

    The number of failures that remain follows the error number.
    """

    ACCEPT = 8
    SOCKET = 16
    CONNECT = 24
    READ = 32


class DirectoryCalls(IntFlag):
    """The calls on files of the shared directory that fail."""

    NONE = 0
    WRITING = 1
    READING = 2
    LOCKING = 4


class StallPoint(IntEnum):
    """Where a process stalls: around a read or write of a socket."""

    BEFORE_READ = 1  # the event loop has been notified of the input
    AFTER_READ = 2
    BEFORE_WRITE = 3
    BEFORE_CLOCK_READ = 4  # counted from the next input on


def build_library(directory: Path) -> Path:
    """Compile the library into a directory. Raise ``SoakError`` without a compiler or if it fails."""
    compiler = shutil.which("cc") or shutil.which("gcc")
    if compiler is None:
        raise SoakError("no C compiler (cc or gcc) to build the fault library")
    library = directory / "fault_library.so"
    command = [compiler, "-O2", "-shared", "-fPIC", "-o", str(library), str(SOURCE), "-ldl"]
    built = subprocess.run(
        command, capture_output=True, text=True, timeout=COMPILE_TIMEOUT_SECONDS, check=False
    )
    if built.returncode != 0:
        output = built.stderr.strip()[-MAX_COMPILER_OUTPUT_CHARACTERS:]
        raise SoakError(f"the fault library could not be built: {output}")
    return library


class FaultControl:
    """The control block of one process."""

    def __init__(self, path: Path) -> None:
        """Create the block in a file, without faults."""
        self.path = path
        path.write_bytes(bytes(BLOCK_BYTES))
        with path.open("r+b") as file:
            self._block = mmap.mmap(file.fileno(), BLOCK_BYTES)

    def fail_calls(self, call: SystemCall, error: int, count: int) -> None:
        """Let the next ``count`` calls fail with an error number."""
        self._set(call, error)
        self._set(call + INT32.size, count)

    def interrupt_waits(self, count: int) -> None:
        """Let the next ``count`` waits for events return EINTR."""
        self._set(INTERRUPTED_WAITS_POSITION, count)

    def limit_transfers(self, max_bytes: int) -> None:
        """Let reads and writes of sockets transfer at most ``max_bytes``; 0 means no limit."""
        self._set(MAX_TRANSFER_POSITION, max_bytes)

    def step_clock(self, seconds: float) -> None:
        """Set the error of the wall clock."""
        INT64.pack_into(self._block, CLOCK_OFFSET_POSITION, int(seconds * NANOSECONDS_PER_SECOND))

    def fail_directory_calls(self, error: int, calls: DirectoryCalls) -> None:
        """Let these calls on the shared directory fail, and no others."""
        self._set(DIRECTORY_ERRNO_POSITION, error or errno.EIO)
        self._set(DIRECTORY_CALLS_POSITION, calls)

    def stall_process(self, point: StallPoint, seconds: float, count: int = 1, clock_reads: int = 0) -> None:
        """Let the process stand still at its next ``count`` calls that reach the point.

        ``clock_reads`` precede the stall at ``BEFORE_CLOCK_READ``.
        """
        self._set(CLOCK_READS_POSITION, clock_reads)
        self._set(STALL_POINT_POSITION, point)
        self._set(STALL_MILLISECONDS_POSITION, int(seconds * MILLISECONDS_PER_SECOND))
        self._set(STALLS_POSITION, count)

    def failed_peer_ports(self) -> set[int]:
        """Return the peers' ports of the sockets whose read failed; the oldest ones are overwritten."""
        positions = range(
            FAILED_PEER_PORTS_POSITION,
            FAILED_PEER_PORTS_POSITION + FAILED_PEER_PORTS * INT32.size,
            INT32.size,
        )
        return {INT32.unpack_from(self._block, position)[0] for position in positions} - {0}

    def clear_call_faults(self) -> None:
        """End all faults of system calls; the clock keeps its error."""
        for call in SystemCall:
            self._set(call + INT32.size, 0)
        self.interrupt_waits(0)
        self.limit_transfers(0)
        self._set(STALLS_POSITION, 0)
        self.fail_directory_calls(0, DirectoryCalls.NONE)

    def close(self) -> None:
        """Release the block."""
        self._block.close()

    def _set(self, position: int, value: int) -> None:
        INT32.pack_into(self._block, position, value)
