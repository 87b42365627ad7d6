"""A lock that a process holds while it accepts clients, for the others to see."""

from __future__ import annotations

import contextlib
import logging
from pathlib import Path

from quota_gateway.net.process_group.shared_files import FileLock

log = logging.getLogger(__name__)

ACCEPTING_FILE_PREFIX = "accepting-"  # followed by the process file of one that accepts clients


def accepting_path(folder: Path, process_file: str) -> Path:
    """The file that a process locks."""
    return folder / f"{ACCEPTING_FILE_PREFIX}{process_file}"


def is_accepting(folder: Path, process_file: str) -> bool:
    """Whether a process surely accepts clients; where the folder fails nothing is sure."""
    path = accepting_path(folder, process_file)
    try:
        if not path.exists():
            return False
        with FileLock(path) as lock:
            return not lock.acquired
    except OSError:
        return False


class AcceptingFile:
    """This process's announcement."""

    def __init__(self) -> None:
        """Begin without one."""
        self.is_wanted = False
        self._lock: FileLock | None = None

    def write(self, folder: Path, process_file: str) -> None:
        """Take the lock if it is wanted and not held; where the folder fails that can be tried again."""
        if not self.is_wanted or self._lock is not None:
            return
        try:
            self._lock = FileLock(accepting_path(folder, process_file))
        except OSError as error:
            log.warning("cannot announce yet that clients are accepted: %s", error)

    def withdraw(self, folder: Path | None, process_file: str) -> None:
        """Give the lock up."""
        self.is_wanted = False
        if self._lock is not None and folder is not None:
            with contextlib.suppress(OSError):
                accepting_path(folder, process_file).unlink(missing_ok=True)
            self._lock.close()
        self._lock = None
