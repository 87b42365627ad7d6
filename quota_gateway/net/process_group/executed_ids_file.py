"""The files through which the processes of one limiter share the ids of executed requests."""

from __future__ import annotations

import contextlib
import logging
import mmap
import os
from pathlib import Path

from quota_gateway.net.common.executed_ids import TABLE_BYTES, ExecutedIds

log = logging.getLogger(__name__)

FILE_PREFIX = "executed-ids-"  # the name of the process file follows
FILE_MODE = 0o600  # accessible to the owner only


def executed_ids_path(directory: Path, process_file: str) -> Path:
    """Return the path of the file with the ids that a process has recorded."""
    return directory / f"{FILE_PREFIX}{process_file}"


class ExecutedIdsFile:
    """Shares the ids of this process, and finds those of the other processes."""

    __slots__ = ("_is_shared", "ids")

    def __init__(self) -> None:
        """Begin with ids that are not shared."""
        self.ids = ExecutedIds()
        self._is_shared = False

    def share(self, directory: Path, process_file: str) -> None:
        """Share the ids of this process unless that was done; after a failure, call this again."""
        if self._is_shared:
            return
        path = executed_ids_path(directory, process_file)
        try:
            self.ids.share_in(_create_table(path))
            self._is_shared = True
        except OSError as error:
            log.warning("cannot share the ids of executed requests yet: %s", error)
            with contextlib.suppress(OSError):
                path.unlink(missing_ok=True)

    def find_peers(self, directory: Path, process_files: list[str]) -> None:
        """Map the ids of the processes that have shared theirs since the last call."""
        for process_file in process_files:
            if process_file not in self.ids.peers:
                with contextlib.suppress(OSError, ValueError):
                    self.ids.add_peer(process_file, _open_table(executed_ids_path(directory, process_file)))


def _create_table(path: Path) -> mmap.mmap:
    """Create a file of its full size: a write into a hole could fail when it is too late to report that."""
    descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, FILE_MODE)
    try:
        written = os.write(descriptor, bytes(TABLE_BYTES))
        if written != TABLE_BYTES:
            raise OSError("the file could not be written completely")
        return mmap.mmap(descriptor, TABLE_BYTES)
    finally:
        os.close(descriptor)


def _open_table(path: Path) -> mmap.mmap:
    """Map the file of another process; raise ``ValueError`` if it is incomplete."""
    descriptor = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
    try:
        return mmap.mmap(descriptor, TABLE_BYTES, prot=mmap.PROT_READ)
    finally:
        os.close(descriptor)
