"""Membership of this process in its group: its process file, and the process files of the others.

Each process holds a lock on its own process file. The kernel releases the lock however the process ends, so a
stale file is never mistaken for a running process.
"""

from __future__ import annotations

import contextlib
import errno
import logging
import os
import secrets
from pathlib import Path

from quota_gateway.net.process_group.accepting_file import accepting_path
from quota_gateway.net.process_group.executed_ids_file import executed_ids_path
from quota_gateway.net.process_group.handover_files import handover_path, temporary_path
from quota_gateway.net.process_group.shared_files import FileLock
from quota_gateway.net.process_group.suspension_file import FILE_NAME as SUSPENSION_FILE_NAME

log = logging.getLogger(__name__)

DIRECTORY_MODE = 0o700  # accessible to the owner only
PROCESS_FILE_PREFIX = "process-"
PROCESS_TOKEN_BYTES = 4  # random part of the file name, needed since process ids are reused
UNKNOWN_PROCESS = "unknown"  # placeholder for a process that may be running but cannot be detected
# After these errors no process of the limiter can use the directory, so this process counts as the only one.
PERMANENT_ERRORS = frozenset(
    (errno.ENOENT, errno.ENOTDIR, errno.EROFS, errno.EACCES, errno.EPERM, errno.ELOOP)
)


class Membership:
    """The locked process file of this process, and the running processes of the group.

    The shared directory may be temporarily unavailable: a process whose lock cannot be checked counts as
    running.
    """

    def __init__(self, directory: Path | None) -> None:
        """Join the group in ``directory``; if it is None, this process shares nothing."""
        self.directory = directory  # also None after a permanent error
        self.process_file = _new_process_file()
        self._lock: FileLock | None = None
        self._running = list[str]()  # process files of the other processes, as last seen
        self.join()

    @property
    def is_joined(self) -> bool:
        """Whether this process holds the lock on its process file."""
        return self._lock is not None

    def join(self) -> None:
        """Lock the process file unless it is locked already; after a temporary error, call this again."""
        if self.directory is None or self._lock is not None:
            return
        try:
            self.directory.mkdir(mode=DIRECTORY_MODE, exist_ok=True)
            self._lock = self._lock_process_file(self.directory)
        except OSError as error:
            if error.errno in PERMANENT_ERRORS:
                log.error("nothing can be shared with another process: %s", error)
                self.directory = None
            elif not self._running:
                log.warning("cannot join the other processes yet: %s", error)
                self._running = [UNKNOWN_PROCESS]

    def _lock_process_file(self, directory: Path) -> FileLock:
        while True:
            path = directory / self.process_file
            lock = FileLock(path)
            if lock.acquired and path.exists():
                return lock
            lock.close()  # another process deleted the file as stale before it was locked
            self.process_file = _new_process_file()

    def count_processes(self) -> int:
        """Return the number of running processes, including this one."""
        return 1 + len(self.other_processes())

    def other_processes(self) -> list[str]:
        """Return the process files of the other running processes; delete the files of exited processes."""
        if self.directory is None:
            return []
        try:
            files = [path for path in self.directory.iterdir() if path.name.startswith(PROCESS_FILE_PREFIX)]
        except FileNotFoundError:
            files = []
        except OSError as error:
            log.warning("cannot look for another process: %s", error)
            return self._running
        others = [path for path in files if path.name != self.process_file]
        self._running = [path.name for path in others if self._is_running(path)]
        if self._lock is None and not self._running:
            # Another process may have failed to join like this one, and cannot be detected without its lock.
            self._running = [UNKNOWN_PROCESS]
        return self._running

    def _is_running(self, path: Path) -> bool:
        """Whether a process holds the lock on its process file; delete all files of an exited process."""
        try:
            with FileLock(path) as lock:
                if not lock.acquired:
                    return True
                assert self.directory is not None
                for leftover in _files_of(self.directory, path.name):
                    leftover.unlink(missing_ok=True)
                return False
        except OSError as error:
            log.warning("cannot look at another process: %s", error)
            return True

    def leave(self) -> None:
        """Delete the process file and release its lock."""
        if self.directory is None or self._lock is None:
            return
        with contextlib.suppress(OSError):
            executed_ids_path(self.directory, self.process_file).unlink(missing_ok=True)
            (self.directory / self.process_file).unlink(missing_ok=True)
        self._lock.close()
        self._lock = None


def _new_process_file() -> str:
    return f"{PROCESS_FILE_PREFIX}{os.getpid()}-{secrets.token_hex(PROCESS_TOKEN_BYTES)}"


def _files_of(directory: Path, process_file: str) -> tuple[Path, ...]:
    """Return the paths of all files of a process, including temporary ones; the process file is the last."""
    return (
        accepting_path(directory, process_file),
        executed_ids_path(directory, process_file),
        handover_path(directory, process_file),
        temporary_path(directory, process_file),
        directory / f"{SUSPENSION_FILE_NAME}.{process_file}",
        directory / process_file,
    )
