"""A lock that a process holds while it accepts clients, visible to the other processes of its group."""

from __future__ import annotations

import contextlib
import logging
from pathlib import Path

from quota_gateway.net.process_group.shared_files import FileLock

log = logging.getLogger(__name__)

ACCEPTING_FILE_PREFIX = "accepting-"  # the name of the process file follows


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
    """A locked file that announces to the other processes that this process accepts clients."""

    def __init__(self) -> None:
        """Start without an announcement; ``request`` and then ``write`` make one."""
        self._is_requested = False
        self._lock: FileLock | None = None

    def request(self) -> None:
        """Let the next ``write`` create and lock the file."""
        self._is_requested = True

    def write(self, directory: Path, process_file: str) -> None:
        """Create and lock the file if requested and not done yet; after a failure, call this again."""
        if not self._is_requested or self._lock is not None:
            return
        try:
            self._lock = FileLock(accepting_path(directory, process_file))
        except OSError as error:
            log.warning("cannot announce yet that this process accepts clients: %s", error)

    def withdraw(self, directory: Path | None, process_file: str) -> None:
        """Delete the file and release its lock."""
        self._is_requested = False
        if self._lock is not None and directory is not None:
            with contextlib.suppress(OSError):
                accepting_path(directory, process_file).unlink(missing_ok=True)
            self._lock.close()
        self._lock = None
