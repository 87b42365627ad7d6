"""The endpoints that operators have suspended, kept in one file for all processes of a limiter.

The file outlives the processes, so that a suspension holds across a restart and an upgrade.
"""

from __future__ import annotations

import json
import logging
from pathlib import Path

from quota_gateway.net.shared_files import FileLock, replace_file

log = logging.getLogger(__name__)

FILE_NAME = "bans.json"  # the names of the files and of the key belong to the format on disk
LOCK_FILE_NAME = "bans.lock"
NAMES_KEY = "out"
MAX_SUSPENSIONS = 4096  # endpoints; one more is not recorded
MAX_FILE_SIZE = 4 * 1024 * 1024  # bytes that are read


class SuspensionFormatError(ValueError):
    """A file of suspended endpoints that cannot be decoded."""


def _encode(endpoints: frozenset[str]) -> str:
    return json.dumps({NAMES_KEY: sorted(endpoints)})


def _decode(data: bytes) -> frozenset[str]:
    """The suspended endpoints; raises ``SuspensionFormatError`` where the file is malformed."""
    try:
        document = json.loads(data)
    except ValueError as error:
        raise SuspensionFormatError(f"expected JSON: {error}") from None
    if not isinstance(document, dict) or NAMES_KEY not in document:
        raise SuspensionFormatError(f"expected an object with the key {NAMES_KEY!r}")
    names = document[NAMES_KEY]
    if not isinstance(names, list) or not all(isinstance(name, str) for name in names):
        raise SuspensionFormatError(f"{NAMES_KEY}: not a list of names")
    return frozenset(names)


class SuspensionFile:
    """The suspended endpoints; without a folder they are kept in memory for this process alone."""

    def __init__(self, folder: Path | None, process_file: str) -> None:
        """``process_file`` is a name that no other process has, for temporary files."""
        self._folder = folder
        self._temporary_name = f"{FILE_NAME}.{process_file}"
        self._endpoints = frozenset[str]()
        self._version: tuple[int, int] | None = None  # inode and time of change in ns of the file read last
        self._is_malformed = False  # and this was logged

    def read(self) -> frozenset[str]:
        """The suspended endpoints; those read last where the file is missing or cannot be read."""
        if self._folder is None:
            return self._endpoints
        try:
            self._read_if_changed(self._folder / FILE_NAME)
        except FileNotFoundError:
            pass
        except (OSError, SuspensionFormatError) as error:
            if not self._is_malformed:
                log.error("the file of suspended endpoints cannot be read, they stay as they were: %s", error)
            self._is_malformed = True
        return self._endpoints

    def _read_if_changed(self, path: Path) -> None:
        status = path.stat()
        version = status.st_ino, status.st_mtime_ns
        if version == self._version:
            return
        with path.open("rb") as file:
            self._endpoints = _decode(file.read(MAX_FILE_SIZE))
        self._version = version
        self._is_malformed = False

    def update(self, endpoint: str, suspended: bool) -> frozenset[str]:
        """Suspend or restore an endpoint for all processes, and return those that are suspended then.

        Waits while another process writes. Where nothing can be written it holds for this process alone.
        """
        if self._folder is None:
            self._update_in_memory(endpoint, suspended)
            return self._endpoints
        try:
            with FileLock(self._folder / LOCK_FILE_NAME, blocking=True):
                self._update_file(self._folder, endpoint, suspended)
        except OSError as error:
            log.error("a suspension could not be written: %s", error)
            self._update_in_memory(endpoint, suspended)
        return self._endpoints

    def _update_file(self, folder: Path, endpoint: str, suspended: bool) -> None:
        recorded = self.read()
        if suspended and len(recorded) < MAX_SUSPENSIONS:
            self._endpoints = recorded | {endpoint}
        else:
            self._endpoints = recorded - {endpoint}
        text = _encode(self._endpoints)
        replace_file(folder / FILE_NAME, text, temporary=folder / self._temporary_name)

    def _update_in_memory(self, endpoint: str, suspended: bool) -> None:
        if suspended:
            self._endpoints |= {endpoint}
        else:
            self._endpoints -= {endpoint}
