"""Faults of a limiter's operating system: system calls, wall clock, shared directory."""

from __future__ import annotations

import asyncio
import errno
from dataclasses import dataclass

from soak.fault_control import DirectoryCalls, SystemCall
from soak.fault_kinds import FaultKind
from soak.limiter import Limiter
from soak.scenario import Fault

CLOCK_STEP_SECONDS = 3600.0
FAILED_CALLS = 5  # per fault
INTERRUPTED_WAITS = 100  # per fault
MAX_TRANSFER_BYTES = 7


@dataclass(frozen=True, slots=True)
class _CallFault:
    """A system call, and the error numbers of which a fault uses one."""

    call: SystemCall
    errors: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class _DirectoryFault:
    """Calls on the shared directory, and the error number with which they fail."""

    error: int
    calls: DirectoryCalls


CALL_FAULTS = {
    FaultKind.ACCEPT_ERRORS: _CallFault(
        SystemCall.ACCEPT, (errno.ECONNABORTED, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
    ),
    FaultKind.SOCKET_ERRORS: _CallFault(SystemCall.SOCKET, (errno.ENFILE, errno.ENOBUFS)),
    FaultKind.CONNECT_ERRORS: _CallFault(
        SystemCall.CONNECT, (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS)
    ),
    FaultKind.READ_ERRORS: _CallFault(
        SystemCall.READ, (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNRESET)
    ),
}
DIRECTORY_FAULTS = {
    FaultKind.SHARED_DIRECTORY_FULL: _DirectoryFault(errno.ENOSPC, DirectoryCalls.WRITING),
    FaultKind.SHARED_DIRECTORY_IO_ERRORS: _DirectoryFault(
        errno.EIO, DirectoryCalls.WRITING | DirectoryCalls.READING
    ),
    FaultKind.SHARED_DIRECTORY_LOCK_ERRORS: _DirectoryFault(errno.ENOLCK, DirectoryCalls.LOCKING),
}
CLOCK_STEPS = {
    FaultKind.CLOCK_STEP_FORWARD: CLOCK_STEP_SECONDS,
    FaultKind.CLOCK_STEP_BACK: -CLOCK_STEP_SECONDS,
}


class SystemFaults:
    """Faults of the operating system of one limiter."""

    KINDS = frozenset(
        {
            *CALL_FAULTS,
            *DIRECTORY_FAULTS,
            *CLOCK_STEPS,
            FaultKind.SHORT_TRANSFERS,
            FaultKind.INTERRUPTED_WAITS,
        }
    )

    async def inject(self, limiter: Limiter, fault: Fault) -> None:
        """Inject a fault into a limiter, and undo it after its duration. A stepped clock is not set back.

        When a fault ends, ``clear_call_faults`` also ends the other faults of system calls at that limiter.
        """
        control = limiter.control
        if fault.kind in CALL_FAULTS:
            spec = CALL_FAULTS[fault.kind]
            error = spec.errors[int(fault.draw * len(spec.errors))]
            control.fail_calls(spec.call, error, FAILED_CALLS)
        elif fault.kind in DIRECTORY_FAULTS:
            directory_fault = DIRECTORY_FAULTS[fault.kind]
            control.fail_directory_calls(directory_fault.error, directory_fault.calls)
        elif fault.kind in CLOCK_STEPS:
            control.step_clock(CLOCK_STEPS[fault.kind])
        elif fault.kind is FaultKind.SHORT_TRANSFERS:
            control.limit_transfers(MAX_TRANSFER_BYTES)
        else:
            control.interrupt_waits(INTERRUPTED_WAITS)
        await asyncio.sleep(fault.duration)
        control.clear_call_faults()
        limiter.record_failed_reads()
