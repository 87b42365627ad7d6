"""The processes of one limiter, and what they share in a folder of $TMPDIR.

Two run at once while a new version takes over from an old one. Each holds a lock on a file of its own; the
kernel releases the lock however the process ends, so that a stale file never passes for a running process.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import logging
import os
import secrets
from collections.abc import Callable
from pathlib import Path

from quota_gateway import model
from quota_gateway.net.process_group.accepting_file import AcceptingFile, accepting_path, is_accepting
from quota_gateway.net.process_group.handover_files import HandoverFiles, handover_path, temporary_path
from quota_gateway.net.process_group.shared_files import FileLock
from quota_gateway.net.process_group.suspension_file import FILE_NAME as SUSPENSION_FILE_NAME
from quota_gateway.net.process_group.suspension_file import SuspensionFile

log = logging.getLogger(__name__)

POLL_INTERVAL = 0.1  # seconds: within a second a suspension must hold in the other process too
# The folder keeps the name of the earlier package: an old process and a new one meet in it during an upgrade.
FOLDER_PREFIX = "cypresspulley-"
FOLDER_MODE = 0o700  # for the owner alone
MAX_ENCODED_NAME = 64  # characters of the limiter's name in the folder's, encoded in hexadecimal
PROCESS_FILE_PREFIX = "process-"
PROCESS_TOKEN_BYTES = 4  # random, since process numbers are used again
UNKNOWN_PROCESS = "unknown"  # stands for a process that may run and cannot be seen
LATE_POLL = 0.3  # seconds without a poll after which this process has stood still
# With these no process can ever have a folder there, so that this one is alone.
PERMANENT_ERRORS = frozenset(
    (errno.ENOENT, errno.ENOTDIR, errno.EROFS, errno.EACCES, errno.EPERM, errno.ELOOP)
)

OnChange = Callable[[int, frozenset[str], float], None]
OnHandover = Callable[[model.HandoverState], None]


class ProcessGroup:
    """This process's membership in the group. Without a folder that can ever be written it is alone.

    The folder may fail for a while. An error is no news: a process that cannot be looked at counts as
    running, and what could not be written is written later, by ``watch``.
    """

    def __init__(self, folder: str | None, name: str, clock_offset: float = 0.0) -> None:
        """``folder`` is $TMPDIR, or None for a process that shares nothing; ``name`` is the limiter's.

        ``clock_offset`` is this process's Unix time less its monotonic time.
        """
        self._process_file = self._new_process_file()
        self._folder: Path | None = None
        self._liveness_lock: FileLock | None = None
        self._accepting = AcceptingFile()
        self._handover = HandoverFiles(clock_offset)
        self._running = list[str]()  # process files of the others, as they were seen last
        if folder is not None:
            # By name: where several limiters are given one folder, their suspensions must not mix.
            self._folder = Path(folder) / f"{FOLDER_PREFIX}{name.encode().hex()[:MAX_ENCODED_NAME]}"
            self._join()
        self._suspension_file = SuspensionFile(self._folder, self._process_file)
        self._notified_process_count = 1
        self._notified_suspensions = frozenset[str]()
        self._poll_timer: asyncio.TimerHandle | None = None
        self._polled_at = 0.0  # seconds of the event loop's clock; 0 before the first poll
        self._seconds_unknown = 0.0  # between the last two polls
        self._on_change: OnChange | None = None
        self._on_handover: OnHandover | None = None

    @staticmethod
    def _new_process_file() -> str:
        return f"{PROCESS_FILE_PREFIX}{os.getpid()}-{secrets.token_hex(PROCESS_TOKEN_BYTES)}"

    def _join(self) -> None:
        """Lock the process file; if the folder fails for now that is tried again by ``watch``."""
        if self._folder is None or self._liveness_lock is not None:
            return
        try:
            self._folder.mkdir(mode=FOLDER_MODE, exist_ok=True)
            self._liveness_lock = self._lock_process_file(self._folder)
        except OSError as error:
            if error.errno in PERMANENT_ERRORS:
                log.error("nothing can be shared with another process: %s", error)
                self._folder = None
            elif not self._running:
                log.warning("cannot join the other processes yet: %s", error)
                self._running = [UNKNOWN_PROCESS]  # there may be one

    def _lock_process_file(self, folder: Path) -> FileLock:
        while True:
            path = folder / self._process_file
            lock = FileLock(path)
            if lock.acquired and path.exists():
                return lock
            lock.close()  # another process took the file for a stale one before it was locked
            self._process_file = self._new_process_file()

    def count_processes(self) -> int:
        """How many processes of this limiter run, with this one; one that cannot be looked at counts."""
        return 1 + len(self._other_processes())

    def _other_processes(self) -> list[str]:
        """The process files of the others that run; the files of those that ended are deleted."""
        if self._folder is None:
            return []
        try:
            files = [path for path in self._folder.iterdir() if path.name.startswith(PROCESS_FILE_PREFIX)]
        except FileNotFoundError:
            files = []
        except OSError as error:
            log.warning("cannot look for another process: %s", error)
            return self._running
        others = [path for path in files if path.name != self._process_file]
        self._running = [path.name for path in others if self._is_running(path)]
        if self._liveness_lock is None and not self._running:
            self._running = [UNKNOWN_PROCESS]  # one that could not join either cannot be seen
        return self._running

    def _is_running(self, path: Path) -> bool:
        """Whether a process holds its file; the files of one that has ended are deleted."""
        try:
            with FileLock(path) as lock:
                if not lock.acquired:
                    return True
                assert self._folder is not None
                for leftover in _files_of(self._folder, path.name):
                    leftover.unlink(missing_ok=True)
                return False
        except OSError as error:
            log.warning("cannot look at another process: %s", error)
            return True

    # Who accepts clients

    def announce_accepting(self) -> None:
        """Let the others know that this process accepts clients, until ``withdraw_accepting``."""
        self._accepting.is_wanted = True
        self._announce()

    def _announce(self) -> None:
        if self._folder is not None and self._liveness_lock is not None:
            self._accepting.write(self._folder, self._process_file)

    def withdraw_accepting(self) -> None:
        """This process is about to accept no more."""
        self._accepting.withdraw(self._folder, self._process_file)

    def has_accepting_peer(self) -> bool:
        """Whether another process surely accepts clients: one that is starting or ending does not."""
        folder = self._folder
        return folder is not None and any(
            is_accepting(folder, process) for process in self._other_processes()
        )

    # Handover

    def write_handover(self, state: model.HandoverState) -> None:
        """Leave the state for the process that has joined; nothing where none has, or more than one.

        A part of a ceiling may go to one process alone, and only once. A write that fails is tried again.
        """
        successor = self._handover.new_successor(self._other_processes())
        if self._folder is not None and successor is not None and successor != UNKNOWN_PROCESS:
            self._handover.leave(self._folder, self._process_file, successor, state)

    def read_handover(self) -> model.HandoverState | None:
        """The state that another process has left for this one; None where there is none or malformed."""
        return None if self._folder is None else self._handover.take(self._folder, self._process_file)

    # Suspensions

    def read_suspensions(self) -> frozenset[str]:
        """The endpoints that operators have suspended; a malformed file changes nothing."""
        return self._suspension_file.read()

    @property
    def knows_suspensions(self) -> bool:
        """Whether the suspensions of earlier processes could be read, or there are none."""
        return self._suspension_file.is_known

    @property
    def suspensions_saved(self) -> bool:
        """Whether all commands so far are recorded for the other processes."""
        return self._suspension_file.is_saved

    def set_suspended(self, endpoint: str, suspended: bool) -> frozenset[str]:
        """Suspend or restore an endpoint for all processes, and return those that are suspended then."""
        return self._suspension_file.update(endpoint, suspended)

    # Polling

    def watch(self, on_change: OnChange, on_handover: OnHandover) -> None:
        """Poll from now on, until ``close``.

        ``on_change`` is called with the number of processes, the suspended endpoints and the seconds since
        they were looked at before, when one of the former changes; ``on_handover`` with the state that
        another process has left for this one.
        """
        self._on_change = on_change
        self._on_handover = on_handover
        self._poll()

    def poll_if_late(self) -> None:
        """Poll if that is overdue: this process stood still, and another one may have started meanwhile."""
        if self._poll_timer is not None and self._folder is not None:
            late = asyncio.get_running_loop().time() - self._polled_at
            if late > LATE_POLL:
                self._poll()

    def _poll(self) -> None:
        """Poll, now and every ``POLL_INTERVAL``, whatever an error here does."""
        loop = asyncio.get_running_loop()
        if self._poll_timer is not None:
            self._poll_timer.cancel()
        self._poll_timer = loop.call_later(POLL_INTERVAL, self._poll)
        now = loop.time()
        self._seconds_unknown = now - self._polled_at if self._polled_at else 0.0
        self._polled_at = now
        steps = (
            self._join,
            self._announce,
            self._suspension_file.save,
            self._notify_changes,
            self._take_handover,
            self._write_handover,
        )
        for step in steps:
            try:
                step()
            except Exception:
                log.exception("a poll of the other processes failed")

    def _write_handover(self) -> None:
        if self._folder is not None:
            self._handover.write_pending(self._folder, self._process_file)

    def _notify_changes(self) -> None:
        process_count = self.count_processes()
        suspensions = self.read_suspensions()
        if process_count == self._notified_process_count and suspensions == self._notified_suspensions:
            return
        self._notified_process_count = process_count
        self._notified_suspensions = suspensions
        if self._on_change is not None:
            self._on_change(process_count, suspensions, self._seconds_unknown)

    def _take_handover(self) -> None:
        state = self.read_handover()
        if state is not None and self._on_handover is not None:
            self._on_handover(state)

    def close(self) -> None:
        """Stop polling and leave the group."""
        if self._poll_timer is not None:
            self._poll_timer.cancel()
            self._poll_timer = None
        self.withdraw_accepting()
        if self._folder is not None and self._liveness_lock is not None:
            with contextlib.suppress(OSError):
                (self._folder / self._process_file).unlink(missing_ok=True)
            self._liveness_lock.close()
            self._liveness_lock = None


def _files_of(folder: Path, process_file: str) -> tuple[Path, ...]:
    """All files that a process may have left, half-written ones included; its own file last."""
    return (
        accepting_path(folder, process_file),
        handover_path(folder, process_file),
        temporary_path(folder, process_file),
        folder / f"{SUSPENSION_FILE_NAME}.{process_file}",
        folder / process_file,
    )
