"""A lock that a process holds while it accepts clients, visible to the other processes of its group."""

from __future__ import annotations

import contextlib
import logging
from pathlib import Path

from quota_gateway.net.process_group.shared_files import FileLock

log = logging.getLogger(__name__)

ACCEPTING_FILE_PREFIX = "accepting-"  # followed by the name of the process file


def accepting_path(directory: Path, process_file: str) -> Path:
    """Return the path of the file that a process locks while it accepts clients."""
    return directory / f"{ACCEPTING_FILE_PREFIX}{process_file}"


def is_accepting(directory: Path, process_file: str) -> bool:
    """Whether a process is known to accept clients; false if the shared directory cannot be read."""
    path = accepting_path(directory, process_file)
    try:
        if not path.exists():
            return False
        with FileLock(path) as lock:
            return not lock.acquired
    except OSError:
        return False


class AcceptingFile:
    """The announcement that this process accepts clients."""

    def __init__(self) -> None:
        """Begin without an announcement."""
        self._is_requested = False
        self._lock: FileLock | None = None

    def request(self) -> None:
        """Have the announcement written by the next ``write``."""
        self._is_requested = True

    def write(self, directory: Path, process_file: str) -> None:
        """Lock the file if that is requested and not done yet; after a failure, call it again."""
        if not self._is_requested or self._lock is not None:
            return
        try:
            self._lock = FileLock(accepting_path(directory, process_file))
        except OSError as error:
            log.warning("cannot announce yet that clients are accepted: %s", error)

    def withdraw(self, directory: Path | None, process_file: str) -> None:
        """Delete the file and release its lock."""
        self._is_requested = False
        if self._lock is not None and directory is not None:
            with contextlib.suppress(OSError):
                accepting_path(directory, process_file).unlink(missing_ok=True)
            self._lock.close()
        self._lock = None
